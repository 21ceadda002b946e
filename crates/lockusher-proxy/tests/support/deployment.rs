//! The node settings and the configuration that the tests use.

use std::net::{Ipv4Addr, SocketAddrV4};

use lockusher_config::configuration::{
    Configuration, Engine, Limits, Route, RouteKind, Service, WeightedService,
};
use lockusher_config::settings::{Bounds, FaultTolerance, NodeLimits, NodeSettings, PortRange};

use super::{ENGINE, HOST, ONCE, PLAIN, REPEAT, RESUME, STREAM};

/// A configuration with one route of each kind.
pub fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        routes: vec![
            route(ONCE, RouteKind::NonIdempotent, PLAIN, false),
            route(REPEAT, RouteKind::Idempotent, PLAIN, false),
            route(STREAM, RouteKind::Streaming, ENGINE, false),
            route(RESUME, RouteKind::Streaming, ENGINE, true),
        ],
        services: vec![service(PLAIN, None), service(ENGINE, Some(engine()))],
        limits: Limits {
            header_bytes: 16_384,
            body_bytes: 65_536,
            header_timeout_ms: 600,
            idle_timeout_ms: 15_000,
        },
    }
}

fn route(prefix: &str, kind: RouteKind, service: &str, resumable: bool) -> Route {
    // A second prefill counts as an attempt, as does each rejected send.
    let attempts = if service == ENGINE { 4 } else { 2 };
    Route {
        name: format!("route {prefix}"),
        host: HOST.to_owned(),
        path_prefix: prefix.to_owned(),
        kind,
        timeout_ms: 8_000,
        target_latency_ms: 400,
        priority: 3,
        split: vec![WeightedService {
            service: service.to_owned(),
            weight: 100,
        }],
        attempts,
        sticky: false,
        resumable,
        target_gap_ms: Some(250),
    }
}

fn service(name: &str, engine: Option<Engine>) -> Service {
    Service {
        name: name.to_owned(),
        health_check: "/health".to_owned(),
        connection_limit: 96,
        engine,
    }
}

fn engine() -> Engine {
    Engine {
        slots: 128,
        cache_tokens: 700_000,
        cache_token_bytes: 18_432,
        link_mbps: 350_000.0,
        stride: 10,
        handle_hold_ms: 5_000,
        role_switch_ms: 2_300,
        models: vec!["m".to_owned()],
    }
}

pub fn settings(address: Ipv4Addr, grace_ms: u64) -> NodeSettings {
    NodeSettings {
        node: "edge-1".to_owned(),
        zone: "hall".to_owned(),
        region: "shire".to_owned(),
        zones: [("hall".to_owned(), "shire".to_owned())].into(),
        ip_address: address,
        front: Some(SocketAddrV4::new(address, 8_144)),
        readiness: Some(SocketAddrV4::new(address, 8_140)),
        control: None,
        internal_ports: PortRange {
            first: 7_660,
            last: 7_675,
        },
        seeds: Vec::new(),
        first_start: true,
        counts_for_quorum: false,
        data_directory: None,
        limits: NodeLimits {
            cpu_share: 0.25,
            cores: 1,
            memory_mb: 64,
            file_descriptors: 1_000,
            link_mbps: 1_000.0,
            disk_mb: 0,
        },
        fault_tolerance: FaultTolerance {
            machines: 1,
            zones: 0,
            regions: 0,
        },
        heartbeat_ms: 1_200,
        bounds: bounds(grace_ms),
        cloud_address: SocketAddrV4::new(address, 8_142),
        cloud_rate_per_s: 40.0,
        cloud_lag_ms: 800,
    }
}

fn bounds(grace_ms: u64) -> Bounds {
    Bounds {
        seed_lag_ms: 3_000,
        reuse_after_ms: 2_000,
        contact_ms: 3_000,
        acknowledge_ms: 4_000,
        catch_up_ms: 4_000,
        drain_ms: 3_000,
        grace_ms,
        loss_slack_ms: 200,
        configuration_ms: 2_000,
        rollback_slack_ms: 250,
        outer_bound_ms: 5_000,
        retry_budget_ratio: 0.2,
        budget_window_ms: 10_000,
        retry_budget_slack: 52.0,
        recovery_ms: 12_000,
        transit_ms: 120,
        repeated_prefill_window_ms: 7_500,
        fenced: false,
        lease_ms: 3_000,
        thaw_ms: 300,
    }
}
