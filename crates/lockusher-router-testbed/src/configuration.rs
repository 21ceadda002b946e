//! The JSON form of configurations, as the operator sends them.

use lockusher_config::configuration::{Configuration, Engine, Limits, Route, RouteKind, Service};
use serde_json::{Value, json};

const MILLIS_PER_SECOND: f64 = 1000.0;

/// Converts a configuration to the body of `PUT /api/configuration`.
pub fn to_json(configuration: &Configuration) -> Value {
    json!({
        "version": configuration.version,
        "routes": configuration.routes.iter().map(route_to_json).collect::<Vec<Value>>(),
        "services": configuration.services.iter().map(service_to_json).collect::<Vec<Value>>(),
        "limits": limits_to_json(&configuration.limits),
    })
}

fn route_to_json(route: &Route) -> Value {
    let mut json = json!({
        "name": route.name,
        "host": route.host,
        "pathPrefix": route.path_prefix,
        "kind": kind_name(route.kind),
        "timeoutMs": route.timeout_ms,
        "targetLatencyMs": route.target_latency_ms,
        "priority": route.priority,
        "attempts": route.attempts,
        "sticky": route.sticky,
        "resumable": route.resumable,
    });
    match route.split.as_slice() {
        [single] => json["service"] = json!(single.service),
        weighted_services => {
            json["trafficSplit"] = weighted_services
                .iter()
                .map(|weighted| json!({"service": weighted.service, "weight": weighted.weight}))
                .collect();
        }
    }
    if let Some(gap) = route.target_gap_ms {
        json["gap_aim_ms"] = json!(gap);
    }
    json
}

fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non_idempotent",
        RouteKind::Streaming => "streaming",
    }
}

fn service_to_json(service: &Service) -> Value {
    let mut json = json!({
        "name": service.name,
        "healthCheck": service.health_check,
        "connectionLimit": service.connection_limit,
        "protocol": "h1",
        "transportSecurity": false,
    });
    if let Some(engine) = &service.engine {
        json["engine"] = engine_to_json(engine);
    }
    json
}

fn engine_to_json(engine: &Engine) -> Value {
    json!({
        "slots": engine.slots,
        "cacheTokens": engine.cache_tokens,
        "cacheTokenBytes": engine.cache_token_bytes,
        "linkMbps": engine.link_mbps,
        "stride": engine.stride,
        "handleHoldS": engine.handle_hold_ms as f64 / MILLIS_PER_SECOND,
        "roleSwitchS": engine.role_switch_ms as f64 / MILLIS_PER_SECOND,
        "models": engine.models.iter().map(|name| json!({"name": name})).collect::<Vec<Value>>(),
    })
}

fn limits_to_json(limits: &Limits) -> Value {
    json!({
        "headerBytes": limits.header_bytes,
        "bodyBytes": limits.body_bytes,
        "headerTimeoutMs": limits.header_timeout_ms,
        "idleTimeoutMs": limits.idle_timeout_ms,
    })
}
