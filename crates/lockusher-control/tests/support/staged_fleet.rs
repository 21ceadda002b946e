//! A simulated fleet of one service whose searchers carry out the scheduler's orders.

use lockusher_config::configuration::{Configuration, Engine, Limits, Service};
use lockusher_config::instances::{Instance, InstanceState, ModelVersion, Stage};
use lockusher_control::Millis;
use lockusher_control::stage_scheduler::{Observation, OrderOutcome, StageChange, StageScheduler};
use lockusher_distribution::load::ServiceLoad;

const LIST_LAG_MS: Millis = 500;
const SWITCH_MS: Millis = 2_000;
const OBSERVATION_INTERVAL_MS: Millis = 250;
/// Number of proxies in the fleet.
pub const PROXIES: u32 = 6;
const ZONES: [&str; 3] = ["north", "south", "west"];

/// The engine of the searchers' service.
pub fn engine() -> Engine {
    Engine {
        slots: 100,
        cache_tokens: 1_000_000,
        cache_token_bytes: 1_000,
        link_mbps: 100_000.0,
        stride: 10,
        handle_hold_ms: 5_000,
        role_switch_ms: SWITCH_MS,
        models: vec!["m".to_owned()],
    }
}

fn configuration() -> Configuration {
    let service = Service {
        name: "llm".to_owned(),
        health_check: "/health".to_owned(),
        connection_limit: 100,
        engine: Some(engine()),
    };
    let limits = Limits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        header_timeout_ms: 1_000,
        idle_timeout_ms: 1_000,
    };
    Configuration {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        limits,
    }
}

/// A ready searcher of a stage, in a zone by its number.
pub fn searcher(number: usize, stage: Stage) -> Instance {
    Instance {
        identifier: format!("i-{number}"),
        service: "llm".to_owned(),
        address: format!("10.0.0.{number}:80"),
        zone: ZONES[number % ZONES.len()].to_owned(),
        version: "v1".to_owned(),
        slots: 100,
        state: InstanceState::Ready,
        warm_up_remaining_ms: 0,
        stage: Some(stage),
        models: vec![ModelVersion {
            name: "m".to_owned(),
            version: 1,
        }],
    }
}

fn searchers(prefill: usize, decode: usize) -> Vec<Instance> {
    let stage = |number| {
        if number < prefill {
            Stage::Prefill
        } else {
            Stage::Decode
        }
    };
    (0..prefill + decode)
        .map(|number| searcher(number, stage(number)))
        .collect()
}

/// A load reported by all proxies, with these mean numbers of requests in each stage.
pub fn load(prefill_in_flight: f64, decode_in_flight: f64) -> ServiceLoad {
    ServiceLoad {
        service: "llm".to_owned(),
        proxies: PROXIES,
        requests_per_s: 100,
        prefill_tokens_per_s: 100_000,
        prefill_in_flight: (prefill_in_flight * 100.0) as u32,
        decode_in_flight: (decode_in_flight * 100.0) as u32,
        decode_waiting: 0,
        decode_tokens: 0,
    }
}

/// Searchers that execute orders as the platform's searchers do: they are changing during the switch, then ready in the
/// other stage.
pub struct Fleet {
    /// The scheduler under test.
    pub scheduler: StageScheduler,
    /// The instance list as the platform reports it.
    pub instances: Vec<Instance>,
    /// Changes in flight, each with the time of its completion.
    pub in_flight: Vec<(Millis, StageChange)>,
    /// All ordered changes, each with the time of its order.
    pub orders: Vec<(Millis, StageChange)>,
    /// The simulated time.
    pub now: Millis,
}

impl Fleet {
    /// A fleet with these numbers of searchers in each stage.
    pub fn new(prefill: usize, decode: usize) -> Self {
        Fleet {
            scheduler: StageScheduler::new(LIST_LAG_MS),
            instances: searchers(prefill, decode),
            in_flight: Vec::new(),
            orders: Vec::new(),
            now: 10_000,
        }
    }

    /// Number of ready searchers of a stage.
    pub fn count(&self, stage: Stage) -> usize {
        let serves = |instance: &&Instance| {
            instance.stage == Some(stage) && instance.state == InstanceState::Ready
        };
        self.instances.iter().filter(serves).count()
    }

    /// Makes one observation of a load, and applies the change that the scheduler orders, with this outcome.
    pub fn observe(
        &mut self,
        load: &ServiceLoad,
        proxies: u32,
        outcome: OrderOutcome,
    ) -> Option<StageChange> {
        self.now += OBSERVATION_INTERVAL_MS;
        let now = self.now;
        for (_, change) in self
            .in_flight
            .extract_if(.., |(completed_at, _)| *completed_at <= now)
        {
            let instance = self
                .instances
                .iter_mut()
                .find(|candidate| candidate.identifier == change.identifier);
            let Some(instance) = instance else { continue };
            instance.stage = Some(change.to);
            instance.state = InstanceState::Ready;
        }
        let configuration = configuration();
        let loads = [load.clone()];
        let observation = Observation {
            now,
            configuration: &configuration,
            instances: &self.instances,
            loads: &loads,
            proxies,
        };
        let change = self.scheduler.next_change(&observation)?;
        self.scheduler.order_completed(now, &change, outcome);
        if outcome == OrderOutcome::Accepted {
            let instance = self
                .instances
                .iter_mut()
                .find(|candidate| candidate.identifier == change.identifier);
            instance.expect("a searcher that is listed").state = InstanceState::Changing;
            self.in_flight
                .push((now + SWITCH_MS + LIST_LAG_MS + 1_000, change.clone()));
        }
        self.orders.push((now, change.clone()));
        Some(change)
    }

    /// Runs for a time under a load that may depend on the fleet; all orders are accepted.
    pub fn run(&mut self, seconds: u64, load: impl Fn(&Fleet) -> ServiceLoad) {
        for _ in 0..seconds * 1_000 / OBSERVATION_INTERVAL_MS {
            let load = load(self);
            self.observe(&load, PROXIES, OrderOutcome::Accepted);
        }
    }
}
