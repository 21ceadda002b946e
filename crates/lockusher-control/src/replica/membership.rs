//! Heartbeats, adoption of views and the dispatch of messages.

use std::{collections::BTreeSet, net::SocketAddrV4};

use super::{Replica, bug_injection::bug_injected, repair::NoticedBy};
use crate::{
    DurableRecord, Identity, Message, View,
    acceptor::AcceptorState,
    acceptor_log::AfterAcceptorWrite,
    message::{Heartbeat, MessageBody},
};

impl Replica {
    pub(super) fn on_message(&mut self, from: SocketAddrV4, message: Message) {
        let Message { sender, epoch, body } = message;
        if from != self.setup.address {
            self.peers.on_message_received(from, sender, epoch, self.now);
            self.exchange_views(from, epoch, &body);
        }
        let counts = epoch == self.epoch()
            || (bug_injected!(self.bug_injection, OlderEpochsCount) && epoch < self.epoch());
        let same_epoch = counts && epoch > 0;
        match body {
            MessageBody::Heartbeat(heartbeat) => self.on_heartbeat(from, sender, epoch, heartbeat),
            MessageBody::NewView(view) => self.install_view(view),
            MessageBody::Forward { request, body } => self.on_forward(from, request, body),
            MessageBody::ForwardResponse { request, reply } => self.on_forward_response(request, reply),
            body if same_epoch => self.on_epoch_message(from, sender, body),
            _ => {}
        }
    }

    fn on_epoch_message(&mut self, from: SocketAddrV4, sender: Identity, body: MessageBody) {
        match body {
            MessageBody::Prepare { proposal_number } => self.on_prepare(from, proposal_number),
            MessageBody::PrepareResponse { proposal_number, accepted } => {
                self.on_prepare_response(sender, proposal_number, accepted)
            }
            MessageBody::Accept { proposal_number, view } => self.on_accept(from, proposal_number, view),
            MessageBody::AcceptResponse { proposal_number } => {
                self.on_accept_response(sender, proposal_number)
            }
            MessageBody::ProposalRejected { promised } => self.on_proposal_rejected(promised),
            MessageBody::Transfer(transfer) => self.on_transfer(from, sender, transfer),
            MessageBody::TransferResponse(response) => self.on_transfer_response(from, sender, response),
            MessageBody::Append { index, previous, document, relay } => {
                self.on_append(from, sender, index, previous, document, relay);
            }
            MessageBody::AppendAcknowledged { index } => self.on_append_acknowledged(sender, index),
            MessageBody::AppendStored { index } => self.on_append_stored(sender, index),
            MessageBody::AppendRejected { index } => self.on_append_rejected(sender, index),
            MessageBody::Committed { index, history_digest } => {
                self.on_committed(sender, index, history_digest)
            }
            MessageBody::ConfirmEpoch { sequence } => self.on_confirm_epoch(from, sender, sequence),
            MessageBody::EpochConfirmed { sequence, position, history_digest } => {
                self.on_epoch_confirmed(sender, sequence);
                self.repair_if_different(sender, position, history_digest, NoticedBy::Read);
            }
            MessageBody::Heartbeat(_)
            | MessageBody::NewView(_)
            | MessageBody::Forward { .. }
            | MessageBody::ForwardResponse { .. } => {}
        }
    }

