//! Messages of publishers and subscribers are encoded as the recorded bytes of an earlier release, so that processes of
//! both releases can exchange them.

#[path = "../../../tests/support/recorded_bytes.rs"]
mod recorded_bytes;

use std::fmt::Debug;

use bitcode::{DecodeOwned, Encode};
use lockusher_config::configuration::{
    Configuration, Engine, Limits, Route, RouteKind, Service, WeightedService,
};
use lockusher_config::instances::{
    Instance, InstanceListRevision, InstanceState, ModelVersion, Stage,
};
use lockusher_distribution::difference::{
    ConfigurationDifference, InstanceListDifference, Segment,
};
use lockusher_distribution::frame::encode_frame;
use lockusher_distribution::load::ServiceLoad;
use lockusher_distribution::message::{
    AppliedVersions, ConfigurationUpdate, DownstreamState, Envelope, FromSubscriber, Heartbeat,
    InstanceListUpdate, NEVER_CONFIRMED_MS, SubscriberIdentity, ToSubscriber,
};
use lockusher_transport::frame;
use recorded_bytes::{assert_encoded_as_recorded, assert_every_kind_is_sampled, kinds_of};

const SUBSCRIBERS: &str = include_str!("recorded_bytes/subscribers.hex");
const PUBLISHERS: &str = include_str!("recorded_bytes/publishers.hex");

type RouteSegment = Segment<Route>;
type ServiceSegment = Segment<Service>;
type InstanceSegment = Segment<Instance>;

kinds_of!(
    FromSubscriber,
    FROM_SUBSCRIBER_KINDS,
    from_subscriber_kind,
    [
        Subscribe,
        Acknowledge,
        RequestFullSnapshot,
        AnnounceControlNodes
    ]
);
kinds_of!(
    ToSubscriber,
    TO_SUBSCRIBER_KINDS,
    to_subscriber_kind,
    [Configuration, Instances, Heartbeat, ControlNodes, Peers]
);
kinds_of!(
    ConfigurationUpdate,
    CONFIGURATION_KINDS,
    configuration_kind,
    [FullSnapshot, Difference]
);
kinds_of!(
    InstanceListUpdate,
    LIST_KINDS,
    list_kind,
    [FullSnapshot, Difference]
);
kinds_of!(
    RouteSegment,
    ROUTE_SEGMENT_KINDS,
    route_segment_kind,
    [CopyFromBase, Insert]
);
kinds_of!(
    ServiceSegment,
    SERVICE_SEGMENT_KINDS,
    service_segment_kind,
    [CopyFromBase, Insert]
);
kinds_of!(
    InstanceSegment,
    INSTANCE_SEGMENT_KINDS,
    instance_segment_kind,
    [CopyFromBase, Insert]
);
kinds_of!(
    RouteKind,
    ROUTE_KINDS,
    route_kind,
    [Idempotent, NonIdempotent, Streaming]
);
kinds_of!(
    InstanceState,
    STATE_KINDS,
    state_kind,
    [Ready, Changing, Draining]
);
kinds_of!(Stage, STAGE_KINDS, stage_kind, [Prefill, Decode]);

fn weighted(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: service.to_owned(),
        weight,
    }
}

fn routes() -> Vec<Route> {
    let search = Route {
        name: "search".to_owned(),
        host: "search.example".to_owned(),
        path_prefix: "/v1/".to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 2_000,
        target_latency_ms: 150,
        priority: 1,
        split: vec![weighted("search", 1)],
        attempts: 3,
        sticky: true,
        resumable: false,
        target_gap_ms: None,
    };
    let orders = Route {
        name: "orders".to_owned(),
        host: "orders.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::NonIdempotent,
        timeout_ms: 70_000,
        priority: 0,
        split: vec![
            weighted("orders-a", 90),
            weighted("orders-b", 10),
            weighted("orders-c", 0),
        ],
        attempts: 1,
        sticky: false,
        ..search.clone()
    };
    let chat = Route {
        name: "chat".to_owned(),
        host: "chat.example".to_owned(),
        path_prefix: "/chat/".to_owned(),
        kind: RouteKind::Streaming,
        timeout_ms: 600_000,
        target_latency_ms: 800,
        priority: 255,
        split: vec![weighted("chat", 100_000)],
        attempts: 2,
        sticky: false,
        resumable: true,
        target_gap_ms: Some(250),
    };
    vec![search, orders, chat]
}

