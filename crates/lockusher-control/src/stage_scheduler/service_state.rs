//! State of one service in the scheduler, and the decision on its next change.
//!
//! Owned by the scheduler, which passes it the service's searchers and load with each observation. The demand
//! determines which stage should grow; hysteresis, budget and the changes in flight whether it may grow now; the
//! selection which searcher changes.

use std::collections::BTreeMap;

use lockusher_config::configuration::Engine;
use lockusher_config::instances::{Instance, InstanceState};
use lockusher_distribution::load::ServiceLoad;

use super::change_budget::ChangeBudget;
use super::coverage::{UncoveredStage, uncovered_stage};
use super::demand::{Demand, StageCounts};
use super::hysteresis::Hysteresis;
use super::no_change::NoChange;
use super::searcher_selection::{is_ready, select_preferred, select_searcher};
use super::stage_change::{OrderOutcome, StageChange, opposite};
use crate::time::Millis;

/// Highest share of a service's searchers that may be changing at the same time; one is always allowed.
const MAX_IN_FLIGHT_SHARE: f64 = 0.25;
/// How long a searcher that rejected an order, or didn't execute it in time, is excluded from selection.
const EXCLUSION_MS: Millis = 10_000;
/// A stage must have been without a searcher for this long before one is ordered to it: the list may briefly show an
/// empty stage while searchers are being replaced.
const UNCOVERED_PERSISTENCE_MS: Millis = 400;
/// Added to the duration of a change before it counts as failed: the searcher completes its requests in flight first.
const REQUEST_COMPLETION_ALLOWANCE_MS: Millis = 8_000;

/// A change that was ordered, or is about to be ordered, and that the list doesn't show as complete yet.
#[derive(Clone, Debug)]
struct ChangeInFlight {
    change: StageChange,
    /// The change counts as failed if the list doesn't show it by then.
    deadline: Millis,
    /// Whether no response to the order was received, so that the searcher may not have got it.
    is_unanswered: bool,
}

/// Decides on the stage changes of one service and tracks them.
#[derive(Debug)]
pub struct ServiceState {
    in_flight: Vec<ChangeInFlight>,
    hysteresis: Hysteresis,
    budget: ChangeBudget,
    /// End of a searcher's exclusion from selection, by its identifier.
    excluded_until: BTreeMap<String, Millis>,
    /// Time since which a model has had no searcher of some stage.
    uncovered_since: Option<Millis>,
    no_change_reason: Option<NoChange>,
}

impl ServiceState {
    /// Creates the state of a service with this number of searchers.
    pub fn new(now: Millis, searchers: usize) -> Self {
        ServiceState {
            in_flight: Vec::new(),
            hysteresis: Hysteresis::default(),
            budget: ChangeBudget::full(now, searchers),
            excluded_until: BTreeMap::new(),
            uncovered_since: None,
            no_change_reason: None,
        }
    }

    /// Removes the changes that the list shows as complete, that can no longer complete, or that have exceeded their
    /// deadline.
    pub fn observe_instances(&mut self, now: Millis, searchers: &[&Instance]) {
        self.budget.refill(now, searchers.len());
        self.excluded_until.retain(|_, until| *until > now);
        let before = self.in_flight.len();
        let excluded_until = &mut self.excluded_until;
        self.in_flight.retain(|in_flight| {
            let is_pending = is_pending(&in_flight.change, searchers);
            let has_expired = now >= in_flight.deadline;
            if is_pending && has_expired {
                excluded_until.insert(in_flight.change.identifier.clone(), now + EXCLUSION_MS);
            }
            is_pending && !has_expired
        });
        if self.in_flight.len() < before {
            self.hysteresis.on_change_ended(now);
        }
    }

    /// Returns the change to make now, if one is due; `load` is absent if it isn't known. The change counts as in
    /// flight only from [`ServiceState::start_change`] on.
    pub fn next_change(
        &mut self,
        now: Millis,
        engine: &Engine,
        load: Option<&ServiceLoad>,
        searchers: &[&Instance],
    ) -> Option<StageChange> {
        let change = self.decide(now, engine, load, searchers);
        self.no_change_reason = change.as_ref().err().copied();
        change.ok()
    }

    /// Why the last decision made no change.
    pub fn no_change_reason(&self) -> Option<NoChange> {
        self.no_change_reason
    }

    fn decide(
        &mut self,
        now: Millis,
        engine: &Engine,
        load: Option<&ServiceLoad>,
        searchers: &[&Instance],
    ) -> Result<StageChange, NoChange> {
        if let Some(uncovered) = uncovered_stage(searchers, &self.expected_changes()) {
            return self.cover_stage(now, searchers, &uncovered);
        }
        self.uncovered_since = None;
        let Some(load) = load else {
            // Without a load the growth that was desired before is no longer continuous.
            self.hysteresis.observe(now, None);
            return Err(NoChange::NoLoad);
        };
        let ready = StageCounts::by_stage(|stage| {
            searchers
                .iter()
                .filter(|searcher| is_ready(searcher, stage))
                .count()
        });
        let demand = Demand::from_load(load, engine, ready.prefill);
        let stage_to_grow = demand.stage_to_grow(ready, self.counts_after_changes(ready));
        self.hysteresis.observe(now, stage_to_grow);
        if ready.prefill == 0 || ready.decode == 0 {
            return Err(NoChange::EmptyStage);
        }
        if stage_to_grow.is_none() {
            return Err(NoChange::NotWorthwhile);
        }
        let stage_due = self.hysteresis.stage_due(now, !self.in_flight.is_empty());
        let to = stage_due.ok_or(NoChange::NotPersistent)?;
        if self.in_flight.len() >= max_in_flight(searchers.len()) {
            return Err(NoChange::ChangesInFlight);
        }
        if !self.budget.allows_change() {
            return Err(NoChange::BudgetExhausted);
        }
        let from = opposite(to);
        let is_excluded =
            |searcher: &Instance| self.excluded_until.contains_key(&searcher.identifier);
        let searcher =
            select_searcher(searchers, from, is_excluded).ok_or(NoChange::NoCandidate)?;
        Ok(StageChange::new(searcher, from, to))
    }

