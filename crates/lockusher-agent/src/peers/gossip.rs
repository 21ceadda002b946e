//! Decides when and with whom an agent exchanges entries and news, and what it learns from that.

use std::net::SocketAddrV4;

use lockusher_distribution::departures::Departure;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fetch::FetchPolicy;
use super::message::{EndRumor, News, PeerMessage};
use super::rumors::Rumors;
use super::view::PeerView;

/// Pause between two rounds at rest.
pub const REST_ROUND_MS: u64 = 1_000;
/// Pause between two rounds while the control plane isn't heard and there is something to tell.
pub const URGENT_ROUND_MS: u64 = 200;

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    pub to: SocketAddrV4,
    pub message: PeerMessage,
}

/// What a message brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    pub answer: Option<Outgoing>,
    /// Ends that the sender saw; those that are new are to be told on by [`Gossip::learn`].
    pub ended: Vec<EndRumor>,
}

/// One agent's part in the gossip.
#[derive(Debug)]
pub struct Gossip {
    view: PeerView,
    rumors: Rumors,
    fetch: FetchPolicy,
    configuration_version: u64,
    last_round_ms: u64,
    jitter_ms: u64,
    random: ChaCha8Rng,
}

impl Gossip {
    /// `own`: the address at which this agent hears others.
    pub fn new(own: SocketAddrV4, random_seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(random_seed);
        let jitter_ms = random.random_range(0..REST_ROUND_MS / 4);
        Gossip {
            view: PeerView::new(own),
            rumors: Rumors::default(),
            fetch: FetchPolicy::default(),
            configuration_version: 0,
            last_round_ms: 0,
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
    pub fn learn(&mut self, identifier: String, end: Departure) {
        self.rumors.learn(EndRumor { identifier, end });
    }

    /// When the next round is due; `cut_off`: the control plane isn't heard.
    pub fn next_round_ms(&self, cut_off: bool) -> u64 {
        let urgent = cut_off && !self.rumors.is_empty();
        let pause_ms = if urgent { URGENT_ROUND_MS } else { REST_ROUND_MS + self.jitter_ms };
        self.last_round_ms + pause_ms
    }

    /// Begins a round.
    pub fn round(&mut self, now_ms: u64) -> Option<Outgoing> {
        self.last_round_ms = now_ms;
        self.jitter_ms = self.random.random_range(0..REST_ROUND_MS / 4);
        let (to, entries) = self.view.begin(&mut self.random)?;
        let message = PeerMessage::Shuffle { entries, news: self.news() };
        Some(Outgoing { to, message })
    }

    /// Takes a message of a peer.
    pub fn receive(&mut self, now_ms: u64, from: SocketAddrV4, message: PeerMessage) -> Received {
        match message {
            PeerMessage::Shuffle { entries, news } => {
                let entries = self.view.answer(from, &entries, &mut self.random);
                let message = PeerMessage::Answer { entries, news: self.news() };
                let ended = self.hear(now_ms, from, news);
                Received { answer: Some(Outgoing { to: from, message }), ended }
            }
            PeerMessage::Answer { entries, news } => {
                self.view.finish(from, &entries);
                Received { answer: None, ended: self.hear(now_ms, from, news) }
            }
        }
    }

    /// The peer to fetch a newer configuration from now, if any.
    pub fn take_fetch(&mut self, now_ms: u64) -> Option<SocketAddrV4> {
        self.fetch.take_due(now_ms, self.configuration_version)
    }

    fn hear(&mut self, now_ms: u64, from: SocketAddrV4, news: News) -> Vec<EndRumor> {
        self.fetch.hear(now_ms, from, news.configuration_version, self.configuration_version);
        news.ended
    }

    fn news(&mut self) -> News {
        News { configuration_version: self.configuration_version, ended: self.rumors.tell() }
    }
}
