//! Traffic from a control node to its agents at the size planned in docs/CAPACITY.md, in simulated time and without
//! sockets. `cargo test --release -p lockusher-distribution --test capacity -- --nocapture` prints the figures.

mod support;

use std::rc::Rc;
use std::time::Instant;

use lockusher_config::configuration::{Configuration, Engine, Route, Service, WeightedService};
use lockusher_config::instances::{Instance, InstanceState, ModelVersion, Stage};
use lockusher_distribution::message::{DownstreamState, Envelope, FromSubscriber};
use lockusher_distribution::publisher::{Publisher, PublisherStatus, SubscriberId};
use lockusher_distribution::subscriber::Subscriber;
use support::{configuration, decode_frame, identity, instance, revision, route, service};
use yare::parameterized;

const SEARCHERS: usize = 840;
const TENANTS: usize = 1_200;
const MODELS: usize = 25;
/// 2,300 changes a day.
const CONFIGURATION_CHANGES_PER_HOUR: u64 = 96;
/// 8 failures and 310 replacements a day, each of which changes the list three times (draining, gone, new), and 130
/// changes of stage a day.
const LIST_CHANGES_PER_HOUR: u64 = 46;
const HOUR_MS: u64 = 3_600_000;
const SIMULATED_MS: u64 = HOUR_MS / 6;
const STEP_MS: u64 = 100;
/// Operators' limit of the control-plane traffic at one aggregator.
const MAX_BYTES_PER_S: f64 = 5_000.0;
/// Header bytes of a TCP segment over IPv4, counted twice: each frame counts as one segment, and each segment as
/// acknowledged by another one.
const SEGMENT_BYTES: u64 = 2 * 40;

fn tenant_route(number: usize, timeout_ms: u64) -> Route {
    Route {
        host: format!("tenant{number:04}.example"),
        split: vec![WeightedService {
            service: format!("model-{:02}", number % MODELS),
            weight: 1,
        }],
        ..route(&format!("tenant{number:04}-read"), timeout_ms)
    }
}

fn model_service(number: usize) -> Service {
    let name = format!("model-{number:02}");
    let engine = Engine {
        slots: 128,
        cache_tokens: 667_015,
        cache_token_bytes: 18_432,
        link_mbps: 320_000.0,
        stride: 1,
        handle_hold_ms: 4_000,
        role_switch_ms: 1_000,
        models: vec![name.clone()],
    };
    Service {
        engine: Some(engine),
        ..service(&name)
    }
}

/// Returns the configuration of all tenants; each version changes one route.
fn large_configuration(version: u64) -> Configuration {
    let timeout = |number: usize| {
        if number as u64 == version % TENANTS as u64 {
            6_000
        } else {
            5_000
        }
    };
    Configuration {
        routes: (0..TENANTS)
            .map(|number| tenant_route(number, timeout(number)))
            .collect(),
        services: (0..MODELS).map(model_service).collect(),
        ..configuration(version, &[])
    }
}

fn searcher(number: usize) -> Instance {
    let name = format!("model-{:02}", number % MODELS);
    Instance {
        service: name.clone(),
        address: format!("10.{}.{}.{}:8149", number % 4, number / 250, number % 250),
        zone: format!("zone-{}", number % 4),
        slots: 128,
        stage: Some(if number.is_multiple_of(3) {
            Stage::Prefill
        } else {
            Stage::Decode
        }),
        models: vec![ModelVersion { name, version: 1 }],
        ..instance(&format!("i-{number:010x}"))
    }
}

/// Returns all searchers; each revision shows another one as draining.
fn large_list(sequence: u64) -> Rc<Vec<Instance>> {
    let mut list: Vec<Instance> = (0..SEARCHERS).map(searcher).collect();
    list[sequence as usize % SEARCHERS].state = InstanceState::Draining;
    Rc::new(list)
}

/// Publishes changes at the planned rate, starting at time 0.
struct PlannedChanges {
    /// Version of the newest configuration.
    version: u64,
    /// Sequence of the newest list's revision.
    sequence: u64,
}

impl PlannedChanges {
    fn publish_due(&mut self, publisher: &mut Publisher, now_ms: u64) {
        if now_ms * CONFIGURATION_CHANGES_PER_HOUR / HOUR_MS >= self.version {
            self.version += 1;
            publisher.publish_configuration(Rc::new(large_configuration(self.version)));
        }
        if now_ms * LIST_CHANGES_PER_HOUR / HOUR_MS >= self.sequence {
            self.sequence += 1;
            publisher.publish_list(revision(1, self.sequence), large_list(self.sequence));
        }
    }
}

/// A control node and its agents, which answer immediately.
struct Fleet {
    publisher: Publisher,
    agents: Vec<(SubscriberId, Subscriber)>,
    messages: u64,
    bytes: u64,
}

