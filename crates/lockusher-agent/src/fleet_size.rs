//! The number of proxies in the fleet, as far as budgets may rely on it.
//!
//! When a control node is lost, its agents are missing from the count until they have moved. A budget that is shared by
//! too few proxies is overdrawn, so the highest count of the last while holds.

use std::collections::VecDeque;

/// How long a count holds after it was last heard.
const COUNT_VALID_MS: u64 = 15_000;

/// The highest count heard of late.
#[derive(Debug, Default)]
pub struct FleetSize {
    /// Falling counts with the time at which each was last heard.
    counts: VecDeque<(u64, u32)>,
}

impl FleetSize {
    /// Takes a count that was heard; 0 says nothing.
    pub fn record(&mut self, now_ms: u64, count: u32) {
        if count == 0 {
            return;
        }
        while self.counts.back().is_some_and(|&(_, known)| known <= count) {
            self.counts.pop_back();
        }
        self.counts.push_back((now_ms, count));
        while self.counts.len() > 1 && self.counts[0].0 + COUNT_VALID_MS <= now_ms {
            self.counts.pop_front();
        }
    }

    /// The count to rely on; 0 if none was heard.
    pub fn proxies(&self) -> u32 {
        self.counts.front().map_or(0, |&(_, count)| count)
    }
}
