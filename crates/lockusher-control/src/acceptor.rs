//! The acceptor of the agreement on the successor of one epoch: single-decree Paxos (Lamport, "Paxos Made Simple").
//!
//! Owned by the replica and reset with each installed view. Invariant: `promised` never decreases within an epoch, and
//! no view is accepted under a lower number. The replica answers only after the records of a change are durable.

use crate::durable_record::DurableRecord;
use crate::proposal::{AcceptedView, ProposalNumber};
use crate::view::View;

/// The promise and acceptance of a voter in its current epoch, and whether it has sealed the epoch.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct AcceptorState {
    /// No proposal number below this one is accepted.
    pub promised: ProposalNumber,
    /// The view accepted under the highest proposal number so far.
    pub accepted: Option<AcceptedView>,
    /// Whether the epoch is sealed: no further entry of it is accepted.
    pub sealed: bool,
    /// Whether the seal is durable.
    pub seal_durable: bool,
}

impl AcceptorState {
    /// Phase 1b: promises to accept no lower number.
    ///
    /// # Errors
    ///
    /// The number promised before, if it is higher than `proposal_number`.
    pub fn prepare(&mut self, proposal_number: ProposalNumber) -> Result<(), ProposalNumber> {
        if proposal_number < self.promised {
            return Err(self.promised);
        }
        self.promised = proposal_number;
        Ok(())
    }

    /// Phase 2b: accepts the view.
    ///
    /// # Errors
    ///
    /// The number promised before, if it is higher than `proposal_number`.
    pub fn accept(
        &mut self,
        proposal_number: ProposalNumber,
        view: View,
    ) -> Result<(), ProposalNumber> {
        self.prepare(proposal_number)?;
        self.accepted = Some(AcceptedView {
            proposal_number,
            view,
        });
        Ok(())
    }

    /// Merges a record of this epoch; the order of records doesn't matter.
    pub fn recover(&mut self, record: &DurableRecord) {
        match record {
            DurableRecord::Promise {
                proposal_number, ..
            } => {
                self.promised = self.promised.max(*proposal_number);
            }
            DurableRecord::Accept {
                proposal_number,
                view,
                ..
            } => {
                self.recover_accepted(*proposal_number, view);
            }
            DurableRecord::Seal { .. } => {
                self.sealed = true;
                self.seal_durable = true;
            }
            _ => {}
        }
    }

    /// Merges an acceptance; the highest number wins.
    fn recover_accepted(&mut self, proposal_number: ProposalNumber, view: &View) {
        self.promised = self.promised.max(proposal_number);
        if self
            .accepted
            .as_ref()
            .is_none_or(|accepted| accepted.proposal_number <= proposal_number)
        {
            self.accepted = Some(AcceptedView {
                proposal_number,
                view: view.clone(),
            });
        }
    }

    /// Records from which [`AcceptorState::recover`] restores this state.
    pub fn records(&self, epoch: u64) -> Vec<DurableRecord> {
        let mut records = vec![DurableRecord::Promise {
            epoch,
            proposal_number: self.promised,
        }];
        if let Some(AcceptedView {
            proposal_number,
            view,
        }) = &self.accepted
        {
            records.push(DurableRecord::Accept {
                epoch,
                proposal_number: *proposal_number,
                view: view.clone(),
            });
        }
        if self.sealed {
            records.push(DurableRecord::Seal { epoch });
        }
        records
    }
}
