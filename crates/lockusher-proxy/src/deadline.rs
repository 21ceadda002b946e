//! The deadlines of a request. A response that starts at the client's deadline arrives after the client has given up, so
//! part of the client's time is reserved for the transit of the response.

use std::time::{Duration, Instant};

/// The proxy starts a response of its own this long before the client's deadline.
pub(crate) const CLIENT_DEADLINE_RESERVE: Duration = Duration::from_millis(40);

/// The reserve is at most the client's time divided by this.
const RESERVE_DIVISOR: u32 = 10;

/// The deadlines of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadlines {
    /// Deadline for the head of a response.
    pub(crate) response_head: Instant,
    /// Deadline for the end of a response that has started.
    pub(crate) response_end: Instant,
}

impl Deadlines {
    /// The deadlines of a request: the client's `deadline_remaining`, if it sent one, or the route's `timeout`, whichever
    /// is earlier.
    pub(crate) fn new(
        arrived: Instant,
        deadline_remaining: Option<Duration>,
        timeout: Duration,
    ) -> Self {
        let to_response_head =
            deadline_remaining.map_or(timeout, |remaining| timeout.min(without_reserve(remaining)));
        let to_response_end =
            deadline_remaining.map_or(timeout, |remaining| timeout.min(remaining));
        Deadlines {
            response_head: arrived + to_response_head,
            response_end: arrived + to_response_end,
        }
    }
}

/// The client's remaining time without the reserve.
fn without_reserve(deadline_remaining: Duration) -> Duration {
    deadline_remaining - CLIENT_DEADLINE_RESERVE.min(deadline_remaining / RESERVE_DIVISOR)
}
