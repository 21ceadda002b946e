//! Plans the next view from the observations of one voter.
//!
//! [`plan_view_change`] is a pure function, which the replica calls when it considers a proposal. Safety depends on
//! these invariants of every planned view: at least one member of the current chain remains, remaining members keep
//! their order, and joiners come last; the chain is a majority of the new voters; at most one voter is added and one
//! removed. Voters outside of the chain come last, in the order in which they left it, so that the order in which they
//! became unreachable is durable and the same at all nodes.

use std::collections::BTreeSet;

use crate::view::{Identity, Member, View, majority_of};
use crate::voter_spread::{Imbalance, VoterSpread};

/// Maximum number of voters of a view.
pub const MAX_VOTERS: usize = 9;

/// A reachable, healthy node outside of the chain, which may join it.
#[derive(Clone, Copy, Debug)]
pub struct JoinCandidate {
    /// Identity and address of the node.
    pub member: Member,
    /// Whether its durable state equals the committed one.
    pub caught_up: bool,
    /// Whether it has stored this node's sealed state.
    pub has_sealed_state: bool,
}

/// The observations of a voter, from which it plans the next view.
#[derive(Debug)]
pub struct ViewChangeContext<'a> {
    /// The newest view.
    pub view: &'a View,
    /// Identity of the observing voter.
    pub own_identity: Identity,
    /// Members of the chain that can replicate.
    pub healthy_members: BTreeSet<Identity>,
    /// Nodes that may join the chain.
    pub join_candidates: Vec<JoinCandidate>,
    /// Voters that a new node may replace, since they are unreachable or shutting down, in the order of replacement.
    pub replaceable: Vec<Identity>,
    /// Voters that announced their shutdown or have been unreachable long enough to be removed, in the order of removal.
    pub removable: Vec<Identity>,
    /// Whether the epoch must end although its chain is healthy.
    pub epoch_change_required: bool,
    /// Whether this node has sealed the epoch.
    pub sealed: bool,
    /// Whether this node may end the epoch to add members.
    pub may_add_members: bool,
    /// Minimum number of voters, below which none is removed.
    pub minimum_voters: usize,
    /// Failure domains of voters and candidates, and how many of them may be lost.
    pub spread: VoterSpread,
}

/// A view to propose.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ViewChange {
    /// The view.
    pub view: View,
    /// Members of its chain that need this node's sealed state first.
    pub joiners: Vec<Member>,
}

/// Plans the next view; `None` if no change is due.
pub fn plan_view_change(context: &ViewChangeContext) -> Option<ViewChange> {
    let remaining = remaining_chain(context);
    if remaining.is_empty() {
        return None;
    }
    let required = context.epoch_change_required
        || context.sealed
        || remaining.len() < context.view.chain.len();
    if required {
        return plan_required_change(context, &remaining);
    }
    plan_addition(context, &remaining)
        .or_else(|| plan_removal(context, &remaining, &[]))
        .or_else(|| plan_better_spread(context, &remaining))
}

/// Healthy members of the current chain, in its order.
fn remaining_chain(context: &ViewChangeContext) -> Vec<Identity> {
    let chain = context.view.chain.iter();
    chain
        .copied()
        .filter(|member| context.healthy_members.contains(member))
        .collect()
}

/// Plans a view for an epoch that must end: with the joiners that have the sealed state, else with the remaining chain
/// alone, else with the fewest joiners that suffice, else with a voter removed.
fn plan_required_change(context: &ViewChangeContext, remaining: &[Identity]) -> Option<ViewChange> {
    let candidates_with_sealed_state: Vec<JoinCandidate> = context
        .join_candidates
        .iter()
        .copied()
        .filter(|joiner| joiner.has_sealed_state)
        .collect();
    let with_sealed_state = context
        .sealed
        .then(|| compose_view(context, remaining, &candidates_with_sealed_state))
        .flatten();
    with_sealed_state
        .or_else(|| compose_view(context, remaining, &[]))
        .or_else(|| compose_shortest_view(context, remaining))
        .or_else(|| plan_removal(context, remaining, &[]))
        .or_else(|| plan_shortest_removal(context, remaining))
}

