//! The partial view of a peer sampling service: small, of constant size, and shuffled with others.
//!
//! An exchange is started with the peer whose entry is the oldest. That peer leaves the view for the time of the exchange
//! and returns with its response, so that an agent that has terminated, and can't respond, is forgotten.
//!
//! Owned by [`Gossip`](super::gossip::Gossip). Invariants: at most [`VIEW_SIZE`] entries, no address twice, never the
//! agent's own. Source: the enhanced shuffle of CYCLON (Voulgaris, Gavidia and van Steen, 2005, section 2.2).

use std::net::SocketAddrV4;

use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;

use super::message::PeerEntry;

/// Peers that an agent knows at most.
pub const VIEW_SIZE: usize = 8;
/// Entries that go each way in an exchange.
pub const SHUFFLE_SIZE: usize = 4;

/// An exchange to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shuffle {
    /// Whom to exchange with.
    pub peer: SocketAddrV4,
    /// The entries to send, the agent's own the last.
    pub entries: Vec<PeerEntry>,
}

/// An exchange that hasn't been answered.
#[derive(Debug)]
struct PendingShuffle {
    peer: SocketAddrV4,
    sent: Vec<SocketAddrV4>,
}

/// The peers that an agent knows.
#[derive(Debug)]
pub struct PeerView {
    own: SocketAddrV4,
    entries: Vec<PeerEntry>,
    pending_shuffle: Option<PendingShuffle>,
    /// The last sample from the control plane, for when the view has run empty.
    introduced: Vec<SocketAddrV4>,
}

impl PeerView {
    /// An empty view of the agent at `own`.
    pub fn new(own: SocketAddrV4) -> Self {
        PeerView {
            own,
            entries: Vec::new(),
            pending_shuffle: None,
            introduced: Vec::new(),
        }
    }

    /// Addresses of the peers in the view.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.entries.iter().map(|entry| entry.address)
    }

    /// Takes a sample of agents from the control plane; it fills the free capacity of the view.
    pub fn introduce(&mut self, addresses: &[SocketAddrV4]) {
        if addresses == self.introduced {
            return;
        }
        self.introduced = addresses.to_vec();
        self.fill_from_introduced();
    }

    /// Starts an exchange with the peer of the oldest entry, if there is one.
    pub fn start_shuffle(&mut self, random: &mut ChaCha8Rng) -> Option<Shuffle> {
        if self.entries.is_empty() {
            self.fill_from_introduced();
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
            address: self.own,
            age: 0,
        });
        Some(Shuffle { peer, entries })
    }

    /// Takes the entries of an exchange that `peer` started; returns those to respond with.
    pub fn answer_shuffle(
        &mut self,
        peer: SocketAddrV4,
        received: &[PeerEntry],
        random: &mut ChaCha8Rng,
    ) -> Vec<PeerEntry> {
        let response = self.sample(SHUFFLE_SIZE, peer, random);
        self.merge(received, addresses_of(&response));
        response
    }

    /// Takes the response to the exchange that was started last; others are ignored.
    pub fn finish_shuffle(&mut self, peer: SocketAddrV4, received: &[PeerEntry]) {
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

    /// Up to `count` random entries in random order, that of `except` not among them.
    fn sample(
        &self,
        count: usize,
        except: SocketAddrV4,
        random: &mut ChaCha8Rng,
    ) -> Vec<PeerEntry> {
        let others: Vec<PeerEntry> = self
            .entries
            .iter()
            .filter(|entry| entry.address != except)
            .copied()
            .collect();
        let mut sample: Vec<PeerEntry> = others.sample(random, count).copied().collect();
        sample.shuffle(random);
        sample
    }

    /// Takes received entries: into free capacity first, then in place of those that were sent.
    fn merge(&mut self, received: &[PeerEntry], mut sent: Vec<SocketAddrV4>) {
        for entry in received.iter().take(SHUFFLE_SIZE) {
            if entry.address == self.own || self.refresh(entry) {
                continue;
            }
            if self.entries.len() >= VIEW_SIZE && !self.remove_one_of(&mut sent) {
                return;
            }
            self.add(*entry);
        }
    }

    /// Takes the younger age of a peer that is known; false if it isn't known.
    fn refresh(&mut self, entry: &PeerEntry) -> bool {
        let known = self
            .entries
            .iter_mut()
            .find(|known| known.address == entry.address);
        known
            .map(|known| known.age = known.age.min(entry.age))
            .is_some()
    }

    /// Makes capacity by removing one of the entries that were sent; false if none is left in the view.
    fn remove_one_of(&mut self, sent: &mut Vec<SocketAddrV4>) -> bool {
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
        if !known && entry.address != self.own && self.entries.len() < VIEW_SIZE {
            self.entries.push(entry);
        }
    }

    fn fill_from_introduced(&mut self) {
        for address in self.introduced.clone() {
            self.add(PeerEntry { address, age: 0 });
        }
    }
}

fn addresses_of(entries: &[PeerEntry]) -> Vec<SocketAddrV4> {
    entries.iter().map(|entry| entry.address).collect()
}
