//! The planner of stages: stories, properties, and its convergence before a plain model of queues.

use std::collections::BTreeSet;

use lockusher_config::configuration::{Configuration, Engine, Limits, Service};
use lockusher_config::instances::{Instance, InstanceState, ModelVersion, Stage};
use lockusher_control::Millis;
use lockusher_control::stage_scheduler::{
    Demand, Observation, OrderOutcome, StageChange, StageCounts, StageScheduler,
};
use lockusher_distribution::load::ServiceLoad;
use proptest::prelude::*;
use yare::parameterized;

const LIST_LAG_MS: Millis = 500;
const SWITCH_MS: Millis = 2_000;
const LOOK_MS: Millis = 250;
const PROXIES: u32 = 6;
const ZONES: [&str; 3] = ["north", "south", "west"];

fn engine() -> Engine {
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
    Configuration { version: 1, routes: Vec::new(), services: vec![service], limits }
}

fn searcher(number: usize, stage: Stage) -> Instance {
    Instance {
        identifier: format!("i-{number}"),
        service: "llm".to_owned(),
        address: format!("10.0.0.{number}:80"),
        zone: ZONES[number % ZONES.len()].to_owned(),
        version: "v1".to_owned(),
        slots: 100,
        state: InstanceState::Ready,
        cold_remaining_ms: 0,
        stage: Some(stage),
        models: vec![ModelVersion { name: "m".to_owned(), version: 1 }],
    }
}

fn searchers(prefill: usize, decode: usize) -> Vec<Instance> {
    let stage = |number| if number < prefill { Stage::Prefill } else { Stage::Decode };
    (0..prefill + decode).map(|number| searcher(number, stage(number))).collect()
}

fn load(prefill_in_flight: f64, decode_in_flight: f64) -> ServiceLoad {
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

/// Searchers that carry out orders as the platform's searchers do: away for a while, then back in the other stage.
struct Fleet {
    scheduler: StageScheduler,
    instances: Vec<Instance>,
    in_flight: Vec<(Millis, StageChange)>,
    orders: Vec<(Millis, StageChange)>,
    now: Millis,
}

impl Fleet {
    fn new(prefill: usize, decode: usize) -> Self {
        Fleet {
            scheduler: StageScheduler::new(LIST_LAG_MS),
            instances: searchers(prefill, decode),
            in_flight: Vec::new(),
            orders: Vec::new(),
            now: 10_000,
        }
    }

    fn count(&self, stage: Stage) -> usize {
        let serves =
            |instance: &&Instance| instance.stage == Some(stage) && instance.state == InstanceState::Ready;
        self.instances.iter().filter(serves).count()
    }

    /// One look at a load, and all that follows of it.
    fn look(&mut self, load: &ServiceLoad, proxies: u32, outcome: OrderOutcome) -> Option<StageChange> {
        self.now += LOOK_MS;
        let now = self.now;
        for (_, change) in self.in_flight.extract_if(.., |(done, _)| *done <= now) {
            let instance = self.instances.iter_mut().find(|one| one.identifier == change.identifier);
            let Some(instance) = instance else { continue };
            instance.stage = Some(change.to);
            instance.state = InstanceState::Ready;
        }
        let configuration = configuration();
        let loads = [load.clone()];
        let seen = Observation {
            now,
            configuration: &configuration,
            instances: &self.instances,
            loads: &loads,
            proxies,
        };
        let change = self.scheduler.next_change(&seen)?;
        self.scheduler.order_completed(now, &change, outcome);
        if outcome == OrderOutcome::Accepted {
            let instance = self.instances.iter_mut().find(|one| one.identifier == change.identifier);
            instance.expect("a searcher that is listed").state = InstanceState::Changing;
            self.in_flight.push((now + SWITCH_MS + LIST_LAG_MS + 1_000, change.clone()));
        }
        self.orders.push((now, change.clone()));
        Some(change)
    }

    fn run(&mut self, seconds: u64, load: impl Fn(&Fleet) -> ServiceLoad) {
        for _ in 0..seconds * 1_000 / LOOK_MS {
            let load = load(self);
            self.look(&load, PROXIES, OrderOutcome::Accepted);
        }
    }
}

/// A queue before `servers` that are kept busy by `work` of them: the mean number in it.
fn queue(work: f64, servers: usize) -> f64 {
    let busy = (work / servers.max(1) as f64).min(0.98);
    servers as f64 * busy / (1.0 - busy)
}

#[parameterized(
    many_prompts = { 5, 7, 4.5, 60.0 },
    many_streams = { 9, 3, 1.0, 420.0 },
    large_fleet = { 100, 100, 90.0, 800.0 },
)]
fn it_converges_and_then_rests(prefill: usize, decode: usize, reading: f64, streams: f64) {
    let mut fleet = Fleet::new(prefill, decode);
    let demanded = |fleet: &Fleet| load(queue(reading, fleet.count(Stage::Prefill)), streams);
    fleet.run(120, demanded);
    let settled = fleet.orders.len();
    let counts = StageCounts::by_stage(|stage| fleet.count(stage));
    let demand = Demand { prefill: reading, decode: streams / f64::from(engine().slots) };
    let best = demand.best_split(prefill + decode, counts.prefill);
    let (reached, least) = (demand.pressure(counts), demand.pressure(best));
    assert!(settled > 0, "something was to be done");
    assert!(reached <= least * 1.25, "{counts:?}: pressure {reached:.2} where {least:.2} can be had");
    fleet.run(120, demanded);
    assert_eq!(fleet.orders.len(), settled, "no order once it fits: {:?}", fleet.orders);
}

