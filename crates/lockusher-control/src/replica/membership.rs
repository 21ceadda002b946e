//! Heartbeats, adoption of views and the dispatch of messages.

use std::{collections::BTreeSet, net::SocketAddrV4};

use super::{Mistake, Replica, repair::NoticedBy};
use crate::{
    DurableRecord, Identity, Message, View,
    message::{Heartbeat, MessageBody},
    vote_log::AfterVote,
    votes::Votes,
};

impl Replica {
    pub(super) fn on_message(&mut self, from: SocketAddrV4, message: Message) {
        let Message { sender, epoch, body } = message;
        if from != self.setup.address {
            self.peers.heard(from, sender, epoch, self.now);
            self.exchange_views(from, epoch, &body);
        }
        let counts = epoch == self.epoch() || (self.makes(Mistake::OlderEpochsCount) && epoch < self.epoch());
        let same_epoch = counts && epoch > 0;
        match body {
            MessageBody::Heartbeat(heartbeat) => self.on_heartbeat(from, sender, epoch, heartbeat),
            MessageBody::NewView(view) => self.adopt(view),
            MessageBody::Forward { request, body } => self.on_forward(from, request, body),
            MessageBody::Forwarded { request, reply } => self.on_forwarded(request, reply),
            body if same_epoch => self.on_epoch_message(from, sender, body),
            _ => {}
        }
    }

    fn on_epoch_message(&mut self, from: SocketAddrV4, sender: Identity, body: MessageBody) {
        match body {
            MessageBody::Prepare { ballot } => self.on_prepare(from, ballot),
            MessageBody::Promised { ballot, accepted } => self.on_promised(sender, ballot, accepted),
            MessageBody::Accept { ballot, view } => self.on_accept(from, ballot, view),
            MessageBody::Accepted { ballot } => self.on_accepted(sender, ballot),
            MessageBody::Rejected { promised } => self.on_rejected(promised),
            MessageBody::Transfer(transfer) => self.on_transfer(from, sender, transfer),
            MessageBody::TransferAnswer(answer) => self.on_transfer_answer(from, sender, answer),
            MessageBody::Append { index, previous, document, relay } => {
                self.on_append(from, sender, index, previous, document, relay);
            }
            MessageBody::Acknowledge { index } => self.on_acknowledge(sender, index),
            MessageBody::Holds { index } => self.on_holds(sender, index),
            MessageBody::Lacks { index } => self.on_lacks(sender, index),
            MessageBody::Committed { index, lineage } => self.on_committed(sender, index, lineage),
            MessageBody::Confirm { round } => self.on_confirm(from, sender, round),
            MessageBody::Confirmed { round, position, lineage } => {
                self.on_confirmed(sender, round);
                self.repair_if_different(sender, position, lineage, NoticedBy::Read);
            }
            MessageBody::Heartbeat(_)
            | MessageBody::NewView(_)
            | MessageBody::Forward { .. }
            | MessageBody::Forwarded { .. } => {}
        }
    }

    /// Tells a sender of an older epoch the newest view, and one of a newer epoch that it is newer.
    fn exchange_views(&mut self, from: SocketAddrV4, epoch: u64, body: &MessageBody) {
        if epoch == self.epoch() || matches!(body, MessageBody::NewView(_)) {
            return;
        }
        if !self.peers.may_send_view(from, self.timing.heartbeat / 4, self.now) {
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
        let first_contact = self.peers.at(from).is_none_or(|peer| peer.mutual_at.is_none());
        let health_before = self.peers.at(from).map(|peer| peer.health);
        self.peers.heartbeat(from, &heartbeat, self.identity, self.now);
        if first_contact && !heartbeat.hears.contains(&self.identity) {
            self.answer_first_heartbeat(from);
        }
        if epoch == self.epoch() {
            self.on_progress(from, sender, &heartbeat);
        }
        if health_before != Some(heartbeat.health) {
            self.consider_change();
        }
    }

    fn answer_first_heartbeat(&mut self, from: SocketAddrV4) {
        if self.peers.may_send_view(from, self.timing.heartbeat / 4, self.now) {
            self.send_heartbeat(from);
        }
    }

    pub(super) fn send_heartbeats(&mut self) {
        self.last_heartbeat = self.now;
        for address in self.heartbeat_targets() {
            self.send_heartbeat(address);
        }
    }

    fn send_heartbeat(&mut self, to: SocketAddrV4) {
        let heartbeat = Heartbeat {
            health: self.health(),
            position: self.holding.position,
            lineage: self.holding.state.lineage(),
            committed: self.committed_at,
            committed_lineage: self.committed_lineage(),
            committed_version: self.committed.as_ref().map_or(0, |document| document.version),
            hears: self.peers.heard_lately(&self.timing, self.now),
        };
        self.send(to, MessageBody::Heartbeat(heartbeat));
    }

    fn heartbeat_targets(&self) -> BTreeSet<SocketAddrV4> {
        let voters = self.view.iter().flat_map(|view| view.voters.iter().map(|voter| voter.address));
        let heard = self.peers.iter().map(|(address, _)| address);
        let mut targets: BTreeSet<SocketAddrV4> = voters.chain(heard).collect();
        if !self.is_voter() || !self.hears_majority() {
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
    pub(super) fn hears_majority(&self) -> bool {
        self.count_voters(|address, identity| {
            self.peers.is_confirmed(address, identity, &self.timing, self.now)
        })
    }

    /// The same, but with the benefit of the doubt after a start.
    pub(super) fn reaches_majority(&self) -> bool {
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
    pub(super) fn adopt(&mut self, view: View) {
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
        self.votes = Votes::default();
        self.head = None;
        self.renew = false;
        self.proposal = None;
        self.attempts = 0;
        self.joined.clear();
        self.reason_since = None;
        self.back_off_until = self.now;
        self.persist_votes(vec![DurableRecord::View(view)], vec![AfterVote::ViewDurable { epoch }]);
    }

    pub(super) fn on_view_durable(&mut self, epoch: u64) {
        self.durable_epoch = self.durable_epoch.max(epoch);
        if epoch == self.epoch() {
            self.send_heartbeats();
            self.requests.forward_again();
            self.forward_requests();
        }
    }
}
