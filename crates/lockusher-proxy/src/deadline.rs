//! The deadlines of a request. An answer that is begun when the client's time is up comes after the client
//! has left, so a part of that time is reserved for its way back.

use std::time::{Duration, Instant};

/// An answer of our own is begun this long before the client gives the request up by itself.
pub(crate) const CLIENT_DEADLINE_RESERVE: Duration = Duration::from_millis(40);

/// Of a short time the reserve is this fraction at most (divisor).
const RESERVE_DIVISOR: u32 = 10;

/// The limits of one request's time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadlines {
    /// Until when the head of an answer is waited for.
    pub(crate) answer: Instant,
    /// Until when an answer that has begun may go on.
    pub(crate) end: Instant,
}

impl Deadlines {
    /// The limits of a request that arrived at a time, for which its client waits for `deadline_remaining` (if it says so) and
    /// its route allows `timeout`.
    pub(crate) fn new(
        arrived: Instant,
        deadline_remaining: Option<Duration>,
        timeout: Duration,
    ) -> Self {
        let to_answer =
            deadline_remaining.map_or(timeout, |remaining| timeout.min(time_to_answer(remaining)));
        let in_all = deadline_remaining.map_or(timeout, |remaining| timeout.min(remaining));
        Deadlines {
            answer: arrived + to_answer,
            end: arrived + in_all,
        }
    }
}

/// What is left of a client's time without the reserve.
fn time_to_answer(deadline_remaining: Duration) -> Duration {
    deadline_remaining - CLIENT_DEADLINE_RESERVE.min(deadline_remaining / RESERVE_DIVISOR)
}