fn services() -> Vec<Service> {
    let plain = Service {
        name: "search".to_owned(),
        health_check: "/health".to_owned(),
        connection_limit: 512,
        engine: None,
    };
    let engine = Engine {
        slots: 48,
        cache_tokens: 5_000_000_000,
        cache_token_bytes: 131_072,
        link_mbps: 12_500.5,
        stride: 4,
        handle_hold_ms: 30_000,
        role_switch_ms: 9_000,
        models: vec!["large".to_owned(), "small".to_owned()],
    };
    let chat = Service {
        name: "chat".to_owned(),
        health_check: "/ready".to_owned(),
        connection_limit: 70_000,
        engine: Some(engine),
    };
    vec![plain, chat]
}

fn configuration() -> Configuration {
    let limits = Limits {
        header_bytes: 16_384,
        body_bytes: 8_388_608,
        header_timeout_ms: 5_000,
        idle_timeout_ms: 60_000,
    };
    Configuration {
        version: 70_000,
        routes: routes(),
        services: services(),
        limits,
    }
}

/// The configuration before the first route is added.
fn empty_configuration() -> Configuration {
    let limits = Limits {
        header_bytes: 1,
        body_bytes: 2,
        header_timeout_ms: 3,
        idle_timeout_ms: 4,
    };
    Configuration {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        limits,
    }
}

fn configuration_difference() -> ConfigurationDifference {
    let changed_route = routes().pop().expect("a route");
    let changed_service = services().pop().expect("a service");
    ConfigurationDifference {
        base_version: 70_000,
        version: 70_003,
        routes: vec![
            Segment::CopyFromBase {
                from: 2,
                count: 300,
            },
            Segment::Insert(vec![changed_route]),
            Segment::CopyFromBase {
                from: 303,
                count: 1,
            },
        ],
        services: vec![
            Segment::Insert(vec![changed_service]),
            Segment::CopyFromBase { from: 1, count: 4 },
        ],
        limits: configuration().limits,
    }
}

fn instances() -> Vec<Instance> {
    let plain = Instance {
        identifier: "search-0-17".to_owned(),
        service: "search".to_owned(),
        address: "10.2.0.5:8080".to_owned(),
        zone: "a".to_owned(),
        version: "1.4.2".to_owned(),
        slots: 32,
        state: InstanceState::Ready,
        warm_up_remaining_ms: 0,
        stage: None,
        models: Vec::new(),
    };
    let prefill = Instance {
        identifier: "chat-3-1".to_owned(),
        service: "chat".to_owned(),
        address: "10.2.1.6:8081".to_owned(),
        zone: "b".to_owned(),
        slots: 48,
        state: InstanceState::Changing,
        warm_up_remaining_ms: 70_000,
        stage: Some(Stage::Prefill),
        models: vec![
            ModelVersion {
                name: "large".to_owned(),
                version: 300,
            },
            ModelVersion {
                name: "small".to_owned(),
                version: 2,
            },
        ],
        ..plain.clone()
    };
    let decode = Instance {
        identifier: "chat-4-1".to_owned(),
        address: "10.2.1.7:8081".to_owned(),
        state: InstanceState::Draining,
        stage: Some(Stage::Decode),
        ..prefill.clone()
    };
    vec![plain, prefill, decode]
}

fn revision() -> InstanceListRevision {
    InstanceListRevision {
        epoch: 3,
        sequence: 5 << 20,
    }
}

fn list_difference() -> InstanceListDifference {
    let newer = InstanceListRevision {
        sequence: revision().sequence + 1,
        ..revision()
    };
    let segments = vec![
        Segment::Insert(instances()),
        Segment::CopyFromBase {
            from: 0,
            count: 70_000,
        },
        Segment::Insert(instances().drain(..1).collect()),
    ];
    InstanceListDifference {
        base: revision(),
        revision: newer,
        instances: segments,
    }
}

