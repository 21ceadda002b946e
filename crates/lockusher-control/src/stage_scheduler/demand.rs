//! Demand estimate: how many searchers a service's load keeps busy in each stage, and how best to split them.
//!
//! The *pressure* of a stage is the share of its usable capacity that the load takes: 1 is what it should bear at most.
//! The best split of a service's searchers is the one whose larger pressure is the least. Called by the service's
//! state with each observation; pure arithmetic.

use std::cmp::Ordering;

use lockusher_config::configuration::Engine;
use lockusher_config::instances::Stage;
use lockusher_distribution::load::{HUNDREDTHS, ServiceLoad};

use super::stage_change::opposite;

/// Share of the time that a prefill searcher should be busy at most: a prompt then waits about as long as its prefill
/// takes.
const MAX_PREFILL_UTILIZATION: f64 = 0.5;
/// Share of its batch or of its KV cache that a decode searcher should fill at most, after one was lost.
const MAX_DECODE_UTILIZATION: f64 = 0.5;
/// Share of their batch or KV cache that the decode searchers may fill while others of them change.
const MAX_DECODE_UTILIZATION_DURING_SWITCH: f64 = 0.7;
/// Capacity of a lone decode searcher, in searchers, in place of "all but one": it can't be done without.
const LONE_DECODE_CAPACITY: f64 = 0.5;
/// Below this pressure of both stages nothing is changed.
const MIN_PRESSURE_FOR_CHANGE: f64 = 0.8;
/// A change must lower the larger pressure to this share of it at least.
const MAX_PRESSURE_RATIO_AFTER_CHANGE: f64 = 0.88;
/// From so many searchers on each stage keeps [`REDUNDANT_SEARCHERS`].
const MIN_SEARCHERS_FOR_REDUNDANCY: usize = 4;
/// Searchers that a stage keeps at least if the service has enough of them, so that one may be lost.
const REDUNDANT_SEARCHERS: usize = 2;

/// Numbers of searchers in the two stages of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageCounts {
    /// Searchers of the prefill stage.
    pub prefill: usize,
    /// Searchers of the decode stage.
    pub decode: usize,
}

impl StageCounts {
    /// Counts both stages with `count`.
    pub fn by_stage(count: impl Fn(Stage) -> usize) -> Self {
        StageCounts {
            prefill: count(Stage::Prefill),
            decode: count(Stage::Decode),
        }
    }

    /// Searchers of both stages.
    pub fn total(self) -> usize {
        self.prefill + self.decode
    }
}

/// The load of a service in numbers of searchers that it would keep busy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Prefill searchers that would be busy all the time.
    pub prefill: f64,
    /// Decode searchers with a full batch or a full KV cache, whichever is more.
    pub decode: f64,
}

impl Demand {
    /// The demand behind a load that `prefill_searchers` bear now. One that serves a queue of mean length N is busy
    /// N / (1 + N) of the time (M/M/1).
    pub fn of(load: &ServiceLoad, engine: &Engine, prefill_searchers: usize) -> Demand {
        let queue = from_hundredths(load.prefill_in_flight) / prefill_searchers.max(1) as f64;
        let batch = from_hundredths(load.decode_in_flight) / f64::from(engine.slots.max(1));
        let memory = f64::from(load.decode_tokens) / engine.cache_tokens.max(1) as f64;
        Demand {
            prefill: prefill_searchers as f64 * queue / (1.0 + queue),
            decode: batch.max(memory),
        }
    }

    /// The larger pressure of the two stages with so many searchers.
    pub fn pressure(&self, counts: StageCounts) -> f64 {
        let prefill = self.prefill / (counts.prefill as f64 * MAX_PREFILL_UTILIZATION);
        // The others must bear the loss of one.
        let decode_capacity = if counts.decode > 1 {
            (counts.decode - 1) as f64
        } else {
            LONE_DECODE_CAPACITY
        };
        prefill.max(self.decode / (decode_capacity * MAX_DECODE_UTILIZATION))
    }

    /// The split of `total` searchers with the least pressure; of equal ones that with a number of prefill searchers
    /// nearest to `present_prefill`.
    pub fn best_split(&self, total: usize, present_prefill: usize) -> StageCounts {
        let split = |prefill: usize| StageCounts {
            prefill,
            decode: total - prefill,
        };
        let by_pressure = |left: &usize, right: &usize| {
            let pressures = self
                .pressure(split(*left))
                .total_cmp(&self.pressure(split(*right)));
            pressures.then(
                left.abs_diff(present_prefill)
                    .cmp(&right.abs_diff(present_prefill)),
            )
        };
        let least = if total >= MIN_SEARCHERS_FOR_REDUNDANCY {
            REDUNDANT_SEARCHERS
        } else {
            1
        };
        let candidates = least..=total.saturating_sub(least);
        split(candidates.min_by(by_pressure).unwrap_or(present_prefill))
    }

    /// The stage that should have one more searcher, if the change is worth its cost and can be borne.
    ///
    /// `ready` are the searchers that serve now; `expected` counts those whose change is in flight where they go.
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

    /// Whether a stage can do without one of its searchers. Those that are changing are of no use yet: the ones that
    /// stay must bear the load meanwhile.
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

/// The value of a number that the proxies report in hundredths.
fn from_hundredths(number: u32) -> f64 {
    f64::from(number) / f64::from(HUNDREDTHS)
}
