//! Scheduler of the searchers' stages: how many of a service serve prefill and how many decode, and which one changes.
//!
//! Owned by the head's stage assignment ([`crate::driver::stage_assignment`]), which shows it the newest list and the
//! loads that the proxies report, sends the order for each change that it returns, and reports what became of it. A
//! scheduler lives as long as its node is head; a new head starts without memory. It decides only, without I/O or
//! clock.
//!
//! The modules below are one concern each: `coverage` finds a stage that has no searcher left, `demand` estimates how many searchers each stage keeps busy and which
//! stage should grow, `hysteresis` whether that has lasted, `change_budget` bounds the number of changes,
//! `searcher_selection` chooses the searcher, and `service_state` puts them together for one service.
//!
//! Invariant: a change leaves each stage of a service with one searcher at least, and with two in a service of four or
//! more; only where a stage has none, the last searcher of the other may go. The rules are described in `docs/design/control.md`, section "Stage assignment".

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

/// What the scheduler looks at.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// When it was made, in milliseconds of the steady clock.
    pub now: Millis,
    /// The newest committed configuration.
    pub configuration: &'a Configuration,
    /// The newest list of searchers.
    pub instances: &'a [Instance],
    /// Loads summed over the proxies.
    pub loads: &'a [ServiceLoad],
    /// Proxies in the fleet.
    pub proxies: u32,
}

impl<'a> Observation<'a> {
    /// The searchers of a service that serve a stage or change it.
    fn staged_searchers(&self, service: &str) -> Vec<&'a Instance> {
        let is_staged =
            |instance: &&Instance| instance.service == service && instance.stage.is_some();
        self.instances.iter().filter(is_staged).collect()
    }

    /// The load of a service, if enough proxies reported for it to mean something.
    fn representative_load(&self, service: &str) -> Option<&'a ServiceLoad> {
        let load = self.loads.iter().find(|load| load.service == service)?;
        let has_majority = self.proxies > 0 && load.proxies.saturating_mul(2) >= self.proxies;
        (has_majority && load.requests_per_s > 0).then_some(load)
    }
}

/// The scheduler of one head.
#[derive(Debug)]
pub struct StageScheduler {
    list_lag_ms: Millis,
    services: BTreeMap<String, ServiceState>,
}

impl StageScheduler {
    /// A scheduler without memory. `list_lag_ms` is how far the platform's list lags behind the searchers.
    pub fn new(list_lag_ms: Millis) -> Self {
        StageScheduler {
            list_lag_ms,
            services: BTreeMap::new(),
        }
    }

    /// The next change to order, if one is due; it counts as in flight from now on.
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

    /// Why no change of a service was due when it was last looked at; none if one was, or before the first look.
    pub fn why_no_change(&self, service: &str) -> Option<NoChange> {
        self.services.get(service)?.why_no_change()
    }

    /// Takes what became of the order for a change.
    pub fn order_completed(&mut self, now: Millis, change: &StageChange, outcome: OrderOutcome) {
        if let Some(state) = self.services.get_mut(&change.service) {
            state.on_order_outcome(now, change, outcome);
        }
    }

    /// The changes that were started and haven't ended.
    pub fn changes_in_flight(&self) -> impl Iterator<Item = &StageChange> {
        self.services
            .values()
            .flat_map(ServiceState::changes_in_flight)
    }
}
