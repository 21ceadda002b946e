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
    /// A bug that is injected into all nodes, to show that it is found.
    pub injected_bug: Option<InjectedBug>,
    /// What is checked.
    pub checks: Checks,
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
