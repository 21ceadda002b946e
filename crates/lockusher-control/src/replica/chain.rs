//! A replica's part in the chain: taking entries and states, passing on, learning what is committed.

use std::net::SocketAddrV4;

use super::{Effect, Replica, bug_injection::bug_injected};
use crate::{
    ConfigurationDocument, DurableRecord, Identity, Position,
    durable_state::{AfterWrite, TransferOutcome},
    message::{Heartbeat, MessageBody, Payload, Transfer, TransferPurpose, TransferResponse},
    state::HistoryDigest,
};

impl Replica {
    /// Whether this node may take part in the chain of the newest view.
    fn may_replicate(&self) -> bool {
        let in_chain = self.view.as_ref().is_some_and(|view| view.in_chain(self.identity));
        let open = !self.acceptor.sealed || bug_injected!(self.bug_injection, EntryAfterSeal);
        in_chain && self.is_established_in_view() && open
    }

    fn is_view_head(&self, identity: Identity) -> bool {
        self.view.as_ref().is_some_and(|view| view.head() == Some(identity))
    }

    // States

    pub(super) fn on_transfer(&mut self, from: SocketAddrV4, sender: Identity, transfer: Transfer) {
        if transfer.purpose == TransferPurpose::Learn && self.is_view_head(sender) {
            self.record_learned_commit(&transfer);
        }
        if self.durable_state.pending.is_some() || !self.is_established_in_view() {
            return;
        }
        let Some(view) = &self.view else { return };
        let in_chain = view.in_chain(self.identity);
        let is_applicable = match transfer.purpose {
            TransferPurpose::Synchronise | TransferPurpose::Repair => {
                self.may_replicate() && self.is_view_head(sender)
            }
            TransferPurpose::Learn => !in_chain && self.is_view_head(sender),
            TransferPurpose::Join => !in_chain && view.in_chain(sender),
        };
        if !is_applicable || transfer.position.epoch != self.epoch() {
            return;
        }
        if self.is_already_applied(&transfer) {
            self.respond_to_transfer(from, transfer.purpose, true);
        } else if transfer.position >= self.durable_state.position
            || bug_injected!(self.bug_injection, OlderTransferTaken)
        {
            self.apply_transfer(from, transfer);
        }
    }

    /// Whether nothing is to be written, because this or, from the same head, a later state is stored.
    fn is_already_applied(&self, transfer: &Transfer) -> bool {
        let own = self.durable_state.position;
        match transfer.purpose {
            TransferPurpose::Synchronise => own.epoch == transfer.position.epoch && own >= transfer.position,
            TransferPurpose::Learn | TransferPurpose::Join | TransferPurpose::Repair => {
                own == transfer.position
                    && self.durable_state.state.history_digest() == transfer.history_digest
            }
        }
    }

    fn apply_transfer(&mut self, from: SocketAddrV4, transfer: Transfer) {
        let (purpose, position) = (transfer.purpose, transfer.position);
        match self.durable_state.classify_transfer(&transfer) {
            TransferOutcome::MissingBase => self.respond_to_transfer(from, purpose, false),
            TransferOutcome::AlreadyStored if purpose == TransferPurpose::Join => {
                let state = self.durable_state.state.clone();
                let record = DurableRecord::PositionAdvanced { position };
                self.persist_state(
                    record,
                    position,
                    state,
                    AfterWrite::RespondToTransfer { to: from, purpose },
                );
            }
            TransferOutcome::AlreadyStored => {
                self.durable_state.position = position;
                self.respond_to_transfer(from, purpose, true);
            }
            TransferOutcome::Write(record, state) => {
                let replaces = matches!(*record, DurableRecord::State { .. });
                self.counters.repairs += u64::from(replaces && self.durable_state.state.document().is_some());
                if purpose == TransferPurpose::Join
                    && bug_injected!(self.bug_injection, JoinAnsweredBeforeDurable)
                {
                    let history_digest = transfer.history_digest;
                    let response = TransferResponse { purpose, position, history_digest, stored: true };
                    self.send(from, MessageBody::TransferResponse(response));
                }
                self.persist_state(
                    *record,
                    position,
                    state,
                    AfterWrite::RespondToTransfer { to: from, purpose },
                );
            }
        }
    }

    fn respond_to_transfer(&mut self, to: SocketAddrV4, purpose: TransferPurpose, stored: bool) {
        if stored && purpose == TransferPurpose::Learn {
            self.mark_durable_state_committed();
        }
        let response = TransferResponse {
            purpose,
            position: self.durable_state.position,
            history_digest: self.durable_state.state.history_digest(),
            stored,
        };
        self.send(to, MessageBody::TransferResponse(response));
    }

    pub(super) fn on_transfer_response(
        &mut self,
        from: SocketAddrV4,
        sender: Identity,
        response: TransferResponse,
    ) {
        match response.purpose {
            TransferPurpose::Synchronise => self.on_synchronised(from, sender, response),
            TransferPurpose::Learn if !response.stored => self.send_full_snapshot_to_learner(from),
            TransferPurpose::Learn | TransferPurpose::Repair => {}
            TransferPurpose::Join => {
                let sealed = Position { epoch: self.epoch(), index: Position::SEALED };
                let same = response.history_digest == self.durable_state.state.history_digest()
                    && response.position == sealed;
                if same || !response.stored {
                    self.on_join_response(from, sender, response.stored);
                }
            }
        }
    }

    // Entries

