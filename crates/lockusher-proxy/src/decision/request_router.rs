//! The request router: the entry points of all routing decisions.
//!
//! Owned by the proxy's shared state, one per process. Called for each request (`admit`, `should_split`, `choose`), for
//! each outcome, and for each new configuration, instance list and fleet size. It combines the other modules of
//! `decision` and draws the random numbers, one for each choice. Invariant: the same seed and calls give the same
//! choices.

use std::collections::HashMap;
use std::rc::Rc;

use lockusher_config::configuration::{Configuration, RouteKind};
use lockusher_config::instances::Instance;
use lockusher_distribution::load::ServiceLoad;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::budget::{ASSUMED_FLEET_SIZE, RetryBudget};
use super::interface::{Admission, Choice, RequestAttributes, RequestRouterSettings, SendTicket};
use super::load::LoadMeters;
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

/// A prefix that was sent to a searcher is assumed to stay cached for this multiple of the time within which a repeated
/// prefill incurs a cost.
const CACHE_RETENTION_FACTOR: u64 = 2;

/// The shortest `Retry-After`, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 50;

/// Clients abandon a stream without events after this multiple of the target latency, but not before the minimum.
const STREAM_TIMEOUT_TARGETS: u64 = 4;
const MIN_STREAM_TIMEOUT_MS: u64 = 2_000;

/// The lowest value of the `Priority` header, and the value that a request without the header has.
const LOWEST_PRIORITY: u8 = 9;
const DEFAULT_PRIORITY: u8 = 5;

/// The routing decisions of one proxy.
#[derive(Debug)]
pub struct RequestRouter {
    settings: RequestRouterSettings,
    rng: ChaCha8Rng,
    localities: LocalityRegistry,
    own_locality: Locality,
    /// The time of the first call, taken as the start of this process.
    started_at: Option<Micros>,
    /// The largest fleet size received by this process. It never decreases: a network partition makes other proxies
    /// appear to be gone.
    fleet_size: Option<u32>,
    services: Vec<Service>,
    service_indices: HashMap<String, usize>,
    sends_in_flight: HashMap<u64, SendRecord>,
    last_ticket: u64,
    load_meters: LoadMeters,
}

impl RequestRouter {
    /// Creates a router without searchers and configuration. The same seed and calls give the same choices.
    pub fn new(settings: RequestRouterSettings, seed: u64) -> Self {
        let mut localities = LocalityRegistry::new(settings.zones.clone());
        let own_locality = localities.locality(&settings.zone);
        RequestRouter {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            localities,
            own_locality,
            started_at: None,
            fleet_size: None,
            services: Vec::new(),
            service_indices: HashMap::new(),
            sends_in_flight: HashMap::new(),
            last_ticket: 0,
            load_meters: LoadMeters::default(),
        }
    }

    /// Size of the record of one searcher in bytes, excluding the strings of its instance.
    pub const fn searcher_bytes() -> usize {
        size_of::<Searcher>()
    }

    /// Applies a new configuration.
    pub fn apply_configuration(&mut self, now: Micros, configuration: Rc<Configuration>) {
        for service in &configuration.services {
            let index = self.service_index(now, &service.name);
            self.services[index].engine.clone_from(&service.engine);
        }
    }

