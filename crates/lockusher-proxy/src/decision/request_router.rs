//! The request router: the entry points of all decisions.
//!
//! Owned by the proxy's shared state, one for each process; called for each request (`admit`, `split`, `choose`), for each
//! outcome, and for each new configuration, instance list and fleet size. It joins the modules beside it and draws the
//! random numbers, one for each choice. Invariant: the same seed and calls give the same choices.

use std::collections::HashMap;
use std::rc::Rc;

use lockusher_config::configuration::{Configuration, RouteKind};
use lockusher_config::instances::Instance;
use lockusher_distribution::load::ServiceLoad;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::budget::{ASSUMED_PROXIES, RetryBudget};
use super::interface::{Admission, Choice, RequestFacts, RequestRouterSettings, SendTicket};
use super::load::Loads;
use super::locality::{Locality, LocalityRegistry};
use super::plan::{ChargeOutcome, Progress, RequestPlan, SendRecord};
use super::prefix_cache::prefixes;
use super::searcher::Searcher;
use super::selection::{SelectedSearcher, SelectionCriteria, select};
use super::service::{GroupKind, Service};
use super::split::{SplitCandidates, is_split_cheaper};
use super::trace;
use super::types::{MICROS_PER_MS, Micros, Purpose, SendOutcome};
use crate::unserved::SearcherCounts;

/// What a searcher was sent is taken to be there still for so many times the span in which a second reading is
/// priced.
const CACHE_RETENTION_SPANS: u64 = 2;

/// The shortest `Retry-After`, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 50;

/// Clients give a silent stream up after so many target latencies, but not before this time.
const STREAM_PATIENCE_TARGETS: u64 = 4;
const MIN_STREAM_PATIENCE_MS: u64 = 2_000;

/// The lowest rank that `Priority` can name, and that of a request without it.
const LOWEST_PRIORITY: u8 = 9;
const MIDDLE_PRIORITY: u8 = 5;

/// All decisions of one proxy.
#[derive(Debug)]
pub struct RequestRouter {
    settings: RequestRouterSettings,
    random: ChaCha8Rng,
    localities: LocalityRegistry,
    own_locality: Locality,
    /// The time of the first call: the start of this process.
    started: Option<Micros>,
    /// The largest number of proxies received by this process. A partition makes the others seem gone: it never shrinks.
    fleet: Option<u32>,
    services: Vec<Service>,
    by_name: HashMap<String, usize>,
    sends: HashMap<u64, SendRecord>,
    next_ticket: u64,
    loads: Loads,
}

impl RequestRouter {
    /// A router that knows no searcher and no configuration yet. The same seed and calls give the same choices.
    pub fn new(settings: RequestRouterSettings, seed: u64) -> Self {
        let mut localities = LocalityRegistry::new(settings.zones.clone());
        let own_locality = localities.locality(&settings.zone);
        RequestRouter {
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            localities,
            own_locality,
            started: None,
            fleet: None,
            services: Vec::new(),
            by_name: HashMap::new(),
            sends: HashMap::new(),
            next_ticket: 0,
            loads: Loads::default(),
        }
    }

    /// Bytes that the record of one searcher takes, besides the texts of its entry in the list.
    pub const fn searcher_bytes() -> usize {
        size_of::<Searcher>()
    }

    /// Takes a new configuration.
    pub fn apply_configuration(&mut self, now: Micros, configuration: Rc<Configuration>) {
        for service in &configuration.services {
            let index = self.service_index(now, &service.name);
            self.services[index].engine.clone_from(&service.engine);
        }
    }

    /// Takes the complete list of searchers.
    pub fn apply_instances(&mut self, now: Micros, instances: &[Instance]) {
        let mut by_service: HashMap<&str, Vec<&Instance>> = HashMap::new();
        for instance in instances {
            by_service
                .entry(&instance.service)
                .or_default()
                .push(instance);
        }
        for name in by_service.keys() {
            self.service_index(now, name);
        }
        for service in &mut self.services {
            let listed = by_service
                .get(service.name.as_str())
                .map_or(&[][..], Vec::as_slice);
            service.apply(now, listed, &mut self.localities, self.own_locality);
        }
    }

