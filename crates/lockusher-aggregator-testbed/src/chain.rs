//! The sub-command `chain`: runs of the simulated control state over many seeds, shared between threads, and their totals.

use std::io::Write;
use std::num::NonZero;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

use anyhow::ensure;
use lockusher_control::InjectedBug;
use lockusher_control_simulation::{
    Checks, Outcome, SimulationOptions, Violation, shrink, simulate_with,
};

/// Most control nodes that a run starts with: the largest group that is supported.
const MAX_REPLICAS: usize = 9;

/// Which runs are simulated.
#[derive(Clone, Copy, Debug)]
pub struct ChainRuns {
    /// Control nodes at the start of each run, 1 to 9.
    pub replicas: usize,
    /// Seed of the first run; the others have the seeds that follow.
    pub seed: u64,
    /// Steps under faults in each run.
    pub steps: usize,
    /// Number of runs.
    pub runs: u64,
    /// Threads that share them.
    pub threads: NonZero<usize>,
    /// A bug that is injected into all nodes.
    pub injected_bug: Option<InjectedBug>,
    /// What is checked in the runs.
    pub checks: Checks,
}

impl ChainRuns {
    fn simulation(&self, seed: u64) -> SimulationOptions {
        let ChainRuns {
            replicas,
            steps,
            injected_bug,
            checks,
            ..
        } = *self;
        SimulationOptions {
            replicas,
            seed,
            steps,
            injected_bug,
            checks,
            ..SimulationOptions::default()
        }
    }
}

/// A run with violations.
#[derive(Clone, Debug)]
pub struct FailedRun {
    /// Seed of the run.
    pub seed: u64,
    /// What it violated, in the order in which it was found.
    pub violations: Vec<Violation>,
}

/// Totals over runs.
#[derive(Clone, Debug, Default)]
pub struct ChainTotals {
    /// Number of runs.
    pub runs: u64,
    /// Runs with violations, by seed.
    pub failed: Vec<FailedRun>,
    /// Configurations acknowledged.
    pub acknowledged: u64,
    /// Requests answered as undecided or not at all.
    pub unanswered: u64,
    /// Reads answered.
    pub reads: u64,
    /// Disks lost, with or without their machines.
    pub wipes: u64,
    /// Epochs of all runs, added up.
    pub epochs: u64,
    /// Messages sent.
    pub messages: u64,
    /// Longest virtual time from the end of the faults until a write was acknowledged, in milliseconds.
    pub longest_recovery_ms: u64,
    /// Longest virtual time from the end of the faults until all machines were in the chain, in milliseconds.
    pub longest_settle_ms: u64,
}

impl ChainTotals {
    /// Number of violations in all runs.
    pub fn violations(&self) -> usize {
        self.failed
            .iter()
            .map(|failed| failed.violations.len())
            .sum()
    }

    /// Adds a run.
    pub fn add(&mut self, seed: u64, outcome: Outcome) {
        self.runs += 1;
        self.acknowledged += outcome.acknowledged as u64;
        self.unanswered += outcome.unanswered as u64;
        self.reads += outcome.reads as u64;
        self.wipes += outcome.disk_losses as u64;
        self.epochs += outcome.highest_epoch;
        self.messages += outcome.messages;
        self.longest_recovery_ms = self.longest_recovery_ms.max(outcome.recovery_ms);
        self.longest_settle_ms = self.longest_settle_ms.max(outcome.settle_ms);
        if !outcome.violations.is_empty() {
            self.failed.push(FailedRun {
                seed,
                violations: outcome.violations,
            });
        }
    }

    fn merge(&mut self, other: ChainTotals) {
        self.runs += other.runs;
        self.acknowledged += other.acknowledged;
        self.unanswered += other.unanswered;
        self.reads += other.reads;
        self.wipes += other.wipes;
        self.epochs += other.epochs;
        self.messages += other.messages;
        self.longest_recovery_ms = self.longest_recovery_ms.max(other.longest_recovery_ms);
        self.longest_settle_ms = self.longest_settle_ms.max(other.longest_settle_ms);
        self.failed.extend(other.failed);
        self.failed.sort_by_key(|failed| failed.seed);
    }
}

