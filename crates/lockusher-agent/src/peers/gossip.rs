//! Decides when and with whom an agent exchanges entries and news, and what it learns from that.

use std::net::SocketAddrV4;

use lockusher_distribution::departures::Departure;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fetch_policy::FetchPolicy;
use super::message::{GossipUpdate, InstanceDeparture, PeerMessage};
use super::rumors::Rumors;
use super::view::PeerView;

/// Pause between two rounds at rest.
pub const IDLE_GOSSIP_INTERVAL_MS: u64 = 1_000;
/// Pause between two rounds while the control plane isn't heard and there is something to tell.
pub const URGENT_GOSSIP_INTERVAL_MS: u64 = 200;

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    pub to: SocketAddrV4,
    pub message: PeerMessage,
}

/// What a message brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    pub response: Option<Outgoing>,
    /// Ends that the sender saw; those that are new are to be told on by [`Gossip::add_rumor`].
    pub departures: Vec<InstanceDeparture>,
}

/// One agent's part in the gossip.
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
    /// `own`: the address at which this agent hears others.
    pub fn new(own: SocketAddrV4, random_seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(random_seed);
        let jitter_ms = random.random_range(0..IDLE_GOSSIP_INTERVAL_MS / 4);
        Gossip {
            view: PeerView::new(own),
            rumors: Rumors::default(),
            fetch: FetchPolicy::default(),
            configuration_version: 0,
            last_exchange_ms: 0,
            jitter_ms,
            random,
        }
    }

    /// The peers that are known.
    pub fn view(&self) -> &PeerView {
        &self.view
    }

    /// Takes a sample of agents from the control plane.
    pub fn introduce(&mut self, addresses: &[SocketAddrV4]) {
        self.view.introduce(addresses);
    }

    /// Sets the newest configuration version that this agent holds.
    pub fn set_configuration_version(&mut self, version: u64) {
        self.configuration_version = version;
    }

    /// Takes an end that is new to this agent.
    pub fn add_rumor(&mut self, identifier: String, departure: Departure) {
        self.rumors.add(InstanceDeparture { identifier, departure });
    }

    /// When the next round is due; `is_partitioned`: the control plane isn't heard.
    pub fn next_exchange_ms(&self, is_partitioned: bool) -> u64 {
        let urgent = is_partitioned && !self.rumors.is_empty();
        let pause_ms =
            if urgent { URGENT_GOSSIP_INTERVAL_MS } else { IDLE_GOSSIP_INTERVAL_MS + self.jitter_ms };
        self.last_exchange_ms + pause_ms
    }

    /// Begins a round.
    pub fn start_exchange(&mut self, now_ms: u64) -> Option<Outgoing> {
        self.last_exchange_ms = now_ms;
        self.jitter_ms = self.random.random_range(0..IDLE_GOSSIP_INTERVAL_MS / 4);
        let (to, entries) = self.view.start_shuffle(&mut self.random)?;
        let message = PeerMessage::ShuffleRequest { entries, update: self.next_update() };
        Some(Outgoing { to, message })
    }

    /// Takes a message of a peer.
    pub fn receive(&mut self, now_ms: u64, from: SocketAddrV4, message: PeerMessage) -> Received {
        match message {
            PeerMessage::ShuffleRequest { entries, update } => {
                let entries = self.view.answer_shuffle(from, &entries, &mut self.random);
                let message = PeerMessage::ShuffleResponse { entries, update: self.next_update() };
                let departures = self.receive_update(now_ms, from, update);
                Received { response: Some(Outgoing { to: from, message }), departures }
            }
            PeerMessage::ShuffleResponse { entries, update } => {
                self.view.finish_shuffle(from, &entries);
                Received { response: None, departures: self.receive_update(now_ms, from, update) }
            }
        }
    }

    /// The peer to fetch a newer configuration from now, if any.
    pub fn take_fetch(&mut self, now_ms: u64) -> Option<SocketAddrV4> {
        self.fetch.take_due(now_ms, self.configuration_version)
    }

    fn receive_update(
        &mut self,
        now_ms: u64,
        from: SocketAddrV4,
        update: GossipUpdate,
    ) -> Vec<InstanceDeparture> {
        self.fetch.advertise(now_ms, from, update.configuration_version, self.configuration_version);
        update.departures
    }

    fn next_update(&mut self) -> GossipUpdate {
        GossipUpdate {
            configuration_version: self.configuration_version,
            departures: self.rumors.take_for_message(),
        }
    }
}
