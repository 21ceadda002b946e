//! Decides which view should follow, from what one voter observes.
//!
//! A pure function called by the replica when it considers a proposal. Invariants of every view it plans, which safety
//! rests on: a member of the present chain stays, the remaining ones keep their order and joiners come last; the chain is a
//! majority of the new voters; at most one voter is added and one removed. Voters outside of the chain come last, in the
//! order in which they left it, so that the order in which they became unreachable is durable and the same for all.

use std::collections::BTreeSet;

use crate::view::{Identity, Member, View, majority_of};
use crate::voter_spread::{Imbalance, VoterSpread};

/// Most voters of a view.
pub const MAX_VOTERS: usize = 9;

/// A reachable node in good health outside of the chain, which may join it.
#[derive(Clone, Copy, Debug)]
pub struct JoinCandidate {
    /// Who it is and where it listens.
    pub member: Member,
    /// Its durable state equals the committed one.
    pub caught_up: bool,
    /// It has stored this node's sealed state.
    pub has_sealed_state: bool,
}

/// What a voter observes.
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
    /// Voters that can't be reached now, or may end soon, in the order in which a new node takes the place of one.
    pub unreachable: Vec<Identity>,
    /// Voters that announced their shutdown or have been unreachable long enough to be removed, in the order of removal.
    pub removable: Vec<Identity>,
    /// The epoch must end although its chain is healthy.
    pub epoch_change_required: bool,
    /// This node takes nothing more in this epoch.
    pub sealed: bool,
    /// This node may end the epoch in order to take in others.
    pub may_add_members: bool,
    /// Voters are removed only down to this number.
    pub minimum_voters: usize,
    /// Failure domains of voters and candidates, and which of them may be lost as a whole.
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

/// The view that should follow, if any should.
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

/// Healthy members of the present chain, in its order.
fn remaining_chain(context: &ViewChangeContext) -> Vec<Identity> {
    let chain = context.view.chain.iter();
    chain
        .copied()
        .filter(|member| context.healthy_members.contains(member))
        .collect()
}

/// A view for an epoch that must end: with the joiners that have the sealed state, else the remaining chain, else as
/// few joiners as it takes.
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

/// Candidates in the order in which they are taken if as few as possible shall join: voters first.
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

/// Adds as few joiners as make the chain long enough.
fn compose_shortest_view(
    context: &ViewChangeContext,
    remaining: &[Identity],
) -> Option<ViewChange> {
    let joiners = candidates_by_effort(context);
    (1..=joiners.len()).find_map(|count| compose_view(context, remaining, &joiners[..count]))
}

/// Removes a voter and adds as few voters to the chain as make it long enough for those that are left.
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

/// A view with further members, for an epoch that could go on.
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

/// Removes a voter that doesn't remain in the chain, which these voters join. The chain may be long enough for the voters that
/// are left only.
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

/// Removes a voter by whose removal the others are spread better over failure domains, the last in the chain first. The
/// node stays outside of the view, and learns what is committed.
fn plan_better_spread(context: &ViewChangeContext, remaining: &[Identity]) -> Option<ViewChange> {
    let view = context.view;
    let imbalance = context.spread.imbalance(&view.voters);
    if imbalance.shortfall == 0
        || view.voters.len() <= context.minimum_voters
        || !context.may_add_members
    {
        return None;
    }
    if !context.unreachable.is_empty() {
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

/// The imbalance of the voters if this node becomes one of them; the present one if it is one already.
fn imbalance_with(context: &ViewChangeContext, member: Member) -> Imbalance {
    let mut voters = context.view.voters.clone();
    if !context.view.is_voter(member.identity) {
        voters.push(member);
    }
    context.spread.imbalance(&voters)
}

/// The view with this chain and these joiners, of whom one at most is no voter yet.
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

/// Makes the member a voter: in place of the former disk at its address, else of an unreachable voter, else added.
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

/// Position of the unreachable voter whose place the member takes: of those that leave the best spread over failure domains,
/// the first in the order of [`ViewChangeContext::unreachable`].
fn replaceable_voter(
    context: &ViewChangeContext,
    voters: &[Member],
    chain: &[Identity],
    member: Member,
) -> Option<usize> {
    let is_replaceable = |identity: &&Identity| !chain.contains(identity);
    let positions = context
        .unreachable
        .iter()
        .filter(is_replaceable)
        .filter_map(|unreachable| {
            voters
                .iter()
                .position(|voter| voter.identity == *unreachable)
        });
    positions.min_by_key(|position| {
        let mut replaced = voters.to_vec();
        replaced[*position] = member;
        context.spread.imbalance(&replaced)
    })
}

/// Whether a further voter does no harm: there are too few, or the voters are spread no worse with it.
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

/// When a voter left the chain, as two consecutive views show it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Departure {
    /// It is in the new chain.
    InChain,
    /// It was outside of the former chain already.
    Earlier,
    /// It leaves the chain by the new view.
    Now,
}

/// Sorts voters as [`View::voters`] are: those outside of the chain last, in the order in which they left it.
fn sort_by_departure(voters: &mut [Member], former: &View, chain: &[Identity]) {
    voters.sort_by_key(|voter| {
        if chain.contains(&voter.identity) {
            Departure::InChain
        } else if former.in_chain(voter.identity) {
            Departure::Now
        } else {
            Departure::Earlier
        }
    });
}

/// The view, if its chain is a majority of its voters.
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
