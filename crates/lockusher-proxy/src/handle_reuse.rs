//! Decides whether a KV cache handle is sent to another decode searcher after the first one rejected it.
//!
//! The response is the same whether the handle has expired or the decode searcher is full. A handle that is still valid
//! can be transferred to another searcher, which saves an expensive repeated prefill; an expired one causes another
//! rejected send. The result of the last retry decides; after a failed one, an occasional retry probes whether retries
//! succeed again.

use std::cell::Cell;
use std::time::Duration;

/// After a failed retry, only one in this many rejections is retried with the same handle.
const RETRY_PERIOD: u32 = 8;

/// A handle is assumed to be valid during this fraction of its lifetime, in quarters.
const FRESH_QUARTERS: u32 = 2;

/// The result of the last retry, and the retries skipped since.
#[derive(Debug, Default)]
pub(crate) struct HandleReuse {
    last_failed: Cell<bool>,
    skipped: Cell<u32>,
}

impl HandleReuse {
    /// Whether a handle of this age should be sent again after its first rejection.
    pub(crate) fn should_retry(&self, age: Duration, lifetime: Duration) -> bool {
        if age > lifetime * FRESH_QUARTERS / 4 {
            return false;
        }
        if !self.last_failed.get() {
            return true;
        }
        let skipped = self.skipped.get() + 1;
        self.skipped.set(skipped % RETRY_PERIOD);
        skipped == RETRY_PERIOD
    }

    /// Records whether the KV cache was transferred when its handle was sent again.
    pub(crate) fn record(&self, transferred: bool) {
        self.last_failed.set(!transferred);
    }
}
