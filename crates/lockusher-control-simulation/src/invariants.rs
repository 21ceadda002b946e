//! Invariants of the protocol: which messages a node may send and which records it may store, given its earlier ones.
//!
//! A violation is a bug even in a run in which another guard prevents its consequences. It is detected long before the rare
//! sequence of faults in which an operator would observe it. The rules of the agreement are those of an acceptor of
//! single-decree Paxos (Lamport, "Paxos Made Simple", 2001), those of the chain are chain replication's (van Renesse and
//! Schneider, OSDI 2004), with reconfiguration by sealing the previous chain.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use lockusher_control::{
    Digest, DurableRecord, Identity, Message, Position, View,
    message::{MessageBody, ProposalNumber, TransferPurpose},
    state::HistoryDigest,
};

use crate::{
    disk_contents::DiskContents, view_succession::check_succession, violation::InvariantViolation,
};

/// History of messages, votes and views, as far as the invariants depend on it.
#[derive(Debug, Default)]
pub struct ProtocolInvariants {
    /// Votes and transfers sent, by the identity on the disk and the epoch.
    sent_by_disk: BTreeMap<(Identity, u64), SentInEpoch>,
    /// Views that nodes have adopted, by epoch.
    views: BTreeMap<u64, View>,
    /// Views proposed to voters, by the epoch that they follow and the proposal number.
    proposed_views: BTreeMap<(u64, ProposalNumber), View>,
    /// Voters that accepted a proposal, by the same key.
    acceptances: BTreeMap<(u64, ProposalNumber), BTreeSet<Identity>>,
    /// Digests of the entries sent, by epoch and index.
    entries: BTreeMap<(u64, u64), Digest>,
}

/// Votes and transfers that a replica has sent in an epoch. A promise or acceptance that is durable but wasn't sent has no
/// effect: a disk that refuses writes may contain one of an epoch whose view it lacks.
#[derive(Debug, Default)]
struct SentInEpoch {
    /// Proposal numbers promised, each with the proposal number of the accepted view that the response reported.
    promises: BTreeMap<ProposalNumber, Option<ProposalNumber>>,
    /// Proposal numbers accepted.
    accepted: BTreeSet<ProposalNumber>,
    /// History digest of the sealed state that it transferred.
    transferred_state: Option<HistoryDigest>,
}

impl ProtocolInvariants {
    /// Checks a message that a node sends, given the contents of its disk.
    ///
    /// # Errors
    ///
    /// The invariant that the message violates.
    pub fn check_message(
        &mut self,
        message: &Message,
        disk: &DiskContents,
    ) -> Result<(), InvariantViolation> {
        let (sender, epoch) = (message.sender, message.epoch);
        match &message.body {
            MessageBody::PrepareResponse {
                proposal_number,
                accepted,
            } => {
                let reported = accepted.as_ref().map(|accepted| accepted.proposal_number);
                self.check_promise(sender, epoch, *proposal_number, reported, disk)
            }
            MessageBody::Accept {
                proposal_number,
                view,
            } => {
                self.proposed_views
                    .insert((epoch, *proposal_number), view.clone());
                Ok(())
            }
            MessageBody::AcceptResponse { proposal_number } => {
                self.check_acceptance(sender, epoch, *proposal_number, disk)
            }
            MessageBody::EpochConfirmed { .. } => self.check_confirmation(sender, epoch),
            MessageBody::Transfer(transfer) if transfer.purpose == TransferPurpose::Join => {
                self.check_join_transfer(sender, epoch, transfer.history_digest, disk)
            }
            MessageBody::TransferResponse(response)
                if response.stored && response.history_digest != disk.history_digest() =>
            {
                Err(InvariantViolation::TransferResponseNotDurable { member: sender })
            }
            MessageBody::Append {
                index, document, ..
            } => self.check_entry_sent(epoch, *index, document.request, disk),
            MessageBody::AppendStored { index } | MessageBody::AppendAcknowledged { index } => {
                self.check_entry_stored(sender, epoch, *index, disk)
            }
            _ => Ok(()),
        }
    }

