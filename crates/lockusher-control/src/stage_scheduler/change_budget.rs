//! Token bucket that limits the rate of a service's stage changes.
//!
//! Owned by the service's state. Each change takes a token. The bucket is refilled at a rate proportional to the number
//! of searchers, up to a capacity that allows a burst after a long time without changes.

use crate::time::Millis;

/// Long-term rate: one change for each searcher of the service in this interval.
const REFILL_INTERVAL_MS: Millis = 50_000;
/// Capacity of the bucket, in changes for each searcher of the service.
const CAPACITY_PER_SEARCHER: f64 = 0.5;
/// Lower bound of the capacity, in changes.
const MIN_CAPACITY: f64 = 4.0;

/// Token bucket of one service; a token permits one change.
#[derive(Debug)]
pub struct ChangeBudget {
    tokens: f64,
    refilled_at: Millis,
}

impl ChangeBudget {
    /// Creates a full bucket for a service with this number of searchers.
    pub fn full(now: Millis, searchers: usize) -> Self {
        ChangeBudget {
            tokens: capacity(searchers),
            refilled_at: now,
        }
    }

    /// Adds the tokens that have accrued since the last refill.
    pub fn refill(&mut self, now: Millis, searchers: usize) {
        let accrued =
            (now - self.refilled_at) as f64 * searchers as f64 / REFILL_INTERVAL_MS as f64;
        self.tokens = (self.tokens + accrued).min(capacity(searchers));
        self.refilled_at = now;
    }

    /// Whether a token is available.
    pub fn allows_change(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of a change.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

fn capacity(searchers: usize) -> f64 {
    (searchers as f64 * CAPACITY_PER_SEARCHER).max(MIN_CAPACITY)
}
