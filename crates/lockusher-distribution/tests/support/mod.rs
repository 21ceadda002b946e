//! Values and helpers that the tests of this package share.
#![allow(dead_code)]

use lockusher_config::configuration::{
    Configuration, Limits, Route, RouteKind, Service, WeightedService,
};
use lockusher_config::instances::{Instance, InstanceListRevision, InstanceState};
use lockusher_distribution::message::{
    AppliedVersions, DownstreamState, Envelope, FromSubscriber, SubscriberIdentity, ToSubscriber,
};
use lockusher_distribution::publisher::{Publisher, SubscriberId};
use lockusher_distribution::subscriber::Subscriber;

pub fn route(name: &str, timeout_ms: u64) -> Route {
    Route {
        name: name.to_owned(),
        host: "host.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind: RouteKind::Idempotent,
        timeout_ms,
        target_latency_ms: 100,
        priority: 1,
        split: vec![WeightedService {
            service: "service".to_owned(),
            weight: 1,
        }],
        attempts: 2,
        sticky: false,
        resumable: false,
        target_gap_ms: None,
    }
}

pub fn service(name: &str) -> Service {
    Service {
        name: name.to_owned(),
        health_check: "/health".to_owned(),
        connection_limit: 10,
        engine: None,
    }
}

/// Returns a configuration with a route for each `(number, timeout)`.
pub fn configuration(version: u64, routes: &[(u8, u64)]) -> Configuration {
    Configuration {
        version,
        routes: routes
            .iter()
            .map(|(number, timeout)| route(&format!("r{number}"), *timeout))
            .collect(),
        services: vec![service("service")],
        limits: Limits {
            header_bytes: 1_000 + version,
            body_bytes: 1_000,
            header_timeout_ms: 1_000,
            idle_timeout_ms: 1_000,
        },
    }
}

pub fn instance(identifier: &str) -> Instance {
    Instance {
        identifier: identifier.to_owned(),
        service: "service".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "zone".to_owned(),
        version: "v1".to_owned(),
        slots: 4,
        state: InstanceState::Ready,
        warm_up_remaining_ms: 0,
        stage: None,
        models: vec![],
    }
}

pub fn draining(identifier: &str) -> Instance {
    Instance {
        state: InstanceState::Draining,
        ..instance(identifier)
    }
}

pub fn warming_up(identifier: &str, warm_up_remaining_ms: u64) -> Instance {
    Instance {
        warm_up_remaining_ms,
        ..instance(identifier)
    }
}

pub fn revision(epoch: u64, sequence: u64) -> InstanceListRevision {
    InstanceListRevision { epoch, sequence }
}

pub fn identity(node: &str) -> SubscriberIdentity {
    SubscriberIdentity {
        node: node.to_owned(),
        zone: "zone".to_owned(),
        agent_address: None,
    }
}

/// Decodes the message of a publisher's frame.
pub fn decode_frame(frame: &[u8]) -> ToSubscriber {
    // The frame starts with the length of the envelope.
    let envelope: Envelope = bitcode::decode(&frame[4..]).expect("own encoding");
    envelope.decode().expect("own protocol")
}

/// Takes all messages that are due to a subscriber.
pub fn due_messages(publisher: &mut Publisher, id: SubscriberId, now_ms: u64) -> Vec<ToSubscriber> {
    let mut messages = Vec::new();
    while let Some(frame) = publisher.next_frame(id, now_ms) {
        messages.push(decode_frame(&frame));
    }
    messages
}

/// Connects a subscriber that has applied nothing.
pub fn connect_subscriber(publisher: &mut Publisher, node: &str) -> SubscriberId {
    let id = publisher.connect(0);
    publisher.receive(id, 0, Subscriber::new(identity(node)).subscribe(0));
    id
}

/// Delivers all due messages to a subscriber and drops its answers.
pub fn deliver_due(
    publisher: &mut Publisher,
    id: SubscriberId,
    subscriber: &mut Subscriber,
    now_ms: u64,
) {
    for message in due_messages(publisher, id, now_ms) {
        subscriber.receive(now_ms, message);
    }
}

/// Returns the versions of a subscriber that has applied this configuration and no list.
pub fn applied_configuration(configuration_version: u64) -> AppliedVersions {
    AppliedVersions {
        configuration_version,
        ..AppliedVersions::default()
    }
}

/// Returns the acknowledgement of a proxy that has applied this configuration.
pub fn acknowledgement(configuration_version: u64) -> FromSubscriber {
    let applied = applied_configuration(configuration_version);
    FromSubscriber::Acknowledge {
        applied,
        downstream: DownstreamState::PROXY,
    }
}
