//! Decides how many searchers of a service read prompts and how many make tokens, and which one changes its stage.
//!
//! The load is that which the proxies report. From it follows how many searchers each stage would keep busy: the
//! stage whose share of its capacity is larger (its *pressure*) gets searchers until both are alike. A pressure of 1 is
//! what a stage should bear at most.

use std::collections::{BTreeMap, BTreeSet};

use lockusher_config::configuration::{Configuration, Engine};
use lockusher_config::instances::{Instance, InstanceState, Stage};
use lockusher_distribution::load::{HUNDREDTHS, ServiceLoad};

use crate::Millis;

/// Share of the time that a prefill searcher should be busy at most: a prompt then waits about as long as it is read.
const MAX_PREFILL_UTILIZATION: f64 = 0.5;
/// Share of its batch or of its KV cache that a decode searcher should fill at most, after one was lost.
const MAX_DECODE_UTILIZATION: f64 = 0.5;
/// Share of their batch or KV cache that the decode searchers may fill while others of them change.
const MAX_DECODE_UTILIZATION_DURING_SWITCH: f64 = 0.7;
/// Below this pressure of both stages nothing is changed.
const MIN_PRESSURE_FOR_CHANGE: f64 = 0.8;
/// A change must lower the larger pressure to this share of it at least.
const MAX_PRESSURE_RATIO_AFTER_CHANGE: f64 = 0.88;
/// A desired change must last this long before it is followed.
const MIN_PERSISTENCE_MS: Millis = 400;
/// After a change has ended, the loads of the time before aren't used.
const LOAD_SETTLING_MS: Millis = 1_500;
/// A change in the other direction than the last one must wait this long,
const MIN_REVERSAL_INTERVAL_MS: Millis = 10_000;
/// and be wished for this long without a break.
const MIN_REVERSAL_PERSISTENCE_MS: Millis = 4_000;
/// So many of a service's searchers may be changing at once, as a share of all; one always may.
const MAX_IN_FLIGHT_SHARE: f64 = 0.25;
/// In the long run a service has one change for each of its searchers in this time.
const BUDGET_REFILL_MS: Millis = 50_000;
/// Changes that a long rest earns at most, as a share of the searchers; and the least of that.
const MAX_BUDGET_PER_SEARCHER: f64 = 0.5;
const MIN_BUDGET_CAPACITY: f64 = 4.0;
/// How long a searcher that answered oddly is left alone.
const EXCLUSION_MS: Millis = 10_000;
/// How long a service that doesn't know the order is left alone.
const UNSUPPORTED_ORDER_BACK_OFF_MS: Millis = 120_000;
/// Time beyond the change itself until the list must show it: requests in hand are finished first.
const REQUEST_COMPLETION_ALLOWANCE_MS: Millis = 8_000;
/// From so many searchers on each stage keeps two.
const MIN_SEARCHERS_FOR_REDUNDANCY: usize = 4;

/// A searcher's stage is to be changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChange {
    pub service: String,
    pub identifier: String,
    /// `IP:PORT`.
    pub address: String,
    pub from: Stage,
    pub to: Stage,
}

/// What became of the order for a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The searcher takes it, or it was in that stage already.
    Accepted,
    /// No answer came: it may have been taken.
    Unknown,
    /// Not taken: the searcher is busy with something else, or isn't the one meant.
    Rejected,
    /// The searcher knows no such order.
    Unsupported,
    /// It wasn't sent.
    NotSent,
}

/// What the planner looks at.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    pub now: Millis,
    pub configuration: &'a Configuration,
    pub instances: &'a [Instance],
    /// Loads summed over the proxies.
    pub loads: &'a [ServiceLoad],
    /// Proxies in the fleet.
    pub proxies: u32,
}

#[derive(Clone, Debug)]
struct ChangeInFlight {
    change: StageChange,
    /// When it counts as failed if the list doesn't show it.
    until: Millis,
}

