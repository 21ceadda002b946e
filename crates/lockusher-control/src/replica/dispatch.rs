//! Dispatch of received messages by epoch and kind.
//!
//! Invariant: messages of view agreement and of replication take effect only in their own epoch. A sender in an older
//! epoch is sent the newest view.

use std::net::SocketAddrV4;

use super::bug_injection::bug_injected;
use super::repair::DetectedBy;
use super::state_machine::Replica;
use crate::durable_state::AppendedEntry;
use crate::message::{Message, MessageBody};
use crate::view::Identity;

impl Replica {
    /// Handles a received message; the sender may be this node itself.
    pub(super) fn on_message(&mut self, from: SocketAddrV4, message: Message) {
        let Message {
            sender,
            epoch,
            body,
        } = message;
        if from != self.setup.address {
            self.peers
                .on_message_received(from, sender, epoch, self.now);
            self.exchange_views(from, epoch, &body);
        }
        let epoch_counts = epoch == self.epoch()
            || (bug_injected!(self.bug_injection, OlderEpochsCount) && epoch < self.epoch());
        let same_epoch = epoch_counts && epoch > 0;
        match body {
            MessageBody::Heartbeat(heartbeat) => self.on_heartbeat(from, sender, epoch, heartbeat),
            MessageBody::NewView(view) => self.install_view(view),
            MessageBody::Locality(locality) => self.peers.on_locality(from, locality),
            MessageBody::Forward { request, body } => self.on_forward(from, request, body),
            MessageBody::ForwardResponse { request, reply } => {
                self.on_forward_response(request, reply);
            }
            body if same_epoch => self.on_epoch_message(from, sender, body),
            _ => {}
        }
    }

    /// Handles a message that is valid only in its own epoch, which is this node's.
    fn on_epoch_message(&mut self, from: SocketAddrV4, sender: Identity, body: MessageBody) {
        match body {
            MessageBody::Prepare { proposal_number } => self.on_prepare(from, proposal_number),
            MessageBody::PrepareResponse {
                proposal_number,
                accepted,
            } => {
                self.on_prepare_response(sender, proposal_number, accepted);
            }
            MessageBody::Accept {
                proposal_number,
                view,
            } => self.on_accept(from, proposal_number, view),
            MessageBody::AcceptResponse { proposal_number } => {
                self.on_accept_response(sender, proposal_number);
            }
            MessageBody::ProposalRejected { promised } => self.on_proposal_rejected(promised),
            MessageBody::Transfer(transfer) => self.on_transfer(from, sender, transfer),
            MessageBody::TransferResponse(response) => {
                self.on_transfer_response(from, sender, response);
            }
            MessageBody::Append {
                index,
                previous,
                document,
                relay,
            } => {
                let entry = AppendedEntry {
                    index,
                    previous,
                    document,
                    relay,
                };
                self.on_append(from, sender, entry);
            }
            MessageBody::AppendAcknowledged { index } => self.on_append_acknowledged(sender, index),
            MessageBody::AppendStored { index } => self.on_append_stored(sender, index),
            MessageBody::AppendRejected { index } => self.on_append_rejected(sender, index),
            MessageBody::Committed {
                index,
                history_digest,
            } => {
                self.on_committed(sender, index, history_digest);
            }
            MessageBody::ConfirmEpoch { sequence } => self.on_confirm_epoch(from, sender, sequence),
            MessageBody::EpochConfirmed {
                sequence,
                position,
                history_digest,
            } => {
                self.on_epoch_confirmed(sender, sequence);
                self.repair_if_different(sender, position, history_digest, DetectedBy::Read);
            }
            MessageBody::Heartbeat(_)
            | MessageBody::NewView(_)
            | MessageBody::Locality(_)
            | MessageBody::Forward { .. }
            | MessageBody::ForwardResponse { .. } => {}
        }
    }

    /// Sends the newest view to a sender in an older epoch, and a heartbeat to one in a newer epoch, which answers with
    /// its view.
    fn exchange_views(&mut self, from: SocketAddrV4, epoch: u64, body: &MessageBody) {
        if epoch == self.epoch() || matches!(body, MessageBody::NewView(_)) {
            return;
        }
        if !self
            .peers
            .may_send_view(from, self.timing.heartbeat_interval / 4, self.now)
        {
            return;
        }
        match &self.view {
            Some(view) if view.epoch > epoch => {
                let view = view.clone();
                self.send(from, MessageBody::NewView(view));
            }
            _ => self.send_heartbeat(from),
        }
    }
}