    /// Takes the number of proxies that share the fleet's budgets.
    pub fn set_fleet_size(&mut self, proxies: u32) {
        self.fleet = Some(self.fleet.unwrap_or(1).max(proxies));
    }

    /// Whether to take a request at all. Counts it for the retry budget.
    pub fn admit(&mut self, now: Micros, request: &RequestFacts) -> Admission {
        let service = self.service_index(now, &request.service);
        self.services[service].budget.record_request(now);
        self.loads.request(service);
        if request.remaining_ms == 0 {
            return Admission::Refuse {
                retry_after_ms: MIN_RETRY_AFTER_MS,
            };
        }
        let admission = &mut self.services[service].admission;
        let Some(waiting) = admission.try_admit(now, request.priority) else {
            let retry_after_ms = admission
                .wait_ms(now)
                .min(request.remaining_ms / 3)
                .max(MIN_RETRY_AFTER_MS);
            return Admission::Refuse { retry_after_ms };
        };
        let prefixes = prefixes(&request.prompt);
        let named = prefixes.last().map_or(0, |prefix| prefix.tokens);
        Admission::Go(RequestPlan {
            service,
            prefixes,
            tokens: named.max(request.tokens_in),
            is_idempotent: request.is_idempotent,
            priority: request.priority,
            attempts: request.attempts.max(1),
            target: request.target_latency_ms * MICROS_PER_MS,
            deadline: now + request.remaining_ms * MICROS_PER_MS,
            source: None,
            progress: Rc::new(Progress::new(
                now,
                client_patience_ms(request) * MICROS_PER_MS,
                waiting,
            )),
        })
    }

    /// Whether a prefill searcher reads the prompt first; else `choose` for `Purpose::Whole`.
    pub fn split(&self, now: Micros, plan: &RequestPlan) -> bool {
        let service = &self.services[plan.service];
        if !plan.has_attempt(Purpose::Prefill) || !service.kv_transfers.are_allowed(now) {
            return false;
        }
        let has = |kind: GroupKind| !service.group(kind).candidates.is_empty();
        if !has(GroupKind::Prefill) || !has(GroupKind::Decode) {
            return false;
        }
        let prefill = self.select_searcher(now, plan, Purpose::Prefill, 0);
        let whole = self.select_searcher(now, plan, Purpose::Whole, 0);
        match (prefill, whole) {
            (Some(prefill), Some(whole)) => {
                let (tokens, target) = (plan.tokens, plan.target);
                let choice = SplitCandidates {
                    tokens,
                    target,
                    prefill: &prefill,
                    whole: &whole,
                };
                is_split_cheaper(service, &choice)
            }
            (prefill, _) => prefill.is_some(),
        }
    }

    /// Whether KV cache that one decode searcher rejected may be offered to another; else the whole request goes
    /// to a decode searcher.
    pub fn may_transfer_again(&self, now: Micros, plan: &RequestPlan) -> bool {
        plan.may_transfer_again() && self.services[plan.service].kv_transfers.are_allowed(now)
    }

