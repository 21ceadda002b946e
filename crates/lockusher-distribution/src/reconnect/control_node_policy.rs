//! Connections of an agent to the control nodes, which have several addresses.
//!
//! Addresses are tried in passes: each address once, in an order that differs between agents. The first pass is ordered
//! by highest-random-weight hash, so that a fleet that starts spreads evenly; later ones are shuffled. A seed's machine
//! need not run a control node, so each pass ends with the agents on the seeds' machines, which return the addresses of
//! the control nodes that they know.
//!
//! Invariant: within a pass, no address is tried twice, addresses received from control nodes come before seeds, the
//! one that was just lost comes last of these, and referrers, the agents on the seeds' machines, come after all control
//! nodes.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::reconnect::policy::{ConnectionAttempt, ConnectionPolicy};

/// Limit of the back-off after the first failure, in milliseconds.
const INITIAL_BACK_OFF_MS: u64 = 250;
/// Number of further failures after which the limit of the back-off doubles.
const FAILURES_PER_DOUBLING: u32 = 2;
/// Maximum limit of the back-off, in milliseconds.
const MAX_BACK_OFF_MS: u64 = 3_000;
/// Limit of the sum of all back-offs of a pass, in milliseconds, so that many dead addresses don't delay a live one.
const MAX_PASS_BACK_OFF_MS: u64 = 12_000;
/// Maximum number of doublings; [`MAX_BACK_OFF_MS`] is reached by then.
const MAX_BACK_OFF_DOUBLINGS: u32 = 8;
/// A connection that lasted this long, in milliseconds, resets the count of failures.
const STABLE_CONNECTION_MS: u64 = 3_000;

/// Selects control nodes, with jittered exponential back-off.
#[derive(Debug)]
pub struct ControlNodePolicy {
    node_hash: u64,
    /// From the settings file.
    seeds: Vec<SocketAddrV4>,
    /// Received from control nodes, or from agents that know them.
    learned: Vec<SocketAddrV4>,
    /// Agents on the seeds' machines, which return the addresses of control nodes.
    referrers: Vec<SocketAddrV4>,
    /// Addresses left in this pass, in reverse order.
    candidates: Vec<SocketAddrV4>,
    /// Number of addresses at the start of this pass.
    pass_length: usize,
    passes_started: u64,
    /// Failures since the last stable connection.
    failures: u32,
    /// Absent while not connected.
    established_at_ms: Option<u64>,
    /// Address of the last attempt.
    last_tried: Option<SocketAddrV4>,
    random: ChaCha8Rng,
}

impl ControlNodePolicy {
    /// Creates the policy of `node`. `seeds` are addresses of internal listeners; `random_seed` differs between
    /// processes.
    pub fn new(node: &str, seeds: Vec<SocketAddrV4>, random_seed: u64) -> Self {
        let mut hasher = DefaultHasher::new();
        node.hash(&mut hasher);
        ControlNodePolicy {
            node_hash: hasher.finish(),
            seeds,
            learned: Vec::new(),
            referrers: Vec::new(),
            candidates: Vec::new(),
            pass_length: 0,
            passes_started: 0,
            failures: 0,
            established_at_ms: None,
            last_tried: None,
            random: ChaCha8Rng::seed_from_u64(random_seed),
        }
    }

    /// Replaces the seeds after a change of the settings file.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Replaces the agents that are contacted in each pass after all control nodes.
    pub fn set_referrers(&mut self, referrers: Vec<SocketAddrV4>) {
        self.referrers = referrers;
    }

    /// Returns the control node that this node is connected to.
    pub fn connected_control_node(&self) -> Option<SocketAddrV4> {
        let last = self.last_tried.filter(|_| !self.is_referrer())?;
        self.established_at_ms.and(Some(last))
    }

    /// Returns the number of passes started so far.
    pub fn passes_started(&self) -> u64 {
        self.passes_started
    }

