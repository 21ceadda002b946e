//! What is known to be committed, at the head and at the other nodes.
//!
//! Invariant: a state is taken for committed only if every member of the chain has stored it; the versions reported to the
//! driver only rise.

use super::bug_injection::bug_injected;
use super::effect::Effect;
use super::state_machine::Replica;
use crate::document::ConfigurationDocument;
use crate::message::{Payload, Transfer};
use crate::position::Position;
use crate::state::{HistoryDigest, ReplicatedState};
use crate::view::Identity;

impl Replica {
    /// History digest of the committed state, if this node is head and knows it.
    pub(super) fn committed_history_digest(&self) -> Option<HistoryDigest> {
        self.head
            .as_ref()
            .filter(|head| head.established)
            .map(|head| head.base.history_digest())
    }

    /// Position of the committed state, if this node is head and knows it.
    pub(super) fn committed_position(&self) -> Option<Position> {
        let head = self.head.as_ref().filter(|head| head.established)?;
        Some(Position {
            epoch: self.epoch(),
            index: head.index,
        })
    }

    /// The committed state, to decide requests by.
    pub(super) fn serving_state(&self) -> Option<&ReplicatedState> {
        let head = self.head.as_ref().filter(|head| head.established)?;
        let open = !self.acceptor.sealed || bug_injected!(self.bug_injection, ServeAfterSeal);
        open.then_some(&head.base)
    }

    /// Whether the epoch may be ended in order to add members.
    pub(super) fn may_add_members(&self) -> bool {
        self.head.as_ref().is_some_and(|head| head.established) && !self.shutting_down
    }

    /// The head announces what is committed. A member that was restarted may have that state, too, though its disk says
    /// only where it stood when the state was written.
    pub(super) fn on_committed(
        &mut self,
        sender: Identity,
        index: u64,
        history_digest: HistoryDigest,
    ) {
        let same = self.durable_state.pending.is_none()
            && self.durable_state.state.history_digest() == history_digest;
        if !self.is_view_head(sender)
            || !(same || bug_injected!(self.bug_injection, CommittedUnchecked))
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

    /// What the head transfers to learners is committed, whether it can be written here or not.
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

    /// The whole durable state of this node is known to be committed.
    pub(super) fn mark_durable_state_committed(&mut self) {
        self.known_committed = self.durable_state.position;
        if let Some(document) = self.durable_state.state.document().cloned() {
            self.record_committed(document);
        }
    }

    /// Reports a configuration to the driver, unless it or a newer one was reported.
    fn record_committed(&mut self, document: ConfigurationDocument) {
        let known = self
            .committed_document
            .as_ref()
            .map_or(0, |committed| committed.version);
        if document.version > known {
            self.committed_document = Some(document.clone());
            self.effects.push(Effect::Committed(document));
        }
    }
}
