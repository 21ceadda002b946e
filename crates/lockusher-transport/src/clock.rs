//! The monotonic clock of a process.
//!
//! Decision logic takes the time as an argument, in milliseconds or microseconds since the process started, and never
//! reads a clock; its drivers read this one. It is monotonic and unrelated to the time of day.

use std::time::Instant;

/// Measures the time since the process started. Copies share the start, so that their readings are comparable.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Clock {
            started_at: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn millis(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Microseconds since the start.
    pub fn micros(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }
}
