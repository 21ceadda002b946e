//! What a simulated disk durably holds, added up from its records.

use std::collections::BTreeMap;

use lockusher_control::{
    Digest, DurableRecord, DurableState, Identity, View, acceptor::AcceptorState,
    message::ProposalNumber, state::HistoryDigest,
};

use crate::violation::DurablePart;

/// The sum of the records on one disk.
#[derive(Clone, Debug, Default)]
pub struct DiskContents {
    identity: Option<Identity>,
    view: Option<View>,
    acceptor: BTreeMap<u64, AcceptorState>,
    durable_state: DurableState,
}

impl DiskContents {
    /// The sum of these records, in their order.
    pub fn from_records(records: &[DurableRecord]) -> Self {
        let mut contents = Self::default();
        records.iter().for_each(|record| contents.apply(record));
        contents
    }

    /// A further record has become durable.
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

    /// Whose disk it is; none before the first record.
    pub fn identity(&self) -> Option<Identity> {
        self.identity
    }

    /// Epoch of the newest view; 0 if it holds none.
    pub fn epoch(&self) -> u64 {
        self.view.as_ref().map_or(0, |view| view.epoch)
    }

    /// The highest proposal number promised for the successor of an epoch.
    pub fn promised(&self, epoch: u64) -> ProposalNumber {
        self.acceptor
            .get(&epoch)
            .map_or_else(ProposalNumber::default, |acceptor| acceptor.promised)
    }

    /// The proposal number of the newest acceptance for the successor of an epoch.
    pub fn accepted(&self, epoch: u64) -> Option<ProposalNumber> {
        self.acceptor
            .get(&epoch)?
            .accepted
            .as_ref()
            .map(|accepted| accepted.proposal_number)
    }

    /// Whether no further entry of the epoch is taken.
    pub fn is_sealed(&self, epoch: u64) -> bool {
        self.acceptor
            .get(&epoch)
            .is_some_and(|acceptor| acceptor.sealed)
    }

    /// Identifies the state.
    pub fn history_digest(&self) -> HistoryDigest {
        self.durable_state.state.history_digest()
    }

    /// Whether the state contains this configuration or was built on it.
    pub fn has_applied(&self, digest: Digest) -> bool {
        self.durable_state.state.has_applied(digest)
    }

    /// The first part that is missing or older in another sum, which should be the same; none if there is none.
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
