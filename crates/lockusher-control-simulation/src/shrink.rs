//! Reduces a run with a violation to few steps and few faults, in the manner of delta debugging (Zeller and Hildebrandt,
//! 2002): ever smaller chunks are left out as long as some violation remains.

use std::collections::BTreeSet;

use crate::{
    fault_schedule::FaultStep, options::SimulationOptions, outcome::Outcome, run::simulate_without,
    violation::Violation,
};

/// Runs that one shrinking takes at most.
const MAX_RUNS: usize = 600;

/// A short run with a violation.
#[derive(Clone, Debug)]
pub struct Shrunk {
    /// Its steps under faults.
    pub steps: usize,
    /// The faults that are left; without all others the run still has a violation.
    pub faults: Vec<FaultStep>,
    /// The violations that it shows.
    pub violations: Vec<Violation>,
    /// Runs that were tried.
    pub runs: usize,
}

/// Shrinks this run; `None` if it has no violation.
pub fn shrink(options: SimulationOptions) -> Option<Shrunk> {
    let mut search = Search {
        options,
        left_out: BTreeSet::new(),
        failing: Outcome::default(),
        runs: 0,
    };
    if !search.try_run(options.steps, BTreeSet::new()) {
        return None;
    }
    search.drop_last_steps();
    search.drop_faults();
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

/// The shortest failing run found so far.
struct Search {
    options: SimulationOptions,
    left_out: BTreeSet<usize>,
    failing: Outcome,
    runs: usize,
}

impl Search {
    /// Takes the run over if it fails, too.
    fn try_run(&mut self, steps: usize, left_out: BTreeSet<usize>) -> bool {
        if self.runs >= MAX_RUNS {
            return false;
        }
        self.runs += 1;
        let options = SimulationOptions {
            steps,
            ..self.options
        };
        let outcome = simulate_without(options, &left_out);
        let fails = !outcome.violations.is_empty();
        if fails {
            self.options = options;
            self.left_out = left_out;
            self.failing = outcome;
        }
        fails
    }

    /// Takes steps off the end, in ever smaller chunks.
    fn drop_last_steps(&mut self) {
        let mut chunk_size = self.options.steps / 2;
        while chunk_size > 0 {
            let shorter = self.options.steps.checked_sub(chunk_size);
            if !shorter.is_some_and(|steps| self.try_run(steps, self.left_out.clone())) {
                chunk_size /= 2;
            }
        }
    }

    /// Leaves faults out, in ever smaller chunks, until each one that is left is needed.
    fn drop_faults(&mut self) {
        let mut chunk_size = self.failing.faults.len().div_ceil(2);
        while chunk_size > 0 {
            let dropped = self.drop_chunks(chunk_size);
            if chunk_size == 1 && !dropped {
                return;
            }
            chunk_size = if dropped {
                chunk_size.min(self.failing.faults.len())
            } else {
                chunk_size / 2
            };
        }
    }

    /// Whether any chunk of this many faults could be left out.
    fn drop_chunks(&mut self, chunk_size: usize) -> bool {
        let steps: Vec<usize> = self.failing.faults.iter().map(|fault| fault.step).collect();
        let mut dropped = false;
        for steps in steps.chunks(chunk_size) {
            let left_out = self.left_out.iter().chain(steps).copied().collect();
            dropped |= self.try_run(self.options.steps, left_out);
        }
        dropped
    }
}
