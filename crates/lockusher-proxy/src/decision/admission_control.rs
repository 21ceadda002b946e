//! Admission control: how many requests of a service may wait for their first event at once.
//!
//! A concurrency limit in the way of Little's law, by own requests and answers alone. Answers come at the rate that the
//! searchers have left for this proxy, so requests that wait will have theirs after (waiting / rate). While answers take
//! much of the time that clients give, no more are admitted than can be answered well before that time is up. A late
//! answer still earns something, a refusal nothing: an answer that is merely late is no reason to refuse. A request's own
//! size plays no part: large ones aren't refused for it.
//!
//! Owned by `Service`, asked by `RequestRouter::admit`. Invariant:
//! the number that waits is that of the permits alive. Without it
//! `decision_model::admission_control_keeps_answers_in_time_under_overload` fails.

use std::cell::Cell;
use std::rc::Rc;

use super::types::Micros;

/// Ranks that are distinguished; lower ones count as the last.
const RANKS: usize = 10;

/// Requests are refused only while answers take more than this share of the time that clients give, on average.
const LATENESS_THRESHOLD: f64 = 0.3;

/// The wait that is allowed, as a share of the time that clients give.
const ALLOWED_WAIT_SHARE: f64 = 0.4;

/// One answer counts for at most all of its time: a single hanging searcher is no overload.
const MAX_LATENESS: f64 = 1.0;

/// Weight of the newest answer in the averages.
const NEWEST_WEIGHT: f64 = 1.0 / 12.0;

/// Each rank has this part of its share of the limit reserved, whatever the more urgent ones use.
const RESERVED_SHARE: f64 = 0.5;

/// The pace of answers and the mix of ranks are half forgotten after this time, in microseconds.
const HALF_LIFE_MICROS: f64 = 1e6;

/// The most urgent rank may use this multiple of the limit, the least urgent that multiple.
const MAX_RANK_FACTOR: f64 = 1.25;
const MIN_RANK_FACTOR: f64 = 0.75;

/// The lowest limit: fewer requests say nothing of a queue.
const MIN_LIMIT: f64 = 2.0;

/// Requests that wait for their first event, by rank.
#[derive(Debug, Default)]
struct WaitingByRank([Cell<u32>; RANKS]);

/// A permit to wait for a first event; returned when dropped.
#[derive(Debug)]
pub struct WaitingPermit {
    waiting: Rc<WaitingByRank>,
    rank: usize,
}

impl Drop for WaitingPermit {
    fn drop(&mut self) {
        let count = &self.waiting.0[self.rank];
        count.set(count.get().saturating_sub(1));
    }
}

/// The admission control of one service.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    waiting: Rc<WaitingByRank>,
    /// Average time of answers as a share of the clients' patience; 0 at first.
    lateness: f64,
    /// Average patience of clients in seconds; 0 at first.
    mean_patience_s: f64,
    /// Answers and, by rank, requests; both fade.
    answers: f64,
    answers_at: Micros,
    offered: [f64; RANKS],
    offered_at: Micros,
}

impl AdmissionControl {
    /// Admits a request of a rank, or refuses it by returning none.
    pub fn try_admit(&mut self, now: Micros, rank: u8) -> Option<WaitingPermit> {
        let rank = usize::from(rank).min(RANKS - 1);
        let keep = fade(now, self.offered_at);
        self.offered.iter_mut().for_each(|count| *count *= keep);
        self.offered_at = now;
        self.offered[rank] += 1.0;
        if self.lateness > LATENESS_THRESHOLD && !self.has_capacity(now, rank) {
            return None;
        }
        let count = &self.waiting.0[rank];
        count.set(count.get() + 1);
        Some(WaitingPermit {
            waiting: Rc::clone(&self.waiting),
            rank,
        })
    }

    fn has_capacity(&self, now: Micros, rank: usize) -> bool {
        let limit = self.pace(now) * ALLOWED_WAIT_SHARE * self.mean_patience_s;
        let all: f64 = self.offered.iter().sum();
        let waiting: u32 = self.waiting.0.iter().map(Cell::get).sum();
        let reserved = RESERVED_SHARE * limit * self.offered[rank] / all;
        // The ranks that are asked for lie evenly between the most and the least urgent.
        let more_urgent: f64 = self.offered[..rank].iter().sum::<f64>() / all;
        let other_ranks_share = (1.0 - self.offered[rank] / all).max(f64::EPSILON);
        let urgency = MAX_RANK_FACTOR
            - (MAX_RANK_FACTOR - MIN_RANK_FACTOR) * (more_urgent / other_ranks_share).min(1.0);
        f64::from(waiting) < (limit * urgency).max(MIN_LIMIT)
            || f64::from(self.waiting.0[rank].get()) < reserved
    }

    /// Answers a second.
    fn pace(&self, now: Micros) -> f64 {
        self.answers * fade(now, self.answers_at) * std::f64::consts::LN_2 * 1e6 / HALF_LIFE_MICROS
    }

    /// Records an answer: the time that it took and the time that was given, in microseconds.
    pub fn answered(&mut self, now: Micros, elapsed: Micros, patience: Micros) {
        self.record_time(elapsed, patience);
        self.answers = self.answers * fade(now, self.answers_at) + 1.0;
        self.answers_at = now;
    }

    /// Records a request that was abandoned after a time without an answer.
    pub fn abandoned(&mut self, elapsed: Micros, patience: Micros) {
        self.record_time(elapsed, patience);
    }

    fn record_time(&mut self, elapsed: Micros, patience: Micros) {
        let patience = patience.max(1) as f64;
        self.lateness +=
            ((elapsed as f64 / patience).min(MAX_LATENESS) - self.lateness) * NEWEST_WEIGHT;
        let patience = patience / 1e6;
        self.mean_patience_s = if self.mean_patience_s > 0.0 {
            self.mean_patience_s + (patience - self.mean_patience_s) * NEWEST_WEIGHT
        } else {
            patience
        };
    }

    /// The time after which those that wait now will have been answered, in milliseconds.
    pub fn wait_ms(&self, now: Micros) -> u64 {
        let waiting: u32 = self.waiting.0.iter().map(Cell::get).sum();
        (f64::from(waiting) / self.pace(now).max(1e-3) * 1e3) as u64
    }
}

fn fade(now: Micros, since: Micros) -> f64 {
    0.5f64.powf(now.saturating_sub(since) as f64 / HALF_LIFE_MICROS)
}
