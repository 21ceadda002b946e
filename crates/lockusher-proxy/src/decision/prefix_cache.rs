//! An index of the searchers' prefix caches: which prompt prefixes this proxy recently sent to which searchers.
//!
//! The parts of a prompt are hashed in order, so that one hash identifies all parts of a prefix. Owned by `Service`;
//! queried by `selection` for the tokens that a searcher needn't prefill again. Invariant: at most [`MAX_PREFIXES`]
//! prefixes with least-recently-used eviction, and at most [`MAX_HOLDERS_PER_PREFIX`] searchers per prefix.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

use super::types::{Micros, PromptPart, SearcherId};

/// Hash of a prefix: of the ids of its parts in order.
pub type PrefixHash = u64;

/// Maximum number of prefixes per service.
const MAX_PREFIXES: usize = 8_192;

/// Maximum number of searchers per prefix; the most recent are retained.
const MAX_HOLDERS_PER_PREFIX: usize = 6;

/// A number of leading parts of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    pub hash: PrefixHash,
    /// Tokens of these parts together.
    pub tokens: u32,
}

/// All prefixes of a prompt, from its first part alone to the complete prompt.
pub fn prefixes(prompt: &[PromptPart]) -> Vec<Prefix> {
    let mut hash = 0;
    let mut tokens = 0u32;
    let extend = |part: &PromptPart| {
        hash = mix(hash ^ part.id);
        tokens = tokens.saturating_add(part.tokens);
        Prefix { hash, tokens }
    };
    prompt.iter().map(extend).collect()
}

/// The prefix that other requests are likely to share: all parts but the last, which belongs to the request or its
/// session. A prompt with a single part belongs to a session.
pub fn shared_prefix(prefixes: &[Prefix]) -> Option<Prefix> {
    match prefixes {
        [] => None,
        [only] => Some(*only),
        [.., shared_prefix, _last] => Some(*shared_prefix),
    }
}

/// The finalizer of SplitMix64, which mixes all bits.
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// A searcher that was sent a prefix, and when.
#[derive(Clone, Copy, Debug)]
struct Holder {
    searcher: SearcherId,
    sent_at: Micros,
}

/// A hasher for keys that are hashes already.
#[derive(Debug, Default)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn write(&mut self, bytes: &[u8]) {
        self.0 = bytes
            .iter()
            .fold(self.0, |hash, byte| mix(hash ^ u64::from(*byte)));
    }

    fn write_u64(&mut self, hash: u64) {
        self.0 = hash;
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// The prefixes that this proxy sent to each searcher; bounded by least-recently-used eviction.
#[derive(Debug, Default)]
pub struct PrefixCacheIndex {
    holders: HashMap<PrefixHash, Vec<Holder>, BuildHasherDefault<IdentityHasher>>,
    /// Every prefix once, with the time of its insertion or requeueing.
    eviction_queue: VecDeque<(PrefixHash, Micros)>,
}

impl PrefixCacheIndex {
    /// Records that a searcher caches the prefixes of a prompt from now on.
    pub fn record(&mut self, now: Micros, searcher: SearcherId, prefixes: &[Prefix]) {
        for prefix in prefixes {
            self.record_prefix(now, searcher, prefix.hash);
        }
        while self.holders.len() > MAX_PREFIXES {
            self.evict_oldest();
        }
    }

    fn record_prefix(&mut self, now: Micros, searcher: SearcherId, hash: PrefixHash) {
        let holders = self.holders.entry(hash).or_default();
        if holders.is_empty() {
            self.eviction_queue.push_back((hash, now));
        }
        holders.retain(|holder| holder.searcher != searcher);
        if holders.len() == MAX_HOLDERS_PER_PREFIX {
            holders.remove(0);
        }
        holders.push(Holder {
            searcher,
            sent_at: now,
        });
    }

    /// Evicts the prefix at the front of the queue; one that was used since its insertion is requeued instead.
    fn evict_oldest(&mut self) {
        while let Some((hash, queued_at)) = self.eviction_queue.pop_front() {
            let last_used = self
                .holders
                .get(&hash)
                .and_then(|of| of.last())
                .map_or(0, |holder| holder.sent_at);
            if last_used <= queued_at {
                self.holders.remove(&hash);
                return;
            }
            self.eviction_queue.push_back((hash, last_used));
        }
    }

    /// Removes a searcher that has lost its cache.
    pub fn remove_searcher(&mut self, searcher: SearcherId) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder.searcher != searcher);
        }
        let holders = &mut self.holders;
        holders.retain(|_, of| !of.is_empty());
        self.eviction_queue
            .retain(|(hash, _)| holders.contains_key(hash));
    }

    /// The most tokens of these prefixes that a searcher has cached, from what it was sent at or after `since`.
    pub fn cached_tokens(&self, searcher: SearcherId, since: Micros, prefixes: &[Prefix]) -> u32 {
        let was_sent = |prefix: &&Prefix| {
            let mut holders = self.holders.get(&prefix.hash).into_iter().flatten();
            holders.any(|holder| holder.searcher == searcher && holder.sent_at >= since)
        };
        prefixes
            .iter()
            .rev()
            .find(was_sent)
            .map_or(0, |prefix| prefix.tokens)
    }
}
