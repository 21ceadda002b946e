//! The unit of time of the state machine.
//!
//! The state machine reads no clock: the driver passes the time with each event, and all times and durations are in
//! this unit.

/// Milliseconds of the host's monotonic clock, since an arbitrary start.
pub type Millis = u64;
