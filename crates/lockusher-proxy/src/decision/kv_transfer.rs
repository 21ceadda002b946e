//! Whether hand-overs of KV cache succeed: what own outcomes say of a whole service, and of the two ends of one
//! hand-over.
//!
//! A decode searcher answers alike whether the handle is gone or it is full itself. So a rejection is blamed on
//! either end by as much as the other end has been good for lately: a searcher that takes nothing says little
//! against a handle, and a handle of a searcher whose handles lapse says little against the one that rejects it.

use super::types::Micros;

/// Weight of the newest hand-over in a service's share.
const NEWEST_WEIGHT: f64 = 1.0 / 8.0;

/// Hand-overs are given up for a while when less than this share of them succeeds.
const MIN_SUCCESS_RATE: f64 = 0.4;

/// The share that a service begins with again after a trial that succeeded.
const SUCCESS_RATE_AFTER_PROBE: f64 = 0.7;

/// A trial that fails makes the next pause longer only if this much blame falls on the handle.
const MIN_BLAME_FOR_BACK_OFF: f64 = 0.5;

/// The first pause between trials; it doubles with each trial that fails.
const INITIAL_BACK_OFF: Micros = 1_000_000;

/// The longest pause between trials.
const MAX_BACK_OFF: Micros = 8_000_000;

/// The hand-overs of one service.
#[derive(Clone, Copy, Debug)]
pub struct KvTransfers {
    /// EWMA of the share that succeeded.
    success_rate: f64,
    suspension: Option<Suspension>,
}

/// Most hand-overs fail, and only trials are made.
#[derive(Clone, Copy, Debug)]
struct Suspension {
    /// Outcomes of hand-overs that were sent before tell nothing new.
    since: Micros,
    /// When a reading for a hand-over was last sent.
    last_probe: Micros,
    back_off: Micros,
}

impl Default for KvTransfers {
    fn default() -> Self {
        KvTransfers { success_rate: 1.0, suspension: None }
    }
}

impl KvTransfers {
    /// Whether a prompt may be read for a hand-over now.
    pub fn are_allowed(&self, now: Micros) -> bool {
        self.suspension.is_none_or(|suspension| now >= suspension.last_probe + suspension.back_off)
    }

    /// Notes that a prompt is read for a hand-over.
    pub fn started(&mut self, now: Micros) {
        if let Some(suspension) = &mut self.suspension {
            suspension.last_probe = now;
        }
    }

    /// Notes a hand-over that succeeded.
    pub fn succeeded(&mut self) {
        if self.suspension.take().is_some() {
            self.success_rate = SUCCESS_RATE_AFTER_PROBE;
        }
        self.success_rate += (1.0 - self.success_rate) * NEWEST_WEIGHT;
    }

    /// Notes a hand-over, sent at `sent`, that was rejected. `blame` is the likelihood from 0 to 1 that the
    /// searcher that rejected it wasn't merely full.
    pub fn failed(&mut self, now: Micros, sent: Micros, blame: f64) {
        self.success_rate -= self.success_rate * NEWEST_WEIGHT * blame;
        match &mut self.suspension {
            Some(suspension) if sent >= suspension.since && blame >= MIN_BLAME_FOR_BACK_OFF => {
                suspension.since = now;
                suspension.back_off = (2 * suspension.back_off).min(MAX_BACK_OFF);
            }
            Some(_) => {}
            None if self.success_rate < MIN_SUCCESS_RATE => {
                self.suspension =
                    Some(Suspension { since: now, last_probe: now, back_off: INITIAL_BACK_OFF });
            }
            None => {}
        }
    }
}
