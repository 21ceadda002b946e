//! The one clock: it only moves forward, and is set by Unix time once, so that starts that discovery tells
//! can be read in it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lockusher_policy::interface::{Span, Time};

#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    started_unix_us: u64,
}

impl Clock {
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: Instant::now(),
            started_unix_us: since_epoch.as_micros() as u64,
        }
    }

    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    pub fn at(&self, instant: Instant) -> Time {
        let elapsed = instant.saturating_duration_since(self.started_at);
        Time::from_micros(
            self.started_unix_us
                .saturating_add(elapsed.as_micros() as u64),
        )
    }
}

pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.as_micros())
}
