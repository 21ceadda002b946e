//! Waiting for a state, with a bounded number of looks.

use std::time::Duration;

use derive_more::{Display, Error};

/// The pause between two looks.
const PAUSE: Duration = Duration::from_millis(50);

/// The state did not come.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{state} did not come within {tries} looks")]
pub struct NeverCame {
    pub state: String,
    pub tries: u32,
}

/// Looks up to `tries` times, with short pauses between, until `look` finds something.
pub fn wait_for<T>(
    state: &str,
    tries: u32,
    mut look: impl FnMut() -> Option<T>,
) -> Result<T, NeverCame> {
    for _ in 0..tries {
        if let Some(found) = look() {
            return Ok(found);
        }
        std::thread::park_timeout(PAUSE);
    }
    Err(NeverCame {
        state: state.to_owned(),
        tries,
    })
}

/// Like [`wait_for`], for a condition.
pub fn wait_until(
    state: &str,
    tries: u32,
    mut holds: impl FnMut() -> bool,
) -> Result<(), NeverCame> {
    wait_for(state, tries, || holds().then_some(()))
}