fn configuration_updates() -> Vec<(&'static str, ConfigurationUpdate)> {
    vec![
        (
            "configuration-whole",
            ConfigurationUpdate::FullSnapshot(configuration()),
        ),
        (
            "configuration-whole-empty",
            ConfigurationUpdate::FullSnapshot(empty_configuration()),
        ),
        (
            "configuration-difference",
            ConfigurationUpdate::Difference(configuration_difference()),
        ),
    ]
}

fn list_updates() -> Vec<(&'static str, InstanceListUpdate)> {
    vec![
        (
            "list-whole",
            InstanceListUpdate::FullSnapshot {
                revision: revision(),
                instances: instances(),
            },
        ),
        (
            "list-whole-empty",
            InstanceListUpdate::FullSnapshot {
                revision: revision(),
                instances: Vec::new(),
            },
        ),
        (
            "list-difference",
            InstanceListUpdate::Difference(list_difference()),
        ),
    ]
}

fn heartbeats() -> Vec<(&'static str, Heartbeat)> {
    let newest = AppliedVersions {
        configuration_version: 70_000,
        list_revision: revision(),
    };
    let in_view = Heartbeat {
        newest,
        list_age_ms: 1_300,
        calls_per_poll: 31,
        proxies: 1_200,
        in_view: true,
    };
    let out_of_view = Heartbeat {
        newest: AppliedVersions::default(),
        list_age_ms: NEVER_CONFIRMED_MS,
        calls_per_poll: 0,
        proxies: 0,
        in_view: false,
    };
    vec![
        ("heartbeat-in-view", in_view),
        ("heartbeat-out-of-view", out_of_view),
    ]
}

fn to_subscriber() -> Vec<(&'static str, ToSubscriber)> {
    let addresses = ["10.1.0.14:7660", "10.1.0.15:7661", "10.1.3.9:65535"];
    let addresses = || {
        addresses
            .iter()
            .map(|address| address.parse().expect("a valid address"))
            .collect()
    };
    let rest = [
        ("control-nodes", ToSubscriber::ControlNodes(addresses())),
        ("peers", ToSubscriber::Peers(addresses())),
        ("peers-none", ToSubscriber::Peers(Vec::new())),
    ];
    let configurations = configuration_updates().into_iter();
    let configurations =
        configurations.map(|(name, update)| (name, ToSubscriber::Configuration(update)));
    let lists = list_updates()
        .into_iter()
        .map(|(name, update)| (name, ToSubscriber::Instances(update)));
    let heartbeats = heartbeats()
        .into_iter()
        .map(|(name, heartbeat)| (name, ToSubscriber::Heartbeat(heartbeat)));
    configurations
        .chain(lists)
        .chain(heartbeats)
        .chain(rest)
        .collect()
}

fn loads() -> Vec<ServiceLoad> {
    let chat = ServiceLoad {
        service: "chat".to_owned(),
        proxies: 12,
        requests_per_s: 340,
        prefill_tokens_per_s: 70_001,
        prefill_in_flight: 1_250,
        decode_in_flight: 4_300,
        decode_waiting: 75,
        decode_tokens: 9_000_000,
    };
    vec![
        chat,
        ServiceLoad {
            service: "idle".to_owned(),
            proxies: 1,
            ..ServiceLoad::default()
        },
    ]
}

fn from_subscriber() -> Vec<(&'static str, FromSubscriber)> {
    let applied = AppliedVersions {
        configuration_version: 70_000,
        list_revision: revision(),
    };
    let agent = SubscriberIdentity {
        node: "edge-7".to_owned(),
        zone: "b".to_owned(),
        agent_address: Some("10.3.0.7:7670".parse().expect("a valid address")),
    };
    let proxy = SubscriberIdentity {
        node: "edge-7".to_owned(),
        zone: "b".to_owned(),
        agent_address: None,
    };
    let downstream = DownstreamState {
        in_force_version: 69_997,
        proxies: 12,
        loads: loads(),
    };
    vec![
        (
            "subscribe-agent",
            FromSubscriber::Subscribe {
                identity: agent,
                applied,
            },
        ),
        (
            "subscribe-proxy",
            FromSubscriber::Subscribe {
                identity: proxy,
                applied: AppliedVersions::default(),
            },
        ),
        (
            "acknowledge-agent",
            FromSubscriber::Acknowledge {
                applied,
                downstream,
            },
        ),
        (
            "acknowledge-proxy",
            FromSubscriber::Acknowledge {
                applied,
                downstream: DownstreamState::PROXY,
            },
        ),
        (
            "request-configuration",
            FromSubscriber::RequestFullSnapshot {
                configuration: true,
                list: false,
            },
        ),
        (
            "request-list",
            FromSubscriber::RequestFullSnapshot {
                configuration: false,
                list: true,
            },
        ),
        (
            "announce-control-nodes",
            FromSubscriber::AnnounceControlNodes(vec![
                "10.0.0.1:7660".parse().expect("an address"),
                "10.0.0.2:7660".parse().expect("an address"),
            ]),
        ),
    ]
}