    /// Applies the complete list of searchers.
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
            service.apply_instances(now, listed, &mut self.localities, self.own_locality);
        }
    }

    /// Sets the number of proxies that share the fleet's budgets.
    pub fn set_fleet_size(&mut self, proxies: u32) {
        self.fleet_size = Some(self.fleet_size.unwrap_or(1).max(proxies));
    }

    /// Admits or refuses a request, and counts it for the retry budget.
    pub fn admit(&mut self, now: Micros, request: &RequestAttributes) -> Admission {
        let service = self.service_index(now, &request.service);
        self.services[service].budget.record_request(now);
        self.load_meters.record_request(service);
        if request.remaining_ms == 0 {
            return Admission::Refused {
                retry_after_ms: MIN_RETRY_AFTER_MS,
            };
        }
        let admission = &mut self.services[service].admission;
        let Some(waiting_permit) = admission.try_admit(now, request.priority) else {
            let retry_after_ms = admission
                .estimated_wait_ms(now)
                .min(request.remaining_ms / 3)
                .max(MIN_RETRY_AFTER_MS);
            return Admission::Refused { retry_after_ms };
        };
        let prefixes = prefixes(&request.prompt);
        let named_tokens = prefixes.last().map_or(0, |prefix| prefix.tokens);
        Admission::Admitted(RequestPlan {
            service,
            prefixes,
            prompt_tokens: named_tokens.max(request.prompt_tokens),
            is_idempotent: request.is_idempotent,
            priority: request.priority,
            attempts: request.attempts.max(1),
            target_latency: request.target_latency_ms * MICROS_PER_MS,
            deadline: now + request.remaining_ms * MICROS_PER_MS,
            prefill_locality: None,
            progress: Rc::new(Progress::new(
                now,
                client_timeout_ms(request) * MICROS_PER_MS,
                waiting_permit,
            )),
        })
    }

    /// Whether to prefill the prompt at a prefill searcher first; otherwise `choose` is called with `Purpose::Whole`.
    pub fn should_split(&self, now: Micros, plan: &RequestPlan) -> bool {
        let service = &self.services[plan.service];
        if !plan.has_attempt_left(Purpose::Prefill) || !service.kv_transfers.are_allowed(now) {
            return false;
        }
        let has_searchers = |kind: GroupKind| !service.group(kind).candidates.is_empty();
        if !has_searchers(GroupKind::Prefill) || !has_searchers(GroupKind::Decode) {
            return false;
        }
        let prefill = self.select_searcher(now, plan, Purpose::Prefill, 0);
        let in_place = self.select_searcher(now, plan, Purpose::Whole, 0);
        match (prefill, in_place) {
            (Some(prefill), Some(in_place)) => {
                let (prompt_tokens, target_latency) = (plan.prompt_tokens, plan.target_latency);
                let candidates = SplitCandidates {
                    prompt_tokens,
                    target_latency,
                    prefill: &prefill,
                    in_place: &in_place,
                };
                is_split_cheaper(service, &candidates)
            }
            (prefill, _) => prefill.is_some(),
        }
    }

    /// Whether a handle that a decode searcher rejected may be sent to another one; otherwise the complete request is
    /// sent to a decode searcher.
    pub fn may_transfer_again(&self, now: Micros, plan: &RequestPlan) -> bool {
        plan.may_transfer_again() && self.services[plan.service].kv_transfers.are_allowed(now)
    }

    /// Chooses the searcher for the next send of a request.
    pub fn choose(&mut self, now: Micros, plan: &mut RequestPlan, purpose: Purpose) -> Choice {
        if plan.forbids(now, purpose) {
            return Choice::Exhausted;
        }
        let kind = self.services[plan.service].kind(purpose);
        self.services[plan.service].refresh_peers(now, kind);
        let tie_breaker = self.rng.random();
        let Some(selected) = self.select_searcher(now, plan, purpose, tie_breaker) else {
            return Choice::Unavailable {
                retry_after_ms: self.retry_after_ms(now, plan),
            };
        };
        let fleet_size = self.fleet_size.unwrap_or(ASSUMED_FLEET_SIZE);
        let mut charge = None;
        if plan.is_retry() {
            charge = self.services[plan.service].budget.charge(now, fleet_size);
            if charge.is_none() {
                return Choice::Exhausted;
            }
        }
        let priority = self.priority(plan, purpose, selected.expected_tokens);
        let ticket = self.allocate_ticket();
        let attempt_kind = plan.attempt_kind(purpose);
        plan.progress.record_send(purpose, attempt_kind);
        let service = &mut self.services[plan.service];
        service
            .searcher_mut(selected.searcher)
            .record_send(now, ticket);
        service
            .prefix_cache
            .record(now, selected.searcher, &plan.prefixes);
        if purpose == Purpose::Prefill {
            service.kv_transfers.record_prefill(now);
        }
        let searcher = service.searcher(selected.searcher);
        if purpose == Purpose::Prefill {
            plan.prefill_locality = Some(searcher.locality);
        }
        let record = SendRecord {
            service: plan.service,
            searcher: selected.searcher,
            hash: searcher.hash,
            purpose,
            sent_at: now,
            expected_tokens: selected.expected_tokens,
            expected_micros: selected.expected_micros,
            delay_before_send: now.saturating_sub(plan.progress.admitted_at),
            target_latency: plan.target_latency,
            tokens_upper_bound: selected.tokens_upper_bound,
            attempt_kind,
            cache_holder: plan
                .progress
                .cache_holder
                .get()
                .filter(|_| purpose == Purpose::Decode),
            has_response: false,
            charge,
            progress: Rc::clone(&plan.progress),
        };
        self.load_meters.record_send(now, &record);
        self.sends_in_flight.insert(ticket, record);
        Choice::Send {
            identifier: searcher.instance.identifier.clone(),
            address: searcher.instance.address.clone(),
            zone: searcher.instance.zone.clone(),
            ticket: SendTicket(ticket),
            priority,
        }
    }

    /// The value of `Priority`: shorter prefills before longer ones, all other sends by the route's priority.
    fn priority(&self, plan: &RequestPlan, purpose: Purpose, tokens: u32) -> u8 {
        match purpose {
            Purpose::Prefill => {
                let mean_tokens = self.services[plan.service]
                    .service_time(purpose)
                    .mean_tokens();
                prefill_priority(f64::from(tokens), mean_tokens)
            }
            Purpose::Whole | Purpose::Decode => plan.priority.min(LOWEST_PRIORITY),
        }
    }

    /// Records an outcome of a send. A second final outcome of the same send is ignored.
    pub fn record_outcome(&mut self, now: Micros, ticket: SendTicket, outcome: SendOutcome) {
        if outcome == SendOutcome::FirstEvent {
            self.record_first_event(now, ticket);
            return;
        }
        let Some(record) = self.sends_in_flight.remove(&ticket.0) else {
            return;
        };
        self.load_meters.record_end(now, &record);
        trace::log_outcome(now, &record, outcome);
        let charge_outcome = record.progress.record_end(&record, outcome);
        let service = &mut self.services[record.service];
        if let (ChargeOutcome::Refunded, Some(charge)) = (charge_outcome, record.charge) {
            service.budget.refund(charge);
        }
        if service.searcher(record.searcher).hash != record.hash {
            return;
        }
        service.searcher_mut(record.searcher).record_end(ticket.0);
        // After the first event the elapsed time carries no new information, but a failure is still recorded.
        let elapsed = (!record.has_response).then(|| now.saturating_sub(record.sent_at));
        if !record.has_response
            || !matches!(outcome, SendOutcome::Answered | SendOutcome::Cancelled)
        {
            service.record_outcome(now, &record, outcome, elapsed);
        }
        if !service.is_handle_likely_gone(now, &record) {
            record.progress.rejected_transfer.set(None);
        }
        service.release_slot(record.searcher);
    }

    /// The value of `Retry-After` in milliseconds for a request that isn't accepted now.
    pub fn retry_after_ms(&self, now: Micros, plan: &RequestPlan) -> u64 {
        let service = &self.services[plan.service];
        let remaining_ms = plan.deadline.saturating_sub(now) / MICROS_PER_MS;
        let service_time = service.service_time(Purpose::Whole);
        let expected_ms = if service_time.is_reliable() {
            service_time.predict(f64::from(plan.prompt_tokens)) / 1e3
        } else {
            0.0
        };
        (expected_ms as u64)
            .min(remaining_ms / 3)
            .max(MIN_RETRY_AFTER_MS)
    }

    /// The searcher counts of a service, for the log; `None` if the service is unknown.
    pub fn searcher_counts(&self, now: Micros, service: &str) -> Option<SearcherCounts> {
        let index = self.service_indices.get(service)?;
        Some(self.services[*index].searcher_counts(now))
    }

    /// The load that this proxy has put on each service with an inference engine since the last call; `None` if the
    /// last call was too recent.
    pub fn take_loads(&mut self, now: Micros) -> Option<Vec<ServiceLoad>> {
        let services = &self.services;
        self.load_meters.take(now, |index| {
            services[index]
                .engine
                .as_ref()
                .map(|_| services[index].name.as_str())
        })
    }

    fn record_first_event(&mut self, now: Micros, ticket: SendTicket) {
        let Some(record) = self.sends_in_flight.get_mut(&ticket.0) else {
            return;
        };
        if std::mem::replace(&mut record.has_response, true) {
            return;
        }
        self.load_meters.record_first_event(now, record);
        trace::log_outcome(now, record, SendOutcome::FirstEvent);
        let service = &mut self.services[record.service];
        if service.searcher(record.searcher).hash != record.hash {
            return;
        }
        service
            .searcher_mut(record.searcher)
            .record_response(ticket.0);
        let elapsed = Some(now.saturating_sub(record.sent_at));
        service.record_outcome(now, record, SendOutcome::FirstEvent, elapsed);
    }

    fn select_searcher(
        &self,
        now: Micros,
        plan: &RequestPlan,
        purpose: Purpose,
        tie_breaker: u64,
    ) -> Option<SelectedSearcher> {
        let service = &self.services[plan.service];
        let cache_retention =
            CACHE_RETENTION_FACTOR * self.settings.repeated_prefill_window_ms * MICROS_PER_MS;
        let tried = plan.progress.tried.borrow();
        let criteria = SelectionCriteria {
            purpose,
            required: plan.same_searcher(purpose),
            prefixes: &plan.prefixes,
            prompt_tokens: plan.prompt_tokens,
            tried: &tried,
            transfer_source: if purpose == Purpose::Decode {
                plan.prefill_locality
            } else {
                None
            },
            is_retryable: plan.is_idempotent
                && plan.attempts > plan.progress.attempts_used.get() + 1,
            cached_since: now.saturating_sub(cache_retention),
            tie_breaker,
        };
        select(service, service.kind(purpose), now, &criteria)
    }

    fn allocate_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    fn service_index(&mut self, now: Micros, name: &str) -> usize {
        if let Some(index) = self.service_indices.get(name) {
            return *index;
        }
        let started_at = *self.started_at.get_or_insert(now);
        let window = self.settings.budget_window_ms * MICROS_PER_MS;
        let (ratio, slack) = (
            self.settings.retry_budget_ratio,
            self.settings.retry_budget_slack,
        );
        self.services.push(Service::new(
            name,
            RetryBudget::new(started_at, window, ratio, slack),
        ));
        self.service_indices
            .insert(name.to_owned(), self.services.len() - 1);
        self.services.len() - 1
    }
}

/// The `Priority` of a prefill of `tokens` tokens: the default at the mean number of tokens, and one step more or less
/// for each doubling or halving.
fn prefill_priority(tokens: f64, mean_tokens: f64) -> u8 {
    if mean_tokens <= 0.0 {
        return DEFAULT_PRIORITY;
    }
    let steps = (tokens.max(1.0) / mean_tokens).log2().round();
    (f64::from(DEFAULT_PRIORITY) + steps).clamp(0.0, f64::from(LOWEST_PRIORITY)) as u8
}

/// The time in milliseconds after which a client abandons a request without any response. Clients of streams don't wait
/// for their deadline.
fn client_timeout_ms(request: &RequestAttributes) -> u64 {
    let timeout = MIN_STREAM_TIMEOUT_MS.max(STREAM_TIMEOUT_TARGETS * request.target_latency_ms);
    match request.kind {
        RouteKind::Streaming => request.remaining_ms.min(timeout),
        RouteKind::Idempotent | RouteKind::NonIdempotent => request.remaining_ms,
    }
}