/// What the planner remembers of one service.
#[derive(Debug)]
struct ServiceState {
    in_flight: Vec<ChangeInFlight>,
    /// The stage that should grow, and since when.
    desired: Option<(Stage, Millis)>,
    last_change: Option<(Stage, Millis)>,
    /// Until then nothing is changed.
    resting_until: Millis,
    excluded: BTreeMap<String, Millis>,
    budget: f64,
    budget_refilled_at: Millis,
}

/// The planner of one head.
#[derive(Debug)]
pub struct StageScheduler {
    list_lag_ms: Millis,
    services: BTreeMap<String, ServiceState>,
}

/// The load of a service in numbers of searchers that it would keep busy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Prefill searchers that would read all the time.
    pub prefill: f64,
    /// Decode searchers with a full batch or a full KV cache, whichever is more.
    pub decode: f64,
}

impl Demand {
    /// The demand behind a load that `prefill` searchers bear now. One that serves a queue of mean length N is busy
    /// N / (1 + N) of the time.
    pub fn of(load: &ServiceLoad, engine: &Engine, prefill: usize) -> Demand {
        let queue = hundredths(load.prefill_in_flight) / prefill.max(1) as f64;
        let batch = hundredths(load.decode_in_flight) / f64::from(engine.slots.max(1));
        let memory = f64::from(load.decode_tokens) / engine.cache_tokens.max(1) as f64;
        Demand { prefill: prefill as f64 * queue / (1.0 + queue), decode: batch.max(memory) }
    }

    /// The larger pressure with so many searchers in each stage.
    pub fn pressure(&self, prefill: usize, decode: usize) -> f64 {
        let prefill = self.prefill / (prefill as f64 * MAX_PREFILL_UTILIZATION);
        // The others must bear the loss of one.
        let left = if decode > 1 { (decode - 1) as f64 } else { 0.5 };
        prefill.max(self.decode / (left * MAX_DECODE_UTILIZATION))
    }

    /// The number of prefill searchers among `total` with the least pressure; of equal ones that nearest to `present`.
    pub fn best_prefill(&self, total: usize, present: usize) -> usize {
        let least = if total >= MIN_SEARCHERS_FOR_REDUNDANCY { 2 } else { 1 };
        let by_pressure = |left: &usize, right: &usize| {
            let (one, other) = (self.pressure(*left, total - left), self.pressure(*right, total - right));
            one.total_cmp(&other).then(left.abs_diff(present).cmp(&right.abs_diff(present)))
        };
        (least..=total.saturating_sub(least)).min_by(by_pressure).unwrap_or(present)
    }
}

impl StageScheduler {
    /// `list_lag_ms` is how far the platform's list lags.
    pub fn new(list_lag_ms: Millis) -> Self {
        StageScheduler { list_lag_ms, services: BTreeMap::new() }
    }

    /// The next change to order, if one is due; it counts as under way from now on.
    pub fn next_change(&mut self, observation: &Observation) -> Option<StageChange> {
        for service in &observation.configuration.services {
            let Some(engine) = &service.engine else { continue };
            let searchers: Vec<&Instance> = observation
                .instances
                .iter()
                .filter(|instance| instance.service == service.name && instance.stage.is_some())
                .collect();
            let state = self
                .services
                .entry(service.name.clone())
                .or_insert_with(|| ServiceState::new(observation.now, searchers.len()));
            state.observe_instances(observation.now, &searchers);
            let load = observation.loads.iter().find(|load| load.service == service.name);
            let Some(load) = load.filter(|load| is_representative(load, observation.proxies)) else {
                state.desired = None;
                continue;
            };
            if let Some(change) = state.next_change(observation.now, engine, load, &searchers) {
                state.start_change(observation.now, engine, self.list_lag_ms, &change);
                return Some(change);
            }
        }
        None
    }

