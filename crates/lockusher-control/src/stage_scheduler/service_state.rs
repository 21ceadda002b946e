//! What the scheduler remembers of one service, and the decision on its next change.
//!
//! Owned by the scheduler, which shows it the service's searchers and load with each observation. Demand says which
//! stage should grow, hysteresis, budget and the changes in flight whether it may now, the selection which searcher
//! goes.

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

/// So many of a service's searchers may be changing at once, as a share of all; one always may.
const MAX_IN_FLIGHT_SHARE: f64 = 0.25;
/// How long a searcher that rejected an order, or didn't carry it out, is left alone.
const EXCLUSION_MS: Millis = 10_000;
/// A stage must have been without a searcher for this long before one is ordered to it: a list that is being replaced may
/// show it for a moment.
const UNCOVERED_PERSISTENCE_MS: Millis = 400;
/// Time beyond the change itself until the list must show it: requests in flight are finished first.
const REQUEST_COMPLETION_ALLOWANCE_MS: Millis = 8_000;

/// A change that was ordered, or is about to be, and that the list doesn't show yet.
#[derive(Clone, Debug)]
struct ChangeInFlight {
    change: StageChange,
    /// When it counts as failed if the list doesn't show it.
    deadline: Millis,
    /// Whether the searcher may not have been reached: no answer to the order came.
    is_unanswered: bool,
}

/// The changes of one service.
#[derive(Debug)]
pub struct ServiceState {
    in_flight: Vec<ChangeInFlight>,
    hysteresis: Hysteresis,
    budget: ChangeBudget,
    /// Searchers that aren't chosen until the time given, by identifier.
    excluded_until: BTreeMap<String, Millis>,
    /// Since when a stage has had no searcher.
    uncovered_since: Option<Millis>,
    why_no_change: Option<NoChange>,
}

impl ServiceState {
    /// The state of a service with so many searchers that has had no change.
    pub fn new(now: Millis, searchers: usize) -> Self {
        ServiceState {
            in_flight: Vec::new(),
            hysteresis: Hysteresis::default(),
            budget: ChangeBudget::full(now, searchers),
            excluded_until: BTreeMap::new(),
            uncovered_since: None,
            why_no_change: None,
        }
    }

    /// Ends the changes that the list shows as made, or that can't be made any more.
    pub fn observe_instances(&mut self, now: Millis, searchers: &[&Instance]) {
        self.budget.refill(now, searchers.len());
        self.excluded_until.retain(|_, until| *until > now);
        let before = self.in_flight.len();
        let excluded_until = &mut self.excluded_until;
        self.in_flight.retain(|in_flight| {
            let is_open = is_open(&in_flight.change, searchers);
            let has_expired = now >= in_flight.deadline;
            if is_open && has_expired {
                excluded_until.insert(in_flight.change.identifier.clone(), now + EXCLUSION_MS);
            }
            is_open && !has_expired
        });
        if self.in_flight.len() < before {
            self.hysteresis.on_change_ended(now);
        }
    }

    /// The change to make now, if one is due; `load` is absent if it isn't known. The change isn't in flight until
    /// [`ServiceState::start_change`].
    pub fn next_change(
        &mut self,
        now: Millis,
        engine: &Engine,
        load: Option<&ServiceLoad>,
        searchers: &[&Instance],
    ) -> Option<StageChange> {
        let change = self.decide(now, engine, load, searchers);
        self.why_no_change = change.as_ref().err().copied();
        change.ok()
    }

    /// Why the last look led to no change.
    pub fn why_no_change(&self) -> Option<NoChange> {
        self.why_no_change
    }

    fn decide(
        &mut self,
        now: Millis,
        engine: &Engine,
        load: Option<&ServiceLoad>,
        searchers: &[&Instance],
    ) -> Result<StageChange, NoChange> {
        if let Some(uncovered) = uncovered_stage(searchers, &self.expected_changes()) {
            return self.cover(now, searchers, &uncovered);
        }
        self.uncovered_since = None;
        let Some(load) = load else {
            // What was desired before doesn't count any more.
            self.hysteresis.observe(now, None);
            return Err(NoChange::NoLoad);
        };
        let ready = StageCounts::by_stage(|stage| {
            searchers.iter().filter(|one| is_ready(one, stage)).count()
        });
        let demand = Demand::of(load, engine, ready.prefill);
        let stage_to_grow = demand.stage_to_grow(ready, self.with_changes_made(ready));
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
        Ok(StageChange::of(searcher, from, to))
    }

    /// The change that gives a stage without a searcher one. It needs neither a load nor a budget: without it nothing is
    /// served.
    fn cover(
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
        let candidates = |searcher: &Instance| {
            let is_candidate = uncovered
                .candidates
                .iter()
                .any(|candidate| candidate.identifier == searcher.identifier);
            let is_excluded = self.excluded_until.contains_key(&searcher.identifier);
            is_candidate && !is_excluded && !self.is_in_flight(searcher)
        };
        let searcher =
            select_preferred(searchers, from, candidates).ok_or(NoChange::NoCandidate)?;
        Ok(StageChange::of(searcher, from, uncovered.stage))
    }

    fn is_in_flight(&self, searcher: &Instance) -> bool {
        self.changes_in_flight()
            .any(|change| change.identifier == searcher.identifier)
    }

    /// The changes in flight whose orders are being sent or were accepted.
    fn expected_changes(&self) -> Vec<&StageChange> {
        let expected = self.in_flight.iter().filter(|one| !one.is_unanswered);
        expected.map(|in_flight| &in_flight.change).collect()
    }

    /// The counts once the changes in flight are made. Searchers that are changing aren't ready.
    fn with_changes_made(&self, ready: StageCounts) -> StageCounts {
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

    /// Counts a change as in flight from now on.
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

    /// Takes what became of the order for a change. One that may have been accepted stays in flight.
    pub fn on_order_outcome(&mut self, now: Millis, change: &StageChange, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Accepted => return,
            OrderOutcome::Unknown => {
                let of_change = |one: &&mut ChangeInFlight| one.change == *change;
                if let Some(in_flight) = self.in_flight.iter_mut().find(of_change) {
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

    /// The changes that were started and haven't ended.
    pub fn changes_in_flight(&self) -> impl Iterator<Item = &StageChange> {
        self.in_flight.iter().map(|in_flight| &in_flight.change)
    }
}

/// Whether the list shows the searcher in the stage that it is to leave, so that the change may still be made.
fn is_open(change: &StageChange, searchers: &[&Instance]) -> bool {
    let listed = searchers
        .iter()
        .find(|searcher| searcher.identifier == change.identifier);
    listed.is_some_and(|searcher| {
        searcher.stage == Some(change.from) && searcher.state != InstanceState::Draining
    })
}

/// How many of a service's searchers may be changing at once.
fn max_in_flight(searchers: usize) -> usize {
    ((searchers as f64 * MAX_IN_FLIGHT_SHARE) as usize).max(1)
}
