//! The number of proxies in the fleet, by which fleet-wide budgets are divided.
//!
//! When a control node fails, its agents are missing from the count until they have reconnected to another one. A
//! budget divided among too few proxies is exceeded, so the maximum over a sliding window is used. Owned by the agent's
//! tasks. Invariant: the counts in the window are strictly decreasing, so the first is the maximum.

use std::collections::VecDeque;

/// How long a count stays in the window after it was last received, in milliseconds.
const WINDOW_MS: u64 = 15_000;

/// A count and when it was last received.
#[derive(Debug)]
struct RecordedCount {
    received_at_ms: u64,
    proxies: u32,
}

/// The maximum of the recently received counts.
#[derive(Debug, Default)]
pub struct FleetSize {
    /// The counts in the window, strictly decreasing.
    counts: VecDeque<RecordedCount>,
}

impl FleetSize {
    /// Records a received count; 0 means unknown and is ignored.
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
        while self.counts.len() > 1 && self.counts[0].received_at_ms + WINDOW_MS <= now_ms {
            self.counts.pop_front();
        }
    }

    /// The maximum count in the window; 0 if none was received. The last count stays valid until another is received.
    pub fn proxies(&self) -> u32 {
        self.counts.front().map_or(0, |count| count.proxies)
    }
}
