//! The command that simulates the control state over many seeds.

use std::num::NonZero;

use lockusher_aggregator_testbed::chain::{ChainRuns, ChainTotals, report, run, simulate_all};
use lockusher_control_simulation::{Checks, ModelViolation, Outcome, Violation, simulate};
use rstest::rstest;

fn options(replicas: usize, runs: u64, threads: usize) -> ChainRuns {
    let threads = NonZero::new(threads).expect("at least one thread");
    ChainRuns {
        replicas,
        seed: 40,
        steps: 60,
        runs,
        threads,
        injected_bug: None,
        checks: Checks::All,
    }
}

fn lines(output: Vec<u8>) -> Vec<String> {
    String::from_utf8(output)
        .expect("text")
        .lines()
        .map(str::to_owned)
        .collect()
}

/// Value of a key on a line of `key=value` pairs.
fn value(line: &str, key: &str) -> Option<u64> {
    let pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(name, _)| *name == key)
        .find_map(|(_, value)| value.parse().ok())
}

#[rstest]
#[case(1)]
#[case(4)]
fn runs_add_up_to_those_of_their_seeds(#[case] threads: usize) {
    let totals = simulate_all(&options(3, 4, threads)).expect("runs");
    let plain: Vec<Outcome> = (40..44).map(|seed| simulate(3, seed, 60)).collect();
    assert_eq!(totals.runs, 4);
    assert_eq!(
        totals.messages,
        plain.iter().map(|outcome| outcome.messages).sum::<u64>()
    );
    assert_eq!(
        totals.acknowledged,
        plain
            .iter()
            .map(|outcome| outcome.acknowledged as u64)
            .sum::<u64>()
    );
    assert_eq!(
        totals.longest_settle_ms,
        plain
            .iter()
            .map(|outcome| outcome.settle_ms)
            .max()
            .unwrap_or(0)
    );
    assert!(totals.failed.is_empty(), "{:?}", totals.failed);
}

#[test]
fn the_last_line_says_that_nothing_was_violated() {
    let mut output = Vec::new();
    assert!(run(&options(3, 2, 2), &mut output).expect("a run"));
    let lines = lines(output);
    let last = lines.last().expect("a line");
    assert_eq!(value(last, "violations"), Some(0), "{last}");
    assert_eq!(value(last, "runs"), Some(2), "{last}");
    assert!(value(last, "acknowledged") > Some(0), "{last}");
}

#[test]
fn a_failed_run_is_named_with_its_seed() {
    let stale_read = Violation {
        at: 17,
        kind: ModelViolation::StaleRead {
            version: 1,
            floor: 2,
        }
        .into(),
    };
    let failed = Outcome {
        violations: vec![stale_read],
        ..Outcome::default()
    };
    let mut totals = ChainTotals::default();
    totals.add(40, Outcome::default());
    totals.add(41, failed);
    let mut output = Vec::new();
    report(&options(3, 2, 1), &totals, 0.0, &mut output).expect("written");
    let lines = lines(output);
    assert!(lines[0].contains("--seed 41 "), "{lines:?}");
    assert!(lines[1].contains("17: read version 1"), "{lines:?}");
    let last = lines.last().expect("a line");
    assert_eq!(value(last, "failing_seed"), Some(41), "{last}");
    assert_eq!(value(last, "violations"), Some(1), "{last}");
}

#[rstest]
#[case(0, 1)]
#[case(10, 1)]
#[case(3, 0)]
fn impossible_options_are_refused(#[case] replicas: usize, #[case] runs: u64) {
    assert!(simulate_all(&options(replicas, runs, 1)).is_err());
}
