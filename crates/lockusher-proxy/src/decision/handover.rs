//! Whether hand-overs of KV cache succeed: what own outcomes say of a whole service, and of the two ends of one
//! hand-over.
//!
//! A decode searcher answers alike whether the handle is gone or it is full itself. So a rejection is blamed on
//! either end by as much as the other end has been good for lately: a searcher that takes nothing says little
//! against a handle, and a handle of a searcher whose handles lapse says little against the one that rejects it.

use super::types::Micros;

/// Weight of the newest hand-over in a service's share.
const NEWEST: f64 = 1.0 / 8.0;

/// Hand-overs are given up for a while when less than this share of them succeeds.
const LEAST_SHARE: f64 = 0.4;

/// The share that a service begins with again after a trial that succeeded.
const RENEWED_SHARE: f64 = 0.7;

/// A trial that fails makes the next pause longer only if this much blame falls on the handle.
const TELLING: f64 = 0.5;

/// The first pause between trials; it doubles with each trial that fails.
const FIRST_PAUSE: Micros = 1_000_000;

/// The longest pause between trials.
const LONGEST_PAUSE: Micros = 8_000_000;

/// The hand-overs of one service.
#[derive(Clone, Copy, Debug)]
pub struct Handovers {
    /// EWMA of the share that succeeded.
    share: f64,
    given_up: Option<GivenUp>,
}

/// Most hand-overs fail, and only trials are made.
#[derive(Clone, Copy, Debug)]
struct GivenUp {
    /// Outcomes of hand-overs that were sent before tell nothing new.
    since: Micros,
    /// When a reading for a hand-over was last sent.
    tried: Micros,
    pause: Micros,
}

impl Default for Handovers {
    fn default() -> Self {
        Handovers { share: 1.0, given_up: None }
    }
}

impl Handovers {
    /// Whether a prompt may be read for a hand-over now.
    pub fn are_worth_trying(&self, now: Micros) -> bool {
        self.given_up.is_none_or(|given_up| now >= given_up.tried + given_up.pause)
    }

    /// Notes that a prompt is read for a hand-over.
    pub fn begun(&mut self, now: Micros) {
        if let Some(given_up) = &mut self.given_up {
            given_up.tried = now;
        }
    }

    /// Notes a hand-over that succeeded.
    pub fn succeeded(&mut self) {
        if self.given_up.take().is_some() {
            self.share = RENEWED_SHARE;
        }
        self.share += (1.0 - self.share) * NEWEST;
    }

    /// Notes a hand-over, sent at `sent`, that was rejected. `blame` is the likelihood from 0 to 1 that the
    /// searcher that rejected it wasn't merely full.
    pub fn failed(&mut self, now: Micros, sent: Micros, blame: f64) {
        self.share -= self.share * NEWEST * blame;
        match &mut self.given_up {
            Some(given_up) if sent >= given_up.since && blame >= TELLING => {
                given_up.since = now;
                given_up.pause = (2 * given_up.pause).min(LONGEST_PAUSE);
            }
            Some(_) => {}
            None if self.share < LEAST_SHARE => {
                self.given_up = Some(GivenUp { since: now, tried: now, pause: FIRST_PAUSE });
            }
            None => {}
        }
    }
}
