//! The proposer's side of the agreement on the successor of one epoch: one attempt under one proposal number.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    Identity, View,
    message::{AcceptedView, ProposalNumber},
};

/// One attempt. Messages of other proposal numbers are ignored; answers may come twice and in any order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Attempt {
    proposal_number: ProposalNumber,
    /// View that is proposed unless a voter has accepted another one.
    wanted: View,
    /// Voters whose promises or acceptances make a majority.
    majority: usize,
    promises: BTreeMap<Identity, Option<AcceptedView>>,
    /// View that the voters are asked to accept, once a majority has promised.
    proposed: Option<View>,
    accepted_by: BTreeSet<Identity>,
}

impl Attempt {
    /// An attempt that waits for promises of this many voters.
    pub fn new(proposal_number: ProposalNumber, wanted: View, majority: usize) -> Self {
        Self {
            proposal_number,
            wanted,
            majority,
            promises: BTreeMap::new(),
            proposed: None,
            accepted_by: BTreeSet::new(),
        }
    }

    /// The proposal number of all messages of this attempt.
    pub fn proposal_number(&self) -> ProposalNumber {
        self.proposal_number
    }

    /// The view that voters are asked to accept; `None` while promises are missing.
    pub fn proposed(&self) -> Option<&View> {
        self.proposed.as_ref()
    }

    /// Voters that have answered in the present phase.
    pub fn answered(&self) -> BTreeSet<Identity> {
        match self.proposed {
            None => self.promises.keys().copied().collect(),
            Some(_) => self.accepted_by.clone(),
        }
    }

    /// A voter promises. `true` when this completes a majority, so that [`Attempt::proposed`] is to be sent: the view
    /// accepted under the highest proposal number among the promises, else the one wanted.
    pub fn on_prepare_response(
        &mut self,
        voter: Identity,
        proposal_number: ProposalNumber,
        accepted: Option<AcceptedView>,
    ) -> bool {
        if proposal_number != self.proposal_number || self.proposed.is_some() {
            return false;
        }
        self.promises.insert(voter, accepted);
        if self.promises.len() < self.majority {
            return false;
        }
        let accepted = self.promises.values().flatten().max_by_key(|accepted| accepted.proposal_number);
        self.proposed = Some(accepted.map_or_else(|| self.wanted.clone(), |accepted| accepted.view.clone()));
        true
    }

    /// A voter accepts. The agreed view once a majority has accepted it.
    pub fn on_accept_response(&mut self, voter: Identity, proposal_number: ProposalNumber) -> Option<&View> {
        let proposed = self.proposed.as_ref().filter(|_| proposal_number == self.proposal_number)?;
        self.accepted_by.insert(voter);
        (self.accepted_by.len() >= self.majority).then_some(proposed)
    }
}
