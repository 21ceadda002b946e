//! Result of a run.

use lockusher_control::Millis;

use crate::{fault_schedule::FaultStep, violation::Violation};

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Violations of guarantees and invariants; empty if none was found.
    pub violations: Vec<Violation>,
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
    /// Virtual time from the end of the faults until a write was acknowledged, in milliseconds.
    pub recovery_ms: Millis,
    /// Virtual time from the end of the faults until all machines were members of the chain, in milliseconds.
    pub settle_ms: Millis,
    /// Messages sent.
    pub messages: u64,
    /// Faults that began or ended, in order.
    pub faults: Vec<FaultStep>,
}
