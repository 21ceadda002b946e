//! Tracking of the committed state, at the head and at the other nodes.
//!
//! Invariant: a state is considered committed only if every member of the chain has stored it; the versions reported to
//! the driver only increase.

use super::bug_injection::bug_injected;
use super::effect::Effect;
use super::state_machine::Replica;
use crate::document::ConfigurationDocument;
use crate::message::{Payload, Transfer};
use crate::position::Position;
use crate::state::{HistoryDigest, ReplicatedState};
use crate::view::Identity;

impl Replica {
    /// History digest of the committed state, if this node is an established head.
    pub(super) fn committed_history_digest(&self) -> Option<HistoryDigest> {
        self.head
            .as_ref()
            .filter(|head| head.established)
            .map(|head| head.base.history_digest())
    }

    /// Position of the committed state, if this node is an established head.
    pub(super) fn committed_position(&self) -> Option<Position> {
        let head = self.head.as_ref().filter(|head| head.established)?;
        Some(Position {
            epoch: self.epoch(),
            index: head.index,
        })
    }

    /// The committed state by which requests are decided; `None` unless this node serves as head.
    pub(super) fn serving_state(&self) -> Option<&ReplicatedState> {
        let head = self.head.as_ref().filter(|head| head.established)?;
        let is_unsealed =
            !self.acceptor.sealed || bug_injected!(self.bug_injection, ServeAfterSeal);
        is_unsealed.then_some(&head.base)
    }

    /// Whether this node may end the epoch to add members: it is an established head and isn't shutting down.
    pub(super) fn may_add_members(&self) -> bool {
        self.head.as_ref().is_some_and(|head| head.established) && !self.shutting_down
    }

    /// Handles the head's announcement of the committed position. The states are compared by digest, since a restarted
    /// member may have the committed state although its disk records only the position at which it was written.
    pub(super) fn on_committed(
        &mut self,
        sender: Identity,
        index: u64,
        history_digest: HistoryDigest,
    ) {
        let same_state = self.durable_state.pending.is_none()
            && self.durable_state.state.history_digest() == history_digest;
        if !self.is_view_head(sender)
            || !(same_state || bug_injected!(self.bug_injection, CommittedUnchecked))
        {
            return;
        }
        let committed = Position {
            epoch: self.epoch(),
            index,
        };
        if self.may_replicate() {
            self.durable_state.position = committed;
        }
        if self.durable_state.position == committed {
            self.mark_durable_state_committed();
        }
    }

    /// Records a configuration that the head transfers to a learner as committed, even if it can't be written here.
    pub(super) fn record_learned_commit(&mut self, transfer: &Transfer) {
        let document = match &transfer.payload {
            Payload::Empty => None,
            Payload::LatestDocument { document, .. } => Some(document),
            Payload::FullSnapshot(state) => state.document(),
        };
        if let Some(document) = document.cloned() {
            self.record_committed(document);
        }
    }

    /// Marks the whole durable state of this node as committed.
    pub(super) fn mark_durable_state_committed(&mut self) {
        self.known_committed = self.durable_state.position;
        if let Some(document) = self.durable_state.state.document().cloned() {
            self.record_committed(document);
        }
    }

    /// Reports a committed configuration to the driver, unless the same or a newer one was reported before.
    fn record_committed(&mut self, document: ConfigurationDocument) {
        let known_version = self
            .committed_document
            .as_ref()
            .map_or(0, |committed| committed.version);
        if document.version > known_version {
            self.committed_document = Some(document.clone());
            self.effects.push(Effect::Committed(document));
        }
    }
}