#[test]
fn the_first_change_comes_within_a_second_of_the_load() {
    let mut fleet = Fleet::new(5, 7);
    fleet.run(20, |_| ServiceLoad { requests_per_s: 0, ..load(0.0, 0.0) });
    assert_eq!(fleet.orders, []);
    let seen_at = fleet.now;
    fleet.run(5, |_| load(40.0, 20.0));
    let (at, change) = &fleet.orders[0];
    assert!(at - seen_at <= 1_000, "after {} ms", at - seen_at);
    assert_eq!(change.to, Stage::Prefill);
}

#[test]
fn light_load_changes_nothing() {
    let mut fleet = Fleet::new(5, 7);
    fleet.run(60, |_| load(1.5, 10.0));
    assert_eq!(fleet.orders, []);
}

#[test]
fn too_few_proxies_say_nothing() {
    let mut fleet = Fleet::new(5, 7);
    for _ in 0..100 {
        let few = ServiceLoad { proxies: 2, ..load(40.0, 20.0) };
        assert_eq!(fleet.look(&few, PROXIES, OrderOutcome::Accepted), None);
        assert_eq!(fleet.look(&load(40.0, 20.0), 0, OrderOutcome::Accepted), None);
    }
}

#[test]
fn full_kv_cache_calls_for_decode_searchers() {
    let mut fleet = Fleet::new(9, 3);
    fleet.run(30, |_| ServiceLoad { decode_tokens: 2_400_000, ..load(2.0, 30.0) });
    assert!(fleet.orders.iter().all(|(_, change)| change.to == Stage::Decode));
    assert!(fleet.count(Stage::Decode) > 3);
}

#[test]
fn decode_searchers_that_are_needed_stay() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(60, |_| load(60.0, 220.0));
    assert_eq!(fleet.orders, [], "those that stay would be full");
}

#[test]
fn the_zone_with_the_most_of_a_stage_gives() {
    let mut fleet = Fleet::new(5, 7);
    fleet.instances.iter_mut().skip(5).for_each(|one| one.zone = "north".to_owned());
    fleet.instances[11].zone = "south".to_owned();
    fleet.run(3, |_| load(40.0, 20.0));
    let given = &fleet.orders[0].1;
    let giver = fleet.instances.iter().find(|one| one.identifier == given.identifier).expect("it is listed");
    assert_eq!(giver.zone, "north");
}

#[test]
fn the_last_of_a_model_stays() {
    let mut fleet = Fleet::new(2, 3);
    let rare = ModelVersion { name: "rare".to_owned(), version: 1 };
    fleet.instances[4].models.push(rare);
    fleet.run(60, |_| load(40.0, 5.0));
    assert!(fleet.orders.iter().all(|(_, change)| change.identifier != "i-4"));
}

