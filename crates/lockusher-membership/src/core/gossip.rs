//! Gossip piggybacked on datagrams: each item is sent a bounded number of times, the least-sent first.

use std::collections::BTreeMap;

use super::table::{MixerName, NameMap};

/// Each item is sent this multiple of the logarithm of the fleet's size: SWIM's analysis asks for a small multiple, and
/// with 3 a member of a fleet of 300 misses an item with a chance below one in a thousand when nothing is lost.
/// Anti-entropy repairs what is missed.
const RETRANSMIT_MULTIPLIER: f64 = 3.0;

/// How often an item was sent, then the order of arrival.
type QueueKey = (u32, u64);

/// The items to be gossiped, one per member.
#[derive(Default)]
pub(super) struct GossipQueue {
    /// The least-sent item first. A new record of a member replaces its older one.
    queue: BTreeMap<QueueKey, MixerName>,
    keys: NameMap<QueueKey>,
    next_sequence: u64,
}

impl GossipQueue {
    /// Queues an item as new.
    pub fn add(&mut self, name: &MixerName) {
        self.remove(name);
        self.enqueue(name.clone(), 0);
    }

    pub fn remove(&mut self, name: &MixerName) {
        if let Some(key) = self.keys.remove(name) {
            self.queue.remove(&key);
        }
    }

    /// Whether an item of this member is queued.
    pub fn contains(&self, name: &MixerName) -> bool {
        self.keys.contains_key(name)
    }

    /// Drops all items but the wanted ones.
    pub fn retain(&mut self, wanted: impl Fn(&MixerName) -> bool) {
        self.queue.retain(|_, name| wanted(name));
        self.keys.retain(|name, _| wanted(name));
    }

    fn enqueue(&mut self, name: MixerName, sent_count: u32) {
        let key = (sent_count, self.next_sequence);
        self.next_sequence += 1;
        self.keys.insert(name.clone(), key);
        self.queue.insert(key, name);
    }

    /// Offers items in order until one is not accepted. Items that were sent often enough are dropped.
    pub fn offer(&mut self, live_count: usize, mut accept: impl FnMut(&MixerName) -> bool) {
        let transmit_limit =
            (RETRANSMIT_MULTIPLIER * (live_count.max(2) as f64).log2()).ceil() as u32;
        let mut sent: Vec<QueueKey> = Vec::new();
        for (key, name) in &self.queue {
            if !accept(name) {
                break;
            }
            sent.push(*key);
        }
        for key in sent {
            let Some(name) = self.queue.remove(&key) else {
                continue;
            };
            match key.0 + 1 < transmit_limit {
                true => self.enqueue(name, key.0 + 1),
                false => drop(self.keys.remove(&name)),
            }
        }
    }
}
