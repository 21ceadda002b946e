//! A configuration document with every field, and changes to it.

use lockusher_config::configuration::Configuration;
use serde_json::{Value, json};

/// A configuration with every field.
pub fn full() -> Value {
    json!({
        "version": 31,
        "routes": [
            {
                "name": "chat", "host": "api.rhine.test", "pathPrefix": "/v2/chat/", "kind": "streaming",
                "timeoutMs": 8100, "targetLatencyMs": 910, "priority": 2,
                "trafficSplit": [{"service": "large", "weight": 7}, {"service": "small", "weight": 0}],
                "attempts": 3, "sticky": true, "resumable": true, "gap_aim_ms": 135
            },
            {
                "name": "rank", "host": "api.rhine.test", "pathPrefix": "/", "kind": "idempotent",
                "timeoutMs": 1700, "targetLatencyMs": 220, "priority": 4, "service": "small", "attempts": 2
            },
            {
                "name": "pay", "host": "shop.rhine.test", "pathPrefix": "/", "kind": "non_idempotent",
                "timeoutMs": 2600, "targetLatencyMs": 450, "priority": 0, "service": "small", "attempts": 1
            }
        ],
        "services": [
            {
                "name": "large", "healthCheck": "/alive", "connectionLimit": 77, "protocol": "h1",
                "engine": {
                    "slots": 19, "cacheTokens": 340_011, "cacheTokenBytes": 7_168, "linkMbps": 62_500.5,
                    "stride": 4, "handleHoldS": 3.25, "roleSwitchS": 6.0, "models": [{"name": "big-9"}]
                }
            },
            {"name": "small", "healthCheck": "/ok", "connectionLimit": 31}
        ],
        "limits": {"headerBytes": 9000, "bodyBytes": 123_456, "headerTimeoutMs": 1900, "idleTimeoutMs": 23_000}
    })
}

/// The full configuration with one value replaced.
pub fn with(pointer: &str, value: Value) -> Value {
    let mut document = full();
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    let parent = document.pointer_mut(parent).unwrap();
    match parent {
        Value::Array(items) => items[field.parse::<usize>().unwrap()] = value,
        _ => parent[field] = value,
    }
    document
}

/// The full configuration without one field.
pub fn without(pointer: &str) -> Value {
    let mut document = full();
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    document
        .pointer_mut(parent)
        .unwrap()
        .as_object_mut()
        .unwrap()
        .remove(field)
        .unwrap();
    document
}

/// Parses the document; the error is the text of the faults.
pub fn parse(document: &Value) -> Result<Configuration, String> {
    Configuration::parse(document.to_string().as_bytes()).map_err(|faults| faults.to_string())
}