    /// Whether all known addresses have failed, so that the settings file should be read again.
    pub fn is_out_of_addresses(&self) -> bool {
        self.candidates.is_empty() && self.failures > 0
    }

    /// Collects the candidates of the next pass, in reverse order.
    fn start_pass(&mut self) {
        let mut candidates = if self.learned.is_empty() {
            self.seeds.clone()
        } else {
            self.learned.clone()
        };
        if self.passes_started == 0 {
            candidates.sort_by_key(|address| self.rendezvous_weight(address));
        } else {
            candidates.shuffle(&mut self.random);
            self.put_other_seeds_last(&mut candidates);
        }
        self.put_last_tried_last(&mut candidates);
        self.put_referrers_last(&mut candidates);
        self.passes_started += 1;
        self.pass_length = candidates.len();
        self.candidates = candidates;
    }

    /// Puts the seeds that no control node sent after all other candidates.
    fn put_other_seeds_last(&self, candidates: &mut Vec<SocketAddrV4>) {
        let other_seeds = self
            .seeds
            .iter()
            .filter(|seed| !candidates.contains(seed))
            .copied();
        let other_seeds: Vec<SocketAddrV4> = other_seeds.collect();
        candidates.splice(0..0, other_seeds);
    }

    /// Moves the address of the last attempt after all other candidates.
    fn put_last_tried_last(&self, candidates: &mut Vec<SocketAddrV4>) {
        let Some(last) = self.last_tried else { return };
        if let Some(position) = candidates.iter().position(|address| *address == last) {
            let address = candidates.remove(position);
            candidates.insert(0, address);
        }
    }

    /// Puts the referrers after all other candidates, in random order.
    fn put_referrers_last(&mut self, candidates: &mut Vec<SocketAddrV4>) {
        let mut referrers = self.referrers.clone();
        referrers.shuffle(&mut self.random);
        candidates.splice(0..0, referrers);
    }

    /// Returns the highest-random-weight hash of this node and an address.
    fn rendezvous_weight(&self, address: &SocketAddrV4) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.node_hash, address).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns a back-off with full jitter, whose limit doubles with failures.
    fn back_off_ms(&mut self) -> u64 {
        if self.failures == 0 {
            return 0;
        }
        let doublings = (self.failures - 1) / FAILURES_PER_DOUBLING;
        let pass_limit_ms = MAX_PASS_BACK_OFF_MS / self.pass_length.max(1) as u64;
        let limit_ms = (INITIAL_BACK_OFF_MS << doublings.min(MAX_BACK_OFF_DOUBLINGS))
            .min(MAX_BACK_OFF_MS)
            .min(pass_limit_ms);
        self.random.random_range(0..=limit_ms)
    }
}

impl ConnectionPolicy for ControlNodePolicy {
    fn next_attempt(&mut self, now_ms: u64) -> Option<ConnectionAttempt> {
        if self.candidates.is_empty() {
            self.start_pass();
        }
        let address = self.candidates.pop()?;
        self.last_tried = Some(address);
        let at_ms = now_ms + self.back_off_ms();
        Some(ConnectionAttempt { address, at_ms })
    }

    fn on_established(&mut self, now_ms: u64) {
        self.established_at_ms = Some(now_ms);
    }

    fn on_lost(&mut self, now_ms: u64) {
        let was_stable = self
            .established_at_ms
            .take()
            .is_some_and(|since| now_ms >= since + STABLE_CONNECTION_MS);
        if was_stable {
            self.failures = 0;
            self.candidates.clear();
        }
        self.failures += 1;
    }

    fn learn(&mut self, addresses: &[SocketAddrV4]) {
        if addresses.is_empty() || addresses == self.learned {
            return;
        }
        self.learned = addresses.to_vec();
        self.candidates.clear();
        self.failures = 0;
    }

    fn disconnects_out_of_view(&self) -> bool {
        true
    }

    fn is_referrer(&self) -> bool {
        self.last_tried
            .is_some_and(|last| self.referrers.contains(&last))
    }
}