impl Fleet {
    fn start(agents: usize) -> Self {
        let mut publisher = Publisher::new(1);
        publisher.publish_configuration(Rc::new(large_configuration(1)));
        publisher.publish_list(revision(1, 1), large_list(1));
        let mut fleet = Fleet {
            publisher,
            agents: Vec::new(),
            messages: 0,
            bytes: 0,
        };
        for number in 0..agents {
            let id = fleet.publisher.connect(0);
            let mut agent = Subscriber::new(identity(&format!("edge-{number}")));
            let subscribe = agent.subscribe(0);
            fleet.receive(id, 0, subscribe);
            fleet.agents.push((id, agent));
        }
        fleet
    }

    fn receive(&mut self, id: SubscriberId, now_ms: u64, message: FromSubscriber) {
        self.count(lockusher_transport::frame::encode(&Envelope::encode(&message)).len());
        self.publisher.receive(id, now_ms, message);
    }

    fn count(&mut self, frame_bytes: usize) {
        self.messages += 1;
        self.bytes += frame_bytes as u64 + SEGMENT_BYTES;
    }

    fn step(&mut self, now_ms: u64) {
        let status = PublisherStatus {
            list_confirmed_at_ms: Some(now_ms),
            ..self.publisher.status()
        };
        self.publisher.set_status(status);
        let mut agents = std::mem::take(&mut self.agents);
        for (id, agent) in &mut agents {
            while let Some(frame) = self.publisher.next_frame(*id, now_ms) {
                self.count(frame.len());
                let message = decode_frame(&frame);
                agent.set_downstream(DownstreamState {
                    in_force_version: agent.applied().configuration_version,
                    ..DownstreamState::PROXY
                });
                if let Some(answer) = agent.receive(now_ms, message) {
                    self.receive(*id, now_ms, answer);
                }
            }
        }
        self.agents = agents;
    }

    fn all_have_applied_the_newest_versions(&self) -> bool {
        self.agents
            .iter()
            .all(|(_, agent)| agent.applied() == self.publisher.newest())
    }
}

#[parameterized(
    with_nine_control_nodes = { 45 },
    with_six_control_nodes = { 67 },
)]
fn changes_at_the_planned_rate_stay_within_the_traffic_limit(agents: usize) {
    let mut fleet = Fleet::start(agents);
    fleet.step(0);
    let (start_messages, start_bytes) = (fleet.messages, fleet.bytes);
    let agents = agents as f64;
    println!(
        "{agents} agents: initial state, {:.0} bytes per agent",
        start_bytes as f64 / agents
    );
    let started = Instant::now();

    let mut changes = PlannedChanges {
        version: 1,
        sequence: 1,
    };
    for now_ms in (STEP_MS..=SIMULATED_MS).step_by(STEP_MS as usize) {
        changes.publish_due(&mut fleet.publisher, now_ms);
        fleet.step(now_ms);
    }

    let simulated_s = SIMULATED_MS as f64 / 1_000.0;
    let bytes_per_s = (fleet.bytes - start_bytes) as f64 / agents / simulated_s;
    let messages_per_s = (fleet.messages - start_messages) as f64 / agents / simulated_s;
    println!(
        "{agents} agents: {bytes_per_s:.0} bytes/s and {messages_per_s:.2} messages/s per agent; computing took {:.2} s",
        started.elapsed().as_secs_f64()
    );
    assert!(fleet.all_have_applied_the_newest_versions());
    assert!(
        bytes_per_s < MAX_BYTES_PER_S,
        "{bytes_per_s} bytes a second"
    );
}

#[test]
fn fifty_changes_at_once_are_applied_in_one_step() {
    let mut fleet = Fleet::start(1);
    fleet.step(0);
    let before = fleet.bytes;

    for version in 2..=51 {
        fleet
            .publisher
            .publish_configuration(Rc::new(large_configuration(version)));
    }
    fleet.step(STEP_MS);

    println!(
        "fifty changes at once to one agent: {} bytes",
        fleet.bytes - before
    );
    assert!(fleet.all_have_applied_the_newest_versions());
}

#[test]
fn the_initial_state_is_sent_once_as_full_snapshots() {
    let mut publisher = Publisher::new(1);
    publisher.publish_configuration(Rc::new(large_configuration(1)));
    publisher.publish_list(revision(1, 1), large_list(1));
    let id = publisher.connect(0);
    publisher.receive(id, 0, Subscriber::new(identity("edge-1")).subscribe(0));

    let frames: Vec<usize> = std::iter::from_fn(|| publisher.next_frame(id, 0))
        .map(|frame| frame.len())
        .collect();

    println!("configuration, list, heartbeat: {frames:?} bytes");
    let [configuration, list, heartbeat] = frames[..] else {
        panic!("three frames are due: {frames:?}")
    };
    assert!(configuration < 64 * TENANTS, "{configuration} bytes");
    assert!(list < 64 * SEARCHERS, "{list} bytes");
    assert!(heartbeat < 100, "{heartbeat} bytes");
}