/// Candidates in order of preference where as few as possible should join: those with the sealed state, then voters,
/// then those that have caught up.
fn candidates_by_effort(context: &ViewChangeContext) -> Vec<JoinCandidate> {
    let mut joiners = context.join_candidates.clone();
    joiners.sort_by_key(|joiner| {
        (
            !joiner.has_sealed_state,
            !context.view.is_voter(joiner.member.identity),
            !joiner.caught_up,
        )
    });
    joiners
}

/// Adds the fewest joiners that make the chain a majority.
fn compose_shortest_view(
    context: &ViewChangeContext,
    remaining: &[Identity],
) -> Option<ViewChange> {
    let joiners = candidates_by_effort(context);
    (1..=joiners.len()).find_map(|count| compose_view(context, remaining, &joiners[..count]))
}

/// Removes a voter and adds the fewest voters to the chain that make it a majority of those that are left.
fn plan_shortest_removal(
    context: &ViewChangeContext,
    remaining: &[Identity],
) -> Option<ViewChange> {
    if !remaining.contains(&context.own_identity) {
        return None;
    }
    let mut joiners = candidates_by_effort(context);
    joiners.retain(|joiner| context.view.is_voter(joiner.member.identity));
    (1..=joiners.len()).find_map(|count| plan_removal(context, remaining, &joiners[..count]))
}

/// Plans a view with additional members, for an epoch that needn't end.
fn plan_addition(context: &ViewChangeContext, remaining: &[Identity]) -> Option<ViewChange> {
    if !context.may_add_members {
        return None;
    }
    let mut ready: Vec<JoinCandidate> = context
        .join_candidates
        .iter()
        .copied()
        .filter(|joiner| joiner.caught_up)
        .collect();
    if ready.is_empty() {
        return None;
    }
    ready.sort_by_key(|joiner| imbalance_with(context, joiner.member));
    compose_view(context, remaining, &ready).filter(|change| !change.joiners.is_empty())
}

/// Removes a voter outside of the remaining chain, which `joiners` (all of them voters) join. The chain must be a
/// majority only of the voters that are left.
fn plan_removal(
    context: &ViewChangeContext,
    remaining: &[Identity],
    joiners: &[JoinCandidate],
) -> Option<ViewChange> {
    let view = context.view;
    if view.voters.len() <= context.minimum_voters {
        return None;
    }
    let joiners: Vec<Member> = joiners.iter().map(|joiner| joiner.member).collect();
    let chain: Vec<Identity> = remaining
        .iter()
        .copied()
        .chain(joiners.iter().map(|joiner| joiner.identity))
        .collect();
    let is_removable = |voter: &&Identity| view.is_voter(**voter) && !chain.contains(voter);
    let removed = context.removable.iter().find(is_removable)?;
    let mut voters = view.voters.clone();
    voters.retain(|voter| voter.identity != *removed);
    finish_view(context, voters, chain, joiners)
}

/// Removes a voter if this improves the spread of the others over failure domains: voters outside of the chain first,
/// then those of the chain from its tail. The removed node remains a learner.
fn plan_better_spread(context: &ViewChangeContext, remaining: &[Identity]) -> Option<ViewChange> {
    let view = context.view;
    let imbalance = context.spread.imbalance(&view.voters);
    if imbalance.shortfall == 0
        || view.voters.len() <= context.minimum_voters
        || !context.may_add_members
    {
        return None;
    }
    if !context.replaceable.is_empty() {
        return None;
    }
    let without = |identity: Identity| -> Option<ViewChange> {
        let mut voters = view.voters.clone();
        voters.retain(|voter| voter.identity != identity);
        let chain = remaining.iter().copied();
        let chain = chain.filter(|member| *member != identity).collect();
        (context.spread.imbalance(&voters) < imbalance)
            .then(|| finish_view(context, voters, chain, Vec::new()))
            .flatten()
    };
    let outside = view.voters.iter().map(|voter| voter.identity);
    let outside = outside.filter(|voter| !remaining.contains(voter));
    outside
        .chain(remaining.iter().rev().copied())
        .filter(|voter| *voter != context.own_identity)
        .find_map(without)
}

/// The imbalance of the voters with `member` as one of them.
fn imbalance_with(context: &ViewChangeContext, member: Member) -> Imbalance {
    let mut voters = context.view.voters.clone();
    if !context.view.is_voter(member.identity) {
        voters.push(member);
    }
    context.spread.imbalance(&voters)
}

