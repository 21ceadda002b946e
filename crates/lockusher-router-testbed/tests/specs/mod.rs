//! Requests, a configuration and rule bounds shared by several tests.

use std::time::Duration;

use lockusher_config::configuration::{Configuration, Limits, Route, RouteKind, WeightedService};
use lockusher_router_testbed::checker::RuleBounds;
use lockusher_router_testbed::engine::{MICROS_PER_MS, Part};
use lockusher_router_testbed::operator::{Change, ChangeOutcome};
use lockusher_router_testbed::request::RequestSpec;

/// A streaming request with a short prompt of two parts.
pub fn model_spec(tokens_out: u64) -> RequestSpec {
    RequestSpec {
        kind: "chat".to_owned(),
        route: "chat".to_owned(),
        host: "front.example".to_owned(),
        method: "POST".to_owned(),
        target: "/chat/1".to_owned(),
        body: b"a question".to_vec(),
        streaming: true,
        is_idempotent: false,
        resumable: false,
        attempts: 2,
        deadline: Duration::from_secs(5),
        disconnects_after: None,
        latency_target: Duration::from_millis(500),
        gap_target: Duration::from_millis(250),
        retries: 1,
        prompt: vec![
            Part {
                id: 0xa,
                tokens: 300,
            },
            Part {
                id: 0xb,
                tokens: 40,
            },
        ],
        tokens_out,
    }
}

/// A plain request that is not idempotent.
pub fn plain_spec() -> RequestSpec {
    RequestSpec {
        kind: "record".to_owned(),
        route: "record".to_owned(),
        target: "/record/1".to_owned(),
        streaming: false,
        prompt: Vec::new(),
        ..model_spec(0)
    }
}

fn route(name: &str, prefix: &str, service: &str, kind: RouteKind) -> Route {
    Route {
        name: name.to_owned(),
        host: "front.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind,
        timeout_ms: 5_000,
        target_latency_ms: 500,
        priority: 0,
        split: vec![WeightedService {
            service: service.to_owned(),
            weight: 1,
        }],
        attempts: 2,
        sticky: false,
        resumable: false,
        target_gap_ms: None,
    }
}

/// A configuration with a streaming route and a plain route.
pub fn configuration() -> Configuration {
    Configuration {
        version: 1,
        routes: vec![
            route("chat", "/chat/", "chat", RouteKind::Streaming),
            route("record", "/record/", "records", RouteKind::NonIdempotent),
        ],
        services: Vec::new(),
        limits: Limits {
            header_bytes: 16_384,
            body_bytes: 1_000_000,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    }
}

/// A change that was acknowledged at time 0.
pub fn acknowledged(configuration: Configuration) -> Change {
    Change {
        configuration,
        base: 0,
        sent: 0,
        ended: 0,
        calls: 1,
        outcome: ChangeOutcome::Acknowledged,
    }
}

/// Bounds of the rules.
pub fn bounds() -> RuleBounds {
    RuleBounds {
        drain: 3_000 * MICROS_PER_MS,
        configuration: 2_000 * MICROS_PER_MS,
        loss_slack: 200 * MICROS_PER_MS,
        budget_window: 10_000 * MICROS_PER_MS,
        retry_budget_ratio: 0.2,
        retry_budget_slack: 52.0,
    }
}
