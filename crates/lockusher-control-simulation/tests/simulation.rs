//! The replicated control state under random faults: no guarantee or invariant is violated, and injected bugs are detected.

use std::collections::BTreeSet;

use lockusher_control::InjectedBug;
use lockusher_control_simulation::{
    Cluster, Outcome, SimulationOptions, Violation, shrink, simulate, simulate_omitting_faults,
    simulate_with,
};
use yare::parameterized;

/// Simulates seeds from 0 until one has a violation.
fn first_violation(
    replicas: usize,
    injected_bug: Option<InjectedBug>,
    seeds: u64,
    steps: usize,
) -> Option<(u64, Outcome)> {
    (0..seeds).find_map(|seed| {
        let outcome = simulate_with(SimulationOptions {
            replicas,
            seed,
            steps,
            injected_bug,
            ..SimulationOptions::default()
        });
        (!outcome.violations.is_empty()).then_some((seed, outcome))
    })
}

#[parameterized(
    one = { 1 },
    two = { 2 },
    three = { 3 },
    five = { 5 },
    nine = { 9 },
)]
fn a_first_start_without_faults_acknowledges_a_write(replicas: usize) {
    let mut cluster = Cluster::new(SimulationOptions {
        replicas,
        seed: 1,
        ..SimulationOptions::default()
    });
    cluster.run_recovery();
    let state = cluster.describe();
    let outcome = cluster.into_outcome();
    assert_eq!(outcome.violations, Vec::<Violation>::new(), "{state}");
    assert!(
        outcome.recovery_ms < 500,
        "the write took {} ms",
        outcome.recovery_ms
    );
}

#[parameterized(
    three = { 3, 200 },
    four = { 4, 100 },
    five = { 5, 200 },
    seven = { 7, 50 },
    nine = { 9, 30 },
)]
fn no_invariant_is_violated_under_faults(replicas: usize, seeds: u64) {
    if let Some((seed, outcome)) = first_violation(replicas, None, seeds, 500) {
        panic!("seed {seed}: {:#?}", outcome.violations);
    }
}

#[test]
fn a_run_is_determined_by_its_seed() {
    let (first, second) = (simulate(5, 7, 300), simulate(5, 7, 300));
    assert_eq!(first.messages, second.messages);
    assert_eq!(first.acknowledged, second.acknowledged);
}

#[parameterized(
    acknowledge_before_tail = { InjectedBug::AcknowledgeBeforeTail },
    vote_after_disk_loss = { InjectedBug::VoteAfterDiskLoss },
)]
fn an_injected_bug_is_detected(injected_bug: InjectedBug) {
    assert!(first_violation(3, Some(injected_bug), 1000, 500).is_some());
}

#[test]
fn a_failing_run_is_shrunk_to_necessary_faults() {
    let injected_bug = Some(InjectedBug::VoteAfterDiskLoss);
    let (seed, full) =
        first_violation(3, injected_bug, 1000, 500).expect("the injected bug is detected");
    let shrunk = shrink(SimulationOptions {
        replicas: 3,
        seed,
        steps: 500,
        injected_bug,
        ..SimulationOptions::default()
    })
    .expect("the run has a violation");
    assert!(!shrunk.violations.is_empty());
    assert!(
        shrunk.faults.len() < full.faults.len(),
        "{shrunk:?} of {} faults",
        full.faults.len()
    );
    // Each remaining fault is necessary: without it the run has no violation.
    let options = SimulationOptions {
        replicas: 3,
        seed,
        steps: shrunk.steps,
        injected_bug,
        ..SimulationOptions::default()
    };
    let necessary: BTreeSet<usize> = shrunk.faults.iter().map(|fault| fault.step).collect();
    let others: BTreeSet<usize> = (0..shrunk.steps)
        .filter(|step| !necessary.contains(step))
        .collect();
    assert!(
        !simulate_omitting_faults(options, &others)
            .violations
            .is_empty()
    );
    for step in necessary {
        let omitted_steps = others.iter().copied().chain([step]).collect();
        assert!(
            simulate_omitting_faults(options, &omitted_steps)
                .violations
                .is_empty(),
            "the fault of step {step} isn't necessary"
        );
    }
}

#[test]
fn a_run_without_violations_is_not_shrunk() {
    assert!(
        shrink(SimulationOptions {
            replicas: 3,
            seed: 1,
            steps: 50,
            ..SimulationOptions::default()
        })
        .is_none()
    );
}

/// Options of a run with zones of these sizes; the seeds are the first three machines.
fn with_zones(
    zone_sizes: &'static [usize],
    seed: u64,
    injected_bug: Option<InjectedBug>,
) -> SimulationOptions {
    SimulationOptions {
        replicas: zone_sizes.iter().sum(),
        seed,
        steps: 500,
        zone_sizes,
        injected_bug,
        ..SimulationOptions::default()
    }
}

#[parameterized(
    three = { &[1, 1, 1], 60 },
    five = { &[2, 2, 1], 60 },
    six = { &[3, 2, 1], 60 },
    seven = { &[3, 2, 2], 40 },
    nine = { &[5, 2, 2], 30 },
    nine_in_four = { &[4, 3, 1, 1], 30 },
)]
fn no_invariant_is_violated_when_zones_are_lost(zone_sizes: &'static [usize], seeds: u64) {
    for seed in 0..seeds {
        let outcome = simulate_with(with_zones(zone_sizes, seed, None));
        assert_eq!(outcome.violations, Vec::<Violation>::new(), "seed {seed}");
    }
}

/// One zone has enough machines for a majority of the voters: with an injected bug that ignores the spread of voters over
/// the zones, the loss of that zone is the loss of the majority.
#[parameterized(six = { &[3, 2, 1] }, nine = { &[5, 2, 2] })]
fn the_loss_of_a_zone_is_tolerated_only_with_spread_voters(zone_sizes: &'static [usize]) {
    let detected = (0..60).any(|seed| {
        let options = with_zones(zone_sizes, seed, Some(InjectedBug::DomainsIgnored));
        !simulate_with(options).violations.is_empty()
    });
    assert!(detected);
}
