//! The deployment of the test bed: its services, searchers, routes and requests.

use std::time::Duration;

use lockusher_config::configuration::{
    Configuration, Engine, Limits, Route, RouteKind, Service, WeightedService,
};

use crate::engine::{EngineParameters, MICROS_PER_MS, Part};
use crate::load::RequestKind;
use crate::model_searcher::ModelParameters;
use crate::plain_searcher::PlainParameters;
use crate::request::RequestSpec;

/// Host name of all routes.
pub const HOST: &str = "desk.example";
/// Name of the service of language models.
pub const MODEL_SERVICE: &str = "reader";
/// Name of the plain service, which has no inference engine.
pub const PLAIN_SERVICE: &str = "records";
const HEALTH_PATH: &str = "/health";

/// Parameters of the model searchers.
pub fn model_parameters() -> ModelParameters {
    ModelParameters {
        engine: EngineParameters {
            slots: 32,
            queue_limit: 32,
            cache_tokens: 400_000,
            block_tokens: 16,
            cache_token_bytes: 18_432,
            step: 3_500,
            step_per_request: 50,
            prefill_tokens_per_ms: 157,
            prefill_chunk_tokens: 2_048,
            link_mbps: 350_000.0,
            handle_ttl: 5_000 * MICROS_PER_MS,
            stage_switch_duration: 2_000 * MICROS_PER_MS,
            max_link_wait: 2_000 * MICROS_PER_MS,
        },
        stride: 10,
        connection_limit: 200,
        health_path: HEALTH_PATH.to_owned(),
        fenced: false,
    }
}

/// Parameters of the plain searchers.
pub fn plain_parameters() -> PlainParameters {
    PlainParameters {
        slots: 6,
        queue_limit: 6,
        work: Duration::from_millis(30),
        answer_bytes: 800..=800,
        connection_limit: 96,
        health_path: HEALTH_PATH.to_owned(),
    }
}

/// A route on [`HOST`] to one service.
pub fn route(name: &str, service: &str, kind: RouteKind) -> Route {
    Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout_ms: 5_000,
        target_latency_ms: 500,
        priority: 1,
        split: vec![WeightedService {
            service: service.to_owned(),
            weight: 1,
        }],
        attempts: 2,
        sticky: kind == RouteKind::Streaming,
        resumable: false,
        target_gap_ms: (kind == RouteKind::Streaming).then_some(400),
    }
}

/// The initial configuration: two streaming routes, one of them resumable, and a non-idempotent plain route.
pub fn first_configuration() -> Configuration {
    let resumable = Route {
        resumable: true,
        ..route("summary", MODEL_SERVICE, RouteKind::Streaming)
    };
    Configuration {
        version: 1,
        routes: vec![
            route("answer", MODEL_SERVICE, RouteKind::Streaming),
            resumable,
            route("record", PLAIN_SERVICE, RouteKind::NonIdempotent),
        ],
        services: vec![model_service(), plain_service()],
        limits: Limits {
            header_bytes: 16_384,
            body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    }
}

fn model_service() -> Service {
    let parameters = model_parameters();
    let engine = Engine {
        slots: parameters.engine.slots as u32,
        cache_tokens: parameters.engine.cache_tokens,
        cache_token_bytes: parameters.engine.cache_token_bytes,
        link_mbps: parameters.engine.link_mbps,
        stride: parameters.stride as u32,
        handle_hold_ms: parameters.engine.handle_ttl / MICROS_PER_MS,
        role_switch_ms: parameters.engine.stage_switch_duration / MICROS_PER_MS,
        models: vec!["m".to_owned()],
    };
    Service {
        name: MODEL_SERVICE.to_owned(),
        health_check: HEALTH_PATH.to_owned(),
        connection_limit: parameters.connection_limit as u32,
        engine: Some(engine),
    }
}

fn plain_service() -> Service {
    Service {
        name: PLAIN_SERVICE.to_owned(),
        health_check: HEALTH_PATH.to_owned(),
        connection_limit: plain_parameters().connection_limit as u32,
        engine: None,
    }
}

/// A request for a route.
pub fn spec_for(route: &Route) -> RequestSpec {
    let streaming = route.kind == RouteKind::Streaming;
    RequestSpec {
        kind: route.name.clone(),
        route: route.name.clone(),
        host: route.host.clone(),
        method: "POST".to_owned(),
        target: format!("{}7f", route.path_prefix),
        body: format!("a request on {}", route.name).into_bytes(),
        streaming,
        is_idempotent: route.is_idempotent(),
        resumable: route.resumable,
        attempts: route.attempts,
        deadline: Duration::from_millis(route.timeout_ms),
        disconnects_after: None,
        latency_target: Duration::from_millis(route.target_latency_ms),
        gap_target: Duration::from_millis(route.target_gap_ms.unwrap_or(0)),
        retries: 1,
        prompt: Vec::new(),
        tokens_out: if streaming { 24 } else { 0 },
    }
}

/// Load on all routes of a configuration in equal shares, at `rate_per_second` in total.
pub fn request_mix(configuration: &Configuration, rate_per_second: f64) -> Vec<RequestKind> {
    let share = rate_per_second / configuration.routes.len() as f64;
    configuration
        .routes
        .iter()
        .enumerate()
        .map(|(number, route)| request_kind_for(route, number as u64, share))
        .collect()
}

fn request_kind_for(route: &Route, number: u64, rate_per_second: f64) -> RequestKind {
    const SHARED_PARTS: u64 = 6;
    const SHARED_TOKENS: u64 = 3_000;
    const OWN_TOKENS: u64 = 900;
    let spec = spec_for(route);
    let shared = |part| Part {
        id: (number + 1) * 1_000 + part,
        tokens: SHARED_TOKENS,
    };
    let shared_parts = if spec.streaming {
        (0..SHARED_PARTS).map(shared).collect()
    } else {
        Vec::new()
    };
    RequestKind {
        spec,
        rate_per_second,
        shared_parts,
        own_tokens: OWN_TOKENS,
    }
}
