//! Reads one route.

use serde_json::Value;

use crate::configuration::{Route, RouteKind, WeightedService};
use crate::configuration_reader::route_checks::RouteChecks;
use crate::fault::Problem;
use crate::json::conversion::unexpected;
use crate::json::object_reader::ObjectReader;

/// Priority of a route that sets none: that of a request without `Priority`.
const DEFAULT_PRIORITY: u64 = 5;

/// Attempts of a route that sets none: its requests are not retried.
const DEFAULT_ATTEMPTS: u32 = 1;

/// Reads a route and validates it against the rest of its configuration.
pub fn route(reader: &ObjectReader<'_>, checks: &mut RouteChecks<'_>) -> Option<Route> {
    let name = reader.text_or("name", "");
    let host = reader.text("host");
    let path_prefix = path_prefix(reader);
    if let (Some(host), Some(path_prefix)) = (&host, &path_prefix) {
        checks.check_host_and_prefix(host, path_prefix, reader);
    }
    let kind = route_kind(reader);
    let timeout_ms = reader.positive_ms("timeoutMs");
    let target_latency_ms = reader.ms_or("targetLatencyMs", 0);
    let priority = reader.integer_or("priority", DEFAULT_PRIORITY);
    let split = services(reader, checks);
    let attempts = reader.positive_u32_or("attempts", DEFAULT_ATTEMPTS);
    let sticky = reader.flag_or("sticky", false);
    let resumable = reader.flag_or("resumable", false);
    let target_gap_ms = reader.ms_or("gap_aim_ms", 0);
    Some(Route {
        name: name?,
        host: host?,
        path_prefix: path_prefix?,
        kind: kind?,
        timeout_ms: timeout_ms?,
        // Without a latency target, a response is in time until the timeout.
        target_latency_ms: non_zero(target_latency_ms?).or(timeout_ms)?,
        priority: u8::try_from(priority?).unwrap_or(u8::MAX),
        split: split?,
        attempts: attempts?,
        sticky: sticky?,
        resumable: resumable?,
        target_gap_ms: non_zero(target_gap_ms?),
    })
}

fn non_zero(number: u64) -> Option<u64> {
    (number > 0).then_some(number)
}

fn path_prefix(reader: &ObjectReader<'_>) -> Option<String> {
    let prefix = reader.text("pathPrefix")?;
    if prefix.starts_with('/') && prefix.ends_with('/') {
        return Some(prefix);
    }
    let found = Value::String(prefix);
    reader.add_field_fault(
        "pathPrefix",
        unexpected("a path that starts and ends with a slash", &found),
    );
    None
}

fn route_kind(reader: &ObjectReader<'_>) -> Option<RouteKind> {
    let kind = reader.text("kind")?;
    match kind.as_str() {
        "idempotent" => Some(RouteKind::Idempotent),
        "non_idempotent" => Some(RouteKind::NonIdempotent),
        "streaming" => Some(RouteKind::Streaming),
        _ => {
            let found = Value::String(kind);
            reader.add_field_fault(
                "kind",
                unexpected("idempotent, non_idempotent or streaming", &found),
            );
            None
        }
    }
}

/// The services of a route: a single one under `service`, or several under `trafficSplit`.
fn services(reader: &ObjectReader<'_>, checks: &RouteChecks<'_>) -> Option<Vec<WeightedService>> {
    match (reader.value("service"), reader.value("trafficSplit")) {
        (Some(_), None) => Some(vec![WeightedService {
            service: target_service(reader, checks)?,
            weight: 1,
        }]),
        (None, Some(_)) => weighted_services(reader, checks),
        (Some(_), Some(_)) | (None, None) => {
            reader.add_fault(Problem::ServiceOrSplit);
            None
        }
    }
}

/// The service that a route, or an entry of its traffic split, names.
fn target_service(reader: &ObjectReader<'_>, checks: &RouteChecks<'_>) -> Option<String> {
    let service = reader.text("service")?;
    checks.check_service(&service, reader);
    Some(service)
}

fn weighted_services(
    reader: &ObjectReader<'_>,
    checks: &RouteChecks<'_>,
) -> Option<Vec<WeightedService>> {
    let mut has_invalid_entry = false;
    let split = reader.objects("trafficSplit", |reader| {
        let weighted = weighted_service(reader, checks);
        has_invalid_entry |= weighted.is_none();
        weighted
    })?;
    if !has_invalid_entry && split.iter().all(|weighted| weighted.weight == 0) {
        reader.add_field_fault("trafficSplit", Problem::ZeroWeights);
    }
    Some(split)
}

fn weighted_service(
    reader: &ObjectReader<'_>,
    checks: &RouteChecks<'_>,
) -> Option<WeightedService> {
    let service = target_service(reader, checks);
    let weight = reader.integer_u32("weight");
    Some(WeightedService {
        service: service?,
        weight: weight?,
    })
}