    /// Takes what became of the order.
    pub fn order_completed(&mut self, now: Millis, change: &StageChange, outcome: OrderOutcome) {
        let Some(state) = self.services.get_mut(&change.service) else { return };
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Unknown => return,
            OrderOutcome::Rejected => {
                state.excluded.insert(change.identifier.clone(), now + EXCLUSION_MS);
            }
            OrderOutcome::Unsupported => state.resting_until = now + UNSUPPORTED_ORDER_BACK_OFF_MS,
            OrderOutcome::NotSent => {}
        }
        state.in_flight.retain(|in_flight| in_flight.change.identifier != change.identifier);
    }

    /// The searchers that are being changed.
    pub fn changes_in_flight(&self) -> impl Iterator<Item = &StageChange> {
        self.services.values().flat_map(|service| service.in_flight.iter().map(|in_flight| &in_flight.change))
    }
}

impl ServiceState {
    fn new(now: Millis, searchers: usize) -> Self {
        ServiceState {
            in_flight: Vec::new(),
            desired: None,
            last_change: None,
            resting_until: 0,
            excluded: BTreeMap::new(),
            budget: budget_capacity(searchers),
            budget_refilled_at: now,
        }
    }

    /// Ends the changes that the list shows as made, or that can't be made any more.
    fn observe_instances(&mut self, now: Millis, searchers: &[&Instance]) {
        let budget =
            (now - self.budget_refilled_at) as f64 * searchers.len() as f64 / BUDGET_REFILL_MS as f64;
        self.budget = (self.budget + budget).min(budget_capacity(searchers.len()));
        self.budget_refilled_at = now;
        self.excluded.retain(|_, until| *until > now);
        let before = self.in_flight.len();
        self.in_flight.retain(|in_flight| {
            let change = &in_flight.change;
            let listed = searchers.iter().find(|searcher| searcher.identifier == change.identifier);
            let open = listed.is_some_and(|searcher| {
                searcher.stage == Some(change.from) && searcher.state != InstanceState::Draining
            });
            if open && now >= in_flight.until {
                self.excluded.insert(change.identifier.clone(), now + EXCLUSION_MS);
            }
            open && now < in_flight.until
        });
        if self.in_flight.len() < before {
            self.resting_until = self.resting_until.max(now + LOAD_SETTLING_MS);
        }
    }

    fn next_change(
        &mut self,
        now: Millis,
        engine: &Engine,
        load: &ServiceLoad,
        searchers: &[&Instance],
    ) -> Option<StageChange> {
        let ready = |stage| searchers.iter().filter(|searcher| is_ready(searcher, stage)).count();
        let (prefill, decode) = (ready(Stage::Prefill), ready(Stage::Decode));
        let to = self.stage_to_grow(engine, load, prefill, decode);
        let since = self.desired.filter(|(stage, _)| Some(*stage) == to).map_or(now, |(_, since)| since);
        self.desired = to.map(|stage| (stage, since));
        let to = to?;
        let reverses = self.last_change.filter(|(stage, _)| *stage != to).map(|(_, at)| at);
        let reverses_early = reverses.is_some_and(|at| {
            now < at + MIN_REVERSAL_INTERVAL_MS || now < since + MIN_REVERSAL_PERSISTENCE_MS
        });
        // What is under way already was wished for long enough.
        let persists = now >= since + MIN_PERSISTENCE_MS || !self.in_flight.is_empty();
        let most = ((searchers.len() as f64 * MAX_IN_FLIGHT_SHARE) as usize).max(1);
        let has_room = self.in_flight.len() < most && self.budget >= 1.0;
        if now < self.resting_until || reverses_early || !persists || !has_room {
            return None;
        }
        self.select_searcher(opposite(to), searchers)
    }

