//! Reads and checks the operator's configuration (PROTOCOL.md, "The operator's API").
//!
//! Faults: a document that can't be read whole, a needed field that is absent or wrong, a route to an unknown
//! service, two routes with the same host and prefix, weights that sum to 0, a `timeoutMs` of 0. What the
//! protocol does not name as needed has a default, said at its constant. Whether the version is above the current
//! one is not decided here.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};

use serde_json::Value;

use crate::configuration::{Configuration, Engine, Limits, Route, RouteKind, Service, WeightedService};
use crate::fault::{Faults, Problem};
use crate::json::conversion::unexpected;
use crate::json::document::read_document;
use crate::json::fault_collector::FaultCollector;
use crate::json::field_path::FieldPath;
use crate::json::object_reader::ObjectReader;
use crate::route_table::normalized_host;

/// All faults of a configuration.
pub type ConfigurationFaults = Faults;

/// Rank of a route that names none: that of a request without `Priority`.
const DEFAULT_PRIORITY: u64 = 5;

/// A route that names no number of attempts is not repeated.
const DEFAULT_ATTEMPTS: u32 = 1;

const DEFAULT_HEALTH_CHECK: &str = "/health";

/// A service that names no limit of connections sets none.
const DEFAULT_CONNECTION_LIMIT: u32 = u32::MAX;

const DEFAULT_LIMITS: Limits =
    Limits { header_bytes: 16 << 10, body_bytes: 4 << 20, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 };

/// An engine that names no slots runs one request at a time.
const DEFAULT_SLOTS: u32 = 1;

/// Megabits a second.
const DEFAULT_LINK_MBPS: f64 = 10_000.0;

const DEFAULT_STRIDE: u32 = 1;

const DEFAULT_HANDLE_HOLD_MS: u64 = 1_000;

const DEFAULT_ROLE_SWITCH_MS: u64 = 5_000;

impl Configuration {
    /// Reads the body of `PUT /api/configuration` and finds all of its faults.
    pub fn parse(body: &[u8]) -> Result<Self, ConfigurationFaults> {
        read_document(body, configuration)
    }
}

fn configuration(reader: &ObjectReader<'_>) -> Option<Configuration> {
    let version = reader.positive_integer("version");
    let mut service_names = UniqueNames::default();
    let services = reader.objects("services", |reader| service(reader, &mut service_names));
    let mut checks =
        RouteChecks { services: known_services(reader), routes_by_host_and_prefix: HashMap::new() };
    let routes = reader.objects("routes", |reader| route(reader, &mut checks));
    let limits = reader.object_or("limits", DEFAULT_LIMITS, limits);
    Some(Configuration { version: version?, routes: routes?, services: services?, limits: limits? })
}

/// The names under `services`, also of services with other faults, so that their routes are not faulted too.
/// `None` if there is no list of services: that is one fault, not one for each route.
fn known_services<'a>(reader: &ObjectReader<'a>) -> Option<HashSet<&'a str>> {
    let services = reader.value("services")?.as_array()?;
    Some(services.iter().filter_map(|service| service.get("name")?.as_str()).collect())
}

/// Names seen so far, with the path of each.
#[derive(Default)]
struct UniqueNames(HashMap<String, String>);

impl UniqueNames {
    fn check(&mut self, name: &str, reader: &ObjectReader<'_>) {
        match self.0.entry(name.to_owned()) {
            Entry::Occupied(other) => reader.add_fault(Problem::DuplicateName { other: other.get().clone() }),
            Entry::Vacant(vacant) => {
                vacant.insert(reader.path().to_string());
            }
        }
    }
}

/// What a route is checked against besides itself.
struct RouteChecks<'a> {
    services: Option<HashSet<&'a str>>,
    /// Path of the route that has a host and prefix.
    routes_by_host_and_prefix: HashMap<(String, String), String>,
}

impl RouteChecks<'_> {
    fn check_service(&self, name: &str, reader: &ObjectReader<'_>) {
        let unknown = self.services.as_ref().is_some_and(|services| !services.contains(name));
        if unknown {
            reader.add_field_fault("service", Problem::UnknownService(name.to_owned()));
        }
    }

    fn check_host_and_prefix(&mut self, host: &str, path_prefix: &str, reader: &ObjectReader<'_>) {
        let key = (normalized_host(host).into_owned(), path_prefix.to_owned());
        match self.routes_by_host_and_prefix.entry(key) {
            Entry::Occupied(other) => {
                reader.add_fault(Problem::DuplicateHostAndPrefix { other: other.get().clone() })
            }
            Entry::Vacant(vacant) => {
                vacant.insert(reader.path().to_string());
            }
        }
    }
}

