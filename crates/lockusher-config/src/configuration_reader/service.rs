//! Reads one service and its inference engine.

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use serde_json::Value;

use crate::configuration::{Engine, Service};
use crate::fault::Problem;
use crate::json::fault_collector::FaultCollector;
use crate::json::field_path::FieldPath;
use crate::json::object_reader::ObjectReader;

/// Health-check path of a service that sets none.
const DEFAULT_HEALTH_CHECK: &str = "/health";

/// Connection limit of a service that sets none: unlimited.
const DEFAULT_CONNECTION_LIMIT: u32 = u32::MAX;

/// Batch size of an engine that sets none: one request at a time.
const DEFAULT_SLOTS: u32 = 1;

/// Bandwidth for KV-cache transfers of an engine that sets none, in megabits per second.
const DEFAULT_LINK_MBPS: f64 = 10_000.0;

/// Tokens per event of an engine that sets none.
const DEFAULT_STRIDE: u32 = 1;

/// How long the KV cache of a prefilled prompt is reserved by an engine that sets no time.
const DEFAULT_HANDLE_HOLD_MS: u64 = 1_000;

/// How long a searcher takes to change its stage, for an engine that sets no time.
const DEFAULT_ROLE_SWITCH_MS: u64 = 5_000;

/// Names read so far, with the path of each.
#[derive(Default)]
pub struct UniqueNames(HashMap<String, String>);

impl UniqueNames {
    /// Adds a fault if the name was read before.
    fn check(&mut self, name: &str, reader: &ObjectReader<'_>) {
        match self.0.entry(name.to_owned()) {
            Entry::Occupied(other) => reader.add_fault(Problem::DuplicateName {
                other: other.get().clone(),
            }),
            Entry::Vacant(vacant) => {
                vacant.insert(reader.path().to_string());
            }
        }
    }
}

/// Reads a service; `names` holds the names of the preceding services.
pub fn service(reader: &ObjectReader<'_>, names: &mut UniqueNames) -> Option<Service> {
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

/// The name of a model, which is given as an object with a `name` or as a plain string.
fn model_name(value: &Value, path: FieldPath<'_>, faults: &FaultCollector) -> Option<String> {
    match value {
        Value::String(name) => Some(name.clone()),
        _ => ObjectReader::new(value, path, faults)?.text("name"),
    }
}
