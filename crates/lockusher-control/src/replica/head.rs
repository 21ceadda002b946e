//! The state of a node that serves as head of the chain, from the start of its service until the epoch ends.
//!
//! Invariant: at most one entry is in flight; `base` is committed once `established`.

use std::collections::{BTreeSet, VecDeque};

use super::epoch_confirmation::EpochConfirmation;
use super::request_queue::{Origin, QueuedRequest};
use crate::document::ConfigurationDocument;
use crate::message::MessageBody;
use crate::state::{HistoryDigest, ReplicatedState};
use crate::time::Millis;
use crate::view::Identity;

/// What a head tracks beside its durable state.
#[derive(Debug)]
pub(super) struct Head {
    /// Its state without the entry in flight.
    pub(super) base: ReplicatedState,
    /// Entries of this epoch in `base`.
    pub(super) index: u64,
    /// Members that have been brought to `base` in this epoch.
    pub(super) synchronised: BTreeSet<Identity>,
    /// All members of the chain are synchronised: `base` is committed.
    pub(super) established: bool,
    /// Start of the service.
    pub(super) activated_at: Millis,
    /// The entry that isn't committed yet.
    pub(super) in_flight: Option<InFlight>,
    /// Requests that aren't decided, in the order of their arrival.
    pub(super) queue: VecDeque<QueuedRequest>,
    /// Confirmations of the epoch, for reads and refusals.
    pub(super) confirmation: EpochConfirmation,
    /// When unanswered messages were last retransmitted.
    pub(super) last_resend_at: Millis,
}

/// An entry that isn't known to be stored by the whole chain.
#[derive(Debug)]
pub(super) struct InFlight {
    /// Its index in the epoch.
    pub(super) index: u64,
    /// History digest of the state that it follows.
    pub(super) previous: HistoryDigest,
    /// Its configuration.
    pub(super) document: ConfigurationDocument,
    /// The state that contains it.
    pub(super) state: ReplicatedState,
    /// Who is answered once it is committed.
    pub(super) origin: Origin,
    /// When it was appended here, then when it was sent to the successor.
    pub(super) started_at: Millis,
    /// When it is sent directly to those that haven't stored it; the delays grow.
    pub(super) resend_at: Millis,
    /// Members of the chain that have stored it.
    pub(super) stored_by: BTreeSet<Identity>,
}

impl InFlight {
    /// The message that carries the entry.
    pub(super) fn append(&self, relay: bool) -> MessageBody {
        MessageBody::Append {
            index: self.index,
            previous: self.previous,
            document: self.document.clone(),
            relay,
        }
    }
}