    /// The change that gives a searcher to a stage without one. It depends neither on a load nor on the budget: without
    /// a decode searcher no request is served.
    fn cover_stage(
        &mut self,
        now: Millis,
        searchers: &[&Instance],
        uncovered: &UncoveredStage,
    ) -> Result<StageChange, NoChange> {
        let since = *self.uncovered_since.get_or_insert(now);
        if now < since + UNCOVERED_PERSISTENCE_MS {
            return Err(NoChange::NotPersistent);
        }
        if self.hysteresis.is_unsupported(now) {
            return Err(NoChange::Unsupported);
        }
        let from = opposite(uncovered.stage);
        let may_leave = |searcher: &Instance| {
            let is_candidate = uncovered
                .candidates
                .iter()
                .any(|candidate| candidate.identifier == searcher.identifier);
            let is_excluded = self.excluded_until.contains_key(&searcher.identifier);
            is_candidate && !is_excluded && !self.is_in_flight(searcher)
        };
        let searcher = select_preferred(searchers, from, may_leave).ok_or(NoChange::NoCandidate)?;
        Ok(StageChange::new(searcher, from, uncovered.stage))
    }

    fn is_in_flight(&self, searcher: &Instance) -> bool {
        self.changes_in_flight()
            .any(|change| change.identifier == searcher.identifier)
    }

    /// The changes in flight whose order is being sent or was accepted.
    fn expected_changes(&self) -> Vec<&StageChange> {
        let expected = self
            .in_flight
            .iter()
            .filter(|in_flight| !in_flight.is_unanswered);
        expected.map(|in_flight| &in_flight.change).collect()
    }

    /// The counts after completion of the changes in flight. `ready` doesn't include searchers that are changing.
    fn counts_after_changes(&self, ready: StageCounts) -> StageCounts {
        let incoming = StageCounts::by_stage(|stage| {
            self.in_flight
                .iter()
                .filter(|in_flight| in_flight.change.to == stage)
                .count()
        });
        StageCounts {
            prefill: ready.prefill + incoming.prefill,
            decode: ready.decode + incoming.decode,
        }
    }

    /// Records a change as in flight, and takes its token from the budget.
    pub fn start_change(
        &mut self,
        now: Millis,
        engine: &Engine,
        list_lag_ms: Millis,
        change: &StageChange,
    ) {
        let deadline = now + engine.role_switch_ms + list_lag_ms + REQUEST_COMPLETION_ALLOWANCE_MS;
        self.in_flight.push(ChangeInFlight {
            change: change.clone(),
            deadline,
            is_unanswered: false,
        });
        self.hysteresis.on_change_started(now, change.to);
        self.budget.take();
    }

    /// Handles the outcome of the order for a change. A change whose order may have been accepted stays in flight.
    pub fn on_order_outcome(&mut self, now: Millis, change: &StageChange, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Accepted => return,
            OrderOutcome::Unknown => {
                let is_this_change = |in_flight: &&mut ChangeInFlight| in_flight.change == *change;
                if let Some(in_flight) = self.in_flight.iter_mut().find(is_this_change) {
                    in_flight.is_unanswered = true;
                }
                return;
            }
            OrderOutcome::Rejected => {
                self.excluded_until
                    .insert(change.identifier.clone(), now + EXCLUSION_MS);
            }
            OrderOutcome::Unsupported => self.hysteresis.on_order_unsupported(now),
            OrderOutcome::NotSent => {}
        }
        self.in_flight
            .retain(|in_flight| in_flight.change.identifier != change.identifier);
    }

    /// The changes that were started and have neither completed nor failed.
    pub fn changes_in_flight(&self) -> impl Iterator<Item = &StageChange> {
        self.in_flight.iter().map(|in_flight| &in_flight.change)
    }
}

/// Whether the list still shows the searcher in its former stage and not draining, so that the change may yet complete.
fn is_pending(change: &StageChange, searchers: &[&Instance]) -> bool {
    let listed = searchers
        .iter()
        .find(|searcher| searcher.identifier == change.identifier);
    listed.is_some_and(|searcher| {
        searcher.stage == Some(change.from) && searcher.state != InstanceState::Draining
    })
}

/// Number of a service's searchers that may be changing at the same time.
fn max_in_flight(searchers: usize) -> usize {
    ((searchers as f64 * MAX_IN_FLIGHT_SHARE) as usize).max(1)
}