    /// Tells a sender of an older epoch the newest view, and one of a newer epoch that it is newer.
    fn exchange_views(&mut self, from: SocketAddrV4, epoch: u64, body: &MessageBody) {
        if epoch == self.epoch() || matches!(body, MessageBody::NewView(_)) {
            return;
        }
        if !self.peers.may_send_view(from, self.timing.heartbeat_interval / 4, self.now) {
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

    fn on_heartbeat(&mut self, from: SocketAddrV4, sender: Identity, epoch: u64, heartbeat: Heartbeat) {
        if from == self.setup.address {
            return;
        }
        let first_contact = self.peers.at(from).is_none_or(|peer| peer.last_bidirectional_at.is_none());
        let health_before = self.peers.at(from).map(|peer| peer.health);
        self.peers.on_heartbeat(from, &heartbeat, self.identity, self.now);
        if first_contact && !heartbeat.recent_senders.contains(&self.identity) {
            self.respond_to_first_heartbeat(from);
        }
        if epoch == self.epoch() {
            self.on_progress(from, sender, &heartbeat);
        }
        if health_before != Some(heartbeat.health) {
            self.consider_view_change();
        }
    }

    fn respond_to_first_heartbeat(&mut self, from: SocketAddrV4) {
        if self.peers.may_send_view(from, self.timing.heartbeat_interval / 4, self.now) {
            self.send_heartbeat(from);
        }
    }

    pub(super) fn send_heartbeats(&mut self) {
        self.last_heartbeat_at = self.now;
        for address in self.heartbeat_targets() {
            self.send_heartbeat(address);
        }
    }

    fn send_heartbeat(&mut self, to: SocketAddrV4) {
        let heartbeat = Heartbeat {
            health: self.health(),
            position: self.durable_state.position,
            history_digest: self.durable_state.state.history_digest(),
            committed: self.known_committed,
            committed_history_digest: self.committed_history_digest(),
            committed_version: self.committed_document.as_ref().map_or(0, |document| document.version),
            recent_senders: self.peers.recent_senders(&self.timing, self.now),
        };
        self.send(to, MessageBody::Heartbeat(heartbeat));
    }

    fn heartbeat_targets(&self) -> BTreeSet<SocketAddrV4> {
        let voters = self.view.iter().flat_map(|view| view.voters.iter().map(|voter| voter.address));
        let contacted = self.peers.iter().map(|(address, _)| address);
        let mut targets: BTreeSet<SocketAddrV4> = voters.chain(contacted).collect();
        if !self.is_voter() || !self.has_confirmed_quorum() {
            targets.extend(&self.setup.seeds);
        }
        targets.remove(&self.setup.address);
        targets
    }

    pub(super) fn expire_peers(&mut self) {
        let view = &self.view;
        let is_voter = |address| view.as_ref().is_some_and(|view| view.voter_at(address).is_some());
        self.peers.expire(&self.timing, self.now, is_voter);
    }

    pub(super) fn is_voter(&self) -> bool {
        self.view.as_ref().is_some_and(|view| view.is_voter(self.identity))
    }

    /// Whether fresh heartbeats show that a majority of the voters is in touch with this node.
    pub(super) fn has_confirmed_quorum(&self) -> bool {
        self.count_voters(|address, identity| {
            self.peers.is_confirmed(address, identity, &self.timing, self.now)
        })
    }

    /// The same, but with the benefit of the doubt after a start.
    pub(super) fn has_reachable_quorum(&self) -> bool {
        self.count_voters(|address, identity| {
            self.peers.is_reachable(address, identity, &self.timing, self.now)
        })
    }

    fn count_voters(&self, counts: impl Fn(SocketAddrV4, Identity) -> bool) -> bool {
        let Some(view) = &self.view else { return false };
        let counted = view
            .voters
            .iter()
            .filter(|voter| voter.identity == self.identity || counts(voter.address, voter.identity));
        counted.count() >= view.majority()
    }

    /// Takes a view that was agreed on, unless it is old.
    pub(super) fn install_view(&mut self, view: View) {
        if view.epoch <= self.epoch() {
            return;
        }
        let (epoch, voters) = (view.epoch, view.voters.len());
        log::info!(
            "{} {}: view {epoch}, {voters} voters, chain {:?}",
            self.now,
            self.setup.address,
            view.chain
        );
        self.counters.views_adopted += 1;
        let epoch = view.epoch;
        self.view = Some(view.clone());
        self.acceptor = AcceptorState::default();
        self.head = None;
        self.epoch_change_required = false;
        self.proposal = None;
        self.proposal_attempts = 0;
        self.sealed_state_holders.clear();
        self.change_due_since = None;
        self.back_off_until = self.now;
        self.persist_acceptor_records(
            vec![DurableRecord::View(view)],
            vec![AfterAcceptorWrite::ViewDurable { epoch }],
        );
    }

    pub(super) fn on_view_durable(&mut self, epoch: u64) {
        self.durable_epoch = self.durable_epoch.max(epoch);
        if epoch == self.epoch() {
            self.send_heartbeats();
            self.requests.forward_all_now();
            self.forward_requests();
        }
    }
}