#[parameterized(
    refused = { OrderOutcome::Rejected, false },
    not_sent = { OrderOutcome::NotSent, true },
)]
fn an_order_that_was_not_taken_leaves_no_mark(outcome: OrderOutcome, same_again: bool) {
    let mut fleet = Fleet::new(5, 7);
    let heavy = load(40.0, 20.0);
    let first = (0..8).find_map(|_| fleet.look(&heavy, PROXIES, outcome)).expect("an order");
    assert_eq!(fleet.scheduler.changes_in_flight().count(), 0);
    let second = (0..8).find_map(|_| fleet.look(&heavy, PROXIES, outcome)).expect("another order");
    assert_eq!(first.identifier == second.identifier, same_again);
}

#[test]
fn a_service_that_knows_no_such_order_is_left_alone() {
    let mut fleet = Fleet::new(5, 7);
    let orders = (0..400).filter_map(|_| fleet.look(&load(40.0, 20.0), PROXIES, OrderOutcome::Unsupported));
    assert_eq!(orders.count(), 1);
}

#[test]
fn an_order_without_an_answer_may_have_been_taken() {
    let mut fleet = Fleet::new(5, 7);
    let heavy = load(40.0, 20.0);
    let first = (0..8).find_map(|_| fleet.look(&heavy, PROXIES, OrderOutcome::Unknown)).expect("an order");
    assert!(fleet.scheduler.changes_in_flight().any(|change| *change == first), "it counts as under way");
    fleet.run(60, |_| load(0.5, 1.0));
    assert_eq!(fleet.scheduler.changes_in_flight().count(), 0, "the list never showed it");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Whatever the loads: each stage keeps a searcher, two where there are enough, and orders are few.
    #[test]
    fn stages_stay_served_and_orders_few(
        prefill in 1usize..9,
        decode in 1usize..9,
        loads in prop::collection::vec((0.0f64..300.0, 0.0f64..900.0, 0u32..9_000_000), 1..60),
    ) {
        let mut fleet = Fleet::new(prefill, decode);
        let kept = if prefill + decode >= 4 { 2 } else { 1 };
        for (reading, streams, tokens) in &loads {
            for _ in 0..8 {
                let seen = ServiceLoad { decode_tokens: *tokens, ..load(*reading, *streams) };
                let before = [fleet.count(Stage::Prefill), fleet.count(Stage::Decode)];
                let change = fleet.look(&seen, PROXIES, OrderOutcome::Accepted);
                let after = [fleet.count(Stage::Prefill), fleet.count(Stage::Decode)];
                if change.is_some() {
                    let least = after[0].min(after[1]);
                    prop_assert!(least >= kept.min(before[0]).min(before[1]), "{before:?}, then {after:?}");
                }
                prop_assert!(after[0] >= 1 && after[1] >= 1);
                let away: BTreeSet<&str> =
                    fleet.in_flight.iter().map(|(_, change)| change.identifier.as_str()).collect();
                prop_assert!(away.len() <= ((prefill + decode) / 4).max(1), "{away:?}");
            }
        }
        // One for each searcher in fifty seconds, after a start of half of them or four.
        let (searchers, seconds) = ((prefill + decode) as f64, loads.len() as f64 * 2.0);
        let most = (searchers / 2.0).max(4.0) + searchers * seconds / 50.0;
        prop_assert!(fleet.orders.len() as f64 <= most + 1.0, "{} orders", fleet.orders.len());
    }

    /// A load that only jitters around what fits never has searchers go to and fro.
    #[test]
    fn noise_makes_no_flapping(
        reading in 1.0f64..6.0,
        streams in 10.0f64..300.0,
        noise in prop::collection::vec(0.7f64..1.4, 480),
    ) {
        let mut fleet = Fleet::new(6, 6);
        let mut draws = noise.iter().cycle();
        for _ in 0..480 {
            let jitter = draws.next().copied().unwrap_or(1.0);
            let waiting = queue(reading, fleet.count(Stage::Prefill)) * jitter;
            fleet.look(&load(waiting, streams * jitter), PROXIES, OrderOutcome::Accepted);
        }
        let mut turns = 0;
        for pair in fleet.orders.windows(2) {
            turns += usize::from(pair[0].1.to != pair[1].1.to);
        }
        prop_assert!(turns <= 1, "{:?}", fleet.orders);
    }
}
