//! Admission control: limits how many requests of a service may wait for their first event at once.
//!
//! A concurrency limit based on Little's law that uses only this proxy's own requests and responses. The response rate
//! shows the searcher capacity that is left to this proxy, so a waiting request gets its response after
//! (waiting / rate). While response times take up a large share of the client timeouts, only as many requests are
//! admitted as can be answered well before those timeouts. A late response still has some value and a refusal has none,
//! so lateness alone is no reason to refuse. A request's own size is not considered: large requests aren't refused
//! because of it.
//!
//! Owned by `Service`, called by `RequestRouter::admit`. Invariant: the number of waiting requests equals the number of
//! live permits. `decision_model::admission_control_keeps_answers_in_time_under_overload` fails without admission
//! control.

use std::cell::Cell;
use std::rc::Rc;

use super::types::Micros;

/// Number of distinct priorities; lower priorities than the last one count as the last.
const PRIORITY_LEVELS: usize = 10;

/// Requests are refused only while the average response time exceeds this fraction of the client timeout.
const TIMEOUT_USAGE_THRESHOLD: f64 = 0.3;

/// The allowed wait as a fraction of the client timeout.
const ALLOWED_WAIT_SHARE: f64 = 0.4;

/// Upper bound of one sample of the timeout usage: a single hanging searcher is not an overload.
const MAX_TIMEOUT_USAGE: f64 = 1.0;

/// Weight of the newest sample in the averages.
const NEWEST_WEIGHT: f64 = 1.0 / 12.0;

/// Fraction of its share of the limit that is reserved for each priority, whatever higher priorities use.
const RESERVED_SHARE: f64 = 0.5;

/// Half-life of the response rate and of the offered load by priority, in microseconds.
const HALF_LIFE_MICROS: f64 = 1e6;

/// The factors on the limit for the highest and for the lowest priority.
const MAX_PRIORITY_FACTOR: f64 = 1.25;
const MIN_PRIORITY_FACTOR: f64 = 0.75;

/// The lowest limit: fewer requests don't indicate a queue.
const MIN_LIMIT: f64 = 2.0;

/// Number of requests that wait for their first event, by priority.
#[derive(Debug, Default)]
struct WaitingByPriority([Cell<u32>; PRIORITY_LEVELS]);

/// A permit to wait for a first event; returned when dropped.
#[derive(Debug)]
pub struct WaitingPermit {
    waiting: Rc<WaitingByPriority>,
    priority: usize,
}

impl Drop for WaitingPermit {
    fn drop(&mut self) {
        let count = &self.waiting.0[self.priority];
        count.set(count.get().saturating_sub(1));
    }
}

/// The admission control of one service.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    waiting: Rc<WaitingByPriority>,
    /// EWMA of the response time as a fraction of the client timeout; 0 before the first sample.
    timeout_usage: f64,
    /// EWMA of the client timeout in seconds; 0 before the first sample.
    mean_client_timeout_s: f64,
    /// Exponentially decayed counts of responses, and of offered requests by priority.
    responses: f64,
    responses_at: Micros,
    offered: [f64; PRIORITY_LEVELS],
    offered_at: Micros,
}

impl AdmissionControl {
    /// Admits a request of the given priority, or returns `None` to refuse it.
    pub fn try_admit(&mut self, now: Micros, priority: u8) -> Option<WaitingPermit> {
        let priority = usize::from(priority).min(PRIORITY_LEVELS - 1);
        let factor = decay(now, self.offered_at);
        self.offered.iter_mut().for_each(|count| *count *= factor);
        self.offered_at = now;
        self.offered[priority] += 1.0;
        if self.timeout_usage > TIMEOUT_USAGE_THRESHOLD && !self.has_capacity(now, priority) {
            return None;
        }
        let count = &self.waiting.0[priority];
        count.set(count.get() + 1);
        Some(WaitingPermit {
            waiting: Rc::clone(&self.waiting),
            priority,
        })
    }

    fn has_capacity(&self, now: Micros, priority: usize) -> bool {
        let limit = self.response_rate(now) * ALLOWED_WAIT_SHARE * self.mean_client_timeout_s;
        let total_offered: f64 = self.offered.iter().sum();
        let waiting: u32 = self.waiting.0.iter().map(Cell::get).sum();
        let reserved = RESERVED_SHARE * limit * self.offered[priority] / total_offered;
        // Interpolates between the two factors by the share of the offered load that has a higher priority.
        let higher_priority_share: f64 =
            self.offered[..priority].iter().sum::<f64>() / total_offered;
        let other_priorities_share =
            (1.0 - self.offered[priority] / total_offered).max(f64::EPSILON);
        let priority_factor = MAX_PRIORITY_FACTOR
            - (MAX_PRIORITY_FACTOR - MIN_PRIORITY_FACTOR)
                * (higher_priority_share / other_priorities_share).min(1.0);
        f64::from(waiting) < (limit * priority_factor).max(MIN_LIMIT)
            || f64::from(self.waiting.0[priority].get()) < reserved
    }

    /// Responses per second.
    fn response_rate(&self, now: Micros) -> f64 {
        self.responses * decay(now, self.responses_at) * std::f64::consts::LN_2 * 1e6
            / HALF_LIFE_MICROS
    }

    /// Records a response: the time since the request was admitted and the client timeout, in microseconds.
    pub fn record_response(&mut self, now: Micros, elapsed: Micros, client_timeout: Micros) {
        self.record_elapsed(elapsed, client_timeout);
        self.responses = self.responses * decay(now, self.responses_at) + 1.0;
        self.responses_at = now;
    }

    /// Records a request that was abandoned without a response after `elapsed`.
    pub fn record_abandoned(&mut self, elapsed: Micros, client_timeout: Micros) {
        self.record_elapsed(elapsed, client_timeout);
    }

    fn record_elapsed(&mut self, elapsed: Micros, client_timeout: Micros) {
        let client_timeout = client_timeout.max(1) as f64;
        self.timeout_usage += ((elapsed as f64 / client_timeout).min(MAX_TIMEOUT_USAGE)
            - self.timeout_usage)
            * NEWEST_WEIGHT;
        let client_timeout_s = client_timeout / 1e6;
        self.mean_client_timeout_s = if self.mean_client_timeout_s > 0.0 {
            self.mean_client_timeout_s
                + (client_timeout_s - self.mean_client_timeout_s) * NEWEST_WEIGHT
        } else {
            client_timeout_s
        };
    }

    /// The time in milliseconds until the requests that wait now will have been answered.
    pub fn estimated_wait_ms(&self, now: Micros) -> u64 {
        let waiting: u32 = self.waiting.0.iter().map(Cell::get).sum();
        (f64::from(waiting) / self.response_rate(now).max(1e-3) * 1e3) as u64
    }
}

fn decay(now: Micros, since: Micros) -> f64 {
    0.5f64.powf(now.saturating_sub(since) as f64 / HALF_LIFE_MICROS)
}
