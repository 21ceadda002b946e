//! A small world of stand-ins without a fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lockusher_router_testbed::checker::{Evidence, Verdict, check};
use lockusher_router_testbed::client::Client;
use lockusher_router_testbed::engine::{EngineParameters, MICROS_PER_MS, Stage};
use lockusher_router_testbed::kv_network::KvNetwork;
use lockusher_router_testbed::model_searcher::{ModelParameters, ModelSearcher};
use lockusher_router_testbed::plain_searcher::{PlainParameters, PlainSearcher};
use lockusher_router_testbed::platform::{Platform, PlatformParameters};
use lockusher_router_testbed::record::{ArrivalLog, TestClock};
use lockusher_router_testbed::request::{RequestRecord, RequestSpec};
use lockusher_router_testbed::searcher::Identity;

use crate::specs::{acknowledged, bounds, configuration};

const ANY_PORT: &str = "127.0.0.1:0";

/// Searchers and the platform on ports of their own.
pub struct Bench {
    pub clock: TestClock,
    pub arrival_log: ArrivalLog,
    pub prefill: ModelSearcher,
    pub decode: ModelSearcher,
    pub plain: PlainSearcher,
    pub platform: Platform,
    network: KvNetwork,
}

impl Bench {
    pub fn start() -> Bench {
        let clock = TestClock::start();
        let arrival_log = ArrivalLog::default();
        let network = KvNetwork::default();
        let model = |name: &str, stage| {
            let identity = identity(name, "chat", "zone-a");
            ModelSearcher::start(
                identity,
                stage,
                model_parameters(),
                clock,
                arrival_log.clone(),
                network.clone(),
            )
            .expect("starts")
        };
        let plain = PlainSearcher::start(
            identity("i-plain", "records", "zone-b"),
            plain_parameters(),
            clock,
            arrival_log.clone(),
        );
        let plain = plain.expect("starts");
        let (prefill, decode) = (
            model("i-prefill", Stage::Prefill),
            model("i-decode", Stage::Decode),
        );
        let entries = vec![prefill.entry(), decode.entry(), plain.entry()];
        let parameters = PlatformParameters {
            lag: 0,
            rate_per_second: 20.0,
            page_size: 2,
        };
        let platform = Platform::start(any_port(), parameters, entries, clock).expect("starts");
        Bench {
            clock,
            arrival_log: arrival_log.clone(),
            prefill,
            decode,
            plain,
            platform,
            network,
        }
    }

    /// Ends the prefill searcher and starts another at its address.
    pub fn restart_prefill(&mut self) {
        self.prefill.stop();
        let mut identity = self.prefill.identity().clone();
        identity.instance.push_str("-2");
        let (arrival_log, network) = (self.arrival_log.clone(), self.network.clone());
        let next = ModelSearcher::start(
            identity,
            Stage::Prefill,
            model_parameters(),
            self.clock,
            arrival_log,
            network,
        );
        self.prefill = next.expect("starts");
    }

    /// Sends one request to an address.
    pub fn request(&self, address: SocketAddr, spec: RequestSpec) -> RequestRecord {
        Client::new(self.clock).request(&Arc::new(spec), self.clock.now(), |_| address)
    }

    /// A client that keeps its connections.
    pub fn keeping_client(&self) -> Client {
        Client::keeping_connections(self.clock, Duration::from_secs(10))
    }

    /// Checks what came of some requests.
    pub fn check(&self, records: &[RequestRecord]) -> Verdict {
        check(&Evidence {
            tries: records
                .iter()
                .flat_map(|record| record.tries.clone())
                .collect(),
            arrivals: self.arrival_log.snapshot(),
            changes: vec![acknowledged(configuration())],
            drained: self.platform.drain_times(),
            bounds: bounds(),
        })
    }
}

fn any_port() -> SocketAddr {
    ANY_PORT.parse().expect("an address")
}

fn identity(instance: &str, service: &str, zone: &str) -> Identity {
    Identity {
        instance: instance.to_owned(),
        service: service.to_owned(),
        address: any_port(),
        zone: zone.to_owned(),
        region: "region".to_owned(),
    }
}

fn model_parameters() -> ModelParameters {
    ModelParameters {
        engine: EngineParameters {
            slots: 8,
            queue_limit: 8,
            cache_tokens: 100_000,
            block_tokens: 16,
            cache_token_bytes: 1_000,
            step: MICROS_PER_MS,
            step_per_request: 20,
            prefill_tokens_per_ms: 1_000,
            prefill_chunk_tokens: 2_000,
            link_mbps: 100_000.0,
            handle_ttl: 5_000 * MICROS_PER_MS,
            stage_switch_duration: 60_000 * MICROS_PER_MS,
            max_link_wait: 2_000 * MICROS_PER_MS,
        },
        stride: 10,
        connection_limit: 50,
        health_path: "/health".to_owned(),
        fenced: false,
    }
}

fn plain_parameters() -> PlainParameters {
    PlainParameters {
        slots: 4,
        queue_limit: 4,
        work: Duration::from_millis(5),
        answer_bytes: 800..=800,
        connection_limit: 50,
        health_path: "/health".to_owned(),
    }
}
