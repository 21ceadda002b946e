//! The state of a node that is head of the chain.

use std::collections::{BTreeSet, VecDeque};

use super::epoch_confirmation::EpochConfirmation;
use super::request_queue::{Origin, QueuedRequest};
use crate::document::ConfigurationDocument;
use crate::message::MessageBody;
use crate::state::{HistoryDigest, ReplicatedState};
use crate::time::Millis;
use crate::view::Identity;

/// Least throughput of a disk or link that is given time for a large configuration.
pub(super) const BYTES_PER_MS: Millis = 4096;

/// What a head keeps beside its state, from the start of its service until the epoch ends.
#[derive(Debug)]
pub(super) struct Head {
    /// Its state without the entry under way.
    pub(super) base: ReplicatedState,
    /// Entries of this epoch in `base`.
    pub(super) index: u64,
    /// Members that have been brought to `base` in this epoch.
    pub(super) synchronised: BTreeSet<Identity>,
    /// All are: `base` is committed.
    pub(super) established: bool,
    pub(super) activated_at: Millis,
    pub(super) in_flight: Option<InFlight>,
    pub(super) queue: VecDeque<QueuedRequest>,
    pub(super) confirmation: EpochConfirmation,
    pub(super) last_resend_at: Millis,
}

/// An entry that isn't known to be stored by the whole chain.
#[derive(Debug)]
pub(super) struct InFlight {
    pub(super) index: u64,
    pub(super) previous: HistoryDigest,
    pub(super) document: ConfigurationDocument,
    pub(super) state: ReplicatedState,
    pub(super) origin: Origin,
    pub(super) started_at: Millis,
    /// When it is sent directly to those that haven't confirmed it; the pauses grow.
    pub(super) resend_at: Millis,
    pub(super) stored_by: BTreeSet<Identity>,
}

impl InFlight {
    /// Time beyond the usual that a large configuration may take at each replica, in milliseconds.
    pub(super) fn size_allowance(&self) -> Millis {
        self.document.body.len() as Millis / BYTES_PER_MS
    }

    pub(super) fn append(&self, relay: bool) -> MessageBody {
        MessageBody::Append {
            index: self.index,
            previous: self.previous,
            document: self.document.clone(),
            relay,
        }
    }
}
