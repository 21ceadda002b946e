//! Reads one page of the platform's instance list.
//!
//! Called by the instance-list poller. An invalid entry doesn't invalidate its page: only that entry is skipped.
//! Source: the operators' pages (PROTOCOL, "Service discovery").

use std::net::SocketAddrV4;

use serde_json::Value;

use crate::fault::{Fault, Faults};
use crate::instances::{Instance, InstanceState, ModelVersion, Stage};
use crate::json::conversion::unexpected;
use crate::json::fault_collector::FaultCollector;
use crate::json::field_path::FieldPath;
use crate::json::object_reader::ObjectReader;
use crate::json::unique_keys::parse_unique;

/// One page of the instance list, the response to `GET /instances`.
#[derive(Clone, Debug, PartialEq)]
pub struct InstancePage {
    /// The instances of this page; key `instances`, required.
    pub instances: Vec<Instance>,
    /// Token with which the next page is requested; key `nextToken`, `None` on the last page.
    pub next_token: Option<String>,
    /// Faults of the entries that were skipped.
    pub skipped: Vec<Fault>,
}

impl InstancePage {
    /// Parses the response to `GET /instances`. An entry with a fault is skipped and its faults are added to `skipped`:
    /// one invalid entry must not hide the others.
    ///
    /// # Errors
    ///
    /// If the page can't be parsed, or has no list of instances.
    pub fn parse(body: &[u8]) -> Result<Self, Faults> {
        let value = parse_unique(body).map_err(Faults::unreadable)?;
        let faults = FaultCollector::default();
        let page =
            ObjectReader::new(&value, FieldPath::Root, &faults).and_then(|reader| page(&reader));
        page.ok_or_else(|| faults.into_faults())
    }
}

fn page(reader: &ObjectReader<'_>) -> Option<InstancePage> {
    let next_token = reader.text_or("nextToken", "")?;
    let entries = reader.list("instances", |value, path| {
        let faults = FaultCollector::default();
        let instance = ObjectReader::new(value, path, &faults).and_then(|entry| instance(&entry));
        Some((instance, faults.into_faults()))
    })?;
    let mut page = InstancePage {
        instances: Vec::with_capacity(entries.len()),
        next_token: None,
        skipped: vec![],
    };
    for (instance, faults) in entries {
        match instance {
            Some(instance) if faults.is_empty() => page.instances.push(instance),
            _ => page.skipped.extend(faults.iter().cloned()),
        }
    }
    page.next_token = (!next_token.is_empty()).then_some(next_token);
    Some(page)
}

fn instance(reader: &ObjectReader<'_>) -> Option<Instance> {
    let identifier = reader.text("identifier");
    let service = reader.text("service");
    let address = address(reader);
    let zone = reader.text_or("zone", "");
    let version = reader.text_or("version", "");
    let slots = reader.positive_u32_or("slots", 1);
    let state = state(reader);
    let warm_up_remaining_ms = reader.ms_or("coldRemainingMs", 0);
    let stage = stage(reader);
    let models = reader.list_or_empty("models", |value, path| model(value, path, reader.faults()));
    Some(Instance {
        identifier: identifier?,
        service: service?,
        address: address?,
        zone: zone?,
        version: version?,
        slots: slots?,
        state: state?,
        warm_up_remaining_ms: warm_up_remaining_ms?,
        stage: stage?,
        models: models?,
    })
}

fn address(reader: &ObjectReader<'_>) -> Option<String> {
    let address = reader.text("address")?;
    if address.parse::<SocketAddrV4>().is_ok() {
        return Some(address);
    }
    reader.add_field_fault("address", unexpected("IP:PORT", &Value::String(address)));
    None
}

/// Reads the state. Any state other than `ready`, including an unknown one, is taken as draining: wrongly excluding a
/// searcher only costs capacity, whereas a request to a draining searcher violates a guarantee.
fn state(reader: &ObjectReader<'_>) -> Option<InstanceState> {
    let state = reader.text("state")?;
    Some(if state == "ready" {
        InstanceState::Ready
    } else {
        InstanceState::Draining
    })
}

/// Reads the stage; `Some(None)` for a searcher without an inference engine.
fn stage(reader: &ObjectReader<'_>) -> Option<Option<Stage>> {
    let stage = reader.text_or("stage", "")?;
    match stage.as_str() {
        "" => Some(None),
        "prefill" => Some(Some(Stage::Prefill)),
        "decode" => Some(Some(Stage::Decode)),
        _ => {
            reader.add_field_fault(
                "stage",
                unexpected("prefill or decode", &Value::String(stage)),
            );
            None
        }
    }
}

fn model(value: &Value, path: FieldPath<'_>, faults: &FaultCollector) -> Option<ModelVersion> {
    let reader = ObjectReader::new(value, path, faults)?;
    let name = reader.text("name");
    let version = reader.integer_or("version", 0);
    Some(ModelVersion {
        name: name?,
        version: version?,
    })
}
