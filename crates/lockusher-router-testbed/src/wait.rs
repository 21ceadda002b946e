//! Waiting for a condition with a bounded number of polls.

use std::time::Duration;

use derive_more::{Display, Error};

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The condition was not met in time.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{state}: not reached within {polls} polls")]
pub struct WaitTimeout {
    /// Description of the awaited condition.
    pub state: String,
    /// Number of polls made.
    pub polls: u32,
}

/// Calls `poll` up to `polls` times, at short intervals, until it returns a value.
pub fn wait_for<T>(
    state: &str,
    polls: u32,
    mut poll: impl FnMut() -> Option<T>,
) -> Result<T, WaitTimeout> {
    for _ in 0..polls {
        if let Some(found) = poll() {
            return Ok(found);
        }
        std::thread::park_timeout(POLL_INTERVAL);
    }
    Err(WaitTimeout {
        state: state.to_owned(),
        polls,
    })
}

/// Like [`wait_for`], for a boolean condition.
pub fn wait_until(
    state: &str,
    polls: u32,
    mut holds: impl FnMut() -> bool,
) -> Result<(), WaitTimeout> {
    wait_for(state, polls, || holds().then_some(()))
}
