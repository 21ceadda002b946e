//! State of a node that serves as head of the chain, from its activation until the epoch ends.
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

/// State of a head in addition to its durable state.
#[derive(Debug)]
pub(super) struct Head {
    /// The head's state without the entry in flight.
    pub(super) base: ReplicatedState,
    /// Number of entries of this epoch in `base`.
    pub(super) index: u64,
    /// Members known to have stored `base` in this epoch.
    pub(super) synchronised: BTreeSet<Identity>,
    /// Whether all members of the chain are synchronised, so that `base` is committed.
    pub(super) established: bool,
    /// When this node was activated as head.
    pub(super) activated_at: Millis,
    /// The entry that isn't committed yet.
    pub(super) in_flight: Option<InFlight>,
    /// Undecided requests, in order of arrival.
    pub(super) queue: VecDeque<QueuedRequest>,
    /// Confirmations of the epoch, for reads and refusals.
    pub(super) confirmation: EpochConfirmation,
    /// When unanswered messages were last retransmitted.
    pub(super) last_resend_at: Millis,
}

/// An entry that isn't known to be stored by the whole chain.
#[derive(Debug)]
pub(super) struct InFlight {
    /// Index of the entry in the epoch.
    pub(super) index: u64,
    /// History digest of the state that it follows.
    pub(super) previous: HistoryDigest,
    /// The configuration.
    pub(super) document: ConfigurationDocument,
    /// The state after the entry.
    pub(super) state: ReplicatedState,
    /// Where the reply is sent once the entry is committed.
    pub(super) origin: Origin,
    /// When the entry was appended at the head; once it is durable there, when it was sent to the successor.
    pub(super) started_at: Millis,
    /// When the entry is next sent directly to members that haven't stored it; the delay grows with the time in flight.
    pub(super) resend_at: Millis,
    /// Members of the chain that have stored the entry.
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
