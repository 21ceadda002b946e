//! Retries of a handover: whether a decode searcher's rejection means that the KV cache handle is gone, or only that this searcher is full.
//!
//! The answer is the same for both. A handle that is still there is of use at another searcher, and prefilling the
//! prompt again is expensive; a handle that is gone costs another rejected send. What the last trials found decides.

use std::cell::Cell;
use std::time::Duration;

/// After trials that failed, one rejection in so many is tried with the same handle again.
const TRIAL_PERIOD: u32 = 8;

/// A handle is assumed to be there for this part of the time for which it is reserved (quarters).
const FRESH_QUARTERS: u32 = 2;

/// The outcome of the last retries of handovers.
#[derive(Debug, Default)]
pub(crate) struct HandleReuse {
    last_failed: Cell<bool>,
    skipped: Cell<u32>,
}

impl HandleReuse {
    /// Whether a handle of this age should be sent once more after its first rejection.
    pub(crate) fn should_retry(&self, age: Duration, lifetime: Duration) -> bool {
        if age > lifetime * FRESH_QUARTERS / 4 {
            return false;
        }
        if !self.last_failed.get() {
            return true;
        }
        let skipped = self.skipped.get() + 1;
        self.skipped.set(skipped % TRIAL_PERIOD);
        skipped == TRIAL_PERIOD
    }

    /// Records whether a handle that was sent again was fetched.
    pub(crate) fn record(&self, transferred: bool) {
        self.last_failed.set(!transferred);
    }
}
