//! Options of a simulation run.

use lockusher_control::InjectedBug;

/// Options of a run; the same options reproduce the same run.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimulationOptions {
    /// Number of control nodes at the start.
    pub replicas: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of steps under faults. Each may begin or end a fault, lets idle operators call, and lasts some tens of
    /// milliseconds.
    pub steps: usize,
    /// Number of machines in each zone at the start, in the order of machine numbers. The seeds are the first three
    /// machines, so that they may share a zone. One whole zone at a time may be lost. Empty: no zone is lost.
    pub zone_sizes: &'static [usize],
    /// Bandwidth of each machine's link, in bytes per millisecond; `None` if unlimited.
    pub link_bytes_per_ms: Option<u64>,
    /// A bug that is injected into all nodes, to verify that it is detected.
    pub injected_bug: Option<InjectedBug>,
    /// A second bug, to verify that one guard covers for another.
    pub second_injected_bug: Option<InjectedBug>,
    /// Which writes in flight survive a power loss.
    pub surviving_writes: SurvivingWrites,
    /// What is checked.
    pub checks: Checks,
}

impl SimulationOptions {
    /// Whether whole zones may be lost.
    pub(crate) fn loses_zones(&self) -> bool {
        !self.zone_sizes.is_empty()
    }

    /// Zone of a machine that is present at the start.
    pub(crate) fn zone_of(&self, number: usize) -> usize {
        let ends = self.zone_sizes.iter().scan(0, |end, machines| {
            *end += machines;
            Some(*end)
        });
        ends.take_while(|end| *end <= number).count()
    }
}

/// Which writes in flight survive a power loss.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SurvivingWrites {
    /// A prefix of them, as with a log that is read up to the first missing record.
    #[default]
    Prefix,
    /// Any subset of them. The production storage never does this; it shows which guards don't depend on the order of
    /// writes.
    AnySubset,
}

/// Checks of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Checks {
    /// The observations of operators and agents, and the invariants of the protocol.
    #[default]
    All,
    /// Only the observations of operators and agents.
    ExternallyVisible,
}
