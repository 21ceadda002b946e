//! Selects the endpoint of the next request, and its time.

use lockusher_policy::interface::{Span, Time};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// An endpoint, by its index in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointId(pub usize);

/// Backoff after an endpoint's first failure; it doubles with each further one in a row. Long enough for a process to
/// restart, short compared to the grace period of a drain.
const INITIAL_BACKOFF: Span = Span::from_millis(100);
/// The backoff grows no longer than this, the grace period of a drain. With 8 s, a registry that had been unavailable
/// for 3 s was found again up to 5 s after its return.
const MAX_BACKOFF: Span = Span::from_millis(2_000);
/// Minimum interval between two attempts of one mixer, across all endpoints: ten endpoints that all refuse are tried
/// within half a second.
const MIN_ATTEMPT_INTERVAL: Span = Span::from_millis(50);

struct Endpoint {
    failures: u32,
    backoff_until: Time,
}

/// The endpoints of one registry, used in round-robin order from a random one, so that mixers spread over them.
pub struct Endpoints {
    endpoints: Vec<Endpoint>,
    current: usize,
    next_attempt: Time,
}

impl Endpoints {
    /// Selects a random endpoint out of `count`.
    pub fn new(now: Time, count: usize, rng: &mut ChaCha8Rng) -> Self {
        let endpoints = (0..count)
            .map(|_| Endpoint {
                failures: 0,
                backoff_until: now,
            })
            .collect();
        Endpoints {
            endpoints,
            current: rng.random_range(0..count.max(1)),
            next_attempt: now,
        }
    }

    /// The number of endpoints.
    pub fn count(&self) -> usize {
        self.endpoints.len()
    }

    /// The current endpoint.
    pub fn current(&self) -> EndpointId {
        EndpointId(self.current)
    }

    /// Records a failure of the current endpoint and selects the one whose backoff ends first, in round-robin order.
    /// Returns when it may be used.
    pub fn record_failure(&mut self, now: Time, rng: &mut ChaCha8Rng) -> Time {
        let count = self.endpoints.len();
        let endpoint = &mut self.endpoints[self.current];
        endpoint.failures += 1;
        let backoff = INITIAL_BACKOFF
            .times(2f64.powi(endpoint.failures.min(16) as i32 - 1))
            .min(MAX_BACKOFF);
        // Jitter: mixers that lost the registry at the same instant must not reconnect at the same time.
        endpoint.backoff_until = now + backoff.times(rng.random_range(0.5..1.5));
        let ring = (1..=count).map(|step| (self.current + step) % count);
        let next = ring
            .min_by_key(|i| self.endpoints[*i].backoff_until.max(now))
            .unwrap_or(self.current);
        self.current = next;
        self.schedule_attempt(now, rng)
            .max(self.endpoints[next].backoff_until)
    }

    /// Reserves the time of the next attempt, without recording a failure.
    pub fn schedule_attempt(&mut self, now: Time, rng: &mut ChaCha8Rng) -> Time {
        let jitter = MIN_ATTEMPT_INTERVAL.times(rng.random_range(0.0..1.0));
        self.next_attempt = self.next_attempt.max(now) + MIN_ATTEMPT_INTERVAL;
        self.next_attempt + jitter
    }

    /// Resets the failures of the current endpoint.
    pub fn record_success(&mut self, now: Time) {
        self.endpoints[self.current] = Endpoint {
            failures: 0,
            backoff_until: now,
        };
    }
}
