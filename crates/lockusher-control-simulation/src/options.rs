//! What a run of the simulation is made of.

use lockusher_control::InjectedBug;

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

/// What a run is judged by.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Checks {
    /// What operators and agents are told, and what nodes owe each other.
    #[default]
    All,
    /// What operators and agents are told.
    ExternallyVisible,
}
