//! The steady clock of a process.

use std::time::Instant;

/// Milliseconds and microseconds since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { started: Instant::now() }
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
