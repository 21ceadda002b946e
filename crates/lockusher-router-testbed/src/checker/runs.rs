//! UNASKED, TWICE and BUDGET, and handles of other requests (MIXED): what searchers were asked.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use super::{Evidence, Index, Rule, Verdict};
use crate::engine::Micros;
use crate::record::{Arrival, ArrivalOutcome};
use crate::request::TryRecord;

pub(super) fn check(evidence: &Evidence, index: &Index<'_>, verdict: &mut Verdict) {
    for arrival in &evidence.arrivals {
        check_asked(arrival, index, verdict);
        let continues_another = arrival
            .continues
            .as_ref()
            .is_some_and(|owner| *owner != arrival.request_id);
        if continues_another {
            verdict.add(
                Rule::Mixed,
                &arrival.request_id,
                format!("continues from the handle of {:?}", arrival.continues),
            );
        }
    }
    for one in &evidence.tries {
        check_try(one, index, verdict);
    }
    check_windows(evidence, verdict);
}

fn check_asked(arrival: &Arrival, index: &Index<'_>, verdict: &mut Verdict) {
    let id = arrival.request_id.as_str();
    let Some(one) = index.tries.get(id) else {
        verdict.add(
            Rule::Unasked,
            id,
            format!("{} got a request that no client sent", arrival.instance),
        );
        return;
    };
    let unchanged = one.spec.method == arrival.method
        && one.spec.target == arrival.target
        && one.body_digest == arrival.body_digest;
    if !unchanged {
        verdict.add(
            Rule::Unasked,
            id,
            format!("changed on its way to {}", arrival.instance),
        );
    }
}

fn check_try(one: &TryRecord, index: &Index<'_>, verdict: &mut Verdict) {
    let runs = index.runs_of(&one.request_id).count();
    if runs > 1 && !one.spec.is_idempotent {
        verdict.add(Rule::Twice, &one.request_id, format!("ran {runs} times"));
    }
    let searchers: BTreeSet<&str> = index
        .runs_of(&one.request_id)
        .map(|(arrival, _)| arrival.instance.as_str())
        .collect();
    if searchers.len() > one.spec.attempts as usize {
        let detail = format!(
            "ran on {} searchers, {} allowed",
            searchers.len(),
            one.spec.attempts
        );
        verdict.add(Rule::Budget, &one.request_id, detail);
    }
}

/// Times at which a service got arrivals beyond the first of each request, and requests for it.
#[derive(Default)]
struct ServiceLoad {
    extra: Vec<Micros>,
    requests: Vec<Micros>,
}

/// The retry budget over all machines in every window.
fn check_windows(evidence: &Evidence, verdict: &mut Verdict) {
    for (service, load) in loads(evidence) {
        for end in &load.extra {
            let bounds = &evidence.bounds;
            let window = bounds.budget_window;
            let extra = count_within(&load.extra, end.saturating_sub(window), *end);
            let requests = most_requests(&load.requests, *end, window);
            let allowed = bounds.retry_budget_ratio * requests as f64 + bounds.retry_budget_slack;
            if extra as f64 > allowed {
                verdict.add(
                    Rule::Budget,
                    "",
                    format!("{service} got {extra} further arrivals, {allowed:.1} allowed"),
                );
                break;
            }
        }
    }
}

fn loads(evidence: &Evidence) -> BTreeMap<String, ServiceLoad> {
    let mut loads: BTreeMap<String, ServiceLoad> = BTreeMap::new();
    let mut seen = HashSet::new();
    let mut prefilled = HashSet::new();
    let mut arrivals: Vec<&Arrival> = evidence.arrivals.iter().collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    for arrival in arrivals {
        let key = (arrival.service.as_str(), arrival.request_id.as_str());
        let is_first_prefill =
            arrival.prefill_only && is_taken_up(arrival) && prefilled.insert(key);
        if !is_first_prefill && !seen.insert(key) {
            loads
                .entry(arrival.service.clone())
                .or_default()
                .extra
                .push(arrival.at);
        }
    }
    for one in &evidence.tries {
        for service in services_of(evidence, &one.spec.host, &one.spec.target) {
            loads.entry(service).or_default().requests.push(one.sent);
        }
    }
    for load in loads.values_mut() {
        load.requests.sort_unstable();
    }
    loads
}

fn is_taken_up(arrival: &Arrival) -> bool {
    !matches!(arrival.outcome, ArrivalOutcome::Rejected { .. })
}

/// Every service that some configuration allows for a host and path.
fn services_of(evidence: &Evidence, host: &str, target: &str) -> BTreeSet<String> {
    let sent = evidence.changes.iter().map(|change| &change.configuration);
    sent.flat_map(|configuration| super::changes::services_for(configuration, host, target))
        .collect()
}

/// Requests in the window that ends at `end`, in the one before it or the one half a window before it.
fn most_requests(requests: &[Micros], end: Micros, window: Micros) -> usize {
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

/// How many of the sorted times lie within a span, its ends included.
fn count_within(times: &[Micros], from: Micros, to: Micros) -> usize {
    times.partition_point(|at| *at <= to) - times.partition_point(|at| *at < from)
}