    /// The searcher for the next send of a request.
    pub fn choose(&mut self, now: Micros, plan: &mut RequestPlan, purpose: Purpose) -> Choice {
        if plan.forbids(now, purpose) {
            return Choice::Exhausted;
        }
        let kind = self.services[plan.service].kind(purpose);
        self.services[plan.service].refresh_peers(now, kind);
        let tie_breaker = self.random.random();
        let Some(selected) = self.select_searcher(now, plan, purpose, tie_breaker) else {
            return Choice::Refuse {
                retry_after_ms: self.retry_after_ms(now, plan),
            };
        };
        let fleet = self.fleet.unwrap_or(ASSUMED_PROXIES);
        let mut charge = None;
        if plan.is_retry() {
            charge = self.services[plan.service].budget.charge(now, fleet);
            if charge.is_none() {
                return Choice::Exhausted;
            }
        }
        let priority = self.priority(plan, purpose, selected.tokens);
        let ticket = self.take_ticket();
        let counting = plan.counting(purpose);
        plan.progress.sent(purpose, counting);
        let service = &mut self.services[plan.service];
        service.searcher_mut(selected.searcher).sent(now, ticket);
        service
            .prefix_cache
            .record(now, selected.searcher, &plan.prefixes);
        if purpose == Purpose::Prefill {
            service.kv_transfers.started(now);
        }
        let searcher = service.searcher(selected.searcher);
        if purpose == Purpose::Prefill {
            plan.source = Some(searcher.locality);
        }
        let record = SendRecord {
            service: plan.service,
            searcher: selected.searcher,
            hash: searcher.hash,
            purpose,
            sent: now,
            tokens: selected.tokens,
            expected: selected.expected,
            waited: now.saturating_sub(plan.progress.admitted),
            target: plan.target,
            tokens_upper_bound: selected.tokens_upper_bound,
            counting,
            holder: plan
                .progress
                .holder
                .get()
                .filter(|_| purpose == Purpose::Decode),
            has_response: false,
            charge,
            progress: Rc::clone(&plan.progress),
        };
        self.loads.sent(now, &record);
        self.sends.insert(ticket, record);
        Choice::Send {
            identifier: searcher.instance.identifier.clone(),
            address: searcher.instance.address.clone(),
            zone: searcher.instance.zone.clone(),
            ticket: SendTicket(ticket),
            priority,
        }
    }

    /// The value of `Priority`: short readings go before long ones, all else by the route's rank.
    fn priority(&self, plan: &RequestPlan, purpose: Purpose, tokens: u32) -> u8 {
        match purpose {
            Purpose::Prefill => {
                let usual = self.services[plan.service]
                    .service_time(purpose)
                    .mean_tokens();
                prefill_priority(f64::from(tokens), usual)
            }
            Purpose::Whole | Purpose::Decode => plan.priority.min(LOWEST_PRIORITY),
        }
    }

    /// Takes what became of a send. A second final outcome of a send is ignored.
    pub fn outcome(&mut self, now: Micros, ticket: SendTicket, outcome: SendOutcome) {
        if outcome == SendOutcome::FirstEvent {
            self.first_event(now, ticket);
            return;
        }
        let Some(record) = self.sends.remove(&ticket.0) else {
            return;
        };
        self.loads.ended(now, &record);
        trace::log_end(now, &record, outcome);
        let charge_outcome = record.progress.ended(&record, outcome);
        let service = &mut self.services[record.service];
        if let (ChargeOutcome::Refunded, Some(charge)) = (charge_outcome, record.charge) {
            service.budget.refund(charge);
        }
        if service.searcher(record.searcher).hash != record.hash {
            return;
        }
        service.searcher_mut(record.searcher).ended(ticket.0);
        // After a first event the time says nothing new, but a failure counts as such.
        let elapsed = (!record.has_response).then(|| now.saturating_sub(record.sent));
        if !record.has_response
            || !matches!(outcome, SendOutcome::Answered | SendOutcome::Cancelled)
        {
            service.learn(now, &record, outcome, elapsed);
        }
        if !service.is_handle_likely_gone(now, &record) {
            record.progress.rejected_transfer.set(None);
        }
        service.reuse(record.searcher);
    }

    /// When a client should come back whose request isn't taken now, in milliseconds.
    pub fn retry_after_ms(&self, now: Micros, plan: &RequestPlan) -> u64 {
        let service = &self.services[plan.service];
        let left = plan.deadline.saturating_sub(now) / MICROS_PER_MS;
        let service_time = service.service_time(Purpose::Whole);
        let usual = if service_time.is_known() {
            service_time.usual(f64::from(plan.tokens)) / 1e3
        } else {
            0.0
        };
        (usual as u64).min(left / 3).max(MIN_RETRY_AFTER_MS)
    }