    fn sent_in_epoch(&mut self, sender: Identity, epoch: u64) -> &mut SentInEpoch {
        self.sent_by_disk.entry((sender, epoch)).or_default()
    }

    /// A promise must report the highest acceptance under a lower proposal number, whichever of the two was sent first,
    /// since messages may be delayed.
    fn check_promise(
        &mut self,
        sender: Identity,
        epoch: u64,
        proposal_number: ProposalNumber,
        reported: Option<ProposalNumber>,
        disk: &DiskContents,
    ) -> Result<(), InvariantViolation> {
        let sent = self.sent_in_epoch(sender, epoch);
        sent.promises.insert(proposal_number, reported);
        let accepted_below = sent.accepted.range(..proposal_number).next_back().copied();
        if accepted_below > reported {
            return Err(InvariantViolation::AcceptanceNotReported {
                voter: sender,
                epoch,
                accepted: accepted_below,
            });
        }
        if disk.promised(epoch) < proposal_number {
            return Err(InvariantViolation::PromiseNotDurable {
                voter: sender,
                epoch,
            });
        }
        Ok(())
    }

    /// An acceptance must be durable, and no promise of a higher proposal number may have omitted it.
    fn check_acceptance(
        &mut self,
        sender: Identity,
        epoch: u64,
        proposal_number: ProposalNumber,
        disk: &DiskContents,
    ) -> Result<(), InvariantViolation> {
        self.acceptances
            .entry((epoch, proposal_number))
            .or_default()
            .insert(sender);
        let sent = self.sent_in_epoch(sender, epoch);
        sent.accepted.insert(proposal_number);
        let higher = (Bound::Excluded(proposal_number), Bound::Unbounded);
        let violated_promise = sent
            .promises
            .range(higher)
            .find(|(_, reported)| **reported < Some(proposal_number));
        if let Some((promised, _)) = violated_promise {
            return Err(InvariantViolation::AcceptedBelowPromise {
                voter: sender,
                epoch,
                accepted: proposal_number,
                promised: *promised,
            });
        }
        if disk.accepted(epoch) < Some(proposal_number) {
            return Err(InvariantViolation::AcceptanceNotDurable {
                voter: sender,
                epoch,
            });
        }
        Ok(())
    }

    /// A voter may confirm an epoch only before it accepts a successor view.
    fn check_confirmation(
        &mut self,
        sender: Identity,
        epoch: u64,
    ) -> Result<(), InvariantViolation> {
        if self.sent_in_epoch(sender, epoch).accepted.is_empty() {
            Ok(())
        } else {
            Err(InvariantViolation::ConfirmedAfterAcceptance {
                voter: sender,
                epoch,
            })
        }
    }

    /// A state is transferred to joiners after its seal is durable, and only one state per epoch.
    fn check_join_transfer(
        &mut self,
        sender: Identity,
        epoch: u64,
        history_digest: HistoryDigest,
        disk: &DiskContents,
    ) -> Result<(), InvariantViolation> {
        if !disk.is_sealed(epoch) {
            return Err(InvariantViolation::TransferBeforeSeal {
                member: sender,
                epoch,
            });
        }
        if history_digest != disk.history_digest() {
            return Err(InvariantViolation::TransferNotDurable { member: sender });
        }
        match self
            .sent_in_epoch(sender, epoch)
            .transferred_state
            .replace(history_digest)
        {
            Some(digest) if digest != history_digest => Err(InvariantViolation::TwoSealedStates {
                member: sender,
                epoch,
            }),
            _ => Ok(()),
        }
    }

    /// An entry must be durable at the sender before it is sent down the chain.
    fn check_entry_sent(
        &mut self,
        epoch: u64,
        index: u64,
        digest: Digest,
        disk: &DiskContents,
    ) -> Result<(), InvariantViolation> {
        let previous = *self.entries.entry((epoch, index)).or_insert(digest);
        if previous != digest {
            return Err(InvariantViolation::TwoEntries { index, epoch });
        }
        if !disk.has_applied(digest) {
            return Err(InvariantViolation::EntrySentBeforeDurable { index, epoch });
        }
        Ok(())
    }

