//! A token bucket that bounds how many changes a service has in the long run.
//!
//! Owned by the service's state. Each change takes a token; tokens come with time, in proportion to the number of
//! searchers, up to a capacity that allows a burst after a long rest.

use crate::time::Millis;

/// In the long run a service has one change for each of its searchers in this time.
const REFILL_INTERVAL_MS: Millis = 50_000;
/// Capacity of the bucket as a share of the service's searchers.
const CAPACITY_PER_SEARCHER: f64 = 0.5;
/// Capacity of the bucket at least, in changes.
const MIN_CAPACITY: f64 = 4.0;

/// The changes that a service may still have.
#[derive(Debug)]
pub struct ChangeBudget {
    tokens: f64,
    refilled_at: Millis,
}

impl ChangeBudget {
    /// A full budget for a service with so many searchers.
    pub fn full(now: Millis, searchers: usize) -> Self {
        ChangeBudget {
            tokens: capacity(searchers),
            refilled_at: now,
        }
    }

    /// Adds what was earned since the last refill.
    pub fn refill(&mut self, now: Millis, searchers: usize) {
        let earned = (now - self.refilled_at) as f64 * searchers as f64 / REFILL_INTERVAL_MS as f64;
        self.tokens = (self.tokens + earned).min(capacity(searchers));
        self.refilled_at = now;
    }

    /// Whether a change is left.
    pub fn allows_change(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Pays for a change.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

fn capacity(searchers: usize) -> f64 {
    (searchers as f64 * CAPACITY_PER_SEARCHER).max(MIN_CAPACITY)
}
