//! UNASKED, TWICE and BUDGET, and KV handles of other requests (MIXED): checks what searchers received.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use super::{Evidence, Index, Rule, Verdict};
use crate::engine::Micros;
use crate::record::{Arrival, ArrivalOutcome};
use crate::request::TryRecord;

/// Checks every arrival, every try and the retry budgets.
pub(super) fn check(evidence: &Evidence, index: &Index<'_>, verdict: &mut Verdict) {
    for arrival in &evidence.arrivals {
        check_unasked(arrival, index, verdict);
        let uses_foreign_handle = arrival
            .prompt_owner
            .as_ref()
            .is_some_and(|owner| *owner != arrival.request_id);
        if uses_foreign_handle {
            verdict.add(
                Rule::Mixed,
                &arrival.request_id,
                format!(
                    "Kv-From names the prompt of request {:?}",
                    arrival.prompt_owner
                ),
            );
        }
    }
    for record in &evidence.tries {
        check_try(record, index, verdict);
    }
    check_retry_budgets(evidence, verdict);
}

fn check_unasked(arrival: &Arrival, index: &Index<'_>, verdict: &mut Verdict) {
    let id = arrival.request_id.as_str();
    let Some(record) = index.tries.get(id) else {
        verdict.add(
            Rule::Unasked,
            id,
            format!(
                "{} received a request that no client sent",
                arrival.instance
            ),
        );
        return;
    };
    let unchanged = record.spec.method == arrival.method
        && record.spec.target == arrival.target
        && record.body_digest == arrival.body_digest;
    if !unchanged {
        verdict.add(
            Rule::Unasked,
            id,
            format!(
                "method, target or body changed on the way to {}",
                arrival.instance
            ),
        );
    }
}

fn check_try(record: &TryRecord, index: &Index<'_>, verdict: &mut Verdict) {
    let runs = index.runs_of(&record.request_id).count();
    if runs > 1 && !record.spec.is_idempotent {
        verdict.add(Rule::Twice, &record.request_id, format!("ran {runs} times"));
    }
    let searchers: BTreeSet<&str> = index
        .runs_of(&record.request_id)
        .map(|(arrival, _)| arrival.instance.as_str())
        .collect();
    if searchers.len() > record.spec.attempts as usize {
        let detail = format!(
            "ran on {} searchers, {} allowed",
            searchers.len(),
            record.spec.attempts
        );
        verdict.add(Rule::Budget, &record.request_id, detail);
    }
}

/// When a service received arrivals after the first of each request (retries), and when clients sent requests for it.
#[derive(Default)]
struct ServiceLoad {
    retries: Vec<Micros>,
    requests: Vec<Micros>,
}

/// Checks the retry budget of each service, summed over all machines, in every window.
fn check_retry_budgets(evidence: &Evidence, verdict: &mut Verdict) {
    for (service, load) in service_loads(evidence) {
        for end in &load.retries {
            let bounds = &evidence.bounds;
            let window = bounds.budget_window;
            let retries = count_within(&load.retries, end.saturating_sub(window), *end);
            let requests = max_requests(&load.requests, *end, window);
            let allowed = bounds.retry_budget_ratio * requests as f64 + bounds.retry_budget_slack;
            if retries as f64 > allowed {
                verdict.add(
                    Rule::Budget,
                    "",
                    format!("{service} received {retries} retries, {allowed:.1} allowed"),
                );
                break;
            }
        }
    }
}

/// Collects the load of each service. The first accepted prefill of a request is not a retry.
fn service_loads(evidence: &Evidence) -> BTreeMap<String, ServiceLoad> {
    let mut service_loads: BTreeMap<String, ServiceLoad> = BTreeMap::new();
    let mut counted = HashSet::new();
    let mut prefilled = HashSet::new();
    let mut arrivals: Vec<&Arrival> = evidence.arrivals.iter().collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    for arrival in arrivals {
        let key = (arrival.service.as_str(), arrival.request_id.as_str());
        let is_first_prefill =
            arrival.prefill_only && is_accepted(arrival) && prefilled.insert(key);
        if !is_first_prefill && !counted.insert(key) {
            service_loads
                .entry(arrival.service.clone())
                .or_default()
                .retries
                .push(arrival.at);
        }
    }
    for record in &evidence.tries {
        for service in services_of(evidence, &record.spec.host, &record.spec.target) {
            service_loads
                .entry(service)
                .or_default()
                .requests
                .push(record.sent);
        }
    }
    for load in service_loads.values_mut() {
        load.requests.sort_unstable();
    }
    service_loads
}

fn is_accepted(arrival: &Arrival) -> bool {
    !matches!(arrival.outcome, ArrivalOutcome::Rejected { .. })
}

/// Returns every service that some configuration routes a host and path to.
fn services_of(evidence: &Evidence, host: &str, target: &str) -> BTreeSet<String> {
    let sent = evidence.changes.iter().map(|change| &change.configuration);
    sent.flat_map(|configuration| super::changes::services_for(configuration, host, target))
        .collect()
}

/// Returns the highest count of requests in the window that ends at `end`, the one before it and the one that ends
/// half a window earlier.
fn max_requests(requests: &[Micros], end: Micros, window: Micros) -> usize {
    let ends = [
        end,
        end.saturating_sub(window),
        end.saturating_sub(window / 2),
    ];
    ends.iter()
        .map(|end| count_within(requests, end.saturating_sub(window), *end))
        .max()
        .unwrap_or(0)
}

/// Counts the sorted times within a span, its ends included.
fn count_within(times: &[Micros], from: Micros, to: Micros) -> usize {
    times.partition_point(|at| *at <= to) - times.partition_point(|at| *at < from)
}
