//! A proxy's way to its agent.

use std::net::SocketAddrV4;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::reconnect::policy::{Attempt, ConnectionPolicy};

/// A proxy's way to its agent: one address, tried again soon.
#[derive(Debug)]
pub struct FixedAddressPolicy {
    address: SocketAddrV4,
    failures: u32,
    random: ChaCha8Rng,
}

impl FixedAddressPolicy {
    /// Upper end of the pause before the first attempt after a loss.
    const INITIAL_BACK_OFF_MS: u64 = 50;
    /// Upper end of the pause after some failures.
    const MAX_BACK_OFF_MS: u64 = 200;

    /// Always the same address.
    pub fn new(address: SocketAddrV4, random_seed: u64) -> Self {
        FixedAddressPolicy { address, failures: 0, random: ChaCha8Rng::seed_from_u64(random_seed) }
    }
}

impl ConnectionPolicy for FixedAddressPolicy {
    fn next_attempt(&mut self, now_ms: u64) -> Option<Attempt> {
        let limit_ms = (Self::INITIAL_BACK_OFF_MS << self.failures.min(2)).min(Self::MAX_BACK_OFF_MS);
        let back_off_ms =
            if self.failures == 0 { 0 } else { self.random.random_range(limit_ms / 2..=limit_ms) };
        Some(Attempt { address: self.address, at_ms: now_ms + back_off_ms })
    }

    fn established(&mut self, _now_ms: u64) {
        self.failures = 0;
    }

    fn lost(&mut self, _now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
    }
}
