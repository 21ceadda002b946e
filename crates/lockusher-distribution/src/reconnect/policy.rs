//! What chooses publishers, and when a connection to one is given up.

use std::net::SocketAddrV4;

/// A publisher that says nothing for this long is given up.
pub const PUBLISHER_INACTIVITY_TIMEOUT_MS: u64 = 1_200;
/// A publisher outside the current view is given up after this long, so that one that is just joining isn't left.
pub const OUT_OF_VIEW_TIMEOUT_MS: u64 = 500;
/// The longest that a connection may take to come up: an attempt to a machine without power hangs, and after a loss of
/// power everywhere all first attempts may.
pub const CONNECT_TIMEOUT_MS: u64 = 300;

/// One attempt to connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub address: SocketAddrV4,
    /// Not before this time.
    pub at_ms: u64,
}

/// Chooses publishers; told of each attempt's outcome.
pub trait ConnectionPolicy {
    /// The next attempt; none if no address is known.
    fn next_attempt(&mut self, now_ms: u64) -> Option<Attempt>;

    /// The publisher answered on the connection of the last attempt.
    fn established(&mut self, now_ms: u64);

    /// The last attempt failed, or its connection was lost or given up.
    fn lost(&mut self, now_ms: u64);

    /// Replaces the addresses that publishers told.
    fn learn(&mut self, _addresses: &[SocketAddrV4]) {}

    /// Whether a publisher that isn't in the current view is to be left.
    fn leaves_out_of_view(&self) -> bool {
        false
    }
}
