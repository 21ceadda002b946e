//! How busy the searchers of a service are, as proxies report it: the stages of searchers are assigned by it.
//!
//! Each proxy reports what it sees itself, by a [`LoadReporter`](crate::subscribe::LoadReporter). Invariant: every
//! publisher of the tree sums up what its subscribers report, so that the head of the control plane knows the fleet's
//! load, however the tree is arranged.
//!
//! Source: J. D. C. Little, "A Proof for the Queuing Formula: L = λW" (1961).

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};

/// Averages are reported in hundredths, so that small ones have digits enough.
pub const HUNDREDTHS: u32 = 100;

/// A load that has grown or shrunk by this factor is reported at the next heartbeat.
const NOTICEABLE_CHANGE_FACTOR: u32 = 2;
/// Averages below this, in hundredths of a request, are noise.
const NOISE_FLOOR_HUNDREDTHS: u32 = 50;

/// The load of one service with an inference engine over the last second or so, seen by one proxy or summed over several.
///
/// By Little's law the mean number of requests at the prefill searchers is the offered prefill time: prefills per second
/// times the time of each, waiting included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Proxies whose load is included.
    pub proxies: u32,
    /// Requests taken from clients, per second.
    pub requests_per_s: u32,
    /// Tokens of prompts sent to prefill searchers that weren't expected in their prefix caches, per second.
    pub prefill_tokens_per_s: u32,
    /// Mean number of requests at prefill searchers, in hundredths.
    pub prefill_in_flight: u32,
    /// Mean number of requests at decode searchers, in hundredths.
    pub decode_in_flight: u32,
    /// Mean number of requests at decode searchers that wait for their first event, in hundredths.
    pub decode_waiting: u32,
    /// Mean number of prompt tokens of the requests at decode searchers: the KV cache that they occupy.
    pub decode_tokens: u32,
}

impl ServiceLoad {
    /// Adds the load that other proxies see.
    pub fn add(&mut self, other: &ServiceLoad) {
        self.proxies = self.proxies.saturating_add(other.proxies);
        self.requests_per_s = self.requests_per_s.saturating_add(other.requests_per_s);
        self.prefill_tokens_per_s = self
            .prefill_tokens_per_s
            .saturating_add(other.prefill_tokens_per_s);
        self.prefill_in_flight = self
            .prefill_in_flight
            .saturating_add(other.prefill_in_flight);
        self.decode_in_flight = self.decode_in_flight.saturating_add(other.decode_in_flight);
        self.decode_waiting = self.decode_waiting.saturating_add(other.decode_waiting);
        self.decode_tokens = self.decode_tokens.saturating_add(other.decode_tokens);
    }

    /// Whether the requests at either stage have at least doubled or halved since `last_reported`.
    fn differs_from(&self, last_reported: &ServiceLoad) -> bool {
        let has_changed = |now: u32, before: u32| {
            let (low, high) = (now.min(before), now.max(before));
            high >= NOISE_FLOOR_HUNDREDTHS && high >= low.saturating_mul(NOTICEABLE_CHANGE_FACTOR)
        };
        has_changed(self.prefill_in_flight, last_reported.prefill_in_flight)
            || has_changed(self.decode_in_flight, last_reported.decode_in_flight)
    }
}

/// Sums up loads by service, in the order of their names.
pub fn sum<'a>(loads: impl IntoIterator<Item = &'a ServiceLoad>) -> Vec<ServiceLoad> {
    let mut sums: BTreeMap<&str, ServiceLoad> = BTreeMap::new();
    for load in loads {
        let empty = || ServiceLoad {
            service: load.service.clone(),
            ..ServiceLoad::default()
        };
        sums.entry(&load.service).or_insert_with(empty).add(load);
    }
    sums.into_values().collect()
}

/// Whether `now` should be reported at once, `last_reported` being what was reported last.
pub fn is_noticeable(now: &[ServiceLoad], last_reported: &[ServiceLoad]) -> bool {
    now.iter().any(|load| {
        let before = last_reported
            .iter()
            .find(|before| before.service == load.service);
        load.differs_from(before.unwrap_or(&ServiceLoad::default()))
    })
}
