//! Load of a service's searchers as reported by proxies; the control plane assigns the searchers' stages by it.
//!
//! Each proxy reports the load that it measures, by a [`LoadReporter`](crate::subscribe::LoadReporter). Invariant: each
//! publisher of the tree sums the loads that its subscribers report, so that the head of the control plane has the
//! fleet's load, whatever the shape of the tree.
//!
//! Source: J. D. C. Little, "A Proof for the Queuing Formula: L = λW" (1961).

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};

/// Averages are reported in hundredths, which keeps two decimal places of small ones.
pub const HUNDREDTHS_PER_UNIT: u32 = 100;

/// A load that has grown or shrunk by at least this factor is reported at the next heartbeat.
const SIGNIFICANT_CHANGE_FACTOR: u32 = 2;
/// Averages below this, in hundredths of a request, are noise.
const NOISE_FLOOR_HUNDREDTHS: u32 = 50;

/// Load of one service with an inference engine, averaged over about the last second, as measured by one proxy or
/// summed over several.
///
/// By Little's law, the mean number of requests at the prefill searchers is the offered prefill time: prefills per
/// second times the time of each, waiting included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: String,
    /// Number of proxies whose load is included.
    pub proxies: u32,
    /// Requests received from clients, per second.
    pub requests_per_s: u32,
    /// Prompt tokens sent to prefill searchers and not expected in their prefix caches, per second.
    pub prefill_tokens_per_s: u32,
    /// Mean number of requests at prefill searchers, in hundredths.
    pub prefill_in_flight: u32,
    /// Mean number of requests at decode searchers, in hundredths.
    pub decode_in_flight: u32,
    /// Mean number of requests at decode searchers that wait for their first event, in hundredths.
    pub decode_waiting: u32,
    /// Mean number of prompt tokens of the requests at decode searchers, which is the KV cache that they occupy.
    pub decode_tokens: u32,
}

impl ServiceLoad {
    /// Adds the load measured by other proxies.
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

    /// Whether the number of requests at either stage has at least doubled or halved since `last_reported`.
    fn differs_from(&self, last_reported: &ServiceLoad) -> bool {
        let has_changed = |current: u32, previous: u32| {
            let (low, high) = (current.min(previous), current.max(previous));
            high >= NOISE_FLOOR_HUNDREDTHS && high >= low.saturating_mul(SIGNIFICANT_CHANGE_FACTOR)
        };
        has_changed(self.prefill_in_flight, last_reported.prefill_in_flight)
            || has_changed(self.decode_in_flight, last_reported.decode_in_flight)
    }
}

/// Sums loads by service; the result is sorted by service name.
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

/// Whether `current` differs enough from `last_reported`, the last report, to be reported at the next heartbeat.
pub fn is_significant_change(current: &[ServiceLoad], last_reported: &[ServiceLoad]) -> bool {
    current.iter().any(|load| {
        let previous = last_reported
            .iter()
            .find(|previous| previous.service == load.service);
        load.differs_from(previous.unwrap_or(&ServiceLoad::default()))
    })
}
