//! Handling of appended entries at a chain member, and of the acknowledgements that travel back to the head.
//!
//! Invariant: an entry is applied only to the state that it follows, and forwarded or acknowledged only once it is
//! durable.

use std::net::SocketAddrV4;

use super::bug_injection::bug_injected;
use super::state_machine::Replica;
use crate::durable_record::DurableRecord;
use crate::durable_state::{AfterWrite, AppendedEntry};
use crate::message::MessageBody;
use crate::position::Position;
use crate::view::Identity;

impl Replica {
    /// Whether this node may replicate: it is in the chain of the newest view, that view is durable, and the epoch
    /// isn't sealed.
    pub(super) fn may_replicate(&self) -> bool {
        let in_chain = self.is_in_chain(self.identity);
        let is_unsealed =
            !self.acceptor.sealed || bug_injected!(self.bug_injection, EntryAfterSeal);
        in_chain && self.is_established_in_view() && is_unsealed
    }

    /// Handles an `Append` from the head or the predecessor: stores the entry, or rejects it if the preceding one is
    /// missing.
    pub(super) fn on_append(&mut self, from: SocketAddrV4, sender: Identity, entry: AppendedEntry) {
        if !self.may_replicate()
            || self.durable_state.pending.is_some()
            || !self.is_upstream(sender)
        {
            return;
        }
        let epoch = self.epoch();
        let own_position = self.durable_state.position;
        let synchronised = own_position.epoch == epoch;
        if synchronised && entry.index <= own_position.index {
            self.forward_append(entry);
            return;
        }
        let is_next = !synchronised || entry.index == own_position.index + 1;
        let has_predecessor =
            is_next && entry.previous == self.durable_state.state.history_digest();
        let index = entry.index;
        if !has_predecessor && !bug_injected!(self.bug_injection, EntryWithoutPredecessor) {
            log::debug!("rejects entry {index} from {from}: the preceding entry is missing");
            self.send_to_head(MessageBody::AppendRejected { index });
            return;
        }
        self.durable_state.position = Position {
            epoch,
            index: index - 1,
        };
        self.mark_durable_state_committed();
        let position = Position { epoch, index };
        let record = DurableRecord::Entry {
            position,
            previous: entry.previous,
            document: entry.document.clone(),
        };
        let state = self.durable_state.state.with(entry.document.clone());
        if bug_injected!(self.bug_injection, ForwardBeforeDurable) {
            self.forward_append(entry.clone());
        }
        self.persist_state(record, position, state, AfterWrite::ForwardAppend(entry));
    }

    /// Whether the sender may append entries here: it is the head or the predecessor.
    fn is_upstream(&self, sender: Identity) -> bool {
        let predecessor = self
            .view
            .as_ref()
            .and_then(|view| view.predecessor_of(self.identity));
        sender != self.identity && (predecessor == Some(sender) || self.is_view_head(sender))
    }

    /// Forwards a durable entry to the successor. The tail, or a member that was sent the entry directly, acknowledges
    /// it instead.
    fn forward_append(&mut self, entry: AppendedEntry) {
        let Some(view) = &self.view else { return };
        let successor = view.successor_of(self.identity);
        let predecessor = view.predecessor_of(self.identity);
        let AppendedEntry {
            index,
            previous,
            document,
            relay,
        } = entry;
        match (relay, successor, predecessor) {
            (false, ..) => self.send_to_head(MessageBody::AppendStored { index }),
            (true, Some(successor), _) => {
                self.send_to_voter(
                    successor,
                    MessageBody::Append {
                        index,
                        previous,
                        document,
                        relay,
                    },
                );
            }
            (true, None, Some(predecessor)) => {
                self.send_to_voter(predecessor, MessageBody::AppendAcknowledged { index });
            }
            (true, None, None) => {}
        }
    }

    /// Runs the action deferred until a state write was durable. Called only in the epoch of the write.
    pub(super) fn after_write(&mut self, after_write: AfterWrite) {
        match after_write {
            AfterWrite::SendToSuccessor => self.send_to_successor(),
            AfterWrite::ForwardAppend(entry) => self.forward_append(entry),
            AfterWrite::RespondToTransfer { to, purpose } => {
                self.respond_to_transfer(to, purpose, true);
            }
            AfterWrite::Nothing => {}
        }
    }

    /// Handles an `AppendAcknowledged`: every member from the successor to the tail has stored the entry.
    pub(super) fn on_append_acknowledged(&mut self, sender: Identity, index: u64) {
        let Some(view) = &self.view else { return };
        let own_position = self.durable_state.position;
        let from_successor = view.successor_of(self.identity) == Some(sender);
        if !from_successor || own_position.epoch != view.epoch || own_position.index < index {
            return;
        }
        let predecessor = view.predecessor_of(self.identity);
        if own_position.index == index && self.head.is_none() {
            self.mark_durable_state_committed();
        }
        match predecessor {
            Some(predecessor) => {
                self.send_to_voter(predecessor, MessageBody::AppendAcknowledged { index });
            }
            None => self.on_append_stored_by_chain(index),
        }
    }
}
