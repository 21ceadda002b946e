//! A proxy's way to its agent: one address.
//!
//! The agent is on the same machine, so that the back-off is short and any answer resets it.

use std::net::SocketAddrV4;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::reconnect::policy::{Attempt, ConnectionPolicy};

/// Tries the same address again soon.
#[derive(Debug)]
pub struct FixedAddressPolicy {
    address: SocketAddrV4,
    /// Failures since the publisher last answered.
    failures: u32,
    random: ChaCha8Rng,
}

impl FixedAddressPolicy {
    /// Half of the upper end of the back-off after the first failure, in milliseconds; doubles with the second.
    const INITIAL_BACK_OFF_MS: u64 = 50;
    /// Upper end of the back-off after some failures, in milliseconds.
    const MAX_BACK_OFF_MS: u64 = 200;
    /// Doublings after which [`Self::MAX_BACK_OFF_MS`] is reached.
    const MAX_BACK_OFF_DOUBLINGS: u32 = 2;

    /// `random_seed` differs between processes.
    pub fn new(address: SocketAddrV4, random_seed: u64) -> Self {
        FixedAddressPolicy {
            address,
            failures: 0,
            random: ChaCha8Rng::seed_from_u64(random_seed),
        }
    }

    /// Random, between half of a limit and the limit.
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
    fn next_attempt(&mut self, now_ms: u64) -> Option<Attempt> {
        let at_ms = now_ms + self.back_off_ms();
        Some(Attempt {
            address: self.address,
            at_ms,
        })
    }

    fn established(&mut self, _now_ms: u64) {
        self.failures = 0;
    }

    fn lost(&mut self, _now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
    }
}