    pub(super) fn on_append(
        &mut self,
        from: SocketAddrV4,
        sender: Identity,
        index: u64,
        previous: HistoryDigest,
        document: ConfigurationDocument,
        relay: bool,
    ) {
        if !self.may_replicate() || self.durable_state.pending.is_some() || !self.is_upstream(sender) {
            return;
        }
        let epoch = self.epoch();
        let own = self.durable_state.position;
        let synchronised = own.epoch == epoch;
        if synchronised && index <= own.index {
            self.forward_append(index, previous, document, relay);
            return;
        }
        let follows = !synchronised || index == own.index + 1;
        let complete = follows && previous == self.durable_state.state.history_digest();
        if !complete && !bug_injected!(self.bug_injection, EntryWithoutPredecessor) {
            log::debug!("lacks what precedes entry {index}, sent by {from}");
            self.send_to_head(MessageBody::AppendRejected { index });
            return;
        }
        self.durable_state.position = Position { epoch, index: index - 1 };
        self.mark_durable_state_committed();
        let position = Position { epoch, index };
        let record = DurableRecord::Entry { position, previous, document: document.clone() };
        let state = self.durable_state.state.with(document.clone());
        if bug_injected!(self.bug_injection, PassOnBeforeDurable) {
            self.forward_append(index, previous, document.clone(), relay);
        }
        let after_write = AfterWrite::ForwardAppend { index, previous, document, relay };
        self.persist_state(record, position, state, after_write);
    }

    /// Whether entries may come from this node: the head or the predecessor.
    fn is_upstream(&self, sender: Identity) -> bool {
        let predecessor = self.view.as_ref().and_then(|view| view.predecessor_of(self.identity));
        sender != self.identity && (predecessor == Some(sender) || self.is_view_head(sender))
    }

    fn send_to_head(&mut self, body: MessageBody) {
        if let Some(head) = self.view.as_ref().and_then(|view| view.head()) {
            self.send_to_voter(head, body);
        }
    }

    fn forward_append(
        &mut self,
        index: u64,
        previous: HistoryDigest,
        document: ConfigurationDocument,
        relay: bool,
    ) {
        let Some(view) = &self.view else { return };
        let successor = view.successor_of(self.identity);
        let predecessor = view.predecessor_of(self.identity);
        match (relay, successor, predecessor) {
            (false, ..) => self.send_to_head(MessageBody::AppendStored { index }),
            (true, Some(successor), _) => {
                self.send_to_voter(successor, MessageBody::Append { index, previous, document, relay });
            }
            (true, None, Some(predecessor)) => {
                self.send_to_voter(predecessor, MessageBody::AppendAcknowledged { index });
            }
            (true, None, None) => {}
        }
    }

    pub(super) fn after_write(&mut self, after_write: AfterWrite) {
        match after_write {
            AfterWrite::SendToSuccessor => self.send_to_successor(),
            AfterWrite::ForwardAppend { index, previous, document, relay } => {
                self.forward_append(index, previous, document, relay);
            }
            AfterWrite::RespondToTransfer { to, purpose } => self.respond_to_transfer(to, purpose, true),
            AfterWrite::Nothing => {}
        }
    }

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
            Some(predecessor) => self.send_to_voter(predecessor, MessageBody::AppendAcknowledged { index }),
            None => self.on_append_stored_by_chain(index),
        }
    }

    // What is committed

    /// The head says what is committed. A member that was restarted holds that state, too, though its disk tells only where
    /// it stood when the state was written.
    pub(super) fn on_committed(&mut self, sender: Identity, index: u64, history_digest: HistoryDigest) {
        let same = self.durable_state.pending.is_none()
            && self.durable_state.state.history_digest() == history_digest;
        if !self.is_view_head(sender) || !(same || bug_injected!(self.bug_injection, CommittedUnchecked)) {
            return;
        }
        let committed = Position { epoch: self.epoch(), index };
        if self.may_replicate() {
            self.durable_state.position = committed;
        }
        if self.durable_state.position == committed {
            self.mark_durable_state_committed();
        }
    }

    /// The head's heartbeat says what is committed; a head looks at how far the others are.
    pub(super) fn on_progress(&mut self, from: SocketAddrV4, sender: Identity, heartbeat: &Heartbeat) {
        if self.head.is_some() {
            self.on_replica_heartbeat(from, sender, heartbeat);
        } else if let Some(history_digest) = heartbeat.committed_history_digest
            && heartbeat.committed.epoch == self.epoch()
        {
            self.on_committed(sender, heartbeat.committed.index, history_digest);
        }
    }

    /// What the head lets others learn is committed, whether it can be written here or not.
    fn record_learned_commit(&mut self, transfer: &Transfer) {
        let document = match &transfer.payload {
            Payload::Empty => None,
            Payload::LatestDocument { document, .. } => Some(document),
            Payload::FullSnapshot(state) => state.document(),
        };
        if let Some(document) = document.cloned() {
            self.record_committed(document);
        }
    }

    /// All that this node holds is known to be committed.
    pub(super) fn mark_durable_state_committed(&mut self) {
        self.known_committed = self.durable_state.position;
        if let Some(document) = self.durable_state.state.document().cloned() {
            self.record_committed(document);
        }
    }

    fn record_committed(&mut self, document: ConfigurationDocument) {
        let known = self.committed_document.as_ref().map_or(0, |committed| committed.version);
        if document.version > known {
            self.committed_document = Some(document.clone());
            self.effects.push(Effect::Committed(document));
        }
    }
}
