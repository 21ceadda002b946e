//! What a run of the simulation is made of.

use lockusher_control::InjectedBug;

/// What is simulated; the same options play the same run.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimulationOptions {
    /// Control nodes at the start.
    pub replicas: usize,
    /// Seed of everything random.
    pub seed: u64,
    /// Steps under faults; each is a fault, its end or an operator's call, and some tens of milliseconds.
    pub steps: usize,
    /// Machines of each zone at the start, in the order of their numbers, so that the seeds, the first three, may share one.
    /// One zone may be lost as a whole. Empty: no zone is lost.
    pub zone_sizes: &'static [usize],
    /// Bytes that each machine's link carries in a millisecond; none if links are never the limit.
    pub link_bytes_per_ms: Option<u64>,
    /// A bug that is injected into all nodes, to show that it is found.
    pub injected_bug: Option<InjectedBug>,
    /// A second bug, to show that one guard covers another.
    pub second_injected_bug: Option<InjectedBug>,
    /// Which writes in flight a loss of power leaves on a disk.
    pub surviving_writes: SurvivingWrites,
    /// What is checked.
    pub checks: Checks,
}

impl SimulationOptions {
    /// Whether whole zones are lost.
    pub(crate) fn loses_zones(&self) -> bool {
        !self.zone_sizes.is_empty()
    }

    /// The zone of a machine of the start.
    pub(crate) fn zone_of(&self, number: usize) -> usize {
        let ends = self.zone_sizes.iter().scan(0, |end, machines| {
            *end += machines;
            Some(*end)
        });
        ends.take_while(|end| *end <= number).count()
    }
}

/// Which writes in flight a loss of power leaves on a disk.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SurvivingWrites {
    /// The first few, as a log does whose records are read up to the first that is missing.
    #[default]
    Prefix,
    /// Any of them. No storage of the product does so; it shows which guards don't rest on the order.
    AnySubset,
}

/// What is checked in a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Checks {
    /// What operators and agents observe, and the invariants between nodes.
    #[default]
    All,
    /// Only what operators and agents observe.
    ExternallyVisible,
}
