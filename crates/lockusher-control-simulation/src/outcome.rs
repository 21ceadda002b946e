//! Result of a run: violations found, totals and recovery times.

use lockusher_control::Millis;

use crate::{fault_schedule::FaultStep, violation::Violation};

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Violations of guarantees and invariants, in the order in which they were found.
    pub violations: Vec<Violation>,
    /// Number of configurations acknowledged.
    pub acknowledged: usize,
    /// Number of requests that timed out or were answered as unavailable.
    pub unanswered: usize,
    /// Number of reads answered.
    pub reads: usize,
    /// Number of disks lost, with or without their machines.
    pub disk_losses: usize,
    /// Highest epoch at the end of the run.
    pub highest_epoch: u64,
    /// Virtual time from the end of the faults to the first acknowledged write, in milliseconds.
    pub recovery_ms: Millis,
    /// Virtual time from the end of the faults until all machines were members of the chain, in milliseconds.
    pub settle_ms: Millis,
    /// Number of messages sent.
    pub messages: u64,
    /// Faults that began or ended, in order.
    pub faults: Vec<FaultStep>,
}
