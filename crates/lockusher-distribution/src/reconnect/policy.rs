//! The interface of what chooses publishers, and the timeouts of a connection to one.

use std::net::SocketAddrV4;

/// Without a message from the publisher for this long, in milliseconds, a subscriber closes the connection. It is four
/// heartbeat intervals of the publisher.
pub const PUBLISHER_INACTIVITY_TIMEOUT_MS: u64 = 1_200;
/// A publisher that is outside the current view for this long, in milliseconds, is left; one that is just joining
/// isn't.
pub const OUT_OF_VIEW_TIMEOUT_MS: u64 = 500;
/// An agent that refers to control nodes is left after this long, in milliseconds, if it knows none.
pub const REFERRAL_TIMEOUT_MS: u64 = 500;
/// Timeout of connecting to a publisher, in milliseconds: an attempt to a machine without power hangs, and after a loss
/// of power everywhere all first attempts may.
pub const CONNECT_TIMEOUT_MS: u64 = 300;

/// One attempt to connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Where the publisher listens.
    pub address: SocketAddrV4,
    /// Not before this time, in milliseconds on the process's steady clock.
    pub at_ms: u64,
}

/// Chooses publishers, notified of each attempt's outcome. Called by one
/// [`SharedSubscriber`](crate::subscribe::SharedSubscriber): each attempt is followed by at most one
/// [`established`](ConnectionPolicy::established), then by one [`lost`](ConnectionPolicy::lost).
pub trait ConnectionPolicy {
    /// The next attempt; none if no address is known.
    fn next_attempt(&mut self, now_ms: u64) -> Option<Attempt>;

    /// The publisher answered on the connection of the last attempt.
    fn established(&mut self, now_ms: u64);

    /// The last attempt failed, or its connection was lost or closed.
    fn lost(&mut self, now_ms: u64);

    /// Replaces the addresses that publishers sent; ignored by default.
    fn learn(&mut self, _addresses: &[SocketAddrV4]) {}

    /// Whether a publisher that isn't in the current view is to be left.
    fn leaves_out_of_view(&self) -> bool {
        false
    }

    /// Whether the last attempt was at an agent that is only to name control nodes.
    fn is_referrer(&self) -> bool {
        false
    }
}
