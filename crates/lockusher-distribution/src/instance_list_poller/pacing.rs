//! How often the platform may be polled: decisions without state of a poll, and without a clock.
//!
//! Owned by the [`InstanceListPoller`](crate::instance_list_poller::InstanceListPoller), which passes its random
//! generator. Invariant: the pollers that are assumed to be at work stay within their fraction of the platform's rate
//! on average.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Fraction of the platform's rate that a sole poller uses.
const SOLE_POLLER_RATE_FRACTION: f64 = 0.7;
/// Fraction of the platform's rate that concurrent pollers use together; the rest absorbs chance.
const CONCURRENT_POLLERS_RATE_FRACTION: f64 = 0.5;
/// How many polls by different pollers may overlap at the full rate.
const MAX_OVERLAPPING_POLLS: u32 = 8;
/// Concurrent pollers assumed while the size of the fleet is unknown.
const ASSUMED_CONCURRENT_POLLERS: u32 = 256;
/// Calls assumed for a poll before one was made.
const ASSUMED_CALLS_PER_POLL: u32 = 4;
/// Lower bound on the least interval between the starts of two polls, in milliseconds.
const MIN_POLL_INTERVAL_MS: u64 = 250;
/// Upper bound on the least interval between the starts of two polls, in milliseconds.
const MAX_POLL_INTERVAL_MS: u64 = 1_000;
/// A searcher that begins to drain is seen in so many polls within the time that it allows for that.
const POLLS_PER_DRAIN: u64 = 3;
/// Half of the upper end of the first back-off after a rejected or failed call, in milliseconds; doubles with each
/// further one.
const INITIAL_BACK_OFF_MS: u64 = 250;
/// Upper end of the back-off after many failures, in milliseconds.
const MAX_BACK_OFF_MS: u64 = 8_000;
/// Doublings after which [`MAX_BACK_OFF_MS`] is reached for certain.
const MAX_BACK_OFF_DOUBLINGS: u32 = 6;
const MS_PER_S: f64 = 1_000.0;

/// What the pace of one poller depends on.
#[derive(Clone, Copy, Debug)]
pub struct PollPacing {
    rate_per_s: f64,
    min_interval_ms: u64,
    concurrent_pollers: u32,
    /// 0 if unknown.
    calls_per_poll: u32,
}

impl PollPacing {
    /// The pace of the only poller: `rate_per_s` calls are what the platform takes, and a draining searcher must be
    /// seen within `drain_ms`.
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

    /// The pace of one of several pollers, of unknown number at first.
    pub fn concurrent(rate_per_s: f64, drain_ms: u64) -> Self {
        let concurrent_pollers = ASSUMED_CONCURRENT_POLLERS;
        PollPacing {
            concurrent_pollers,
            ..Self::sole(rate_per_s, drain_ms)
        }
    }

    /// Sets how many pollers may be at work at once; 0 if unknown.
    pub fn set_concurrent_pollers(&mut self, pollers: u32) {
        self.concurrent_pollers = if pollers == 0 {
            ASSUMED_CONCURRENT_POLLERS
        } else {
            pollers
        };
    }

    /// Sets how many calls a poll takes.
    pub fn set_calls_per_poll(&mut self, calls: u32) {
        self.calls_per_poll = calls;
    }

    /// Calls that a poll takes; 0 if unknown.
    pub fn calls_per_poll(&self) -> u32 {
        self.calls_per_poll
    }

    /// Delay of the first poll: none if alone, else a random part of an interval.
    pub fn first_delay_ms(&self, random: &mut ChaCha8Rng) -> u64 {
        let latest_ms = if self.is_sole() {
            0
        } else {
            self.interval_ms()
        };
        random.random_range(0..=latest_ms)
    }

    /// Time from the start of a poll to that of the next one: the interval if alone, else with a jitter of half of it.
    pub fn next_interval_ms(&self, random: &mut ChaCha8Rng) -> u64 {
        let interval_ms = self.interval_ms();
        if self.is_sole() {
            return interval_ms;
        }
        random.random_range(interval_ms / 2..=interval_ms + interval_ms / 2)
    }

    /// Time between two calls of one poll: as many polls as may overlap make the full rate together.
    pub fn call_spacing_ms(&self) -> u64 {
        let overlapping = self.concurrent_pollers.min(MAX_OVERLAPPING_POLLS);
        (f64::from(overlapping) * MS_PER_S / self.rate_per_s).ceil() as u64
    }

    fn is_sole(&self) -> bool {
        self.concurrent_pollers == 1
    }

    /// Mean time between the starts of two polls of this poller.
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
        let calls_of_all = f64::from(calls) * f64::from(self.concurrent_pollers);
        let paced_ms = calls_of_all * MS_PER_S / (self.rate_per_s * fraction);
        (paced_ms.ceil() as u64).max(self.min_interval_ms)
    }
}

/// Back-off after so many failures in a row: random, between half of a limit and the limit, which doubles each time.
pub fn back_off_ms(failures: u32, random: &mut ChaCha8Rng) -> u64 {
    let doublings = failures.min(MAX_BACK_OFF_DOUBLINGS);
    let limit_ms = (INITIAL_BACK_OFF_MS << doublings).min(MAX_BACK_OFF_MS);
    random.random_range(limit_ms / 2..=limit_ms)
}
