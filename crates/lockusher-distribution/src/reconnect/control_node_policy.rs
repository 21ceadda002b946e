//! An agent's way to the control nodes: many addresses.
//!
//! Addresses are tried in passes: each address once, in an order that differs between agents. The first pass goes by
//! highest-random-weight hash, so that a fleet that starts spreads evenly; later ones are shuffled. Since a seed's machine
//! need not run a control node, each pass ends with the agents on the seeds' machines, which refer to the control nodes
//! that they know.
//!
//! Invariant: within a pass, no address is tried twice, addresses that control nodes sent come before seeds, the one
//! that was just lost comes last of these, and referring agents come after all control nodes.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::reconnect::policy::{Attempt, ConnectionPolicy};

/// Upper end of the back-off after the first failure, in milliseconds.
const INITIAL_BACK_OFF_MS: u64 = 250;
/// The back-off's upper end doubles after so many further failures.
const FAILURES_PER_DOUBLING: u32 = 2;
/// Upper end of the back-off after many failures, in milliseconds.
const MAX_BACK_OFF_MS: u64 = 3_000;
/// Upper end of all back-offs of a pass together, in milliseconds, so that many dead addresses don't delay a live one.
const MAX_PASS_BACK_OFF_MS: u64 = 12_000;
/// Doublings after which [`MAX_BACK_OFF_MS`] is reached for certain.
const MAX_BACK_OFF_DOUBLINGS: u32 = 8;
/// The failures before a connection that lasted this long, in milliseconds, don't count any more.
const STABLE_CONNECTION_MS: u64 = 3_000;

/// Chooses among control nodes, with jittered exponential back-off.
#[derive(Debug)]
pub struct ControlNodePolicy {
    node_hash: u64,
    /// Of the settings file.
    seeds: Vec<SocketAddrV4>,
    /// Sent by control nodes, or by agents that know them.
    learned: Vec<SocketAddrV4>,
    /// Agents on the seeds' machines.
    referrers: Vec<SocketAddrV4>,
    /// Addresses left in this pass; the next one last.
    candidates: Vec<SocketAddrV4>,
    /// Addresses of this pass at its start.
    pass_length: usize,
    passes_started: u64,
    /// Failures since the last stable connection.
    failures: u32,
    /// Absent while not connected.
    established_at_ms: Option<u64>,
    /// The address of the last attempt.
    last: Option<SocketAddrV4>,
    random: ChaCha8Rng,
}

impl ControlNodePolicy {
    /// `seeds` are addresses of internal listeners; `random_seed` differs between processes.
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
            last: None,
            random: ChaCha8Rng::seed_from_u64(random_seed),
        }
    }

    /// Replaces the seeds, when the settings file has changed.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Replaces the agents that are asked for control nodes when no address leads to one.
    pub fn set_referrers(&mut self, referrers: Vec<SocketAddrV4>) {
        self.referrers = referrers;
    }

    /// The control node that this node is connected to.
    pub fn connected(&self) -> Option<SocketAddrV4> {
        let last = self.last.filter(|_| !self.is_referrer())?;
        self.established_at_ms.and(Some(last))
    }

    /// Passes over all addresses that were begun so far.
    pub fn passes_started(&self) -> u64 {
        self.passes_started
    }

    /// Whether all known addresses have failed, so that the settings file is worth reading again.
    pub fn is_out_of_addresses(&self) -> bool {
        self.candidates.is_empty() && self.failures > 0
    }

    /// Fills in the candidates of the next pass, the first to try last.
    fn start_pass(&mut self) {
        let mut candidates = if self.learned.is_empty() {
            self.seeds.clone()
        } else {
            self.learned.clone()
        };
        if self.passes_started == 0 {
            candidates.sort_by_key(|address| self.rank(address));
        } else {
            candidates.shuffle(&mut self.random);
            self.put_other_seeds_at_the_end(&mut candidates);
        }
        self.put_last_tried_at_the_end(&mut candidates);
        self.put_referrers_at_the_end(&mut candidates);
        self.passes_started += 1;
        self.pass_length = candidates.len();
        self.candidates = candidates;
    }

    /// Seeds that no control node sent are tried after the others.
    fn put_other_seeds_at_the_end(&self, candidates: &mut Vec<SocketAddrV4>) {
        let others = self
            .seeds
            .iter()
            .filter(|seed| !candidates.contains(seed))
            .copied();
        let others: Vec<SocketAddrV4> = others.collect();
        candidates.splice(0..0, others);
    }

    /// The node that was just lost is tried after all others.
    fn put_last_tried_at_the_end(&self, candidates: &mut Vec<SocketAddrV4>) {
        let Some(last) = self.last else { return };
        if let Some(position) = candidates.iter().position(|address| *address == last) {
            let address = candidates.remove(position);
            candidates.insert(0, address);
        }
    }

    /// Agents refer to control nodes after all addresses of control nodes have failed.
    fn put_referrers_at_the_end(&mut self, candidates: &mut Vec<SocketAddrV4>) {
        let mut referrers = self.referrers.clone();
        referrers.shuffle(&mut self.random);
        candidates.splice(0..0, referrers);
    }

    /// Highest-random-weight hash of this node and an address.
    fn rank(&self, address: &SocketAddrV4) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.node_hash, address).hash(&mut hasher);
        hasher.finish()
    }

    /// Full jitter below a limit that doubles with failures.
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
    fn next_attempt(&mut self, now_ms: u64) -> Option<Attempt> {
        if self.candidates.is_empty() {
            self.start_pass();
        }
        let address = self.candidates.pop()?;
        self.last = Some(address);
        let at_ms = now_ms + self.back_off_ms();
        Some(Attempt { address, at_ms })
    }

    fn established(&mut self, now_ms: u64) {
        self.established_at_ms = Some(now_ms);
    }

    fn lost(&mut self, now_ms: u64) {
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

    fn leaves_out_of_view(&self) -> bool {
        true
    }

    fn is_referrer(&self) -> bool {
        self.last.is_some_and(|last| self.referrers.contains(&last))
    }
}
