//! Connection of a proxy to its agent, or of a control node to the head: a single address.
//!
//! A proxy's agent is on the same machine, so that the back-off is short and any answer resets it.

use std::net::SocketAddrV4;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::reconnect::policy::{ConnectionAttempt, ConnectionPolicy};

/// Retries a single address after a short back-off.
#[derive(Debug)]
pub struct FixedAddressPolicy {
    address: SocketAddrV4,
    /// Failures since the last answer of the publisher.
    failures: u32,
    random: ChaCha8Rng,
}

impl FixedAddressPolicy {
    /// Half of the limit of the back-off after the first failure, in milliseconds; the limit doubles with the second.
    const INITIAL_BACK_OFF_MS: u64 = 50;
    /// Maximum back-off, in milliseconds.
    const MAX_BACK_OFF_MS: u64 = 200;
    /// Number of doublings after which [`Self::MAX_BACK_OFF_MS`] is reached.
    const MAX_BACK_OFF_DOUBLINGS: u32 = 2;

    /// Creates a policy for `address`; `random_seed` differs between processes.
    pub fn new(address: SocketAddrV4, random_seed: u64) -> Self {
        FixedAddressPolicy {
            address,
            failures: 0,
            random: ChaCha8Rng::seed_from_u64(random_seed),
        }
    }

    /// Returns a random back-off between half of the limit and the limit.
    fn back_off_ms(&mut self) -> u64 {
        if self.failures == 0 {
            return 0;
        }
        let doublings = self.failures.min(Self::MAX_BACK_OFF_DOUBLINGS);
        let limit_ms = (Self::INITIAL_BACK_OFF_MS << doublings).min(Self::MAX_BACK_OFF_MS);
        self.random.random_range(limit_ms / 2..=limit_ms)
    }
}

impl ConnectionPolicy for FixedAddressPolicy {
    fn next_attempt(&mut self, now_ms: u64) -> Option<ConnectionAttempt> {
        let at_ms = now_ms + self.back_off_ms();
        Some(ConnectionAttempt {
            address: self.address,
            at_ms,
        })
    }

    fn on_established(&mut self, _now_ms: u64) {
        self.failures = 0;
    }

    fn on_lost(&mut self, _now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
    }
}
