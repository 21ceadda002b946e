//! The monotonic clock of a process.
//!
//! Decision modules take time as milliseconds or microseconds since the process started and never read a clock; the
//! code that drives them reads this one. It never goes backwards and says nothing about the time of day.

use std::time::Instant;

/// Time since the process started. Copies share the start, so that their readings can be compared.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock {
            started: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn millis(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Microseconds since the start.
    pub fn micros(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }
}
