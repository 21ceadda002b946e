//! The unit of time of the state machine.
//!
//! Decisions read no clock: the driver passes the time with each event, and everything that is compared or added is in
//! this unit.

/// Milliseconds of the host's steady clock, since an arbitrary start.
pub type Millis = u64;
