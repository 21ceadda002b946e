//! The number of proxies in the fleet, as far as budgets may rely on it.
//!
//! When a control node is lost, its agents are missing from the count until they have moved to another one. A budget that
//! is shared by too few proxies is overdrawn, so the highest count of a sliding window is used. Owned by the agent's
//! tasks; invariant: the counts in the window fall strictly, so that the first is the highest.

use std::collections::VecDeque;

/// How long a count stays valid after it was last received, in milliseconds.
const COUNT_VALID_MS: u64 = 15_000;

/// A count and when it was last received.
#[derive(Debug)]
struct RecordedCount {
    received_at_ms: u64,
    proxies: u32,
}

/// The highest count received of late.
#[derive(Debug, Default)]
pub struct FleetSize {
    /// Falling counts.
    counts: VecDeque<RecordedCount>,
}

impl FleetSize {
    /// Takes a count that was received; 0 means unknown and is ignored.
    pub fn record(&mut self, now_ms: u64, proxies: u32) {
        if proxies == 0 {
            return;
        }
        while self
            .counts
            .back()
            .is_some_and(|known| known.proxies <= proxies)
        {
            self.counts.pop_back();
        }
        self.counts.push_back(RecordedCount {
            received_at_ms: now_ms,
            proxies,
        });
        while self.counts.len() > 1 && self.counts[0].received_at_ms + COUNT_VALID_MS <= now_ms {
            self.counts.pop_front();
        }
    }

    /// The count to rely on; 0 if none was received.
    pub fn proxies(&self) -> u32 {
        self.counts.front().map_or(0, |count| count.proxies)
    }
}
