//! Helpers shared by the tests of the decisions.

#![allow(dead_code)]

pub mod choosers;
pub mod engine;
pub mod fleet;

use std::collections::BTreeMap;
use std::rc::Rc;

use lockusher_config::configuration::{Configuration, Engine, Limits, RouteKind, Service};
use lockusher_config::instances::{Instance, InstanceState, ModelVersion, Stage};
use lockusher_proxy::decision::*;

/// Name of the service in these tests.
pub const SERVICE: &str = "reader";

/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;

/// One millisecond in microseconds.
pub const MS: Micros = 1_000;

/// Settings of a proxy in zone `a`.
pub fn settings() -> RequestRouterSettings {
    RequestRouterSettings {
        zone: "a".into(),
        zones: BTreeMap::from([
            ("a".into(), "r".into()),
            ("b".into(), "r".into()),
            ("c".into(), "q".into()),
            ("d".into(), "r".into()),
            ("e".into(), "r".into()),
        ]),
        retry_budget_ratio: 0.2,
        retry_budget_slack: 60.0,
        budget_window_ms: 10_000,
        repeated_prefill_window_ms: 7_500,
        drain_ms: 3_000,
    }
}

/// A configuration with one service of language models.
pub fn configuration() -> Rc<Configuration> {
    let engine = Engine {
        slots: 32,
        cache_tokens: 500_000,
        cache_token_bytes: 18_432,
        link_mbps: 300_000.0,
        stride: 10,
        handle_hold_ms: 5_000,
        role_switch_ms: 3_000,
        models: vec!["m".into()],
    };
    let service = Service {
        name: SERVICE.into(),
        health_check: "/h".into(),
        connection_limit: 600,
        engine: Some(engine),
    };
    let limits = Limits {
        header_bytes: 16_384,
        body_bytes: 1 << 22,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    Rc::new(Configuration {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        limits,
    })
}

/// A ready searcher of the service.
pub fn searcher(identifier: &str, zone: &str, stage: Option<Stage>) -> Instance {
    Instance {
        identifier: identifier.into(),
        service: SERVICE.into(),
        address: format!("{identifier}:80"),
        zone: zone.into(),
        version: "v1".into(),
        slots: 32,
        state: InstanceState::Ready,
        warm_up_remaining_ms: 0,
        stage,
        models: vec![ModelVersion {
            name: "m".into(),
            version: 1,
        }],
    }
}

/// `count` searchers without a stage in zone `a`, named `p0`, `p1` and so on.
pub fn plain_searchers(count: usize) -> Vec<Instance> {
    (0..count)
        .map(|number| searcher(&format!("p{number}"), "a", None))
        .collect()
}

/// Prefill searchers `r0`.. and decode searchers `d0`.. in zone `a`.
pub fn split_fleet(prefill: usize, decode: usize) -> Vec<Instance> {
    spread_fleet(prefill, decode, 1)
}

/// The name of a zone of one region; the first is `a`.
pub fn zone(number: usize) -> &'static str {
    ["a", "b", "d", "e"][number]
}

/// The same, distributed over zones in turn.
pub fn spread_fleet(prefill: usize, decode: usize, zones: usize) -> Vec<Instance> {
    let instance = |name: &str, number: usize, stage| {
        searcher(
            &format!("{name}{number}"),
            zone(number % zones),
            Some(stage),
        )
    };
    let prefill_searchers = (0..prefill).map(|number| instance("r", number, Stage::Prefill));
    let decode_searchers = (0..decode).map(|number| instance("d", number, Stage::Decode));
    prefill_searchers.chain(decode_searchers).collect()
}

/// A router in zone `a` with this instance list.
pub fn router(instances: &[Instance], seed: u64) -> RequestRouter {
    router_in("a", instances, seed)
}

/// A router in another zone.
pub fn router_in(zone: &str, instances: &[Instance], seed: u64) -> RequestRouter {
    let mut router = RequestRouter::new(
        RequestRouterSettings {
            zone: zone.into(),
            ..settings()
        },
        seed,
    );
    router.apply_configuration(0, configuration());
    router.apply_instances(0, instances);
    router
}

/// An idempotent request without a prompt, with two attempts.
pub fn request() -> RequestAttributes {
    RequestAttributes {
        service: SERVICE.into(),
        kind: RouteKind::Idempotent,
        is_idempotent: true,
        priority: 0,
        attempts: 2,
        target_latency_ms: 500,
        remaining_ms: 5_000,
        prompt: Vec::new(),
        prompt_tokens: 0,
        max_output_tokens: 0,
    }
}

/// A streaming request with a shared first prompt part and a part of its own.
pub fn streaming_request(shared: u64, own: u64) -> RequestAttributes {
    let prompt = vec![
        PromptPart {
            id: shared,
            tokens: 12_000,
        },
        PromptPart {
            id: own,
            tokens: 3_000,
        },
    ];
    RequestAttributes {
        kind: RouteKind::Streaming,
        prompt,
        prompt_tokens: 15_000,
        max_output_tokens: 100,
        ..request()
    }
}

/// Admits a request; panics if it is refused.
pub fn admit(
    router: &mut RequestRouter,
    now: Micros,
    attributes: &RequestAttributes,
) -> RequestPlan {
    match router.admit(now, attributes) {
        Admission::Admitted(plan) => plan,
        Admission::Refused { .. } => panic!("the request was refused"),
    }
}

/// Chooses a searcher; panics if there is none. Returns the searcher's identifier and the ticket.
pub fn send(
    router: &mut RequestRouter,
    now: Micros,
    plan: &mut RequestPlan,
    purpose: Purpose,
) -> (String, SendTicket) {
    match router.choose(now, plan, purpose) {
        Choice::Send {
            identifier, ticket, ..
        } => (identifier, ticket),
        choice => panic!("expected a send, got {choice:?}"),
    }
}

/// Sends one request that is answered after `takes`; returns the identifier of its searcher.
pub fn serve(
    router: &mut RequestRouter,
    now: Micros,
    attributes: &RequestAttributes,
    purpose: Purpose,
    duration: Micros,
) -> String {
    let mut plan = admit(router, now, attributes);
    let (identifier, ticket) = send(router, now, &mut plan, purpose);
    router.record_outcome(now + duration, ticket, SendOutcome::Answered);
    identifier
}