    /// The stage that should have one more searcher. Those under way count where they go.
    fn stage_to_grow(
        &self,
        engine: &Engine,
        load: &ServiceLoad,
        prefill: usize,
        decode: usize,
    ) -> Option<Stage> {
        if prefill == 0 || decode == 0 {
            return None;
        }
        let coming = |stage| self.in_flight.iter().filter(|in_flight| in_flight.change.to == stage).count();
        let (read, made) = (prefill + coming(Stage::Prefill), decode + coming(Stage::Decode));
        let demand = Demand::of(load, engine, prefill);
        let present = demand.pressure(read, made);
        let best = demand.best_prefill(read + made, read);
        let worthwhile =
            demand.pressure(best, read + made - best) <= present * MAX_PRESSURE_RATIO_AFTER_CHANGE;
        if present < MIN_PRESSURE_FOR_CHANGE || !worthwhile {
            return None;
        }
        let (to, left) = if best > read { (Stage::Prefill, decode) } else { (Stage::Decode, prefill) };
        // Those that come are of no use yet: the searchers that stay must bear the load meanwhile.
        let bears = match to {
            Stage::Prefill => {
                left > 1 && demand.decode <= (left - 1) as f64 * MAX_DECODE_UTILIZATION_DURING_SWITCH
            }
            Stage::Decode => left > 1,
        };
        (best != read && bears).then_some(to)
    }

    /// The searcher that leaves a stage: from the zone with the most of that stage, and the fewest of the other.
    fn select_searcher(&self, from: Stage, searchers: &[&Instance]) -> Option<StageChange> {
        let mut zones: BTreeMap<&str, [usize; 2]> = BTreeMap::new();
        for searcher in searchers.iter().filter(|searcher| searcher.state == InstanceState::Ready) {
            let counts = zones.entry(&searcher.zone).or_default();
            counts[usize::from(searcher.stage != Some(from))] += 1;
        }
        let may_leave = |searcher: &&&Instance| {
            is_ready(searcher, from)
                && !self.excluded.contains_key(&searcher.identifier)
                && !is_last_serving_a_model(searcher, from, searchers)
        };
        let by_zone = |searcher: &&&Instance| {
            let [same, others] = zones.get(searcher.zone.as_str()).copied().unwrap_or_default();
            (usize::MAX - same, others, searcher.cold_remaining_ms, searcher.identifier.clone())
        };
        let chosen = searchers.iter().filter(may_leave).min_by_key(by_zone)?;
        Some(StageChange {
            service: chosen.service.clone(),
            identifier: chosen.identifier.clone(),
            address: chosen.address.clone(),
            from,
            to: opposite(from),
        })
    }

    fn start_change(&mut self, now: Millis, engine: &Engine, list_lag_ms: Millis, change: &StageChange) {
        let until = now + engine.role_switch_ms + list_lag_ms + REQUEST_COMPLETION_ALLOWANCE_MS;
        self.in_flight.push(ChangeInFlight { change: change.clone(), until });
        self.last_change = Some((change.to, now));
        self.desired = None;
        self.budget -= 1.0;
    }
}

/// The most changes that a long rest earns.
fn budget_capacity(searchers: usize) -> f64 {
    (searchers as f64 * MAX_BUDGET_PER_SEARCHER).max(MIN_BUDGET_CAPACITY)
}

/// Whether enough proxies were heard for the load to mean something.
fn is_representative(load: &ServiceLoad, proxies: u32) -> bool {
    proxies > 0 && load.proxies.saturating_mul(2) >= proxies && load.requests_per_s > 0
}

fn is_ready(searcher: &Instance, stage: Stage) -> bool {
    searcher.stage == Some(stage) && searcher.state == InstanceState::Ready
}

/// Whether a model would be left without a searcher of the stage.
fn is_last_serving_a_model(searcher: &Instance, stage: Stage, searchers: &[&Instance]) -> bool {
    let others = searchers
        .iter()
        .filter(|other| is_ready(other, stage) && other.identifier != searcher.identifier)
        .flat_map(|other| other.models.iter().map(|model| model.name.as_str()));
    let served: BTreeSet<&str> = others.collect();
    searcher.models.iter().any(|model| !served.contains(model.name.as_str()))
}

fn opposite(stage: Stage) -> Stage {
    match stage {
        Stage::Prefill => Stage::Decode,
        Stage::Decode => Stage::Prefill,
    }
}

fn hundredths(number: u32) -> f64 {
    f64::from(number) / f64::from(HUNDREDTHS)
}
