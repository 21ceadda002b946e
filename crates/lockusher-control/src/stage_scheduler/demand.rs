//! Demand estimate: how many searchers a service's load keeps busy in each stage, and how to split the searchers.
//!
//! The *pressure* of a stage is its load divided by its usable capacity: above 1 the stage is overloaded. The best
//! split of a service's searchers minimizes the larger pressure of the two stages. Called by the service's state with
//! each observation; pure arithmetic.

use std::cmp::Ordering;

use lockusher_config::configuration::Engine;
use lockusher_config::instances::Stage;
use lockusher_distribution::load::{HUNDREDTHS_PER_UNIT, ServiceLoad};

use super::stage_change::opposite;

/// Highest utilization of a prefill searcher; at this one a prompt waits in the queue about as long as its prefill
/// takes.
const MAX_PREFILL_UTILIZATION: f64 = 0.5;
/// Highest utilization of a decode searcher's batch or KV cache after the loss of one decode searcher.
const MAX_DECODE_UTILIZATION: f64 = 0.5;
/// Highest utilization of the remaining decode searchers' batches or KV caches while others change their stage.
const MAX_DECODE_UTILIZATION_DURING_SWITCH: f64 = 0.7;
/// Capacity of a single decode searcher, in searchers; "all but one" would give a capacity of 0.
const SINGLE_DECODE_CAPACITY: f64 = 0.5;
/// No change is made while the pressure of both stages is below this.
const MIN_PRESSURE_FOR_CHANGE: f64 = 0.8;
/// The best split must lower the larger pressure to at most this ratio of its current value.
const MAX_PRESSURE_RATIO_AFTER_CHANGE: f64 = 0.88;
/// A service with at least this number of searchers keeps [`REDUNDANT_SEARCHERS`] in each stage.
const MIN_SEARCHERS_FOR_REDUNDANCY: usize = 4;
/// Lower bound of a stage's searchers in a service with enough of them, so that the stage survives the loss of one.
const REDUNDANT_SEARCHERS: usize = 2;

/// Number of searchers in each stage of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageCounts {
    /// Number of prefill searchers.
    pub prefill: usize,
    /// Number of decode searchers.
    pub decode: usize,
}

impl StageCounts {
    /// Evaluates `count` for both stages.
    pub fn by_stage(count: impl Fn(Stage) -> usize) -> Self {
        StageCounts {
            prefill: count(Stage::Prefill),
            decode: count(Stage::Decode),
        }
    }

    /// Number of searchers in both stages.
    pub fn total(self) -> usize {
        self.prefill + self.decode
    }
}

/// The load of a service, as the number of searchers that it would keep fully busy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Number of prefill searchers at a utilization of 1.
    pub prefill: f64,
    /// Number of decode searchers with a full batch, or with a full KV cache, whichever is larger.
    pub decode: f64,
}

impl Demand {
    /// Estimates the demand from a load that `prefill_searchers` serve now. The utilization of a searcher with N
    /// requests in its queue on average is N / (1 + N) (M/M/1).
    pub fn from_load(load: &ServiceLoad, engine: &Engine, prefill_searchers: usize) -> Demand {
        let queue = from_hundredths(load.prefill_in_flight) / prefill_searchers.max(1) as f64;
        let batch = from_hundredths(load.decode_in_flight) / f64::from(engine.slots.max(1));
        let kv_cache = f64::from(load.decode_tokens) / engine.cache_tokens.max(1) as f64;
        Demand {
            prefill: prefill_searchers as f64 * queue / (1.0 + queue),
            decode: batch.max(kv_cache),
        }
    }

    /// The larger pressure of the two stages with these numbers of searchers.
    pub fn pressure(&self, counts: StageCounts) -> f64 {
        let prefill = self.prefill / (counts.prefill as f64 * MAX_PREFILL_UTILIZATION);
        // The remaining searchers must be able to take over the load of one that is lost.
        let decode_capacity = if counts.decode > 1 {
            (counts.decode - 1) as f64
        } else {
            SINGLE_DECODE_CAPACITY
        };
        prefill.max(self.decode / (decode_capacity * MAX_DECODE_UTILIZATION))
    }

    /// The split of `total` searchers with the lowest pressure. Among equal ones, the one closest to `current_prefill`
    /// prefill searchers.
    pub fn best_split(&self, total: usize, current_prefill: usize) -> StageCounts {
        let split = |prefill: usize| StageCounts {
            prefill,
            decode: total - prefill,
        };
        let by_pressure = |left: &usize, right: &usize| {
            let pressures = self
                .pressure(split(*left))
                .total_cmp(&self.pressure(split(*right)));
            pressures.then(
                left.abs_diff(current_prefill)
                    .cmp(&right.abs_diff(current_prefill)),
            )
        };
        let min_per_stage = if total >= MIN_SEARCHERS_FOR_REDUNDANCY {
            REDUNDANT_SEARCHERS
        } else {
            1
        };
        let candidates = min_per_stage..=total.saturating_sub(min_per_stage);
        split(candidates.min_by(by_pressure).unwrap_or(current_prefill))
    }

    /// The stage that should get one more searcher, if the change lowers the pressure enough and the other stage can
    /// release one.
    ///
    /// `ready` counts the searchers that serve now; `expected` counts the searchers whose change is in flight in their
    /// new stage, too.
    pub(super) fn stage_to_grow(&self, ready: StageCounts, expected: StageCounts) -> Option<Stage> {
        if ready.prefill == 0 || ready.decode == 0 {
            return None;
        }
        let pressure = self.pressure(expected);
        let best = self.best_split(expected.total(), expected.prefill);
        let is_worthwhile = self.pressure(best) <= pressure * MAX_PRESSURE_RATIO_AFTER_CHANGE;
        if pressure < MIN_PRESSURE_FOR_CHANGE || !is_worthwhile {
            return None;
        }
        let to = match best.prefill.cmp(&expected.prefill) {
            Ordering::Greater => Stage::Prefill,
            Ordering::Less => Stage::Decode,
            Ordering::Equal => return None,
        };
        self.can_release(opposite(to), ready).then_some(to)
    }

    /// Whether a stage can release one of its searchers. Searchers that are changing don't serve yet, so the remaining
    /// ones must handle the load in the meantime.
    fn can_release(&self, from: Stage, ready: StageCounts) -> bool {
        match from {
            Stage::Prefill => ready.prefill > 1,
            Stage::Decode => {
                let remaining = ready.decode - 1;
                remaining > 0
                    && self.decode <= remaining as f64 * MAX_DECODE_UTILIZATION_DURING_SWITCH
            }
        }
    }
}

/// Converts a number that the proxies report in hundredths.
fn from_hundredths(number: u32) -> f64 {
    f64::from(number) / f64::from(HUNDREDTHS_PER_UNIT)
}
