//! Random samples of agents, by which an agent discovers others for gossip.

use std::net::SocketAddrV4;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// Maximum number of agents in a sample.
const PEER_SAMPLE_SIZE: usize = 8;

/// Draws random samples; the same seed gives the same samples.
#[derive(Debug)]
pub struct PeerSampler {
    random: ChaCha8Rng,
}

impl PeerSampler {
    /// Creates a sampler whose random generator has this seed.
    pub fn new(seed: u64) -> Self {
        PeerSampler {
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns a random sample of the candidates without repetition.
    pub fn sample(&mut self, candidates: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        candidates
            .sample(&mut self.random, PEER_SAMPLE_SIZE)
            .copied()
            .collect()
    }
}
