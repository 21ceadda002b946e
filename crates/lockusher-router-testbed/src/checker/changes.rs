//! ROUTE, DRAIN and CONFIG: where requests went, against the configurations and the platform's list.

use std::collections::BTreeSet;

use lockusher_config::configuration::{Configuration, Route};

use super::{Evidence, Index, Rule, Verdict};
use crate::engine::Micros;
use crate::operator::{Change, ChangeOutcome};
use crate::record::{Arrival, ArrivalOutcome};
use crate::request::{TryOutcome, TryRecord};

pub(super) fn check(evidence: &Evidence, index: &Index<'_>, verdict: &mut Verdict) {
    for arrival in &evidence.arrivals {
        check_drain(evidence, arrival, verdict);
        if let Some(one) = index.tries.get(arrival.request_id.as_str()) {
            check_route(evidence, arrival, one, verdict);
        }
    }
    for one in &evidence.tries {
        check_not_found(evidence, one, verdict);
    }
    check_writes(evidence, verdict);
}

/// The services that a configuration allows for a host and path; none where it has no route.
pub(super) fn services_for(
    configuration: &Configuration,
    host: &str,
    target: &str,
) -> BTreeSet<String> {
    let path = target.split('?').next().unwrap_or_default();
    let fits = |route: &&Route| route.host == host && path.starts_with(&route.path_prefix);
    let route = configuration
        .routes
        .iter()
        .filter(fits)
        .max_by_key(|route| route.path_prefix.len());
    let split = route
        .map(|route| route.split.as_slice())
        .unwrap_or_default();
    split
        .iter()
        .filter(|share| share.weight > 0)
        .map(|share| share.service.clone())
        .collect()
}

fn check_drain(evidence: &Evidence, arrival: &Arrival, verdict: &mut Verdict) {
    let Some(shown) = evidence.drained.get(&arrival.instance) else {
        return;
    };
    let late = arrival.at.saturating_sub(shown + evidence.bounds.drain);
    if late > 0 && arrival.outcome != (ArrivalOutcome::Rejected { status: 421 }) {
        verdict.add(
            Rule::Drain,
            &arrival.request_id,
            format!("{} was gone for {late} us too long", arrival.instance),
        );
    }
}

fn check_route(evidence: &Evidence, arrival: &Arrival, one: &TryRecord, verdict: &mut Verdict) {
    if matches!(
        arrival.outcome,
        ArrivalOutcome::Rejected { .. } | ArrivalOutcome::Broken
    ) {
        return;
    }
    let allows = |change: &&Change| {
        services_for(&change.configuration, &one.spec.host, &one.spec.target)
            .contains(&arrival.service)
    };
    if !evidence.changes.iter().any(|change| allows(&change)) {
        verdict.add(
            Rule::Route,
            &one.request_id,
            format!("ran at {} against every configuration", arrival.service),
        );
    } else if !in_force(evidence, one).iter().any(allows) {
        verdict.add(
            Rule::Config,
            &one.request_id,
            format!("ran at {} as no version in force allows", arrival.service),
        );
    }
}

fn check_not_found(evidence: &Evidence, one: &TryRecord, verdict: &mut Verdict) {
    let not_found = matches!(&one.outcome, TryOutcome::Whole(seen) if seen.status == 404);
    if !not_found || oldest_in_force(evidence, one).is_none() {
        return;
    }
    let versions = in_force(evidence, one);
    let is_routed = |change: &&Change| {
        !services_for(&change.configuration, &one.spec.host, &one.spec.target).is_empty()
    };
    if versions.iter().all(is_routed) {
        verdict.add(
            Rule::Config,
            &one.request_id,
            format!("404 at {} though the route is there", one.front),
        );
    }
}

/// The changes that may be in force for a try: from the newest whose time to spread is over, to the newest sent
/// before the try ended. Changes without a clear answer may be in force, refused ones may not.
fn in_force<'a>(evidence: &'a Evidence, one: &TryRecord) -> Vec<&'a Change> {
    let oldest = oldest_in_force(evidence, one).unwrap_or(0);
    let may_hold = |change: &&Change| {
        change.configuration.version >= oldest
            && change.sent <= one.ended
            && !matches!(change.outcome, ChangeOutcome::Refused { .. })
    };
    evidence.changes.iter().filter(may_hold).collect()
}

/// The newest version whose time to spread is over; none while a machine may still have no configuration.
fn oldest_in_force(evidence: &Evidence, one: &TryRecord) -> Option<u64> {
    let spread = evidence.bounds.configuration;
    let changes = evidence
        .changes
        .iter()
        .filter(|change| is_spread(change, one.sent, spread));
    changes.map(|change| change.configuration.version).max()
}

fn is_spread(change: &Change, at: Micros, spread: Micros) -> bool {
    change.outcome == ChangeOutcome::Acknowledged && change.ended + spread < at
}

/// Two changes on top of the same version must not both be acknowledged.
fn check_writes(evidence: &Evidence, verdict: &mut Verdict) {
    let acknowledged: Vec<&Change> = evidence
        .changes
        .iter()
        .filter(|change| change.outcome == ChangeOutcome::Acknowledged)
        .collect();
    for (position, change) in acknowledged.iter().enumerate() {
        let rival = acknowledged[..position].iter().find(|earlier| {
            earlier.base == change.base && earlier.configuration != change.configuration
        });
        if let Some(rival) = rival {
            let (one, other) = (rival.configuration.version, change.configuration.version);
            verdict.add(
                Rule::Config,
                "",
                format!(
                    "versions {one} and {other} both acknowledged on {}",
                    change.base
                ),
            );
        }
    }
}
