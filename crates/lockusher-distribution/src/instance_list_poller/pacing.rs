//! Pace of the polls within the platform's rate limit, without I/O or clock.
//!
//! Owned by the [`InstanceListPoller`](crate::instance_list_poller::InstanceListPoller), which passes its random
//! generator. Invariant: on average, the assumed number of pollers together stays within its fraction of the platform's
//! rate limit.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Fraction of the platform's rate limit that a sole poller uses.
const SOLE_POLLER_RATE_FRACTION: f64 = 0.7;
/// Fraction of the platform's rate limit that concurrent pollers use together; the rest absorbs random variation.
const CONCURRENT_POLLERS_RATE_FRACTION: f64 = 0.5;
/// Number of polls of different pollers that may overlap while they use the full rate together.
const MAX_OVERLAPPING_POLLS: u32 = 8;
/// Number of concurrent pollers assumed while the size of the fleet is unknown.
const ASSUMED_CONCURRENT_POLLERS: u32 = 256;
/// Number of calls assumed for a poll before the first one is complete.
const ASSUMED_CALLS_PER_POLL: u32 = 4;
/// Lower bound of the minimum interval between the starts of two polls, in milliseconds.
const MIN_POLL_INTERVAL_MS: u64 = 250;
/// Upper bound of the minimum interval between the starts of two polls, in milliseconds.
const MAX_POLL_INTERVAL_MS: u64 = 1_000;
/// Number of polls within the time that a searcher allows for draining; the minimum interval follows from it.
const POLLS_PER_DRAIN: u64 = 3;
/// Half of the limit of the first back-off after a rejected or failed call, in milliseconds; doubles with each further
/// failure.
const INITIAL_BACK_OFF_MS: u64 = 250;
/// Maximum back-off, in milliseconds.
const MAX_BACK_OFF_MS: u64 = 8_000;
/// Maximum number of doublings; [`MAX_BACK_OFF_MS`] is reached by then.
const MAX_BACK_OFF_DOUBLINGS: u32 = 6;
const MS_PER_S: f64 = 1_000.0;

/// Parameters of one poller's pace.
#[derive(Clone, Copy, Debug)]
pub struct PollPacing {
    rate_per_s: f64,
    min_interval_ms: u64,
    concurrent_pollers: u32,
    /// 0 if unknown.
    calls_per_poll: u32,
}

impl PollPacing {
    /// Creates the pace of a sole poller. `rate_per_s` is the platform's rate limit in calls per second; a draining
    /// searcher must be seen within `drain_ms`.
    pub fn sole(rate_per_s: f64, drain_ms: u64) -> Self {
        let min_interval_ms =
            (drain_ms / POLLS_PER_DRAIN).clamp(MIN_POLL_INTERVAL_MS, MAX_POLL_INTERVAL_MS);
        PollPacing {
            rate_per_s,
            min_interval_ms,
            concurrent_pollers: 1,
            calls_per_poll: 0,
        }
    }

    /// Creates the pace of one of several pollers, whose number is unknown at first.
    pub fn concurrent(rate_per_s: f64, drain_ms: u64) -> Self {
        let concurrent_pollers = ASSUMED_CONCURRENT_POLLERS;
        PollPacing {
            concurrent_pollers,
            ..Self::sole(rate_per_s, drain_ms)
        }
    }

    /// Sets the number of pollers that may run concurrently; 0 if unknown.
    pub fn set_concurrent_pollers(&mut self, pollers: u32) {
        self.concurrent_pollers = if pollers == 0 {
            ASSUMED_CONCURRENT_POLLERS
        } else {
            pollers
        };
    }

    /// Sets the number of calls that a poll takes.
    pub fn set_calls_per_poll(&mut self, calls: u32) {
        self.calls_per_poll = calls;
    }

    /// Returns the number of calls that a poll takes; 0 if unknown.
    pub fn calls_per_poll(&self) -> u32 {
        self.calls_per_poll
    }

    /// Returns the delay of the first poll: none if sole, else a random part of the interval.
    pub fn first_delay_ms(&self, random: &mut ChaCha8Rng) -> u64 {
        let max_delay_ms = if self.is_sole() {
            0
        } else {
            self.interval_ms()
        };
        random.random_range(0..=max_delay_ms)
    }

    /// Returns the time between the starts of two polls: the interval if sole, else with a jitter of half of it in
    /// either direction.
    pub fn next_interval_ms(&self, random: &mut ChaCha8Rng) -> u64 {
        let interval_ms = self.interval_ms();
        if self.is_sole() {
            return interval_ms;
        }
        random.random_range(interval_ms / 2..=interval_ms + interval_ms / 2)
    }

    /// Returns the time between two calls of one poll: the maximum number of overlapping polls together uses the full
    /// rate.
    pub fn call_spacing_ms(&self) -> u64 {
        let overlapping = self.concurrent_pollers.min(MAX_OVERLAPPING_POLLS);
        (f64::from(overlapping) * MS_PER_S / self.rate_per_s).ceil() as u64
    }

    fn is_sole(&self) -> bool {
        self.concurrent_pollers == 1
    }

    /// Returns the mean time between the starts of two polls of this poller.
    fn interval_ms(&self) -> u64 {
        let calls = if self.calls_per_poll == 0 {
            ASSUMED_CALLS_PER_POLL
        } else {
            self.calls_per_poll
        };
        let fraction = if self.is_sole() {
            SOLE_POLLER_RATE_FRACTION
        } else {
            CONCURRENT_POLLERS_RATE_FRACTION
        };
        let calls_of_all_pollers = f64::from(calls) * f64::from(self.concurrent_pollers);
        let rate_limited_ms = calls_of_all_pollers * MS_PER_S / (self.rate_per_s * fraction);
        (rate_limited_ms.ceil() as u64).max(self.min_interval_ms)
    }
}

/// Returns a random back-off between half of the limit and the limit, which doubles with each consecutive failure.
pub fn back_off_ms(failures: u32, random: &mut ChaCha8Rng) -> u64 {
    let doublings = failures.min(MAX_BACK_OFF_DOUBLINGS);
    let limit_ms = (INITIAL_BACK_OFF_MS << doublings).min(MAX_BACK_OFF_MS);
    random.random_range(limit_ms / 2..=limit_ms)
}
