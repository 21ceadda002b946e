//! Hysteresis: a change is made only once the demand for it has persisted, and reversed only after a longer interval.
//!
//! Owned by the service's state, which reports with each observation which stage should grow. It keeps searchers from
//! oscillating between the stages when the load fluctuates around the capacity.

use lockusher_config::instances::Stage;

use crate::time::Millis;

/// A change is made once it has been desired continuously for this long.
const MIN_PERSISTENCE_MS: Millis = 400;
/// Loads aren't used for this long after a change has ended, because they still describe the time before it.
const LOAD_STABILIZATION_MS: Millis = 1_500;
/// Minimum time between a change and the next one in the opposite direction.
const MIN_REVERSAL_INTERVAL_MS: Millis = 10_000;
/// A change in the opposite direction to the last one must also have been desired continuously for this long.
const MIN_REVERSAL_PERSISTENCE_MS: Millis = 4_000;
/// Backoff after a searcher of the service answered that it doesn't support the order.
const UNSUPPORTED_ORDER_BACKOFF_MS: Millis = 120_000;

/// The stage that should grow, and since when continuously.
#[derive(Clone, Copy, Debug)]
struct DesiredGrowth {
    stage: Stage,
    since: Millis,
}

/// The latest change: the stage that it gave a searcher to, and its start.
#[derive(Clone, Copy, Debug)]
struct LastChange {
    to: Stage,
    at: Millis,
}

/// The state by which changes of one service are delayed.
#[derive(Debug, Default)]
pub struct Hysteresis {
    desired: Option<DesiredGrowth>,
    last_change: Option<LastChange>,
    /// Load-driven changes are suspended until this time.
    suspended_until: Millis,
    /// End of the backoff after an unsupported order.
    unsupported_until: Millis,
}

impl Hysteresis {
    /// Records which stage should grow according to the current load.
    pub fn observe(&mut self, now: Millis, stage_to_grow: Option<Stage>) {
        let unchanged = self
            .desired
            .filter(|desired| Some(desired.stage) == stage_to_grow);
        let since = unchanged.map_or(now, |desired| desired.since);
        self.desired = stage_to_grow.map(|stage| DesiredGrowth { stage, since });
    }

    /// The stage that may grow now. The persistence isn't required while the service has changes in flight: the demand
    /// that caused them has already persisted.
    pub fn stage_due(&self, now: Millis, has_changes_in_flight: bool) -> Option<Stage> {
        let desired = self.desired?;
        let has_persisted = now >= desired.since + MIN_PERSISTENCE_MS || has_changes_in_flight;
        let is_due =
            now >= self.suspended_until && has_persisted && !self.is_early_reversal(now, desired);
        is_due.then_some(desired.stage)
    }

    fn is_early_reversal(&self, now: Millis, desired: DesiredGrowth) -> bool {
        let Some(last) = self.last_change.filter(|last| last.to != desired.stage) else {
            return false;
        };
        now < last.at + MIN_REVERSAL_INTERVAL_MS
            || now < desired.since + MIN_REVERSAL_PERSISTENCE_MS
    }

    /// Records the start of a change, which resets the desired growth.
    pub fn on_change_started(&mut self, now: Millis, to: Stage) {
        self.last_change = Some(LastChange { to, at: now });
        self.desired = None;
    }

    /// Records the end of a change: until loads have stabilized no further change is due.
    pub fn on_change_ended(&mut self, now: Millis) {
        self.suspended_until = self.suspended_until.max(now + LOAD_STABILIZATION_MS);
    }

    /// Records that the service's searchers don't support the order, and starts the backoff.
    pub fn on_order_unsupported(&mut self, now: Millis) {
        self.suspended_until = now + UNSUPPORTED_ORDER_BACKOFF_MS;
        self.unsupported_until = self.suspended_until;
    }

    /// Whether the backoff after an unsupported order is still running.
    pub fn is_unsupported(&self, now: Millis) -> bool {
        now < self.unsupported_until
    }
}