/// Composes the view of the remaining chain and these joiners, of which at most one becomes a new voter.
fn compose_view(
    context: &ViewChangeContext,
    remaining: &[Identity],
    joiners: &[JoinCandidate],
) -> Option<ViewChange> {
    if !joiners.is_empty() && !remaining.contains(&context.own_identity) {
        return None;
    }
    let view = context.view;
    let mut voters = view.voters.clone();
    let mut chain = remaining.to_vec();
    let mut joining = Vec::new();
    let mut voters_changed = false;
    for joiner in joiners {
        let member = joiner.member;
        if !view.is_voter(member.identity) {
            if voters_changed || !add_voter(context, &mut voters, &chain, member) {
                continue;
            }
            voters_changed = true;
        }
        if voters.iter().any(|voter| voter.identity == member.identity) {
            chain.push(member.identity);
            joining.push(member);
        }
    }
    finish_view(context, voters, chain, joining)
}

/// Makes the member a voter: it replaces the voter at its address, which had another disk, else a replaceable voter;
/// else it is added. Returns whether it became a voter.
fn add_voter(
    context: &ViewChangeContext,
    voters: &mut Vec<Member>,
    chain: &[Identity],
    member: Member,
) -> bool {
    let same_address = voters
        .iter()
        .position(|voter| voter.address == member.address);
    let replaced = same_address.or_else(|| replaceable_voter(context, voters, chain, member));
    match replaced {
        Some(position) if chain.contains(&voters[position].identity) => false,
        Some(position) => {
            voters[position] = member;
            true
        }
        None if may_be_added(context, voters, member) => {
            voters.push(member);
            true
        }
        None => false,
    }
}

/// Index of the voter that the member replaces: of those that result in the best spread over failure domains, the first
/// in the order of [`ViewChangeContext::replaceable`].
fn replaceable_voter(
    context: &ViewChangeContext,
    voters: &[Member],
    chain: &[Identity],
    member: Member,
) -> Option<usize> {
    let is_replaceable = |identity: &&Identity| !chain.contains(identity);
    let positions = context
        .replaceable
        .iter()
        .filter(is_replaceable)
        .filter_map(|replaceable| {
            voters
                .iter()
                .position(|voter| voter.identity == *replaceable)
        });
    positions.min_by_key(|position| {
        let mut replaced = voters.to_vec();
        replaced[*position] = member;
        context.spread.imbalance(&replaced)
    })
}

/// Whether the member may be added as a voter: there are fewer than the minimum, or it doesn't worsen the spread.
fn may_be_added(context: &ViewChangeContext, voters: &[Member], member: Member) -> bool {
    if voters.len() >= MAX_VOTERS {
        return false;
    }
    let mut with_member = voters.to_vec();
    with_member.push(member);
    let spread = &context.spread;
    voters.len() < context.minimum_voters
        || spread.imbalance(&with_member) <= spread.imbalance(voters)
}

/// When a voter left the chain, by comparison of two consecutive views.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Departure {
    /// It is in the new chain.
    InChain,
    /// It was already outside of the previous chain.
    Earlier,
    /// It leaves the chain with the new view.
    Now,
}

/// Sorts voters in the order of [`View::voters`]: those outside of the chain last, in the order in which they left it.
fn sort_by_departure(voters: &mut [Member], previous_view: &View, chain: &[Identity]) {
    voters.sort_by_key(|voter| {
        if chain.contains(&voter.identity) {
            Departure::InChain
        } else if previous_view.in_chain(voter.identity) {
            Departure::Now
        } else {
            Departure::Earlier
        }
    });
}

/// Completes the view, if its chain is a majority of its voters.
fn finish_view(
    context: &ViewChangeContext,
    mut voters: Vec<Member>,
    chain: Vec<Identity>,
    joiners: Vec<Member>,
) -> Option<ViewChange> {
    if chain.len() < majority_of(voters.len()) {
        return None;
    }
    sort_by_departure(&mut voters, context.view, &chain);
    let view = View {
        epoch: context.view.epoch + 1,
        voters,
        chain,
    };
    Some(ViewChange { view, joiners })
}
