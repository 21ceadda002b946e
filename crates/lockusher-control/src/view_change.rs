//! Decides which view should follow, from what one voter observes.
//!
//! A pure function called by the replica when it considers a proposal. Invariants of every view it plans, which safety
//! rests on: a member of the present chain stays, the remaining ones keep their order and joiners come last; the chain is a
//! majority of the new voters; at most one voter is added and one removed.

use std::collections::BTreeSet;

use crate::view::{Identity, Member, View, majority_of};

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
    /// Voters that can't be reached now, the longest unreachable first.
    pub unreachable: Vec<Identity>,
    /// Voters that announced their shutdown or have been unreachable long enough to be removed.
    pub removable: Vec<Identity>,
    /// The epoch must end although its chain is healthy.
    pub epoch_change_required: bool,
    /// This node takes nothing more in this epoch.
    pub sealed: bool,
    /// This node may end the epoch in order to take in others.
    pub may_add_members: bool,
    /// Voters are removed only down to this number.
    pub minimum_voters: usize,
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
    plan_addition(context, &remaining).or_else(|| plan_removal(context, &remaining))
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
        .or_else(|| plan_removal(context, remaining))
}

/// Adds as few joiners as make the chain long enough, voters first.
fn compose_shortest_view(
    context: &ViewChangeContext,
    remaining: &[Identity],
) -> Option<ViewChange> {
    let mut joiners = context.join_candidates.clone();
    joiners.sort_by_key(|joiner| {
        (
            !joiner.has_sealed_state,
            !context.view.is_voter(joiner.member.identity),
            !joiner.caught_up,
        )
    });
    (1..=joiners.len()).find_map(|count| compose_view(context, remaining, &joiners[..count]))
}

/// A view with further members, for an epoch that could go on.
fn plan_addition(context: &ViewChangeContext, remaining: &[Identity]) -> Option<ViewChange> {
    if !context.may_add_members {
        return None;
    }
    let ready: Vec<JoinCandidate> = context
        .join_candidates
        .iter()
        .copied()
        .filter(|joiner| joiner.caught_up)
        .collect();
    if ready.is_empty() {
        return None;
    }
    compose_view(context, remaining, &ready).filter(|change| !change.joiners.is_empty())
}

/// Removes a voter that doesn't remain in the chain. The chain may be long enough for the voters that are left only.
fn plan_removal(context: &ViewChangeContext, remaining: &[Identity]) -> Option<ViewChange> {
    let view = context.view;
    if view.voters.len() <= context.minimum_voters {
        return None;
    }
    let is_removable = |voter: &&Identity| view.is_voter(**voter) && !remaining.contains(voter);
    let removed = context.removable.iter().find(is_removable)?;
    let mut voters = view.voters.clone();
    voters.retain(|voter| voter.identity != *removed);
    finish_view(context, voters, remaining.to_vec(), Vec::new())
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
    let replaceable = |identity: &Identity| !chain.contains(identity);
    let unreachable = context
        .unreachable
        .iter()
        .find(|identity| replaceable(identity));
    let unreachable = unreachable.and_then(|unreachable| {
        voters
            .iter()
            .position(|voter| voter.identity == *unreachable)
    });
    match same_address.or(unreachable) {
        Some(position) if chain.contains(&voters[position].identity) => false,
        Some(position) => {
            voters[position] = member;
            true
        }
        None if voters.len() < MAX_VOTERS => {
            voters.push(member);
            true
        }
        None => false,
    }
}

/// The view, if its chain is a majority of its voters.
fn finish_view(
    context: &ViewChangeContext,
    voters: Vec<Member>,
    chain: Vec<Identity>,
    joiners: Vec<Member>,
) -> Option<ViewChange> {
    if chain.len() < majority_of(voters.len()) {
        return None;
    }
    let view = View {
        epoch: context.view.epoch + 1,
        voters,
        chain,
    };
    Some(ViewChange { view, joiners })
}
