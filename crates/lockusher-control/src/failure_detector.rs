//! Failure detection by heartbeats: the newest reports of the other nodes, and which of them are reachable.
//!
//! Owned by the replica, which reports every message and each tick. A peer counts as reachable while heartbeats show
//! contact in both directions within the suspicion timeout; after a start or a pause of this node's own process, all
//! nodes count as reachable for a grace period, since missing messages don't indicate a failure then. The detector only
//! decides when a view change is attempted: safety doesn't depend on it.

use std::{collections::BTreeMap, net::SocketAddrV4};

use crate::locality::Locality;
use crate::message::{Health, Heartbeat};
use crate::position::Position;
use crate::state::HistoryDigest;
use crate::time::Millis;
use crate::timing::Timing;
use crate::view::Identity;

/// Maximum number of peers tracked; the one inactive for longest is evicted first.
const MAX_PEERS: usize = 32;

/// The node at one address, as observed by messages from it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Identity of the newest sender at this address.
    pub identity: Identity,
    /// When a message was last received from it.
    pub last_received_at: Millis,
    /// When a heartbeat last showed that the peer receives from this node.
    pub last_bidirectional_at: Option<Millis>,
    /// Since when the peer has been reachable without interruption.
    pub reachable_since: Option<Millis>,
    /// Epoch of the newest view that the peer knows.
    pub epoch: u64,
    /// Health reported by its newest heartbeat.
    pub health: Health,
    /// Position of its durable state, reported by its newest heartbeat.
    pub position: Position,
    /// History digest of that state; `None` before the first heartbeat.
    pub history_digest: Option<HistoryDigest>,
    /// Version of the newest configuration that the peer knows to be committed.
    pub committed_version: u64,
    /// Zone and region of its machine, if reported. Kept for the address when a node with another identity appears
    /// there, as after the loss of its disk.
    pub locality: Option<Locality>,
    /// When a view was last sent to it.
    view_sent_at: Option<Millis>,
    /// When it last failed to respond as a joiner.
    join_failed_at: Option<Millis>,
}

/// All nodes from which messages were received, by address.
#[derive(Debug, Default)]
pub struct Peers {
    peers: BTreeMap<SocketAddrV4, Peer>,
    /// End of the grace period: until then every node counts as reachable, unless another identity was seen at its
    /// address.
    grace_until: Millis,
    /// Start of the observation; earlier time doesn't count as inactivity.
    observing_since: Millis,
}

impl Peers {
    /// No peers; all nodes count as reachable for the grace period.
    pub fn new(now: Millis, grace: Millis) -> Self {
        Self {
            peers: BTreeMap::new(),
            grace_until: now + grace,
            observing_since: now,
        }
    }

    /// Restarts the observation after a pause of this node's process, since missing messages don't indicate a failure
    /// then.
    pub fn restart_observation(&mut self, now: Millis, grace: Millis) {
        self.grace_until = self.grace_until.max(now + grace);
        self.observing_since = now;
    }

    /// Records that a message was received.
    pub fn on_message_received(
        &mut self,
        from: SocketAddrV4,
        identity: Identity,
        epoch: u64,
        now: Millis,
    ) {
        let peer = self
            .peers
            .entry(from)
            .or_insert_with(|| Peer::new(identity, now));
        if peer.identity != identity {
            let locality = peer.locality.take();
            *peer = Peer {
                locality,
                ..Peer::new(identity, now)
            };
        }
        peer.last_received_at = now;
        peer.epoch = peer.epoch.max(epoch);
        self.evict_oldest();
    }

    /// Records a heartbeat, after [`Peers::on_message_received`].
    pub fn on_heartbeat(
        &mut self,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
        own_identity: Identity,
        now: Millis,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.health = heartbeat.health;
        peer.position = heartbeat.position;
        peer.history_digest = Some(heartbeat.history_digest);
        peer.committed_version = heartbeat.committed_version;
        if heartbeat.recent_senders.contains(&own_identity) {
            peer.last_bidirectional_at = Some(now);
            peer.reachable_since.get_or_insert(now);
        }
    }

