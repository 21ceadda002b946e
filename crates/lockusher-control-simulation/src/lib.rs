//! Deterministic simulation of a group of control nodes in virtual time, under faults drawn from a seed.
//!
//! A run drives the replicas of `lockusher-control`, which have no I/O and no clock, with a simulated network, simulated
//! disks and operators that write and read. Messages are lost, duplicated, reordered and delayed; processes are killed,
//! frozen and partitioned, in one direction or both; disks stall, fill up and are lost; machines are replaced; calls are
//! delayed and duplicated. Targeted faults hit a node in the middle of a protocol step.
//!
//! Two things are checked: the observations of operators and agents against a reference model of the configuration, and the
//! messages and records of each node against the invariants of the protocol. See [`ViolationKind`].
//!
//! The same [`SimulationOptions`] reproduce the same run, event by event. [`shrink()`] reduces a run with a violation to few
//! steps and few faults. [`Cluster`] serves scenarios with explicit faults.
//!
//! Used by this package's tests and by `lockusher-aggregator-testbed chain` and `chain-injected-bugs`; not part of
//! production builds.

mod calls;
mod cluster;
mod disk;
mod disk_contents;
mod disk_losses;
mod fault_actions;
mod fault_injection;
mod fault_schedule;
mod invariant_checks;
mod invariants;
mod message_races;
mod network;
mod node;
mod observation;
mod operator;
mod options;
mod outcome;
mod processes;
mod recovery;
mod reference_model;
mod replacement;
mod run;
mod shrink;
mod stale_votes;
mod targeted_faults;
mod view_succession;
mod violation;

pub use cluster::Cluster;
pub use disk::DiskSpace;
pub use fault_schedule::{FaultKind, FaultStep};
pub use options::{Checks, SimulationOptions, SurvivingWrites};
pub use outcome::Outcome;
pub use run::{simulate, simulate_omitting_faults, simulate_with};
pub use shrink::{Shrunk, shrink};
pub use violation::{
    DurablePart, InvariantViolation, ModelViolation, RecoveryViolation, Violation, ViolationKind,
};
