//! What each node owes by what it has told others or made durable, whatever the operators notice of it.
//!
//! A broken obligation is a mistake of the program even in a run in which another guard prevents the harm. It shows long
//! before the rare sequence of faults in which an operator would be told something wrong.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use lockusher_control::{
    Digest, DurableRecord, Identity, Message, Position, View,
    message::{MessageBody, ProposalNumber, TransferPurpose},
    state::HistoryDigest,
};

use crate::disk_contents::DiskContents;

/// All that was told and decided.
#[derive(Debug, Default)]
pub struct ProtocolInvariants {
    sent_by_disk: BTreeMap<(Identity, u64), SentInEpoch>,
    /// Views that a majority was found to have accepted, by epoch.
    views: BTreeMap<u64, View>,
    /// Views that voters were asked to accept, by the epoch that they follow.
    proposed_views: BTreeMap<(u64, ProposalNumber), View>,
    /// Disks that hold an acceptance, likewise.
    acceptances: BTreeMap<(u64, ProposalNumber), BTreeSet<Identity>>,
    /// Entries, by epoch and index.
    entries: BTreeMap<(u64, u64), Digest>,
}

/// What the owner of a disk has told in an epoch. A vote that is durable and wasn't told binds nobody: a disk that refuses
/// writes may hold one of an epoch whose view it lacks.
#[derive(Debug, Default)]
struct SentInEpoch {
    /// Ballots promised, each with that of the view which it reported as accepted before.
    promises: BTreeMap<ProposalNumber, Option<ProposalNumber>>,
    accepted: BTreeSet<ProposalNumber>,
    /// History digest of the sealed state that it handed over.
    handed_over: Option<HistoryDigest>,
}

/// A broken obligation, in words.
pub type InvariantViolation = String;

impl ProtocolInvariants {
    /// A node sends a message while its disk holds this.
    pub fn sent(&mut self, message: &Message, disk: &DiskContents) -> Result<(), InvariantViolation> {
        let (sender, epoch) = (message.sender, message.epoch);
        match &message.body {
            MessageBody::PrepareResponse { proposal_number, accepted } => {
                let reported = accepted.as_ref().map(|accepted| accepted.proposal_number);
                self.check_promise(sender, epoch, *proposal_number, reported, disk)
            }
            MessageBody::Accept { proposal_number, view } => {
                self.proposed_views.insert((epoch, *proposal_number), view.clone());
                Ok(())
            }
            MessageBody::AcceptResponse { proposal_number } => {
                self.accepted(sender, epoch, *proposal_number, disk)
            }
            MessageBody::EpochConfirmed { .. } => self.check_confirmation(sender, epoch),
            MessageBody::Transfer(transfer) if transfer.purpose == TransferPurpose::Join => {
                self.handed_over(sender, epoch, transfer.history_digest, disk)
            }
            MessageBody::TransferResponse(answer)
                if answer.stored && answer.history_digest != disk.history_digest() =>
            {
                Err(format!("{sender} says that it holds a state that isn't on its disk"))
            }
            MessageBody::Append { index, document, .. } => {
                self.check_entry_sent(epoch, *index, document.request, disk)
            }
            MessageBody::AppendStored { index } | MessageBody::AppendAcknowledged { index } => {
                self.check_entry_stored(sender, epoch, *index, disk)
            }
            _ => Ok(()),
        }
    }

    fn sent_in_epoch(&mut self, sender: Identity, epoch: u64) -> &mut SentInEpoch {
        self.sent_by_disk.entry((sender, epoch)).or_default()
    }

    /// A promise reports whatever was accepted under lower proposal numbers. Messages may be late, so that it doesn't matter which
    /// of the two was told first.
    fn check_promise(
        &mut self,
        sender: Identity,
        epoch: u64,
        proposal_number: ProposalNumber,
        reported: Option<ProposalNumber>,
        disk: &DiskContents,
    ) -> Result<(), InvariantViolation> {
        let sent_in_epoch = self.sent_in_epoch(sender, epoch);
        sent_in_epoch.promises.insert(proposal_number, reported);
        let accepted_below = sent_in_epoch.accepted.range(..proposal_number).next_back().copied();
        if accepted_below > reported {
            return Err(format!("{sender} conceals in epoch {epoch} that it accepted {accepted_below:?}"));
        }
        if disk.promised(epoch) < proposal_number {
            return Err(format!("{sender} answers a promise in epoch {epoch} that isn't on its disk"));
        }
        Ok(())
    }

    fn accepted(
        &mut self,
        sender: Identity,
        epoch: u64,
        proposal_number: ProposalNumber,
        disk: &DiskContents,
    ) -> Result<(), InvariantViolation> {
        self.acceptances.entry((epoch, proposal_number)).or_default().insert(sender);
        let sent_in_epoch = self.sent_in_epoch(sender, epoch);
        sent_in_epoch.accepted.insert(proposal_number);
        let higher = (Bound::Excluded(proposal_number), Bound::Unbounded);
        let broken =
            sent_in_epoch.promises.range(higher).find(|(_, reported)| **reported < Some(proposal_number));
        if let Some((check_promise, _)) = broken {
            return Err(format!(
                "{sender} accepts {proposal_number:?} in epoch {epoch} after it promised {check_promise:?}"
            ));
        }
        if disk.accepted(epoch) < Some(proposal_number) {
            return Err(format!("{sender} answers an acceptance in epoch {epoch} that isn't on its disk"));
        }
        Ok(())
    }

    fn check_confirmation(&mut self, sender: Identity, epoch: u64) -> Result<(), InvariantViolation> {
        if self.sent_in_epoch(sender, epoch).accepted.is_empty() {
            Ok(())
        } else {
            Err(format!("{sender} confirms epoch {epoch}, although it accepted a successor"))
        }
    }

