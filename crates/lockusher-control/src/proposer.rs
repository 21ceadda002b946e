//! The proposer of the agreement on the successor of one epoch: one attempt under one proposal number.
//!
//! Single-decree Paxos (Lamport, "Paxos Made Simple"). Owned by the replica's view proposal, which sends the messages.
//! Invariant: once a majority has responded to the prepare, the view to accept is the one accepted under the highest
//! number among the responses, if any.

use std::collections::{BTreeMap, BTreeSet};

use crate::proposal::{AcceptedView, ProposalNumber};
use crate::view::{Identity, View};

/// One attempt. Messages of other proposal numbers are ignored; responses may be duplicated and reordered.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Proposer {
    /// Proposal number of all messages of this attempt.
    proposal_number: ProposalNumber,
    /// View that is proposed unless a voter has accepted another one.
    preferred_view: View,
    /// Number of voters whose responses make a majority.
    majority: usize,
    /// Responses to the prepare, by voter, each with the accepted view that it reports.
    prepare_responses: BTreeMap<Identity, Option<AcceptedView>>,
    /// View that the voters are asked to accept, once a majority has promised.
    proposed: Option<View>,
    /// Voters that have accepted `proposed`.
    accept_responses: BTreeSet<Identity>,
}

impl Proposer {
    /// An attempt that needs the responses of `majority` voters.
    pub fn new(proposal_number: ProposalNumber, preferred_view: View, majority: usize) -> Self {
        Self {
            proposal_number,
            preferred_view,
            majority,
            prepare_responses: BTreeMap::new(),
            proposed: None,
            accept_responses: BTreeSet::new(),
        }
    }

    /// The proposal number of all messages of this attempt.
    pub fn proposal_number(&self) -> ProposalNumber {
        self.proposal_number
    }

    /// The view that voters are asked to accept; `None` while prepare responses are missing.
    pub fn proposed(&self) -> Option<&View> {
        self.proposed.as_ref()
    }

    /// Voters that have responded in the current phase.
    pub fn responders(&self) -> BTreeSet<Identity> {
        match self.proposed {
            None => self.prepare_responses.keys().copied().collect(),
            Some(_) => self.accept_responses.clone(),
        }
    }

    /// Handles a prepare response. Returns `true` if it completes a majority, so that [`Proposer::proposed`] is to be
    /// sent: the view accepted under the highest proposal number among the responses, else the preferred one.
    pub fn on_prepare_response(
        &mut self,
        voter: Identity,
        proposal_number: ProposalNumber,
        accepted: Option<AcceptedView>,
    ) -> bool {
        if proposal_number != self.proposal_number || self.proposed.is_some() {
            return false;
        }
        self.prepare_responses.insert(voter, accepted);
        if self.prepare_responses.len() < self.majority {
            return false;
        }
        let accepted = self
            .prepare_responses
            .values()
            .flatten()
            .max_by_key(|accepted| accepted.proposal_number);
        self.proposed = Some(accepted.map_or_else(
            || self.preferred_view.clone(),
            |accepted| accepted.view.clone(),
        ));
        true
    }

    /// Handles an accept response. Returns the agreed view once a majority has accepted it.
    pub fn on_accept_response(
        &mut self,
        voter: Identity,
        proposal_number: ProposalNumber,
    ) -> Option<&View> {
        let proposed = self
            .proposed
            .as_ref()
            .filter(|_| proposal_number == self.proposal_number)?;
        self.accept_responses.insert(voter);
        (self.accept_responses.len() >= self.majority).then_some(proposed)
    }
}
