//! The gate: how many requests of a service may wait for their first event at once.
//!
//! It goes by own requests and answers alone. Answers come at the pace that the searchers have left for this
//! proxy, so those that wait will have theirs after (waiting / pace). While answers take much of the time that
//! clients give, no more are taken than can be answered well before that time is up. A late answer still earns
//! something, a refusal nothing: an answer that is merely late is no reason to refuse. A request's own size plays
//! no part: large ones aren't turned away for it.

use std::cell::Cell;
use std::rc::Rc;

use super::types::Micros;

/// Ranks that are told apart; lower ones count as the last.
const RANKS: usize = 10;

/// The gate acts while answers take more than this share of the time that clients give, on average.
const LATE: f64 = 0.3;

/// The wait that is allowed, as a share of the time that clients give.
const ALLOWED: f64 = 0.4;

/// One answer counts for at most all of its time: a single hanging searcher is no overload.
const MOST_LATE: f64 = 1.0;

/// Weight of the newest answer in the averages.
const NEWEST: f64 = 1.0 / 12.0;

/// Each rank keeps this part of its share of the places, whatever the more urgent ones want.
const KEPT: f64 = 0.5;

/// The pace of answers and the mix of ranks are half forgotten after this time, in microseconds.
const FORGET: f64 = 1e6;

/// The most urgent rank may fill this share of the places, the least urgent that share.
const MOST_URGENT: f64 = 1.25;
const LEAST_URGENT: f64 = 0.75;

/// So many may always wait: fewer say nothing of a queue.
const LEAST_PLACES: f64 = 2.0;

/// Requests that wait for their first event, by rank.
#[derive(Debug, Default)]
struct Places([Cell<u32>; RANKS]);

/// A place among those that wait; given back when dropped.
#[derive(Debug)]
pub struct Waiting {
    places: Rc<Places>,
    rank: usize,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let place = &self.places.0[self.rank];
        place.set(place.get().saturating_sub(1));
    }
}

/// The gate of one service.
#[derive(Debug, Default)]
pub struct Gate {
    places: Rc<Places>,
    /// Average time of answers as a share of the time given, and average time given in seconds, 0 at first.
    lateness: f64,
    given: f64,
    /// Answers and, by rank, requests; both fade.
    answers: f64,
    answers_at: Micros,
    offered: [f64; RANKS],
    offered_at: Micros,
}

impl Gate {
    /// Takes a request of a rank, or doesn't.
    pub fn offer(&mut self, now: Micros, rank: u8) -> Option<Waiting> {
        let rank = usize::from(rank).min(RANKS - 1);
        let keep = fade(now, self.offered_at);
        self.offered.iter_mut().for_each(|count| *count *= keep);
        self.offered_at = now;
        self.offered[rank] += 1.0;
        if self.lateness > LATE && !self.has_place(now, rank) {
            return None;
        }
        let place = &self.places.0[rank];
        place.set(place.get() + 1);
        Some(Waiting { places: Rc::clone(&self.places), rank })
    }

    fn has_place(&self, now: Micros, rank: usize) -> bool {
        let places = self.pace(now) * ALLOWED * self.given;
        let all: f64 = self.offered.iter().sum();
        let waiting: u32 = self.places.0.iter().map(Cell::get).sum();
        let kept = KEPT * places * self.offered[rank] / all;
        // The ranks that are asked for lie evenly between the most and the least urgent.
        let more_urgent: f64 = self.offered[..rank].iter().sum::<f64>() / all;
        let least = (1.0 - self.offered[rank] / all).max(f64::EPSILON);
        let urgency = MOST_URGENT - (MOST_URGENT - LEAST_URGENT) * (more_urgent / least).min(1.0);
        f64::from(waiting) < (places * urgency).max(LEAST_PLACES)
            || f64::from(self.places.0[rank].get()) < kept
    }

    /// Answers a second.
    fn pace(&self, now: Micros) -> f64 {
        self.answers * fade(now, self.answers_at) * std::f64::consts::LN_2 * 1e6 / FORGET
    }

    /// Feeds an answer: the time that it took and the time that was given, in microseconds.
    pub fn answered(&mut self, now: Micros, elapsed: Micros, given: Micros) {
        self.note_time(elapsed, given);
        self.answers = self.answers * fade(now, self.answers_at) + 1.0;
        self.answers_at = now;
    }

    /// Feeds a request that was given up after a time without an answer.
    pub fn gave_up(&mut self, elapsed: Micros, given: Micros) {
        self.note_time(elapsed, given);
    }

    fn note_time(&mut self, elapsed: Micros, given: Micros) {
        let given = given.max(1) as f64;
        self.lateness += ((elapsed as f64 / given).min(MOST_LATE) - self.lateness) * NEWEST;
        let given = given / 1e6;
        self.given = if self.given > 0.0 { self.given + (given - self.given) * NEWEST } else { given };
    }

    /// The time after which those that wait now will have been answered, in milliseconds.
    pub fn wait_ms(&self, now: Micros) -> u64 {
        let waiting: u32 = self.places.0.iter().map(Cell::get).sum();
        (f64::from(waiting) / self.pace(now).max(1e-3) * 1e3) as u64
    }
}

fn fade(now: Micros, since: Micros) -> f64 {
    0.5f64.powf(now.saturating_sub(since) as f64 / FORGET)
}
