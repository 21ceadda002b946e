//! Random samples of agents, by which an agent finds others to gossip with.

use std::net::SocketAddrV4;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// Agents in a sample, if there are as many.
const PEER_SAMPLE_SIZE: usize = 8;

/// Draws samples; the same seed gives the same samples.
#[derive(Debug)]
pub struct PeerSampler {
    random: ChaCha8Rng,
}

impl PeerSampler {
    /// Draws by a random generator with this seed.
    pub fn new(seed: u64) -> Self {
        PeerSampler {
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Some of the candidates, none of them twice.
    pub fn sample(&mut self, candidates: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        candidates
            .sample(&mut self.random, PEER_SAMPLE_SIZE)
            .copied()
            .collect()
    }
}
