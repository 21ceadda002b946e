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
mod fault_injection;
mod fault_schedule;
mod invariant_checks;
mod invariants;
mod network;
mod node;
mod observation;
mod operator;
mod options;
mod outcome;
mod processes;
mod recovery;
mod reference_model;
mod run;
mod shrink;
mod targeted_faults;
mod view_succession;
mod violation;

pub use cluster::Cluster;
pub use disk::DiskSpace;
pub use fault_schedule::{FaultKind, FaultStep};
pub use options::{Checks, SimulationOptions};
pub use outcome::Outcome;
pub use run::{simulate, simulate_with, simulate_without};
pub use shrink::{Shrunk, shrink};
pub use violation::{
    DurablePart, InvariantViolation, ModelViolation, RecoveryViolation, Violation, ViolationKind,
};
