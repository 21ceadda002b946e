//! Entry points: a run consists of steps under faults and the recovery from them.

use std::collections::BTreeSet;

use crate::{cluster::Cluster, options::SimulationOptions, outcome::Outcome};

/// Simulates one run without an injected bug.
pub fn simulate(replicas: usize, seed: u64, steps: usize) -> Outcome {
    simulate_with(SimulationOptions {
        replicas,
        seed,
        steps,
        ..SimulationOptions::default()
    })
}

/// Simulates one run.
pub fn simulate_with(options: SimulationOptions) -> Outcome {
    simulate_omitting_faults(options, &BTreeSet::new())
}

/// Simulates one run in which the faults of `omitted_steps` are omitted.
pub fn simulate_omitting_faults(
    options: SimulationOptions,
    omitted_steps: &BTreeSet<usize>,
) -> Outcome {
    let mut cluster = Cluster::new(options);
    cluster.run_under_faults(options.steps, omitted_steps);
    cluster.run_recovery();
    cluster.into_outcome()
}
