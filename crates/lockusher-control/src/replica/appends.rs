//! Entries received as a member of the chain, and acknowledgements on their way back to the head.
//!
//! Invariant: an entry is stored only on top of the state that it follows, and forwarded or answered only once it is durable.

use std::net::SocketAddrV4;

use super::bug_injection::bug_injected;
use super::state_machine::Replica;
use crate::durable_record::DurableRecord;
use crate::durable_state::{AfterWrite, AppendedEntry};
use crate::message::MessageBody;
use crate::position::Position;
use crate::view::Identity;

impl Replica {
    /// Whether this node may take part in the chain of the newest view.
    pub(super) fn may_replicate(&self) -> bool {
        let in_chain = self.is_in_chain(self.identity);
        let open = !self.acceptor.sealed || bug_injected!(self.bug_injection, EntryAfterSeal);
        in_chain && self.is_established_in_view() && open
    }

    /// An entry came from the head or the predecessor: store it, or say that what precedes it is missing.
    pub(super) fn on_append(&mut self, from: SocketAddrV4, sender: Identity, entry: AppendedEntry) {
        if !self.may_replicate()
            || self.durable_state.pending.is_some()
            || !self.is_upstream(sender)
        {
            return;
        }
        let epoch = self.epoch();
        let own = self.durable_state.position;
        let synchronised = own.epoch == epoch;
        if synchronised && entry.index <= own.index {
            self.forward_append(entry);
            return;
        }
        let follows = !synchronised || entry.index == own.index + 1;
        let complete = follows && entry.previous == self.durable_state.state.history_digest();
        let index = entry.index;
        if !complete && !bug_injected!(self.bug_injection, EntryWithoutPredecessor) {
            log::debug!("lacks what precedes entry {index}, sent by {from}");
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
        if bug_injected!(self.bug_injection, PassOnBeforeDurable) {
            self.forward_append(entry.clone());
        }
        self.persist_state(record, position, state, AfterWrite::ForwardAppend(entry));
    }

    /// Whether entries may come from this node: the head or the predecessor.
    fn is_upstream(&self, sender: Identity) -> bool {
        let predecessor = self
            .view
            .as_ref()
            .and_then(|view| view.predecessor_of(self.identity));
        sender != self.identity && (predecessor == Some(sender) || self.is_view_head(sender))
    }

    /// Forwards an entry that is durable here to the successor; the tail and a member that was sent the entry directly
    /// answer it.
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

    /// Does what waited for a write of the state. Called in the epoch of the write only.
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

    /// Every member from the successor to the tail has stored the entry.
    pub(super) fn on_append_acknowledged(&mut self, sender: Identity, index: u64) {
        let Some(view) = &self.view else { return };
        let own = self.durable_state.position;
        let from_successor = view.successor_of(self.identity) == Some(sender);
        if !from_successor || own.epoch != view.epoch || own.index < index {
            return;
        }
        let predecessor = view.predecessor_of(self.identity);
        if own.index == index && self.head.is_none() {
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
