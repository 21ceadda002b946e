//! The one clock: it only moves forward, and is set by Unix time once, so that starts that discovery tells
//! can be read in it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lockusher_policy::interface::{Span, Time};

#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_us: u64,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix_us: unix.as_micros() as u64,
        }
    }

    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    pub fn at(&self, instant: Instant) -> Time {
        let gone = instant.saturating_duration_since(self.started);
        Time::from_micros(self.unix_us.saturating_add(gone.as_micros() as u64))
    }
}

pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.as_micros())
}
