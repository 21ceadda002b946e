//! Waiting for a state, with a bounded number of looks.

use std::time::Duration;

use derive_more::{Display, Error};

/// The pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The state did not come.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{state} did not come within {polls} looks")]
pub struct WaitTimeout {
    pub state: String,
    pub polls: u32,
}

/// Looks up to `polls` times, with short pauses between, until `poll` finds something.
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

/// Like [`wait_for`], for a condition.
pub fn wait_until(
    state: &str,
    polls: u32,
    mut holds: impl FnMut() -> bool,
) -> Result<(), WaitTimeout> {
    wait_for(state, polls, || holds().then_some(()))
}
