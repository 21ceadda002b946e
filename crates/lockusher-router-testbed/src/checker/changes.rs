//! ROUTE, DRAIN and CONFIG: compares where requests ran with the configurations and the platform's list.

use std::collections::BTreeSet;

use lockusher_config::configuration::{Configuration, Route};

use super::{Evidence, Index, Rule, Verdict};
use crate::engine::Micros;
use crate::operator::{Change, ChangeOutcome};
use crate::record::{Arrival, ArrivalOutcome};
use crate::request::{TryOutcome, TryRecord};

/// Checks every arrival, every 404 and the acknowledged changes.
pub(super) fn check(evidence: &Evidence, index: &Index<'_>, verdict: &mut Verdict) {
    for arrival in &evidence.arrivals {
        check_drain(evidence, arrival, verdict);
        if let Some(record) = index.tries.get(arrival.request_id.as_str()) {
            check_route(evidence, arrival, record, verdict);
        }
    }
    for record in &evidence.tries {
        check_not_found(evidence, record, verdict);
    }
    check_writes(evidence, verdict);
}

/// Returns the services that a configuration routes a host and path to, empty without a matching route.
pub(super) fn services_for(
    configuration: &Configuration,
    host: &str,
    target: &str,
) -> BTreeSet<String> {
    let path = target.split('?').next().unwrap_or_default();
    let matches = |route: &&Route| route.host == host && path.starts_with(&route.path_prefix);
    let route = configuration
        .routes
        .iter()
        .filter(matches)
        .max_by_key(|route| route.path_prefix.len());
    let split = route
        .map(|route| route.split.as_slice())
        .unwrap_or_default();
    split
        .iter()
        .filter(|weighted| weighted.weight > 0)
        .map(|weighted| weighted.service.clone())
        .collect()
}

/// Reports a request sent to a searcher later than the drain bound after it left the list.
fn check_drain(evidence: &Evidence, arrival: &Arrival, verdict: &mut Verdict) {
    let Some(drained_at) = evidence.drained.get(&arrival.instance) else {
        return;
    };
    let overrun = arrival
        .at
        .saturating_sub(drained_at + evidence.bounds.drain);
    if overrun > 0 && arrival.outcome != (ArrivalOutcome::Rejected { status: 421 }) {
        verdict.add(
            Rule::Drain,
            &arrival.request_id,
            format!(
                "sent to {} {overrun} us after the drain bound",
                arrival.instance
            ),
        );
    }
}

fn check_route(evidence: &Evidence, arrival: &Arrival, record: &TryRecord, verdict: &mut Verdict) {
    if matches!(
        arrival.outcome,
        ArrivalOutcome::Rejected { .. } | ArrivalOutcome::Failed
    ) {
        return;
    }
    let allows_service = |change: &&Change| {
        services_for(
            &change.configuration,
            &record.spec.host,
            &record.spec.target,
        )
        .contains(&arrival.service)
    };
    if !evidence
        .changes
        .iter()
        .any(|change| allows_service(&change))
    {
        verdict.add(
            Rule::Route,
            &record.request_id,
            format!(
                "ran at service {}, which no configuration allows",
                arrival.service
            ),
        );
    } else if !versions_in_force(evidence, record)
        .iter()
        .any(allows_service)
    {
        verdict.add(
            Rule::Config,
            &record.request_id,
            format!(
                "ran at service {}, which no version in force allows",
                arrival.service
            ),
        );
    }
}

fn check_not_found(evidence: &Evidence, record: &TryRecord, verdict: &mut Verdict) {
    let not_found = matches!(&record.outcome, TryOutcome::Complete(seen) if seen.status == 404);
    if !not_found || oldest_version_in_force(evidence, record).is_none() {
        return;
    }
    let versions = versions_in_force(evidence, record);
    let is_routed = |change: &&Change| {
        !services_for(
            &change.configuration,
            &record.spec.host,
            &record.spec.target,
        )
        .is_empty()
    };
    if versions.iter().all(is_routed) {
        verdict.add(
            Rule::Config,
            &record.request_id,
            format!(
                "404 from {} although every version in force has a route",
                record.front
            ),
        );
    }
}

/// Returns the changes that may be in force for a try: from the newest version whose propagation time is over, to
/// the newest sent before the try ended. Changes with an unknown outcome may be in force, refused ones may not.
fn versions_in_force<'a>(evidence: &'a Evidence, record: &TryRecord) -> Vec<&'a Change> {
    let oldest = oldest_version_in_force(evidence, record).unwrap_or(0);
    let may_be_in_force = |change: &&Change| {
        change.configuration.version >= oldest
            && change.sent <= record.ended
            && !matches!(change.outcome, ChangeOutcome::Refused { .. })
    };
    evidence.changes.iter().filter(may_be_in_force).collect()
}

/// Returns the newest version whose propagation time is over; none while a machine may have no configuration.
fn oldest_version_in_force(evidence: &Evidence, record: &TryRecord) -> Option<u64> {
    let propagation_time = evidence.bounds.configuration;
    let changes = evidence
        .changes
        .iter()
        .filter(|change| has_propagated(change, record.sent, propagation_time));
    changes.map(|change| change.configuration.version).max()
}

fn has_propagated(change: &Change, at: Micros, propagation_time: Micros) -> bool {
    change.outcome == ChangeOutcome::Acknowledged && change.ended + propagation_time < at
}

/// Reports two different changes to the same base version that were both acknowledged.
fn check_writes(evidence: &Evidence, verdict: &mut Verdict) {
    let acknowledged: Vec<&Change> = evidence
        .changes
        .iter()
        .filter(|change| change.outcome == ChangeOutcome::Acknowledged)
        .collect();
    for (position, change) in acknowledged.iter().enumerate() {
        let conflicting = acknowledged[..position].iter().find(|earlier| {
            earlier.base == change.base && earlier.configuration != change.configuration
        });
        if let Some(conflicting) = conflicting {
            let (first, second) = (
                conflicting.configuration.version,
                change.configuration.version,
            );
            verdict.add(
                Rule::Config,
                "",
                format!(
                    "versions {first} and {second} were both acknowledged on base version {}",
                    change.base
                ),
            );
        }
    }
}
