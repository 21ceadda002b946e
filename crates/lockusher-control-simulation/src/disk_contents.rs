//! State that results from the durable records of a simulated disk.

use std::collections::BTreeMap;

use lockusher_control::{
    Digest, DurableRecord, DurableState, Identity, View, acceptor::AcceptorState,
    message::ProposalNumber, state::HistoryDigest,
};

use crate::violation::DurablePart;

/// State that results from the records of one disk.
#[derive(Clone, Debug, Default)]
pub struct DiskContents {
    identity: Option<Identity>,
    view: Option<View>,
    /// Acceptor state by epoch.
    acceptor: BTreeMap<u64, AcceptorState>,
    durable_state: DurableState,
}

impl DiskContents {
    /// Applies these records in order to an empty state.
    pub fn from_records(records: &[DurableRecord]) -> Self {
        let mut contents = Self::default();
        records.iter().for_each(|record| contents.apply(record));
        contents
    }

    /// Applies a record that has become durable.
    pub fn apply(&mut self, record: &DurableRecord) {
        match record {
            DurableRecord::Identity { identity, .. } => self.identity = Some(*identity),
            DurableRecord::View(view) => {
                if self.epoch() < view.epoch {
                    self.view = Some(view.clone());
                }
            }
            DurableRecord::Promise { epoch, .. }
            | DurableRecord::Accept { epoch, .. }
            | DurableRecord::Seal { epoch } => {
                self.acceptor.entry(*epoch).or_default().recover(record);
            }
            DurableRecord::Entry { .. }
            | DurableRecord::State { .. }
            | DurableRecord::PositionAdvanced { .. } => {
                self.durable_state.recover(record.clone());
            }
        }
    }

    /// Identity of the replica; `None` before the first record.
    pub fn identity(&self) -> Option<Identity> {
        self.identity
    }

    /// Epoch of the newest view; 0 without a view.
    pub fn epoch(&self) -> u64 {
        self.view.as_ref().map_or(0, |view| view.epoch)
    }

    /// The highest proposal number promised for the successor of an epoch.
    pub fn promised(&self, epoch: u64) -> ProposalNumber {
        self.acceptor
            .get(&epoch)
            .map_or_else(ProposalNumber::default, |acceptor| acceptor.promised)
    }

    /// The highest proposal number accepted for the successor of an epoch.
    pub fn accepted(&self, epoch: u64) -> Option<ProposalNumber> {
        self.acceptor
            .get(&epoch)?
            .accepted
            .as_ref()
            .map(|accepted| accepted.proposal_number)
    }

    /// Whether the epoch is sealed: no further entry of it may be appended.
    pub fn is_sealed(&self, epoch: u64) -> bool {
        self.acceptor
            .get(&epoch)
            .is_some_and(|acceptor| acceptor.sealed)
    }

    /// Digest of the replicated state and its history.
    pub fn history_digest(&self) -> HistoryDigest {
        self.durable_state.state.history_digest()
    }

    /// Whether the request with this digest has been applied to the state.
    pub fn has_applied(&self, digest: Digest) -> bool {
        self.durable_state.state.has_applied(digest)
    }

    /// The first part that is missing or older in `other`, which should have the same contents.
    pub fn first_missing_in(&self, other: &DiskContents) -> Option<DurablePart> {
        let epoch = self.epoch();
        if self.identity != other.identity {
            Some(DurablePart::Identity)
        } else if epoch > other.epoch() {
            Some(DurablePart::View)
        } else if self.history_digest() != other.history_digest() {
            Some(DurablePart::State)
        } else if epoch == other.epoch() && self.promised(epoch) > other.promised(epoch) {
            Some(DurablePart::Promise)
        } else if epoch == other.epoch() && self.accepted(epoch) > other.accepted(epoch) {
            Some(DurablePart::Acceptance)
        } else if epoch == other.epoch() && self.is_sealed(epoch) && !other.is_sealed(epoch) {
            Some(DurablePart::Seal)
        } else {
            None
        }
    }
}