/// Encodes a message as a frame: the length, then the envelope around the message.
fn encode<T: Encode>(message: &T) -> Vec<u8> {
    frame::encode(&Envelope::encode(message))
}

fn decode<T: DecodeOwned>(frame: &[u8]) -> T {
    let (length, envelope) = frame.split_first_chunk::<4>().expect("a length");
    assert_eq!(u32::from_le_bytes(*length) as usize, envelope.len());
    let envelope: Envelope = bitcode::decode(envelope).expect("a readable envelope");
    envelope.decode().expect("a readable message")
}

fn assert_frames_as_recorded<T: Debug + DecodeOwned + Encode + PartialEq>(
    fixture: &str,
    samples: &[(&str, T)],
) {
    assert_encoded_as_recorded(fixture, samples, encode, decode);
}

#[test]
fn every_kind_of_message_has_a_sample() {
    let from = from_subscriber();
    assert_every_kind_is_sampled(
        FROM_SUBSCRIBER_KINDS,
        from.iter()
            .map(|(_, message)| from_subscriber_kind(message)),
    );
    let to = to_subscriber();
    assert_every_kind_is_sampled(
        TO_SUBSCRIBER_KINDS,
        to.iter().map(|(_, message)| to_subscriber_kind(message)),
    );
}

#[test]
fn every_kind_of_update_has_a_sample() {
    let configurations = configuration_updates();
    assert_every_kind_is_sampled(
        CONFIGURATION_KINDS,
        configurations
            .iter()
            .map(|(_, update)| configuration_kind(update)),
    );
    assert_every_kind_is_sampled(
        LIST_KINDS,
        list_updates().iter().map(|(_, update)| list_kind(update)),
    );
    let difference = configuration_difference();
    assert_every_kind_is_sampled(
        ROUTE_SEGMENT_KINDS,
        difference.routes.iter().map(route_segment_kind),
    );
    assert_every_kind_is_sampled(
        SERVICE_SEGMENT_KINDS,
        difference.services.iter().map(service_segment_kind),
    );
    let segments = list_difference().instances;
    assert_every_kind_is_sampled(
        INSTANCE_SEGMENT_KINDS,
        segments.iter().map(instance_segment_kind),
    );
}

#[test]
fn every_kind_of_route_and_of_searcher_has_a_sample() {
    assert_every_kind_is_sampled(
        ROUTE_KINDS,
        routes().iter().map(|route| route_kind(&route.kind)),
    );
    let instances = instances();
    assert_every_kind_is_sampled(
        STATE_KINDS,
        instances.iter().map(|instance| state_kind(&instance.state)),
    );
    let stages = instances
        .iter()
        .filter_map(|instance| instance.stage.as_ref());
    assert_every_kind_is_sampled(STAGE_KINDS, stages.map(stage_kind));
}

#[test]
fn messages_of_subscribers_are_encoded_as_recorded() {
    assert_frames_as_recorded(SUBSCRIBERS, &from_subscriber());
}

#[test]
fn messages_of_publishers_are_encoded_as_recorded() {
    assert_frames_as_recorded(PUBLISHERS, &to_subscriber());
}

#[test]
fn frames_of_a_publisher_are_encoded_as_recorded() {
    for (name, message) in to_subscriber() {
        assert_eq!(encode_frame(&message)[..], encode(&message), "{name}");
    }
}