    /// An entry must be durable before it is reported as stored or acknowledged.
    fn check_entry_stored(
        &mut self,
        sender: Identity,
        epoch: u64,
        index: u64,
        disk: &DiskContents,
    ) -> Result<(), InvariantViolation> {
        match self.entries.get(&(epoch, index)) {
            Some(digest) if !disk.has_applied(*digest) => {
                Err(InvariantViolation::AcknowledgedEntryNotDurable {
                    member: sender,
                    index,
                    epoch,
                })
            }
            _ => Ok(()),
        }
    }

    /// Checks records of a node that have become durable, given the contents of its disk.
    ///
    /// # Errors
    ///
    /// The invariant that a record violates.
    pub fn check_records(
        &mut self,
        identity: Identity,
        records: &[DurableRecord],
        disk: &DiskContents,
    ) -> Result<(), InvariantViolation> {
        for record in records {
            match record {
                DurableRecord::Accept {
                    epoch,
                    proposal_number,
                    view,
                } => {
                    self.proposed_views
                        .entry((*epoch, *proposal_number))
                        .or_insert_with(|| view.clone());
                    self.acceptances
                        .entry((*epoch, *proposal_number))
                        .or_default()
                        .insert(identity);
                }
                DurableRecord::Entry { position, .. } | DurableRecord::State { position, .. } => {
                    self.check_seal(identity, *position, disk)?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// The state must not change after it was transferred as the sealed state of the epoch.
    fn check_seal(
        &mut self,
        identity: Identity,
        position: Position,
        disk: &DiskContents,
    ) -> Result<(), InvariantViolation> {
        let epoch = position.epoch;
        match self.sent_in_epoch(identity, epoch).transferred_state {
            Some(history_digest) if history_digest != disk.history_digest() => {
                Err(InvariantViolation::WrittenAfterTransfer {
                    member: identity,
                    epoch,
                })
            }
            _ => Ok(()),
        }
    }

    /// Checks a view that a node adopts. Returns whether it is the first node to adopt it.
    ///
    /// # Errors
    ///
    /// The invariant that the view violates.
    pub fn check_adopted_view(
        &mut self,
        view: &View,
        minimum_voters: usize,
    ) -> Result<bool, InvariantViolation> {
        if let Some(recorded) = self.views.get(&view.epoch) {
            return if recorded == view {
                Ok(false)
            } else {
                Err(InvariantViolation::TwoViews { epoch: view.epoch })
            };
        }
        self.views.insert(view.epoch, view.clone());
        if let Some(previous) = self.views.get(&(view.epoch - 1)) {
            check_succession(previous, view, minimum_voters)?;
            self.check_majority(previous, view)?;
        }
        Ok(true)
    }

    /// A view must have been accepted by a majority of the previous view's voters under one proposal number.
    fn check_majority(&self, previous: &View, view: &View) -> Result<(), InvariantViolation> {
        let proposals = self
            .proposed_views
            .iter()
            .filter(|((epoch, _), proposed)| *epoch == previous.epoch && *proposed == view);
        let is_accepted = proposals
            .map(|(key, _)| self.acceptances.get(key))
            .any(|accepted_by| {
                let voters = accepted_by
                    .into_iter()
                    .flatten()
                    .filter(|identity| previous.is_voter(**identity));
                voters.count() >= previous.majority()
            });
        if is_accepted {
            Ok(())
        } else {
            Err(InvariantViolation::ViewNotAccepted { epoch: view.epoch })
        }
    }

    /// Whether this replica has transferred its sealed state of an epoch.
    pub fn has_transferred_state(&self, identity: Identity, epoch: u64) -> bool {
        let sent = self.sent_by_disk.get(&(identity, epoch));
        sent.is_some_and(|sent| sent.transferred_state.is_some())
    }

    /// The newest view that any node has adopted.
    pub fn newest_view(&self) -> Option<&View> {
        self.views.values().next_back()
    }
}
