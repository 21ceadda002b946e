//! Reduces a run with a violation to few steps and few faults by delta debugging (Zeller and Hildebrandt, 2002): smaller and
//! smaller chunks are omitted as long as a violation remains.

use std::collections::BTreeSet;

use crate::{
    fault_schedule::FaultStep, options::SimulationOptions, outcome::Outcome,
    run::simulate_omitting_faults, violation::Violation,
};

/// Limit of the runs for one reduction.
const MAX_RUNS: usize = 600;

/// A reduced run with a violation.
#[derive(Clone, Debug)]
pub struct Shrunk {
    /// Number of steps under faults.
    pub steps: usize,
    /// The remaining faults: the run has a violation although all others are omitted.
    pub faults: Vec<FaultStep>,
    /// The violations of the reduced run.
    pub violations: Vec<Violation>,
    /// Number of runs simulated.
    pub runs: usize,
}

/// Reduces this run; `None` if it has no violation.
pub fn shrink(options: SimulationOptions) -> Option<Shrunk> {
    let mut search = Search {
        options,
        omitted_steps: BTreeSet::new(),
        failing: Outcome::default(),
        runs: 0,
    };
    if !search.try_run(options.steps, BTreeSet::new()) {
        return None;
    }
    search.truncate_steps();
    search.omit_faults();
    let Search {
        options,
        failing,
        runs,
        ..
    } = search;
    Some(Shrunk {
        steps: options.steps,
        faults: failing.faults,
        violations: failing.violations,
        runs,
    })
}

/// The smallest failing run found so far.
struct Search {
    options: SimulationOptions,
    omitted_steps: BTreeSet<usize>,
    failing: Outcome,
    runs: usize,
}

impl Search {
    /// Simulates a run and keeps it if it fails, too. Returns whether it does.
    fn try_run(&mut self, steps: usize, omitted_steps: BTreeSet<usize>) -> bool {
        if self.runs >= MAX_RUNS {
            return false;
        }
        self.runs += 1;
        let options = SimulationOptions {
            steps,
            ..self.options
        };
        let outcome = simulate_omitting_faults(options, &omitted_steps);
        let fails = !outcome.violations.is_empty();
        if fails {
            self.options = options;
            self.omitted_steps = omitted_steps;
            self.failing = outcome;
        }
        fails
    }

    /// Removes steps from the end in smaller and smaller chunks.
    fn truncate_steps(&mut self) {
        let mut chunk_size = self.options.steps / 2;
        while chunk_size > 0 {
            let shorter = self.options.steps.checked_sub(chunk_size);
            if !shorter.is_some_and(|steps| self.try_run(steps, self.omitted_steps.clone())) {
                chunk_size /= 2;
            }
        }
    }

    /// Omits faults in smaller and smaller chunks until each remaining one is necessary.
    fn omit_faults(&mut self) {
        let mut chunk_size = self.failing.faults.len().div_ceil(2);
        while chunk_size > 0 {
            let omitted = self.omit_chunks(chunk_size);
            if chunk_size == 1 && !omitted {
                return;
            }
            chunk_size = if omitted {
                chunk_size.min(self.failing.faults.len())
            } else {
                chunk_size / 2
            };
        }
    }

    /// Tries to omit each chunk of this many faults. Returns whether any was omitted.
    fn omit_chunks(&mut self, chunk_size: usize) -> bool {
        let steps: Vec<usize> = self.failing.faults.iter().map(|fault| fault.step).collect();
        let mut omitted = false;
        for steps in steps.chunks(chunk_size) {
            let omitted_steps = self.omitted_steps.iter().chain(steps).copied().collect();
            omitted |= self.try_run(self.options.steps, omitted_steps);
        }
        omitted
    }
}
