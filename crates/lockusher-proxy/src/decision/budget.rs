//! The retry budget of one service: this proxy's share of a fleet-wide budget.
//!
//! The rule: in every window of length W, the retries of all proxies are at most `ratio` x their requests + `slack`,
//! where the requests are those of that window or of the one before it, whichever are more. Each proxy enforces
//! `retries <= ratio x own requests in the preceding window + its share of the slack` for every window. The sum of
//! these bounds over all proxies implies the rule, without any communication.
//!
//! Owned by `Service`, charged by `RequestRouter::choose` before each retry. Invariant: the rule above, in every
//! sliding window, also across restarts of all proxies (`tests/decision_budget.rs`).

use super::types::Micros;

/// Number of slots per window.
const SLOTS: u64 = 64;

/// Slots that lie completely in any window that ends within a given slot, not counting that slot.
const FULL_SLOTS: u64 = SLOTS - 2;

/// Retained slots: a window, the one before it, and the partial slots at both edges.
const RETAINED_SLOTS: usize = (2 * SLOTS + 3) as usize;

/// Fraction of its slack share that a proxy uses once it has run for a window. The rest is reserved for restarts.
const STEADY_SLACK_SHARE: f64 = 0.6;

/// Fraction of its slack share that a proxy may use after its start: it doesn't know what its previous incarnation
/// has used.
const STARTING_SLACK_SHARE: f64 = 0.25;

/// Fleet size that is assumed until it is known.
pub const ASSUMED_FLEET_SIZE: u32 = 64;

/// This proxy's share of a service's retry budget.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    /// Length of a slot in microseconds.
    slot_length: Micros,
    started: Micros,
    /// Number of the newest slot in the ring buffers.
    newest_slot: u64,
    requests: [u32; RETAINED_SLOTS],
    retries: [u32; RETAINED_SLOTS],
}

/// A retry charged to the budget, identified by the number of its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Charge(u64);

impl RetryBudget {
    /// Creates the budget of a process that started at `started`.
    pub fn new(started: Micros, window: Micros, ratio: f64, slack: f64) -> Self {
        let slot_length = (window / SLOTS).max(1) + 1;
        RetryBudget {
            ratio: ratio.max(0.0),
            slack: slack.max(0.0),
            slot_length,
            started,
            newest_slot: started / slot_length,
            requests: [0; RETAINED_SLOTS],
            retries: [0; RETAINED_SLOTS],
        }
    }

    /// Counts a client request, whatever its outcome.
    pub fn record_request(&mut self, now: Micros) {
        let slot = self.advance(now);
        self.requests[ring_index(slot)] += 1;
    }

    /// Charges one retry if every window that contains it has capacity left.
    pub fn charge(&mut self, now: Micros, fleet_size: u32) -> Option<Charge> {
        let slot = self.advance(now);
        if !self.has_capacity(slot, fleet_size) {
            return None;
        }
        self.retries[ring_index(slot)] += 1;
        Some(Charge(slot))
    }

    /// Refunds a charge: the retry reached no searcher, or doesn't count as one.
    pub fn refund(&mut self, charge: Charge) {
        if charge.0 + (RETAINED_SLOTS as u64) > self.newest_slot {
            let retries = &mut self.retries[ring_index(charge.0)];
            *retries = retries.saturating_sub(1);
        }
    }

    fn has_capacity(&self, newest_slot: u64, fleet_size: u32) -> bool {
        let slack_share = self.slack_share(newest_slot, fleet_size);
        let mut retries = 1;
        // Requests in the full slots of the window that precedes one that begins in slot `begin`.
        let mut preceding_requests: u32 = (1..=FULL_SLOTS)
            .map(|slots_back| self.count_at(&self.requests, newest_slot, slots_back))
            .sum();
        for begin in 0..=SLOTS {
            retries += self.count_at(&self.retries, newest_slot, begin);
            if f64::from(retries) > self.ratio * f64::from(preceding_requests) + slack_share {
                return false;
            }
            preceding_requests -= self.count_at(&self.requests, newest_slot, begin + 1);
            preceding_requests +=
                self.count_at(&self.requests, newest_slot, begin + 1 + FULL_SLOTS);
        }
        true
    }

    fn slack_share(&self, newest_slot: u64, fleet_size: u32) -> f64 {
        let is_starting = newest_slot <= self.started / self.slot_length + SLOTS + 1;
        let usable_fraction = if is_starting {
            STARTING_SLACK_SHARE
        } else {
            STEADY_SLACK_SHARE
        };
        usable_fraction * self.slack / f64::from(fleet_size.max(1))
    }

    fn count_at(&self, counts: &[u32; RETAINED_SLOTS], newest_slot: u64, slots_back: u64) -> u32 {
        newest_slot
            .checked_sub(slots_back)
            .map_or(0, |slot| counts[ring_index(slot)])
    }

    /// Clears the slots that have elapsed. A clock that stands still or goes backwards changes nothing.
    fn advance(&mut self, now: Micros) -> u64 {
        let slot = now / self.slot_length;
        let elapsed_slots = slot
            .saturating_sub(self.newest_slot)
            .min(RETAINED_SLOTS as u64);
        for slots_back in 0..elapsed_slots {
            self.requests[ring_index(slot - slots_back)] = 0;
            self.retries[ring_index(slot - slots_back)] = 0;
        }
        self.newest_slot = self.newest_slot.max(slot);
        self.newest_slot
    }
}

fn ring_index(slot: u64) -> usize {
    (slot % RETAINED_SLOTS as u64) as usize
}
