//! The process-wide clock. It is monotonic and is aligned with Unix time once at the start, so that start times
//! reported by discovery can be compared with it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lockusher_policy::interface::{Span, Time};

/// Monotonic clock with an offset to Unix time.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    started_unix_us: u64,
}

impl Clock {
    /// Starts a clock aligned with the current Unix time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: Instant::now(),
            started_unix_us: since_epoch.as_micros() as u64,
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    /// Converts an instant to the time of this clock.
    pub fn at(&self, instant: Instant) -> Time {
        let elapsed = instant.saturating_duration_since(self.started_at);
        Time::from_micros(
            self.started_unix_us
                .saturating_add(elapsed.as_micros() as u64),
        )
    }
}

/// Converts a [`Span`] to a [`Duration`].
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.as_micros())
}