fn route(reader: &ObjectReader<'_>, checks: &mut RouteChecks<'_>) -> Option<Route> {
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
    let split = split(reader, checks);
    let attempts = reader.positive_u32_or("attempts", DEFAULT_ATTEMPTS);
    let sticky = reader.flag_or("sticky", false);
    let resumable = reader.flag_or("resumable", false);
    let gap_aim_ms = reader.ms_or("gap_aim_ms", 0);
    Some(Route {
        name: name?,
        host: host?,
        path_prefix: path_prefix?,
        kind: kind?,
        timeout_ms: timeout_ms?,
        // A route without an objective has all of its time.
        target_latency_ms: non_zero(target_latency_ms?).or(timeout_ms)?,
        priority: u8::try_from(priority?).unwrap_or(u8::MAX),
        split: split?,
        attempts: attempts?,
        sticky: sticky?,
        resumable: resumable?,
        gap_aim_ms: non_zero(gap_aim_ms?),
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
    reader.add_field_fault("pathPrefix", unexpected("a path that starts and ends with a slash", &found));
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
            reader.add_field_fault("kind", unexpected("idempotent, non_idempotent or streaming", &found));
            None
        }
    }
}

/// The services of a route: one under `service`, or several under `trafficSplit`.
fn split(reader: &ObjectReader<'_>, checks: &RouteChecks<'_>) -> Option<Vec<WeightedService>> {
    match (reader.value("service"), reader.value("trafficSplit")) {
        (Some(_), None) => Some(vec![WeightedService { service: target(reader, checks)?, weight: 1 }]),
        (None, Some(_)) => weighted_services(reader, checks),
        (Some(_), Some(_)) | (None, None) => {
            reader.add_fault(Problem::ServiceOrSplit);
            None
        }
    }
}

/// The service that a route or a part of its split names.
fn target(reader: &ObjectReader<'_>, checks: &RouteChecks<'_>) -> Option<String> {
    let service = reader.text("service")?;
    checks.check_service(&service, reader);
    Some(service)
}

fn weighted_services(reader: &ObjectReader<'_>, checks: &RouteChecks<'_>) -> Option<Vec<WeightedService>> {
    let mut unreadable = false;
    let split = reader.objects("trafficSplit", |reader| {
        let part = weighted_service(reader, checks);
        unreadable |= part.is_none();
        part
    })?;
    if !unreadable && split.iter().all(|part| part.weight == 0) {
        reader.add_field_fault("trafficSplit", Problem::ZeroWeights);
    }
    Some(split)
}

fn weighted_service(reader: &ObjectReader<'_>, checks: &RouteChecks<'_>) -> Option<WeightedService> {
    let service = target(reader, checks);
    let weight = reader.u32("weight");
    Some(WeightedService { service: service?, weight: weight? })
}

fn service(reader: &ObjectReader<'_>, names: &mut UniqueNames) -> Option<Service> {
    let name = reader.text("name");
    if let Some(name) = &name {
        names.check(name, reader);
    }
    let health_check = reader.text_or("healthCheck", DEFAULT_HEALTH_CHECK);
    let connection_limit = reader.positive_u32_or("connectionLimit", DEFAULT_CONNECTION_LIMIT);
    let engine = reader.object_or("engine", None, |reader| engine(reader).map(Some));
    Some(Service {
        name: name?,
        health_check: health_check?,
        connection_limit: connection_limit?,
        engine: engine?,
    })
}

fn engine(reader: &ObjectReader<'_>) -> Option<Engine> {
    let slots = reader.positive_u32_or("slots", DEFAULT_SLOTS);
    let cache_tokens = reader.integer_or("cacheTokens", 0);
    let cache_token_bytes = reader.integer_or("cacheTokenBytes", 0);
    let link_mbps = reader.positive_number_or("linkMbps", DEFAULT_LINK_MBPS);
    let stride = reader.positive_u32_or("stride", DEFAULT_STRIDE);
    let handle_hold_ms = reader.seconds_as_ms_or("handleHoldS", DEFAULT_HANDLE_HOLD_MS);
    let role_switch_ms = reader.seconds_as_ms_or("roleSwitchS", DEFAULT_ROLE_SWITCH_MS);
    let faults = reader.faults();
    let models = reader.list_or_empty("models", |value, path| model_name(value, path, faults));
    Some(Engine {
        slots: slots?,
        cache_tokens: cache_tokens?,
        cache_token_bytes: cache_token_bytes?,
        link_mbps: link_mbps?,
        stride: stride?,
        handle_hold_ms: handle_hold_ms?,
        role_switch_ms: role_switch_ms?,
        models: models?,
    })
}

/// A model stands as an object with a `name`, or as the name alone.
fn model_name(value: &Value, path: FieldPath<'_>, faults: &FaultCollector) -> Option<String> {
    match value {
        Value::String(name) => Some(name.clone()),
        _ => ObjectReader::of(value, path, faults)?.text("name"),
    }
}

fn limits(reader: &ObjectReader<'_>) -> Option<Limits> {
    let header_bytes = reader.positive_integer_or("headerBytes", DEFAULT_LIMITS.header_bytes);
    let body_bytes = reader.integer_or("bodyBytes", DEFAULT_LIMITS.body_bytes);
    let header_timeout_ms = reader.ms_or("headerTimeoutMs", DEFAULT_LIMITS.header_timeout_ms);
    let idle_timeout_ms = reader.ms_or("idleTimeoutMs", DEFAULT_LIMITS.idle_timeout_ms);
    Some(Limits {
        header_bytes: header_bytes?,
        body_bytes: body_bytes?,
        header_timeout_ms: header_timeout_ms?,
        idle_timeout_ms: idle_timeout_ms?,
    })
}
