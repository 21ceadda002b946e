//! Deterministic simulation of a group of control nodes in virtual time, under faults drawn from a seed.
//!
//! Messages are lost, doubled, reordered and held up; processes are killed, frozen and cut off, one way and both;
//! power fails, disks stall, fill up and are lost; machines are replaced; calls arrive late and twice. Some faults are
//! aimed: at steps of the protocol (`targeted_faults`), and at the moment in which an earlier loss is over (`disk_losses`). What operators
//! are told is compared with a plain model of the configuration ([`ReferenceModel`]), and what the nodes do with what they owe each
//! other (`invariants`).

mod calls;
mod cluster;
mod disk;
mod disk_contents;
mod disk_losses;
mod fault_actions;
mod fault_schedule;
mod invariant_checks;
mod invariants;
mod network;
mod node;
mod operator;
mod reference_model;
mod shrink;
mod targeted_faults;

pub use cluster::Cluster;
pub use disk::DiskSpace;
pub use fault_schedule::{FaultKind, FaultStep};
pub use invariant_checks::Checks;
pub use reference_model::ReferenceModel;
pub use shrink::{Shrunk, shrink};

use std::collections::BTreeSet;

use lockusher_control::{InjectedBug, Millis};

/// What is simulated.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimulationOptions {
    /// Control nodes at the start.
    pub replicas: usize,
    /// Seed of everything random.
    pub seed: u64,
    /// Steps under faults; each is a fault, its end or an operator's call, and some tens of milliseconds.
    pub steps: usize,
    /// A mistake that all nodes make, to show that it is found.
    pub injected_bug: Option<InjectedBug>,
    /// What the run is judged by.
    pub checks: Checks,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Broken promises, in words; empty if all were kept.
    pub violations: Vec<String>,
    /// Configurations acknowledged.
    pub acknowledged: usize,
    /// Requests answered as undecided or not at all.
    pub unanswered: usize,
    /// Reads answered.
    pub reads: usize,
    /// Disks lost, with or without their machines.
    pub wipes: usize,
    /// Newest epoch at the end.
    pub epochs: u64,
    /// Virtual time from the end of the faults until a write was acknowledged.
    pub recovery_ms: Millis,
    /// Virtual time from the end of the faults until all machines were members of the chain.
    pub settle_ms: Millis,
    /// Messages sent.
    pub messages: u64,
    /// Faults that began, and ends of faults.
    pub faults: Vec<FaultStep>,
}

/// One run without mistakes.
pub fn simulate(replicas: usize, seed: u64, steps: usize) -> Outcome {
    simulate_with(SimulationOptions { replicas, seed, steps, ..SimulationOptions::default() })
}

/// One run.
pub fn simulate_with(options: SimulationOptions) -> Outcome {
    simulate_without(options, &BTreeSet::new())
}

/// One run in which the faults of some steps are left out.
pub fn simulate_without(options: SimulationOptions, left_out: &BTreeSet<usize>) -> Outcome {
    let mut cluster = Cluster::new(options);
    cluster.run_under_faults(options.steps, left_out);
    cluster.run_recovery();
    cluster.into_outcome()
}