    fn handed_over(
        &mut self,
        sender: Identity,
        epoch: u64,
        history_digest: HistoryDigest,
        disk: &DiskContents,
    ) -> Result<(), InvariantViolation> {
        if !disk.is_sealed(epoch) {
            return Err(format!("{sender} hands over its state in epoch {epoch}; no seal is on its disk"));
        }
        if history_digest != disk.history_digest() {
            return Err(format!("{sender} hands over a state that isn't on its disk"));
        }
        match self.sent_in_epoch(sender, epoch).handed_over.replace(history_digest) {
            Some(former) if former != history_digest => {
                Err(format!("{sender} hands over two states of epoch {epoch}"))
            }
            _ => Ok(()),
        }
    }

    /// An entry goes down the chain: the sender holds it.
    fn check_entry_sent(
        &mut self,
        epoch: u64,
        index: u64,
        digest: Digest,
        disk: &DiskContents,
    ) -> Result<(), InvariantViolation> {
        let former = *self.entries.entry((epoch, index)).or_insert(digest);
        if former != digest {
            return Err(format!("two entries have the index {index} in epoch {epoch}"));
        }
        if !disk.has_taken(digest) {
            return Err(format!("entry {index} of epoch {epoch} is passed on before it is durable"));
        }
        Ok(())
    }

    fn check_entry_stored(
        &mut self,
        sender: Identity,
        epoch: u64,
        index: u64,
        disk: &DiskContents,
    ) -> Result<(), InvariantViolation> {
        match self.entries.get(&(epoch, index)) {
            Some(digest) if !disk.has_taken(*digest) => Err(format!(
                "{sender} says that it holds entry {index} of epoch {epoch}, which isn't on its disk"
            )),
            _ => Ok(()),
        }
    }

    /// Records of this disk have become durable.
    pub fn written(
        &mut self,
        identity: Identity,
        records: &[DurableRecord],
        disk: &DiskContents,
    ) -> Result<(), InvariantViolation> {
        for record in records {
            match record {
                DurableRecord::Accept { epoch, proposal_number, view } => {
                    self.proposed_views.entry((*epoch, *proposal_number)).or_insert_with(|| view.clone());
                    self.acceptances.entry((*epoch, *proposal_number)).or_default().insert(identity);
                }
                DurableRecord::Entry { position, .. } | DurableRecord::State { position, .. } => {
                    self.check_seal(identity, *position, disk)?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn check_seal(
        &mut self,
        identity: Identity,
        position: Position,
        disk: &DiskContents,
    ) -> Result<(), InvariantViolation> {
        let epoch = position.epoch;
        match self.sent_in_epoch(identity, epoch).handed_over {
            Some(history_digest) if history_digest != disk.history_digest() => {
                Err(format!("{identity} goes on in epoch {epoch} after it handed over its state"))
            }
            _ => Ok(()),
        }
    }

    /// A node adopts a view. Whether it is the first to do so, or what is wrong with the view.
    pub fn adopted(&mut self, view: &View, minimum_voters: usize) -> Result<bool, InvariantViolation> {
        if let Some(known) = self.views.get(&view.epoch) {
            return if known == view {
                Ok(false)
            } else {
                Err(format!("two views have epoch {}", view.epoch))
            };
        }
        self.views.insert(view.epoch, view.clone());
        if let Some(former) = self.views.get(&(view.epoch - 1)) {
            check_succession(former, view, minimum_voters)?;
            self.check_majority(former, view)?;
        }
        Ok(true)
    }

    fn check_majority(&self, former: &View, view: &View) -> Result<(), InvariantViolation> {
        let of_this = self
            .proposed_views
            .iter()
            .filter(|((epoch, _), proposed_views)| *epoch == former.epoch && *proposed_views == view);
        let is_accepted = of_this.map(|(key, _)| self.acceptances.get(key)).any(|accepted_by| {
            let voters = accepted_by.into_iter().flatten().filter(|identity| former.is_voter(**identity));
            voters.count() >= former.majority()
        });
        if is_accepted { Ok(()) } else { Err(format!("view {} wasn't accepted by a majority", view.epoch)) }
    }

    /// The newest view that was adopted.
    pub fn newest_view(&self) -> Option<&View> {
        self.views.values().next_back()
    }
}

/// The rules that each view keeps towards the one before it.
fn check_succession(former: &View, view: &View, minimum_voters: usize) -> Result<(), InvariantViolation> {
    let epoch = view.epoch;
    let added = view.voters.iter().filter(|voter| !former.is_voter(voter.identity)).count();
    let removed = former.voters.iter().filter(|voter| !view.is_voter(voter.identity)).count();
    let retained: Vec<Identity> =
        view.chain.iter().copied().filter(|member| former.in_chain(*member)).collect();
    let in_order: Vec<Identity> =
        former.chain.iter().copied().filter(|member| view.in_chain(*member)).collect();
    if added > 1 || removed > 1 {
        Err(format!("view {epoch} changes more than one voter"))
    } else if view.chain.len() < view.majority() {
        Err(format!("the chain of view {epoch} is less than a majority"))
    } else if retained.is_empty() {
        Err(format!("view {epoch} keeps no member of the chain"))
    } else if retained != in_order || view.chain[..retained.len()] != retained[..] {
        Err(format!("view {epoch} changes the order of the chain"))
    } else if !view.chain.iter().all(|member| view.is_voter(*member)) {
        Err(format!("view {epoch} has a member of the chain that is no voter"))
    } else if view.voters.len() < former.voters.len().min(minimum_voters) {
        Err(format!("view {epoch} has {} voters only", view.voters.len()))
    } else {
        Ok(())
    }
}
