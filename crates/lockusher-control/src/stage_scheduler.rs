//! Scheduler of the searchers' stages: how many searchers of a service do prefill and how many decode, and which
//! searcher changes.
//!
//! Owned by the head's stage assignment ([`crate::driver::stage_assignment`]), which passes it the newest instance list
//! and the loads that the proxies report, sends the order for each change that it returns, and reports the outcome. A
//! scheduler exists as long as its node is head; a new head starts with an empty one. It makes decisions only: it has
//! no I/O and no clock.
//!
//! Each submodule has one concern: `coverage` finds a stage without searchers, `demand` estimates how many searchers
//! the load keeps busy in each stage and which stage should grow, `hysteresis` checks that the demand has persisted,
//! `change_budget` limits the rate of changes, `searcher_selection` chooses the searcher, and `service_state` combines
//! them for one service.
//!
//! Invariant: a change leaves at least one searcher in each stage of a service, and at least two in a service of four
//! or more. The exception is a stage without searchers: for it the last searcher of the other stage may change. The
//! rules are described in `docs/design/control.md`, section "Stage assignment".

mod change_budget;
mod coverage;
mod demand;
mod hysteresis;
mod no_change;
mod searcher_selection;
mod service_state;
mod stage_change;

use std::collections::BTreeMap;

use lockusher_config::configuration::Configuration;
use lockusher_config::instances::Instance;
use lockusher_distribution::load::ServiceLoad;

use self::service_state::ServiceState;
use crate::time::Millis;

pub use self::demand::{Demand, StageCounts};
pub use self::no_change::NoChange;
pub use self::searcher_selection::is_ready;
pub use self::stage_change::{OrderOutcome, StageChange};

/// Input of one scheduling decision.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Time of the observation, in milliseconds of the monotonic clock.
    pub now: Millis,
    /// The newest committed configuration.
    pub configuration: &'a Configuration,
    /// The newest instance list.
    pub instances: &'a [Instance],
    /// Load of each service, summed over the proxies.
    pub loads: &'a [ServiceLoad],
    /// Number of proxies in the fleet.
    pub proxies: u32,
}

impl<'a> Observation<'a> {
    /// The searchers of a service that have a stage, including those that are changing it.
    fn staged_searchers(&self, service: &str) -> Vec<&'a Instance> {
        let is_staged =
            |instance: &&Instance| instance.service == service && instance.stage.is_some();
        self.instances.iter().filter(is_staged).collect()
    }

    /// The load of a service, if it has requests and at least half of the proxies reported it.
    fn representative_load(&self, service: &str) -> Option<&'a ServiceLoad> {
        let load = self.loads.iter().find(|load| load.service == service)?;
        let has_enough_reports = self.proxies > 0 && load.proxies.saturating_mul(2) >= self.proxies;
        (has_enough_reports && load.requests_per_s > 0).then_some(load)
    }
}

/// Schedules the stage changes of all services while its node is head.
#[derive(Debug)]
pub struct StageScheduler {
    list_lag_ms: Millis,
    services: BTreeMap<String, ServiceState>,
}

impl StageScheduler {
    /// Creates an empty scheduler. `list_lag_ms` is the delay with which the platform's list shows a searcher's change.
    pub fn new(list_lag_ms: Millis) -> Self {
        StageScheduler {
            list_lag_ms,
            services: BTreeMap::new(),
        }
    }

    /// Returns the next change to order, if one is due; it counts as in flight from now on.
    pub fn next_change(&mut self, observation: &Observation) -> Option<StageChange> {
        let now = observation.now;
        for service in &observation.configuration.services {
            let Some(engine) = &service.engine else {
                continue;
            };
            let searchers = observation.staged_searchers(&service.name);
            let new_state = || ServiceState::new(now, searchers.len());
            let state = self
                .services
                .entry(service.name.clone())
                .or_insert_with(new_state);
            state.observe_instances(now, &searchers);
            let load = observation.representative_load(&service.name);
            if let Some(change) = state.next_change(now, engine, load, &searchers) {
                state.start_change(now, engine, self.list_lag_ms, &change);
                return Some(change);
            }
        }
        None
    }

    /// Why the last decision on a service made no change; none if it made one, or before the first decision.
    pub fn no_change_reason(&self, service: &str) -> Option<NoChange> {
        self.services.get(service)?.no_change_reason()
    }

    /// Handles the outcome of the order for a change.
    pub fn order_completed(&mut self, now: Millis, change: &StageChange, outcome: OrderOutcome) {
        if let Some(state) = self.services.get_mut(&change.service) {
            state.on_order_outcome(now, change, outcome);
        }
    }

    /// The changes that were started and have neither completed nor failed.
    pub fn changes_in_flight(&self) -> impl Iterator<Item = &StageChange> {
        self.services
            .values()
            .flat_map(ServiceState::changes_in_flight)
    }
}
