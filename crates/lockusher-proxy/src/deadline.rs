//! Until when a request may be worked on. An answer that is begun when the client's time is up comes after the client
//! has left, so a part of that time is kept for its way back.

use std::time::{Duration, Instant};

/// An answer of our own is begun this long before the client gives the request up by itself.
pub(crate) const CLIENT_DEADLINE_RESERVE: Duration = Duration::from_millis(40);

/// Of a short time the reserve is the whole divided by this at most.
const RESERVE_DIVISOR: u32 = 10;

/// The limits of one request's time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadlines {
    /// Until when the head of an answer is waited for.
    pub(crate) answer: Instant,
    /// Until when an answer that was begun may go on.
    pub(crate) end: Instant,
}

impl Deadlines {
    /// The limits of a request that arrived at a time, for which its client waits for `patience` (if it says so) and
    /// its route allows `timeout`.
    pub(crate) fn new(arrived: Instant, patience: Option<Duration>, timeout: Duration) -> Self {
        let to_answer = patience.map_or(timeout, |patience| timeout.min(time_to_answer(patience)));
        let in_all = patience.map_or(timeout, |patience| timeout.min(patience));
        Deadlines { answer: arrived + to_answer, end: arrived + in_all }
    }
}

/// What is left of a client's time once the reserve is kept.
fn time_to_answer(patience: Duration) -> Duration {
    patience - CLIENT_DEADLINE_RESERVE.min(patience / RESERVE_DIVISOR)
}
