//! The retry budget of one service: this proxy's share of a budget that binds all proxies together.
//!
//! The rule: in every window of length W the retries of all proxies are at most `ratio` x their requests + `slack`,
//! where the requests are those of that window or of the one before it, whichever are more. Each proxy keeps, for every
//! window, `retries <= ratio x own requests in the window before it + its share of the slack`. These bounds add up over
//! the proxies to the rule, without any communication.
//!
//! Owned by `Service`, charged by `RequestRouter::choose` before
//! each retry. Invariant: the rule above, in every sliding window, over restarts of all proxies
//! (`tests/decision_budget.rs`).

use super::types::Micros;

/// Slots that a window is cut into.
const SLOTS: u64 = 64;

/// Slots that lie completely in any window that ends within a given slot, not counting that slot.
const FULL_SLOTS: u64 = SLOTS - 2;

/// Slots that are retained: a window, the one before it, and both edges.
const RETAINED_SLOTS: usize = (2 * SLOTS + 3) as usize;

/// The share of the slack that proxies use once they have run for a window. The rest is left for the starts.
const STEADY_SLACK_SHARE: f64 = 0.6;

/// The share of the slack with which a proxy starts: it can't know what its life before has used.
const STARTING_SLACK_SHARE: f64 = 0.25;

/// So many proxies are assumed until their number is known.
pub const ASSUMED_PROXIES: u32 = 64;

/// The part of a service's retry budget that this proxy may use.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    /// Length of a slot in microseconds.
    slot: Micros,
    started: Micros,
    /// Number of the newest slot in the rings.
    newest: u64,
    requests: [u32; RETAINED_SLOTS],
    retries: [u32; RETAINED_SLOTS],
}

/// A retry that was charged to the budget, by the number of its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge(u64);

impl RetryBudget {
    /// A budget of a process that started at `started`.
    pub fn new(started: Micros, window: Micros, ratio: f64, slack: f64) -> Self {
        let slot = (window / SLOTS).max(1) + 1;
        RetryBudget {
            ratio: ratio.max(0.0),
            slack: slack.max(0.0),
            slot,
            started,
            newest: started / slot,
            requests: [0; RETAINED_SLOTS],
            retries: [0; RETAINED_SLOTS],
        }
    }

    /// Counts a request of a client, whatever becomes of it.
    pub fn record_request(&mut self, now: Micros) {
        let slot = self.advance(now);
        self.requests[ring(slot)] += 1;
    }

    /// Charges one retry, if every window that it falls into has capacity for it.
    pub fn charge(&mut self, now: Micros, fleet: u32) -> Option<Charge> {
        let slot = self.advance(now);
        if !self.has_capacity(slot, fleet) {
            return None;
        }
        self.retries[ring(slot)] += 1;
        Some(Charge(slot))
    }

    /// Refunds a charge: the retry has reached no searcher, or doesn't count.
    pub fn refund(&mut self, charge: Charge) {
        if charge.0 + (RETAINED_SLOTS as u64) > self.newest {
            let retries = &mut self.retries[ring(charge.0)];
            *retries = retries.saturating_sub(1);
        }
    }

    fn has_capacity(&self, newest: u64, fleet: u32) -> bool {
        let share = self.slack_share(newest, fleet);
        let mut retries = 1;
        // Requests in the full slots of the window before one that begins in slot `begin`.
        let mut before: u32 = (1..=FULL_SLOTS)
            .map(|back| self.at(&self.requests, newest, back))
            .sum();
        for begin in 0..=SLOTS {
            retries += self.at(&self.retries, newest, begin);
            if f64::from(retries) > self.ratio * f64::from(before) + share {
                return false;
            }
            before -= self.at(&self.requests, newest, begin + 1);
            before += self.at(&self.requests, newest, begin + 1 + FULL_SLOTS);
        }
        true
    }

    fn slack_share(&self, newest: u64, fleet: u32) -> f64 {
        let is_starting = newest <= self.started / self.slot + SLOTS + 1;
        let part = if is_starting {
            STARTING_SLACK_SHARE
        } else {
            STEADY_SLACK_SHARE
        };
        part * self.slack / f64::from(fleet.max(1))
    }

    fn at(&self, ring_of: &[u32; RETAINED_SLOTS], newest: u64, back: u64) -> u32 {
        newest
            .checked_sub(back)
            .map_or(0, |slot| ring_of[ring(slot)])
    }

    /// Empties the slots that time has passed over; a clock that stands still or steps back changes nothing.
    fn advance(&mut self, now: Micros) -> u64 {
        let slot = now / self.slot;
        let passed = slot.saturating_sub(self.newest).min(RETAINED_SLOTS as u64);
        for back in 0..passed {
            self.requests[ring(slot - back)] = 0;
            self.retries[ring(slot - back)] = 0;
        }
        self.newest = self.newest.max(slot);
        self.newest
    }
}

fn ring(slot: u64) -> usize {
    (slot % RETAINED_SLOTS as u64) as usize
}
