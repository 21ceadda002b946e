//! Whether a decode searcher's rejection means that the KV cache handle is gone, or only that this searcher is full.
//!
//! The answer is the same for both. A handle that is still there is of use at another searcher, and reading the
//! prompt again is dear; a handle that is gone costs another rejected send. What the last trials found decides.

use std::cell::Cell;
use std::time::Duration;

/// After trials that failed, one rejection in so many is tried with the same handle again.
const TRIAL_PERIOD: u32 = 8;

/// A handle is taken to be there for this part of the time for which it is held (quarters).
const FRESH_QUARTERS: u32 = 2;

/// What sending a handle again after a rejection came to lately.
#[derive(Debug, Default)]
pub(crate) struct HandleReuse {
    last_failed: Cell<bool>,
    passed_over: Cell<u32>,
}

impl HandleReuse {
    /// Whether a handle of this age is worth another send after its first rejection.
    pub(crate) fn is_worth_trying(&self, age: Duration, cache_retention: Duration) -> bool {
        if age > cache_retention * FRESH_QUARTERS / 4 {
            return false;
        }
        if !self.last_failed.get() {
            return true;
        }
        let passed_over = self.passed_over.get() + 1;
        self.passed_over.set(passed_over % TRIAL_PERIOD);
        passed_over == TRIAL_PERIOD
    }

    /// Notes whether a handle sent again was taken.
    pub(crate) fn learn(&self, taken: bool) {
        self.last_failed.set(!taken);
    }
}
