//! Heartbeats: sent to all known nodes at intervals, and evaluated when received.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use super::state_machine::Replica;
use crate::message::{Heartbeat, MessageBody};
use crate::view::Identity;

impl Replica {
    /// Handles a heartbeat.
    pub(super) fn on_heartbeat(
        &mut self,
        from: SocketAddrV4,
        sender: Identity,
        epoch: u64,
        heartbeat: Heartbeat,
    ) {
        if from == self.setup.address {
            return;
        }
        let first_contact = self
            .peers
            .at(from)
            .is_none_or(|peer| peer.last_bidirectional_at.is_none());
        let health_before = self.peers.at(from).map(|peer| peer.health);
        self.peers
            .on_heartbeat(from, &heartbeat, self.identity, self.now);
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

    /// Evaluates the progress that a heartbeat reports: as head, that of the sender; otherwise, the head's committed
    /// position.
    fn on_progress(&mut self, from: SocketAddrV4, sender: Identity, heartbeat: &Heartbeat) {
        if self.head.is_some() {
            self.on_replica_heartbeat(from, sender, heartbeat);
        } else if let Some(history_digest) = heartbeat.committed_history_digest
            && heartbeat.committed.epoch == self.epoch()
        {
            self.on_committed(sender, heartbeat.committed.index, history_digest);
        }
    }

    /// Answers the first heartbeat of a peer at once, so that the peer learns that its messages arrive here.
    fn respond_to_first_heartbeat(&mut self, from: SocketAddrV4) {
        if self
            .peers
            .may_send_view(from, self.timing.heartbeat_interval / 4, self.now)
        {
            self.send_heartbeat(from);
        }
    }

    /// Sends a heartbeat to every known node.
    pub(super) fn send_heartbeats(&mut self) {
        self.last_heartbeat_at = self.now;
        for address in self.heartbeat_targets() {
            self.send_heartbeat(address);
        }
    }

    /// Sends a heartbeat to one node, and this node's locality if the loss of failure domains is tolerated.
    pub(super) fn send_heartbeat(&mut self, to: SocketAddrV4) {
        let heartbeat = Heartbeat {
            health: self.health(),
            position: self.durable_state.position,
            history_digest: self.durable_state.state.history_digest(),
            committed: self.known_committed,
            committed_history_digest: self.committed_history_digest(),
            committed_version: self
                .committed_document
                .as_ref()
                .map_or(0, |document| document.version),
            recent_senders: self.peers.recent_senders(&self.timing, self.now),
        };
        self.send(to, MessageBody::Heartbeat(heartbeat));
        if self.setup.tolerated_domains.any() {
            self.send(to, MessageBody::Locality(self.setup.locality.clone()));
        }
    }

    /// Voters and peers; also the seeds and the nodes that an agent reported, while this node isn't a voter in contact
    /// with a majority.
    fn heartbeat_targets(&self) -> BTreeSet<SocketAddrV4> {
        let voters = self
            .view
            .iter()
            .flat_map(|view| view.voters.iter().map(|voter| voter.address));
        let contacted = self.peers.iter().map(|(address, _)| address);
        let mut targets: BTreeSet<SocketAddrV4> = voters.chain(contacted).collect();
        if !self.is_voter() || !self.has_confirmed_quorum() {
            targets.extend(&self.setup.seeds);
            targets.extend(&self.introduced);
        }
        targets.remove(&self.setup.address);
        targets
    }

    /// Expires inactive peers in the failure detector, except voters.
    pub(super) fn expire_peers(&mut self) {
        let view = &self.view;
        let is_voter = |address| {
            view.as_ref()
                .is_some_and(|view| view.voter_at(address).is_some())
        };
        self.peers.expire(&self.timing, self.now, is_voter);
    }
}
