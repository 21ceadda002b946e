//! Handling of transfers: state received from another replica, in whole or in part, and the responses to it.
//!
//! Invariant: a transfer is applied only in its own epoch, from a node that may send it, and never replaces a state at
//! a later position; it is reported as stored only once it is durable.

use std::net::SocketAddrV4;

use super::bug_injection::bug_injected;
use super::state_machine::Replica;
use crate::durable_record::DurableRecord;
use crate::durable_state::{AfterWrite, TransferOutcome};
use crate::message::{MessageBody, Transfer, TransferPurpose, TransferResponse};
use crate::position::Position;
use crate::view::Identity;

impl Replica {
    /// Handles a transfer: applies it if its sender may send it and it isn't older than the durable state.
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
            || bug_injected!(self.bug_injection, OlderTransferApplied)
        {
            self.apply_transfer(from, transfer);
        }
    }

    /// Whether nothing has to be written, because this state, or a later one of the same head, is stored.
    fn is_already_applied(&self, transfer: &Transfer) -> bool {
        let own_position = self.durable_state.position;
        match transfer.purpose {
            TransferPurpose::Synchronise => {
                own_position.epoch == transfer.position.epoch && own_position >= transfer.position
            }
            TransferPurpose::Learn | TransferPurpose::Join | TransferPurpose::Repair => {
                own_position == transfer.position
                    && self.durable_state.state.history_digest() == transfer.history_digest
            }
        }
    }

    /// Writes the transferred state, and responds once it is durable.
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
                self.counters.repairs +=
                    u64::from(replaces && self.durable_state.state.document().is_some());
                if purpose == TransferPurpose::Join
                    && bug_injected!(self.bug_injection, JoinAnsweredBeforeDurable)
                {
                    let history_digest = transfer.history_digest;
                    let response = TransferResponse {
                        purpose,
                        position,
                        history_digest,
                        stored: true,
                    };
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

    /// Responds with whether the transferred state is durable here.
    pub(super) fn respond_to_transfer(
        &mut self,
        to: SocketAddrV4,
        purpose: TransferPurpose,
        stored: bool,
    ) {
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

    /// Handles the response to a transfer that this node sent.
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
                let sealed = Position {
                    epoch: self.epoch(),
                    index: Position::SEALED,
                };
                let same_state = response.history_digest
                    == self.durable_state.state.history_digest()
                    && response.position == sealed;
                if same_state || !response.stored {
                    self.on_join_response(from, sender, response.stored);
                }
            }
        }
    }
}