    /// Records the locality reported by a peer, after [`Peers::on_message_received`].
    pub fn on_locality(&mut self, from: SocketAddrV4, locality: Locality) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.locality = Some(locality);
        }
    }

    /// Evicts the peers inactive for longest while there are more than [`MAX_PEERS`].
    fn evict_oldest(&mut self) {
        while self.peers.len() > MAX_PEERS {
            let Some(oldest) = self
                .peers
                .iter()
                .min_by_key(|(_, peer)| peer.last_received_at)
                .map(|(at, _)| *at)
            else {
                return;
            };
            self.peers.remove(&oldest);
        }
    }

    /// Marks inactive peers as unreachable, and removes expired ones unless `must_retain` selects them.
    pub fn expire(
        &mut self,
        timing: &Timing,
        now: Millis,
        must_retain: impl Fn(SocketAddrV4) -> bool,
    ) {
        self.peers.retain(|address, peer| {
            now - peer.last_received_at < timing.peer_expiry || must_retain(*address)
        });
        for peer in self.peers.values_mut() {
            if !peer.is_bidirectional(timing, now) {
                peer.reachable_since = None;
            }
        }
    }

    /// The peer at this address.
    pub fn at(&self, address: SocketAddrV4) -> Option<&Peer> {
        self.peers.get(&address)
    }

    /// All peers, by address.
    pub fn iter(&self) -> impl Iterator<Item = (SocketAddrV4, &Peer)> {
        self.peers.iter().map(|(address, peer)| (*address, peer))
    }

    /// Whether the node counts as reachable: by bidirectional contact, or for the grace period.
    pub fn is_reachable(
        &self,
        address: SocketAddrV4,
        identity: Identity,
        timing: &Timing,
        now: Millis,
    ) -> bool {
        match self.peers.get(&address) {
            Some(peer) if peer.identity != identity => false,
            Some(peer) => now < self.grace_until || peer.is_bidirectional(timing, now),
            None => now < self.grace_until,
        }
    }

    /// Whether recent heartbeats confirm bidirectional contact with the node, without a grace period.
    pub fn is_confirmed(
        &self,
        address: SocketAddrV4,
        identity: Identity,
        timing: &Timing,
        now: Millis,
    ) -> bool {
        let peer = self.peers.get(&address);
        peer.is_some_and(|peer| peer.identity == identity && peer.is_bidirectional(timing, now))
    }

    /// How long the node has been unreachable.
    pub fn unreachable_for(
        &self,
        address: SocketAddrV4,
        identity: Identity,
        now: Millis,
    ) -> Millis {
        let observed = now - self.observing_since;
        match self.peers.get(&address) {
            Some(peer) if peer.identity == identity => {
                observed.min(now - peer.last_bidirectional_at.unwrap_or(0).min(now))
            }
            _ => observed,
        }
    }

    /// Identities from which messages were received recently, for the heartbeat.
    pub fn recent_senders(&self, timing: &Timing, now: Millis) -> Vec<Identity> {
        let is_recent = |peer: &&Peer| {
            now - peer.last_received_at < timing.suspicion_timeout - timing.heartbeat_interval
        };
        self.peers
            .values()
            .filter(is_recent)
            .map(|peer| peer.identity)
            .collect()
    }

    /// Whether a view may be sent to this address now: at most one per interval, so that a burst of old messages
    /// doesn't cause as many responses.
    pub fn may_send_view(&mut self, address: SocketAddrV4, interval: Millis, now: Millis) -> bool {
        let Some(peer) = self.peers.get_mut(&address) else {
            return true;
        };
        if peer.view_sent_at.is_some_and(|at| now - at < interval) {
            return false;
        }
        peer.view_sent_at = Some(now);
        true
    }

    /// Records that a node didn't respond as a joiner in time.
    pub fn on_join_failed(&mut self, address: SocketAddrV4, now: Millis) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.join_failed_at = Some(now);
        }
    }
}

impl Peer {
    fn new(identity: Identity, now: Millis) -> Self {
        Self {
            identity,
            last_received_at: now,
            last_bidirectional_at: None,
            reachable_since: None,
            epoch: 0,
            health: Health::Good,
            position: Position::default(),
            history_digest: None,
            committed_version: 0,
            locality: None,
            view_sent_at: None,
            join_failed_at: None,
        }
    }

    /// Whether recent messages show bidirectional contact.
    fn is_bidirectional(&self, timing: &Timing, now: Millis) -> bool {
        let fresh = now - self.last_received_at < timing.suspicion_timeout;
        let bidirectional = self
            .last_bidirectional_at
            .is_some_and(|at| now - at < timing.suspicion_timeout + timing.heartbeat_interval);
        fresh && bidirectional
    }

    /// Whether the node may be asked to join now: reachable for the stability period, healthy, and without a join that
    /// failed recently.
    pub fn may_join(&self, timing: &Timing, now: Millis) -> bool {
        let is_stable = self
            .reachable_since
            .is_some_and(|since| now - since >= timing.join_stability_period);
        let recently_failed = self
            .join_failed_at
            .is_some_and(|at| now - at < timing.join_retry_delay);
        is_stable
            && !recently_failed
            && self.health == Health::Good
            && self.is_bidirectional(timing, now)
    }
}
