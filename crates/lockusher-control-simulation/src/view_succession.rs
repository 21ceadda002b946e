//! Rules that each view must satisfy relative to the previous one, so that their quorums always share enough disks.

use lockusher_control::{Identity, View};

use crate::violation::InvariantViolation;

/// Checks the view that follows `previous`. Voters may be removed only down to `minimum_voters`.
///
/// # Errors
///
/// The first rule that the view violates.
pub fn check_succession(
    previous: &View,
    view: &View,
    minimum_voters: usize,
) -> Result<(), InvariantViolation> {
    let epoch = view.epoch;
    if changes_several_voters(previous, view) {
        Err(InvariantViolation::SeveralVotersChanged { epoch })
    } else if view.chain.len() < view.majority() {
        Err(InvariantViolation::ChainBelowMajority { epoch })
    } else if !view.chain.iter().any(|member| previous.in_chain(*member)) {
        Err(InvariantViolation::NoMemberRetained { epoch })
    } else if !retains_chain_order(previous, view) {
        Err(InvariantViolation::ChainReordered { epoch })
    } else if !view.chain.iter().all(|member| view.is_voter(*member)) {
        Err(InvariantViolation::MemberNotVoter { epoch })
    } else if view.voters.len() < previous.voters.len().min(minimum_voters) {
        Err(InvariantViolation::TooFewVoters {
            epoch,
            voters: view.voters.len(),
        })
    } else {
        Ok(())
    }
}

/// Whether more than one voter is added or more than one is removed.
fn changes_several_voters(previous: &View, view: &View) -> bool {
    let added = view
        .voters
        .iter()
        .filter(|voter| !previous.is_voter(voter.identity));
    let removed = previous
        .voters
        .iter()
        .filter(|voter| !view.is_voter(voter.identity));
    added.count() > 1 || removed.count() > 1
}

/// Whether the remaining members are at the front of the chain, in their previous order.
fn retains_chain_order(previous: &View, view: &View) -> bool {
    let in_previous_order: Vec<Identity> = previous
        .chain
        .iter()
        .copied()
        .filter(|member| view.in_chain(*member))
        .collect();
    view.chain.starts_with(&in_previous_order)
}
