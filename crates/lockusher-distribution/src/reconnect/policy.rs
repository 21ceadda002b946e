//! The interface of the policies that select publishers, and the timeouts of a connection.

use std::net::SocketAddrV4;

/// A subscriber closes a connection without a message of the publisher for this long, in milliseconds. It is four
/// heartbeat intervals of the publisher.
pub const PUBLISHER_INACTIVITY_TIMEOUT_MS: u64 = 1_200;
/// A connection to a publisher that isn't a member of the current view for this long, in milliseconds, is closed. The
/// delay keeps connections to a publisher that is just joining.
pub const OUT_OF_VIEW_TIMEOUT_MS: u64 = 500;
/// A connection to a referring agent is closed after this long, in milliseconds, if the agent returns no control nodes.
pub const REFERRAL_TIMEOUT_MS: u64 = 500;
/// Timeout of connecting to a publisher, in milliseconds: an attempt to a machine without power hangs, and after a
/// power failure of all machines every first attempt may.
pub const CONNECT_TIMEOUT_MS: u64 = 300;

/// One connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionAttempt {
    /// Address of the publisher.
    pub address: SocketAddrV4,
    /// Earliest time of the attempt, in milliseconds on the process's monotonic clock.
    pub at_ms: u64,
}

/// Selects publishers; it is notified of the outcome of each attempt. Used by one
/// [`SharedSubscriber`](crate::subscribe::SharedSubscriber): each attempt is followed by at most one
/// [`on_established`](ConnectionPolicy::on_established), then by one [`on_lost`](ConnectionPolicy::on_lost).
pub trait ConnectionPolicy {
    /// Returns the next attempt; none if no address is known.
    fn next_attempt(&mut self, now_ms: u64) -> Option<ConnectionAttempt>;

    /// Records that the publisher answered on the connection of the last attempt.
    fn on_established(&mut self, now_ms: u64);

    /// Records that the last attempt failed, or that its connection was lost or closed.
    fn on_lost(&mut self, now_ms: u64);

    /// Replaces the addresses received from publishers; ignored by default.
    fn learn(&mut self, _addresses: &[SocketAddrV4]) {}

    /// Whether to disconnect from a publisher that isn't a member of the current view.
    fn disconnects_out_of_view(&self) -> bool {
        false
    }

    /// Whether the last attempt was to a referrer, an agent that only returns the addresses of control nodes.
    fn is_referrer(&self) -> bool {
        false
    }
}
