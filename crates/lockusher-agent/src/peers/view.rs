//! The partial view of a peer sampling service: of bounded size, and shuffled with the views of other agents.
//!
//! An exchange is started with the peer that has the oldest entry. The entry is removed for the duration of the
//! exchange and added again with the response, so that agents that have terminated disappear from the view.
//!
//! Owned by [`Gossip`](super::gossip::Gossip). Invariants: at most [`VIEW_SIZE`] entries, no duplicate addresses, no
//! entry of the agent itself. Source: the enhanced shuffle of CYCLON (Voulgaris, Gavidia and van Steen, 2005, section
//! 2.2).

use std::net::SocketAddrV4;

use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;

use super::message::PeerEntry;

/// Maximum number of entries in a view.
pub const VIEW_SIZE: usize = 8;
/// Number of entries sent in each direction of an exchange.
pub const SHUFFLE_SIZE: usize = 4;

/// The request of an exchange to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shuffle {
    /// The peer to exchange entries with.
    pub peer: SocketAddrV4,
    /// The entries to send; the agent's own entry is the last.
    pub entries: Vec<PeerEntry>,
}

/// An exchange without a response so far.
#[derive(Debug)]
struct PendingShuffle {
    peer: SocketAddrV4,
    sent: Vec<SocketAddrV4>,
}

/// The partial view of an agent.
#[derive(Debug)]
pub struct PeerView {
    own_address: SocketAddrV4,
    entries: Vec<PeerEntry>,
    pending_shuffle: Option<PendingShuffle>,
    /// The last sample of agents from the control plane, used when the view is empty.
    bootstrap_peers: Vec<SocketAddrV4>,
}

impl PeerView {
    /// An empty view of the agent at `own_address`.
    pub fn new(own_address: SocketAddrV4) -> Self {
        PeerView {
            own_address,
            entries: Vec::new(),
            pending_shuffle: None,
            bootstrap_peers: Vec::new(),
        }
    }

    /// Addresses of the peers in the view.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.entries.iter().map(|entry| entry.address)
    }

    /// Sets the sample of agents from the control plane, and fills the free capacity of the view with it.
    pub fn set_bootstrap_peers(&mut self, addresses: &[SocketAddrV4]) {
        if addresses == self.bootstrap_peers {
            return;
        }
        self.bootstrap_peers = addresses.to_vec();
        self.fill_from_bootstrap_peers();
    }

    /// Starts an exchange with the peer that has the oldest entry, if there is one.
    pub fn start_shuffle(&mut self, random: &mut ChaCha8Rng) -> Option<Shuffle> {
        if self.entries.is_empty() {
            self.fill_from_bootstrap_peers();
        }
        for entry in &mut self.entries {
            entry.age = entry.age.saturating_add(1);
        }
        let peer = self.remove_oldest()?;
        let mut entries = self.sample(SHUFFLE_SIZE - 1, peer, random);
        self.pending_shuffle = Some(PendingShuffle {
            peer,
            sent: addresses_of(&entries),
        });
        entries.push(PeerEntry {
            address: self.own_address,
            age: 0,
        });
        Some(Shuffle { peer, entries })
    }

    /// Handles the entries of an exchange that `peer` started; returns the entries of the response.
    pub fn respond_to_shuffle(
        &mut self,
        peer: SocketAddrV4,
        received: &[PeerEntry],
        random: &mut ChaCha8Rng,
    ) -> Vec<PeerEntry> {
        let response = self.sample(SHUFFLE_SIZE, peer, random);
        self.merge(received, addresses_of(&response));
        response
    }

    /// Handles the response to the exchange that was started last; other responses are ignored.
    pub fn complete_shuffle(&mut self, peer: SocketAddrV4, received: &[PeerEntry]) {
        let Some(pending) = self.pending_shuffle.take_if(|pending| pending.peer == peer) else {
            return;
        };
        self.merge(received, pending.sent);
        if self.entries.len() < VIEW_SIZE {
            self.add(PeerEntry {
                address: peer,
                age: 0,
            });
        }
    }

    fn remove_oldest(&mut self) -> Option<SocketAddrV4> {
        let oldest = (0..self.entries.len()).max_by_key(|&position| self.entries[position].age)?;
        Some(self.entries.swap_remove(oldest).address)
    }

    /// Up to `count` random entries in random order, without that of `excluded`.
    fn sample(
        &self,
        count: usize,
        excluded: SocketAddrV4,
        random: &mut ChaCha8Rng,
    ) -> Vec<PeerEntry> {
        let others: Vec<PeerEntry> = self
            .entries
            .iter()
            .filter(|entry| entry.address != excluded)
            .copied()
            .collect();
        let mut sample: Vec<PeerEntry> = others.sample(random, count).copied().collect();
        sample.shuffle(random);
        sample
    }

    /// Merges received entries: fills free capacity first, then replaces entries that were sent.
    fn merge(&mut self, received: &[PeerEntry], mut sent: Vec<SocketAddrV4>) {
        for entry in received.iter().take(SHUFFLE_SIZE) {
            if entry.address == self.own_address || self.refresh_age(entry) {
                continue;
            }
            if self.entries.len() >= VIEW_SIZE && !self.evict_one_of(&mut sent) {
                return;
            }
            self.add(*entry);
        }
    }

    /// Lowers the age of a known peer's entry to the received one if that is younger; false if the peer isn't known.
    fn refresh_age(&mut self, entry: &PeerEntry) -> bool {
        let known = self
            .entries
            .iter_mut()
            .find(|known| known.address == entry.address);
        known
            .map(|known| known.age = known.age.min(entry.age))
            .is_some()
    }

    /// Evicts one of the entries that were sent; false if none of them is left in the view.
    fn evict_one_of(&mut self, sent: &mut Vec<SocketAddrV4>) -> bool {
        while let Some(address) = sent.pop() {
            if let Some(position) = self
                .entries
                .iter()
                .position(|entry| entry.address == address)
            {
                self.entries.swap_remove(position);
                return true;
            }
        }
        false
    }

    fn add(&mut self, entry: PeerEntry) {
        let known = self
            .entries
            .iter()
            .any(|known| known.address == entry.address);
        if !known && entry.address != self.own_address && self.entries.len() < VIEW_SIZE {
            self.entries.push(entry);
        }
    }

    fn fill_from_bootstrap_peers(&mut self) {
        for address in self.bootstrap_peers.clone() {
            self.add(PeerEntry { address, age: 0 });
        }
    }
}

fn addresses_of(entries: &[PeerEntry]) -> Vec<SocketAddrV4> {
    entries.iter().map(|entry| entry.address).collect()
}
