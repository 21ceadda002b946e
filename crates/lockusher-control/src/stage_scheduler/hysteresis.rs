//! Hysteresis: a change is made only once the demand for it has lasted, and reversed only after a while.
//!
//! Owned by the service's state, which says with each observation what stage should grow. A load that jitters around
//! what fits must not have searchers go to and fro.

use lockusher_config::instances::Stage;

use crate::time::Millis;

/// A change must have been desired this long before it is made.
const MIN_PERSISTENCE_MS: Millis = 400;
/// After a change has ended, loads aren't used for this long: they are of the time before.
const LOAD_STABILIZATION_MS: Millis = 1_500;
/// A change in the other direction than the last one must wait this long since that one,
const MIN_REVERSAL_INTERVAL_MS: Millis = 10_000;
/// and be desired for this long without a break.
const MIN_REVERSAL_PERSISTENCE_MS: Millis = 4_000;
/// How long a service whose searchers don't know the order is left alone.
const UNSUPPORTED_ORDER_BACK_OFF_MS: Millis = 120_000;

/// Which stage should grow, and since when without a break.
#[derive(Clone, Copy, Debug)]
struct DesiredGrowth {
    stage: Stage,
    since: Millis,
}

/// The latest change: which stage it made grow, and when it was started.
#[derive(Clone, Copy, Debug)]
struct LastChange {
    to: Stage,
    at: Millis,
}

/// What has to be remembered of a service so that its changes are few and steady.
#[derive(Debug, Default)]
pub struct Hysteresis {
    desired: Option<DesiredGrowth>,
    last_change: Option<LastChange>,
    /// Until then nothing is changed.
    resting_until: Millis,
    /// Until then the service's searchers aren't sent orders.
    unsupported_until: Millis,
}

impl Hysteresis {
    /// Records which stage should grow by the load seen now.
    pub fn observe(&mut self, now: Millis, stage_to_grow: Option<Stage>) {
        let present = self
            .desired
            .filter(|desired| Some(desired.stage) == stage_to_grow);
        let since = present.map_or(now, |desired| desired.since);
        self.desired = stage_to_grow.map(|stage| DesiredGrowth { stage, since });
    }

    /// The stage that may grow now. A service with changes in flight need not wait for persistence: what they were
    /// made for has lasted long enough.
    pub fn stage_due(&self, now: Millis, has_changes_in_flight: bool) -> Option<Stage> {
        let desired = self.desired?;
        let has_persisted = now >= desired.since + MIN_PERSISTENCE_MS || has_changes_in_flight;
        let is_due =
            now >= self.resting_until && has_persisted && !self.is_early_reversal(now, desired);
        is_due.then_some(desired.stage)
    }

    fn is_early_reversal(&self, now: Millis, desired: DesiredGrowth) -> bool {
        let Some(last) = self.last_change.filter(|last| last.to != desired.stage) else {
            return false;
        };
        now < last.at + MIN_REVERSAL_INTERVAL_MS
            || now < desired.since + MIN_REVERSAL_PERSISTENCE_MS
    }

    /// A change was started: the desire for it is met.
    pub fn on_change_started(&mut self, now: Millis, to: Stage) {
        self.last_change = Some(LastChange { to, at: now });
        self.desired = None;
    }

    /// A change has ended: loads are of the time before for a while.
    pub fn on_change_ended(&mut self, now: Millis) {
        self.resting_until = self.resting_until.max(now + LOAD_STABILIZATION_MS);
    }

    /// The service's searchers don't know the order.
    pub fn on_order_unsupported(&mut self, now: Millis) {
        self.resting_until = now + UNSUPPORTED_ORDER_BACK_OFF_MS;
        self.unsupported_until = self.resting_until;
    }

    /// Whether the service's searchers didn't know the order of late.
    pub fn is_unsupported(&self, now: Millis) -> bool {
        now < self.unsupported_until
    }
}
