//! The unit of time of the state machine.

/// Milliseconds of the host's steady clock.
pub type Millis = u64;