/// Threads to use if none are named: as many as the machine runs at once.
pub fn default_threads() -> NonZero<usize> {
    thread::available_parallelism().unwrap_or(NonZero::<usize>::MIN)
}

/// Simulates the runs on several threads.
///
/// # Errors
///
/// Options out of their range.
pub fn simulate_all(options: &ChainRuns) -> anyhow::Result<ChainTotals> {
    ensure!(
        (1..=MAX_REPLICAS).contains(&options.replicas),
        "replicas: expected 1 to {MAX_REPLICAS}"
    );
    ensure!(options.runs > 0, "runs: expected 1 at least");
    ensure!(
        options.seed.checked_add(options.runs).is_some(),
        "seed: too high for so many runs"
    );
    let next_run = AtomicU64::new(0);
    let mut totals = ChainTotals::default();
    thread::scope(|scope| {
        let workers: Vec<_> = (0..options.threads.get())
            .map(|_| scope.spawn(|| take_runs(options, &next_run)))
            .collect();
        for worker in workers {
            match worker.join() {
                Ok(share) => totals.merge(share),
                Err(panic) => std::panic::resume_unwind(panic),
            }
        }
    });
    Ok(totals)
}

fn take_runs(options: &ChainRuns, next_run: &AtomicU64) -> ChainTotals {
    let mut totals = ChainTotals::default();
    loop {
        let run = next_run.fetch_add(1, Ordering::Relaxed);
        if run >= options.runs {
            return totals;
        }
        let seed = options.seed + run;
        totals.add(seed, simulate_with(options.simulation(seed)));
    }
}

/// Simulates the runs and writes the violations and, as the last line, the totals. Whether there was no violation.
///
/// # Errors
///
/// Options out of their range, or an output that can't be written.
pub fn run(options: &ChainRuns, output: &mut impl Write) -> anyhow::Result<bool> {
    let started = Instant::now();
    let totals = simulate_all(options)?;
    report(options, &totals, started.elapsed().as_secs_f64(), output)?;
    Ok(totals.failed.is_empty())
}

/// Writes the failed runs, each with the command that repeats it, and the totals.
///
/// # Errors
///
/// An output that can't be written.
pub fn report(
    options: &ChainRuns,
    totals: &ChainTotals,
    seconds: f64,
    output: &mut impl Write,
) -> std::io::Result<()> {
    let ChainRuns {
        replicas, steps, ..
    } = *options;
    for FailedRun { seed, violations } in &totals.failed {
        writeln!(
            output,
            "seed {seed} (chain --replicas {replicas} --seed {seed} --steps {steps}):"
        )?;
        for violation in violations {
            writeln!(output, "  {violation}")?;
        }
    }
    if let Some(first) = totals.failed.first() {
        report_shrunk(options.simulation(first.seed), output)?;
        write!(output, "failing_seed={} ", first.seed)?;
    }
    writeln!(
        output,
        "replicas={replicas} seed={} steps={steps} runs={} failed_runs={} violations={} acknowledged={} reads={} \
         unanswered={} wipes={} epochs={} messages={} longest_recovery_ms={} longest_settle_ms={} seconds={seconds:.1}",
        options.seed,
        totals.runs,
        totals.failed.len(),
        totals.violations(),
        totals.acknowledged,
        totals.reads,
        totals.unanswered,
        totals.wipes,
        totals.epochs,
        totals.messages,
        totals.longest_recovery_ms,
        totals.longest_settle_ms,
    )
}

/// Writes the fewest steps and faults found with which a failed run still has a violation.
fn report_shrunk(options: SimulationOptions, output: &mut impl Write) -> std::io::Result<()> {
    let Some(shrunk) = shrink(options) else {
        return Ok(());
    };
    let (seed, steps, count) = (options.seed, shrunk.steps, shrunk.faults.len());
    writeln!(
        output,
        "seed {seed}, shrunk to {steps} steps and {count} faults in {} runs:",
        shrunk.runs
    )?;
    for fault in &shrunk.faults {
        writeln!(output, "  {fault}")?;
    }
    for violation in &shrunk.violations {
        writeln!(output, "  {violation}")?;
    }
    Ok(())
}
