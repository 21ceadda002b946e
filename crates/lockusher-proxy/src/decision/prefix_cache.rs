//! An index of the searchers' prefix caches: which were lately sent which prefixes of prompts, by this proxy.
//!
//! A prompt's parts are hashed in order, so that each prefix has one hash that names all of its parts. Owned by
//! `Service`; asked by `selection` for the tokens that a searcher needn't
//! prefill again. Invariant: at most [`MAX_PREFIXES`] prefixes, those used least recently evicted first, and at most
//! [`MAX_HOLDERS_PER_PREFIX`] searchers for each.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

use super::types::{Micros, PromptPart, SearcherId};

/// The hash of a prefix: of the ids of its parts in order.
pub type PrefixHash = u64;

/// Prefixes that are retained for one service.
const MAX_PREFIXES: usize = 8_192;

/// Searchers that are retained for one prefix; the newest stay.
const MAX_HOLDERS_PER_PREFIX: usize = 6;

/// One length of a prompt's leading parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    pub key: PrefixHash,
    /// Tokens of these parts together.
    pub tokens: u32,
}

/// The prefixes of a prompt, from the first part to all of them.
pub fn prefixes(prompt: &[PromptPart]) -> Vec<Prefix> {
    let mut key = 0;
    let mut tokens = 0u32;
    let step = |part: &PromptPart| {
        key = mix(key ^ part.id);
        tokens = tokens.saturating_add(part.tokens);
        Prefix { key, tokens }
    };
    prompt.iter().map(step).collect()
}

/// The prefix that other requests are likely to share: all parts but the last, which is the request's own or
/// its session's; a prompt of one part is a session's.
pub fn shared(prefixes: &[Prefix]) -> Option<Prefix> {
    match prefixes {
        [] => None,
        [only] => Some(*only),
        [.., shared, _last] => Some(*shared),
    }
}

/// A hash with all bits well mixed (the finalizer of SplitMix64).
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
    sent: Micros,
}

/// Takes keys that are hashes already.
#[derive(Debug, Default)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn write(&mut self, bytes: &[u8]) {
        self.0 = bytes
            .iter()
            .fold(self.0, |hash, byte| mix(hash ^ u64::from(*byte)));
    }

    fn write_u64(&mut self, key: u64) {
        self.0 = key;
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// What this proxy sent where; bounded, the prefixes used least recently are evicted.
#[derive(Debug, Default)]
pub struct PrefixCacheIndex {
    holders: HashMap<PrefixHash, Vec<Holder>, BuildHasherDefault<IdentityHasher>>,
    /// Every prefix once, with the time when it was put here.
    order: VecDeque<(PrefixHash, Micros)>,
}

impl PrefixCacheIndex {
    /// Records that a searcher has cached a prompt's prefixes from now on.
    pub fn record(&mut self, now: Micros, searcher: SearcherId, prefixes: &[Prefix]) {
        for prefix in prefixes {
            self.record_prefix(now, searcher, prefix.key);
        }
        while self.holders.len() > MAX_PREFIXES {
            self.forget_oldest();
        }
    }

    fn record_prefix(&mut self, now: Micros, searcher: SearcherId, key: PrefixHash) {
        let holders = self.holders.entry(key).or_default();
        if holders.is_empty() {
            self.order.push_back((key, now));
        }
        holders.retain(|holder| holder.searcher != searcher);
        if holders.len() == MAX_HOLDERS_PER_PREFIX {
            holders.remove(0);
        }
        holders.push(Holder {
            searcher,
            sent: now,
        });
    }

    /// Evicts the prefix put in first, unless it was used since: then it goes to the end of the queue.
    fn forget_oldest(&mut self) {
        while let Some((key, since)) = self.order.pop_front() {
            let newest = self
                .holders
                .get(&key)
                .and_then(|of| of.last())
                .map_or(0, |holder| holder.sent);
            if newest <= since {
                self.holders.remove(&key);
                return;
            }
            self.order.push_back((key, newest));
        }
    }

    /// Removes a searcher that has lost its cache.
    pub fn forget_searcher(&mut self, searcher: SearcherId) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder.searcher != searcher);
        }
        let holders = &mut self.holders;
        holders.retain(|_, of| !of.is_empty());
        self.order.retain(|(key, _)| holders.contains_key(key));
    }

    /// The most tokens of these prefixes that a searcher has cached, by what it was sent after `since`.
    pub fn cached_tokens(&self, searcher: SearcherId, since: Micros, prefixes: &[Prefix]) -> u32 {
        let was_sent = |prefix: &&Prefix| {
            let mut holders = self.holders.get(&prefix.key).into_iter().flatten();
            holders.any(|holder| holder.searcher == searcher && holder.sent >= since)
        };
        prefixes
            .iter()
            .rev()
            .find(was_sent)
            .map_or(0, |prefix| prefix.tokens)
    }
}