    /// The searchers of a service, for the log; none if the service isn't known.
    pub fn searcher_counts(&self, now: Micros, service: &str) -> Option<SearcherCounts> {
        let index = self.by_name.get(service)?;
        Some(self.services[*index].searcher_counts(now))
    }

    /// The load that this proxy has put on each service with an inference engine since the last call; nothing if that
    /// was just before.
    pub fn take_loads(&mut self, now: Micros) -> Option<Vec<ServiceLoad>> {
        let services = &self.services;
        self.loads.take(now, |index| {
            services[index]
                .engine
                .as_ref()
                .map(|_| services[index].name.as_str())
        })
    }

    fn first_event(&mut self, now: Micros, ticket: SendTicket) {
        let Some(record) = self.sends.get_mut(&ticket.0) else {
            return;
        };
        if std::mem::replace(&mut record.has_response, true) {
            return;
        }
        self.loads.first_event(now, record);
        trace::log_end(now, record, SendOutcome::FirstEvent);
        let service = &mut self.services[record.service];
        if service.searcher(record.searcher).hash != record.hash {
            return;
        }
        service.searcher_mut(record.searcher).responded(ticket.0);
        let elapsed = Some(now.saturating_sub(record.sent));
        service.learn(now, record, SendOutcome::FirstEvent, elapsed);
    }

    fn select_searcher(
        &self,
        now: Micros,
        plan: &RequestPlan,
        purpose: Purpose,
        tie_breaker: u64,
    ) -> Option<SelectedSearcher> {
        let service = &self.services[plan.service];
        let cache_retention = CACHE_RETENTION_SPANS * self.settings.again_ms * MICROS_PER_MS;
        let tried = plan.progress.tried.borrow();
        let criteria = SelectionCriteria {
            purpose,
            only: plan.same_searcher(purpose),
            prefixes: &plan.prefixes,
            tokens: plan.tokens,
            tried: &tried,
            source: if purpose == Purpose::Decode {
                plan.source
            } else {
                None
            },
            is_retryable: plan.is_idempotent && plan.attempts > plan.progress.counted.get() + 1,
            cached_since: now.saturating_sub(cache_retention),
            tie_breaker,
        };
        select(service, service.kind(purpose), now, &criteria)
    }

    fn take_ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    fn service_index(&mut self, now: Micros, name: &str) -> usize {
        if let Some(index) = self.by_name.get(name) {
            return *index;
        }
        let started = *self.started.get_or_insert(now);
        let window = self.settings.budget_window_ms * MICROS_PER_MS;
        let (ratio, slack) = (
            self.settings.retry_budget_ratio,
            self.settings.retry_budget_slack,
        );
        self.services.push(Service::new(
            name,
            RetryBudget::new(started, window, ratio, slack),
        ));
        self.by_name
            .insert(name.to_owned(), self.services.len() - 1);
        self.services.len() - 1
    }
}

/// `Priority` of a prompt with so many tokens to read where a mean of `usual` is read: the middle for one like that, and
/// a step for each doubling.
fn prefill_priority(tokens: f64, usual: f64) -> u8 {
    if usual <= 0.0 {
        return MIDDLE_PRIORITY;
    }
    let steps = (tokens.max(1.0) / usual).log2().round();
    (f64::from(MIDDLE_PRIORITY) + steps).clamp(0.0, f64::from(LOWEST_PRIORITY)) as u8
}

/// The time in milliseconds after which a client gives a request up that it has heard nothing of. Clients of
/// streams don't wait for their deadline.
fn client_patience_ms(request: &RequestFacts) -> u64 {
    let patience = MIN_STREAM_PATIENCE_MS.max(STREAM_PATIENCE_TARGETS * request.target_latency_ms);
    match request.kind {
        RouteKind::Streaming => request.remaining_ms.min(patience),
        RouteKind::Idempotent | RouteKind::NonIdempotent => request.remaining_ms,
    }
}
