//! The gossip protocol: decides when and with which peer an agent exchanges its view and updates, and handles received
//! messages.
//!
//! Combines the view, the rumors and the fetch policy; uses neither a socket nor a clock. Owned and driven by
//! [`PeerSocket`](super::socket::PeerSocket), and by a simulated fleet in the tests.
//!
//! Invariant: all random numbers are drawn from one generator in a fixed order, so that a seed determines the
//! exchanges.

use std::net::SocketAddrV4;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fetch_policy::FetchPolicy;
use super::message::{GossipUpdate, InstanceDeparture, PeerMessage};
use super::rumors::Rumors;
use super::view::{PeerView, Shuffle};

/// Interval between two exchanges that an agent starts, in milliseconds; up to a quarter is added as jitter.
pub const IDLE_GOSSIP_INTERVAL_MS: u64 = 1_000;
/// The interval while the agent is partitioned from the control plane and has rumors to spread, in milliseconds;
/// without jitter.
pub const URGENT_GOSSIP_INTERVAL_MS: u64 = 200;

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Address of the peer.
    pub to: SocketAddrV4,
    /// The message.
    pub message: PeerMessage,
}

/// Result of handling a received message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// The response to a request.
    pub response: Option<Outgoing>,
    /// Departures that the sender spreads. The caller passes those that are new to this agent to [`Gossip::add_rumor`].
    pub departures: Vec<InstanceDeparture>,
}

/// Gossip state of one agent.
#[derive(Debug)]
pub struct Gossip {
    view: PeerView,
    rumors: Rumors,
    fetch: FetchPolicy,
    configuration_version: u64,
    last_exchange_ms: u64,
    jitter_ms: u64,
    random: ChaCha8Rng,
}

impl Gossip {
    /// `own_address` is the address at which this agent receives messages.
    pub fn new(own_address: SocketAddrV4, random_seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(random_seed);
        let jitter_ms = draw_jitter_ms(&mut random);
        Gossip {
            view: PeerView::new(own_address),
            rumors: Rumors::default(),
            fetch: FetchPolicy::default(),
            configuration_version: 0,
            last_exchange_ms: 0,
            jitter_ms,
            random,
        }
    }

    /// The view of known peers.
    pub fn view(&self) -> &PeerView {
        &self.view
    }

    /// Sets the bootstrap peers, a sample of agents received from the control plane.
    pub fn set_bootstrap_peers(&mut self, addresses: &[SocketAddrV4]) {
        self.view.set_bootstrap_peers(addresses);
    }

    /// Sets the newest configuration version that this agent has.
    pub fn set_configuration_version(&mut self, version: u64) {
        self.configuration_version = version;
    }

    /// Adds a departure that is new to this agent to the rumors to spread.
    pub fn add_rumor(&mut self, rumor: InstanceDeparture) {
        self.rumors.add(rumor);
    }

    /// When the next exchange is due. `is_partitioned`: whether the agent is partitioned from the control plane.
    pub fn next_exchange_ms(&self, is_partitioned: bool) -> u64 {
        let is_urgent = is_partitioned && !self.rumors.is_empty();
        let interval_ms = if is_urgent {
            URGENT_GOSSIP_INTERVAL_MS
        } else {
            IDLE_GOSSIP_INTERVAL_MS + self.jitter_ms
        };
        self.last_exchange_ms + interval_ms
    }

    /// Starts an exchange if any peer is known.
    pub fn start_exchange(&mut self, now_ms: u64) -> Option<Outgoing> {
        self.last_exchange_ms = now_ms;
        self.jitter_ms = draw_jitter_ms(&mut self.random);
        let Shuffle { peer, entries } = self.view.start_shuffle(&mut self.random)?;
        let message = PeerMessage::ShuffleRequest {
            entries,
            update: self.next_update(),
        };
        Some(Outgoing { to: peer, message })
    }

    /// Handles a message of a peer.
    pub fn receive(&mut self, now_ms: u64, from: SocketAddrV4, message: PeerMessage) -> Received {
        match message {
            PeerMessage::ShuffleRequest { entries, update } => {
                let entries = self
                    .view
                    .respond_to_shuffle(from, &entries, &mut self.random);
                let message = PeerMessage::ShuffleResponse {
                    entries,
                    update: self.next_update(),
                };
                let departures = self.receive_update(now_ms, from, update);
                Received {
                    response: Some(Outgoing { to: from, message }),
                    departures,
                }
            }
            PeerMessage::ShuffleResponse { entries, update } => {
                self.view.complete_shuffle(from, &entries);
                Received {
                    response: None,
                    departures: self.receive_update(now_ms, from, update),
                }
            }
        }
    }

    /// The peer from which to fetch a newer configuration now, if any.
    pub fn take_due_fetch(&mut self, now_ms: u64) -> Option<SocketAddrV4> {
        self.fetch.take_due(now_ms, self.configuration_version)
    }

    fn receive_update(
        &mut self,
        now_ms: u64,
        from: SocketAddrV4,
        update: GossipUpdate,
    ) -> Vec<InstanceDeparture> {
        self.fetch.record_advertised(
            now_ms,
            from,
            update.configuration_version,
            self.configuration_version,
        );
        update.departures
    }

    fn next_update(&mut self) -> GossipUpdate {
        GossipUpdate {
            configuration_version: self.configuration_version,
            departures: self.rumors.take_for_message(),
        }
    }
}

/// Draws the jitter of an interval, which desynchronizes agents that were started together.
fn draw_jitter_ms(random: &mut ChaCha8Rng) -> u64 {
    random.random_range(0..IDLE_GOSSIP_INTERVAL_MS / 4)
}
