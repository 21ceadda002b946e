//! A partial view of the fleet's agents: small, of constant size, and shuffled with others.
//!
//! An exchange is begun with the peer that was longest not heard of. It leaves the view for that time, so that an agent
//! that has ended, and can't answer, is forgotten.

use std::net::SocketAddrV4;

use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;

use super::message::PeerEntry;

/// Peers that an agent knows at most.
pub const VIEW_SIZE: usize = 8;
/// Entries that go each way in an exchange.
pub const SHUFFLE_SIZE: usize = 4;

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
    /// Knows nobody.
    pub fn new(own: SocketAddrV4) -> Self {
        PeerView { own, entries: Vec::new(), pending_shuffle: None, introduced: Vec::new() }
    }

    /// Addresses of the peers in the view.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.entries.iter().map(|entry| entry.address)
    }

    /// Takes a sample of agents from the control plane; it fills the room that there is.
    pub fn introduce(&mut self, addresses: &[SocketAddrV4]) {
        if addresses == self.introduced {
            return;
        }
        self.introduced = addresses.to_vec();
        self.fill_from_introduced();
    }

    /// Begins an exchange: whom with, and the entries to send.
    pub fn start_shuffle(&mut self, random: &mut ChaCha8Rng) -> Option<(SocketAddrV4, Vec<PeerEntry>)> {
        if self.entries.is_empty() {
            self.fill_from_introduced();
        }
        for entry in &mut self.entries {
            entry.age = entry.age.saturating_add(1);
        }
        let oldest = (0..self.entries.len()).max_by_key(|&position| self.entries[position].age)?;
        let peer = self.entries.swap_remove(oldest).address;
        let mut sent = self.sample(SHUFFLE_SIZE - 1, peer, random);
        self.pending_shuffle =
            Some(PendingShuffle { peer, sent: sent.iter().map(|entry| entry.address).collect() });
        sent.push(PeerEntry { address: self.own, age: 0 });
        Some((peer, sent))
    }

    /// Takes the entries of an exchange that a peer began; returns those to answer with.
    pub fn answer_shuffle(
        &mut self,
        peer: SocketAddrV4,
        received: &[PeerEntry],
        random: &mut ChaCha8Rng,
    ) -> Vec<PeerEntry> {
        let sent = self.sample(SHUFFLE_SIZE, peer, random);
        let sent_addresses: Vec<SocketAddrV4> = sent.iter().map(|entry| entry.address).collect();
        self.merge(received, sent_addresses);
        sent
    }

    /// Takes the answer to the exchange that was begun last; others are ignored.
    pub fn finish_shuffle(&mut self, peer: SocketAddrV4, received: &[PeerEntry]) {
        if self.pending_shuffle.as_ref().is_none_or(|pending| pending.peer != peer) {
            return;
        }
        let Some(pending) = self.pending_shuffle.take() else { return };
        self.merge(received, pending.sent);
        if self.entries.len() < VIEW_SIZE {
            self.add(PeerEntry { address: peer, age: 0 });
        }
    }

    fn sample(&self, count: usize, except: SocketAddrV4, random: &mut ChaCha8Rng) -> Vec<PeerEntry> {
        let others: Vec<PeerEntry> =
            self.entries.iter().filter(|entry| entry.address != except).copied().collect();
        let mut sample: Vec<PeerEntry> = others.sample(random, count).copied().collect();
        sample.shuffle(random);
        sample
    }

    /// Takes received entries: into free room first, then in place of those that were sent.
    fn merge(&mut self, received: &[PeerEntry], mut sent: Vec<SocketAddrV4>) {
        for entry in received.iter().take(SHUFFLE_SIZE) {
            if entry.address == self.own || self.refresh(entry) {
                continue;
            }
            if self.entries.len() >= VIEW_SIZE && !self.drop_one_of(&mut sent) {
                return;
            }
            self.add(*entry);
        }
    }

    /// Notes that a known peer was heard of more recently; false if it isn't known.
    fn refresh(&mut self, entry: &PeerEntry) -> bool {
        let known = self.entries.iter_mut().find(|known| known.address == entry.address);
        known.map(|known| known.age = known.age.min(entry.age)).is_some()
    }

    fn drop_one_of(&mut self, sent: &mut Vec<SocketAddrV4>) -> bool {
        while let Some(address) = sent.pop() {
            if let Some(position) = self.entries.iter().position(|entry| entry.address == address) {
                self.entries.swap_remove(position);
                return true;
            }
        }
        false
    }

    fn add(&mut self, entry: PeerEntry) {
        let known = self.entries.iter().any(|known| known.address == entry.address);
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
