//! End-to-end tests of the fleet: `lockusher-node` processes on the loopback between the stand-ins.
//!
//! Each test starts a whole deployment; a lock serializes the tests, so that they don't compete for CPU time. Tests
//! don't sleep for fixed times: they poll for conditions with a bounded number of polls, and wait for the end of a
//! load of fixed length.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lockusher_config::configuration::RouteKind;
use lockusher_router_testbed::checker::Rule;
use lockusher_router_testbed::deployment::{PLAIN_SERVICE, request_mix, route, spec_for};
use lockusher_router_testbed::figures::Figures;
use lockusher_router_testbed::fleet::{Role, Signal};
use lockusher_router_testbed::load::{Load, LoadPlan};
use lockusher_router_testbed::operator::ChangeOutcome;
use lockusher_router_testbed::request::{RequestRecord, TryOutcome};
use lockusher_router_testbed::wait::wait_until;
use lockusher_router_testbed::world::{World, WorldPlan};

static EXCLUSIVE: Mutex<()> = Mutex::new(());

const TIMEOUT: Duration = Duration::from_secs(10);
const RATE: f64 = 20.0;
/// Polls, 50 ms apart, until a condition must be met.
const POLLS: u32 = 400;

fn exclusive() -> MutexGuard<'static, ()> {
    EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn world() -> World {
    World::start(&WorldPlan::default()).expect("starting the world")
}

fn load_plan(world: &World, seconds: u64) -> LoadPlan {
    LoadPlan {
        kinds: request_mix(&world.configuration, RATE),
        length: Duration::from_secs(seconds),
        workers: 40,
        seed: 1,
        max_idle: Duration::from_secs(12),
    }
}

/// Waits until a share of the load's requests has completed.
fn wait_for_share(load: &Load, share: f64) {
    let expected = (load.planned() as f64 * share) as usize;
    wait_until("load progress", POLLS, || load.completed() >= expected).expect("load stalled");
}

fn assert_clean(world: &mut World, records: &[RequestRecord]) {
    let verdict = world.check(records);
    assert!(verdict.is_clean(), "{:#?}", verdict.violations);
    assert_eq!(world.fleet.unexpected_exits(), Vec::<String>::new());
}

fn served_share(records: &[RequestRecord]) -> f64 {
    let total = Figures::of(records).total();
    total.served as f64 / total.requests.max(1) as f64
}

fn assert_served(records: &[RequestRecord], share: f64) {
    let unserved: Vec<&RequestRecord> = records
        .iter()
        .filter(|record| !record.is_served())
        .collect();
    assert!(
        served_share(records) >= share,
        "{unserved:#?}\n{}",
        Figures::of(records)
    );
}

#[test]
fn without_disturbances_every_request_is_served_and_no_rule_violated() {
    let _exclusive = exclusive();
    let mut world = world();
    let records = world.load(&load_plan(&world, 6)).finish();
    assert_served(&records, 1.0);
    assert_clean(&mut world, &records);
}

#[test]
fn without_disturbances_prefill_and_decode_run_on_different_searchers() {
    let _exclusive = exclusive();
    let mut world = world();
    let records = world.load(&load_plan(&world, 4)).finish();
    let handed_over = world
        .arrival_log()
        .count(|arrival| arrival.prompt_owner.is_some() && arrival.run().is_some());
    assert!(
        handed_over > 0,
        "no stream continued from a prompt that another searcher had prefilled"
    );
    assert_clean(&mut world, &records);
}

#[test]
fn a_configuration_change_takes_effect_on_every_proxy() {
    let _exclusive = exclusive();
    let mut world = world();
    let added = route("added", PLAIN_SERVICE, RouteKind::Idempotent);
    let added_route = added.clone();
    let outcome = world.change(
        |configuration| {
            configuration.routes.retain(|route| route.name != "record");
            configuration.routes.push(added_route);
        },
        TIMEOUT,
    );
    assert_eq!(outcome, ChangeOutcome::Acknowledged);
    let spec = std::sync::Arc::new(spec_for(&added));
    let removed = std::sync::Arc::new(spec_for(&route(
        "record",
        PLAIN_SERVICE,
        RouteKind::NonIdempotent,
    )));
    let mut client = lockusher_router_testbed::client::Client::new(world.clock);
    let mut records = Vec::new();
    for mixer in world.fleet.mixers() {
        let mut poll_status = |spec, expected| {
            wait_until("effect of the configuration change", POLLS, || {
                let record = client.request(spec, world.clock.now(), |_| mixer.front);
                let status = match &record.tries[record.tries.len() - 1].outcome {
                    TryOutcome::Complete(seen) => seen.status,
                    _ => 0,
                };
                records.push(record);
                status == expected
            })
        };
        poll_status(&spec, 200).expect("the new route is served");
        poll_status(&removed, 404).expect("the removed route is answered with 404");
    }
    assert_clean(&mut world, &records);
    let read_back = world.operator.get(TIMEOUT).expect("it is read back");
    assert_eq!(read_back["version"], world.configuration.version);
}

#[test]
fn repeating_an_acknowledged_change_is_acknowledged() {
    let _exclusive = exclusive();
    let mut world = world();
    let base = world.configuration.version;
    assert_eq!(world.change(|_| {}, TIMEOUT), ChangeOutcome::Acknowledged);
    for first in 0..world.fleet.control().len() {
        let repeated = world
            .operator
            .put(&world.configuration, base, first, TIMEOUT);
        assert_eq!(repeated, ChangeOutcome::Acknowledged);
    }
}

#[test]
fn an_invalid_or_outdated_configuration_is_refused() {
    let _exclusive = exclusive();
    let world = world();
    let mut invalid = world.configuration.clone();
    invalid.version += 1;
    invalid.routes[0].split[0].service = "nobody".to_owned();
    let outcome = world
        .operator
        .put(&invalid, world.configuration.version, 0, TIMEOUT);
    assert_eq!(outcome, ChangeOutcome::Refused { status: 400 });
    let mut outdated = world.configuration.clone();
    outdated.version += 1;
    let outcome = world
        .operator
        .put(&outdated, world.configuration.version + 5, 0, TIMEOUT);
    assert_eq!(outcome, ChangeOutcome::Refused { status: 412 });
}

#[test]
fn only_one_of_two_concurrent_changes_is_acknowledged() {
    let _exclusive = exclusive();
    let world = world();
    let base = world.configuration.version;
    let change_to = |name: &str| {
        let mut next = world.configuration.clone();
        next.version = base + 3;
        next.routes
            .push(route(name, PLAIN_SERVICE, RouteKind::Idempotent));
        next
    };
    let changes = [change_to("one"), change_to("other")];
    let operator = &world.operator;
    let outcomes: Vec<ChangeOutcome> = std::thread::scope(|scope| {
        let send =
            |(first, change)| scope.spawn(move || operator.put(change, base, first, TIMEOUT));
        let senders: Vec<_> = changes.iter().enumerate().map(send).collect();
        senders
            .into_iter()
            .map(|sender| sender.join().expect("sender panicked"))
            .collect()
    });
    let acknowledged = outcomes
        .iter()
        .filter(|outcome| **outcome == ChangeOutcome::Acknowledged)
        .count();
    assert_eq!(acknowledged, 1, "{outcomes:?}");
    let read_back = world.operator.get(TIMEOUT).expect("it is read back");
    let winner = if outcomes[0] == ChangeOutcome::Acknowledged {
        "one"
    } else {
        "other"
    };
    let routes = read_back["routes"].as_array().expect("routes");
    assert!(
        routes.iter().any(|route| route["name"] == winner),
        "{read_back}"
    );
}

#[test]
fn a_killed_control_node_restarts_without_losing_acknowledged_changes() {
    let _exclusive = exclusive();
    let mut world = world();
    let load = world.load(&load_plan(&world, 8));
    wait_for_share(&load, 0.2);
    for core in 0..world.fleet.control().len() {
        world.fleet.kill(Role::Control, core);
        assert_eq!(
            world.change(|_| {}, TIMEOUT),
            ChangeOutcome::Acknowledged,
            "without control node {core}"
        );
        world.fleet.start_control(core, false).expect("it restarts");
        let version = world.configuration.version;
        let is_restored = || {
            world
                .operator
                .get(TIMEOUT)
                .is_some_and(|read| read["version"] == version)
        };
        wait_until("read back of the newest version", POLLS, is_restored).expect("change lost");
    }
    let records = load.finish();
    assert_served(&records, 1.0);
    assert_clean(&mut world, &records);
}

#[test]
fn killing_all_control_nodes_at_once_loses_no_acknowledged_change() {
    let _exclusive = exclusive();
    let mut world = world();
    assert_eq!(world.change(|_| {}, TIMEOUT), ChangeOutcome::Acknowledged);
    let cores = world.fleet.control().len();
    (0..cores).for_each(|core| world.fleet.kill(Role::Control, core));
    for core in 0..cores {
        world.fleet.start_control(core, false).expect("it restarts");
    }
    let read_back = world.operator.get(TIMEOUT * 2).expect("it is read back");
    assert_eq!(read_back["version"], world.configuration.version);
    assert_eq!(world.change(|_| {}, TIMEOUT), ChangeOutcome::Acknowledged);
}

#[test]
fn a_control_node_that_lost_its_disk_rejoins() {
    let _exclusive = exclusive();
    let mut world = world();
    world.fleet.kill(Role::Control, 0);
    world.fleet.lose_disk(0).expect("clearing the disk");
    world.fleet.start_control(0, false).expect("it restarts");
    assert_eq!(
        world.change(|_| {}, TIMEOUT * 2),
        ChangeOutcome::Acknowledged
    );
    let read_back = world.operator.get(TIMEOUT).expect("it is read back");
    assert_eq!(read_back["version"], world.configuration.version);
}

#[test]
fn a_draining_searcher_gets_no_requests_after_the_drain_bound() {
    let _exclusive = exclusive();
    let mut world = world();
    let load = world.load(&load_plan(&world, 10));
    wait_for_share(&load, 0.2);
    let draining = world.plains[0].identity().instance.clone();
    world.plains[0].drain();
    world.platform.drain(&draining);
    let draining = world.models[0].identity().instance.clone();
    world.models[0].drain();
    world.platform.drain(&draining);
    let records = load.finish();
    assert_served(&records, 1.0);
    assert_clean(&mut world, &records);
}

#[test]
fn a_proxy_terminated_under_load_loses_no_requests() {
    let _exclusive = exclusive();
    let mut world = world();
    let load = world.load(&load_plan(&world, 10));
    wait_for_share(&load, 0.3);
    world.fleet.signal(Role::Proxy, 0, Signal::Terminate);
    let code = world
        .fleet
        .wait_exited(Role::Proxy, 0, POLLS)
        .expect("it exits in time");
    assert_eq!(code, 0);
    world.fleet.start_proxy(0, false).expect("it restarts");
    world.fleet.wait_ready(0).expect("it is ready again");
    let records = load.finish();
    assert_served(&records, 0.98);
    assert_clean(&mut world, &records);
}

#[test]
fn a_proxy_keeps_serving_while_its_agent_is_killed() {
    let _exclusive = exclusive();
    let mut world = world();
    let load = world.load(&load_plan(&world, 6));
    wait_for_share(&load, 0.2);
    world.fleet.kill(Role::Agent, 0);
    wait_for_share(&load, 0.5);
    world.fleet.start_agent(0, false).expect("it restarts");
    let records = load.finish();
    assert_served(&records, 1.0);
    assert_clean(&mut world, &records);
}

#[test]
fn a_searcher_crash_violates_no_rule_but_lost_streams() {
    let _exclusive = exclusive();
    let mut world = world();
    let load = world.load(&load_plan(&world, 8));
    wait_for_share(&load, 0.3);
    let mut crashed = world.models.pop().expect("a decode searcher");
    crashed.stop();
    let records = load.finish();
    let verdict = world.check(&records);
    // A stream that the crash interrupted may end early; no other rule may be violated.
    assert_eq!(
        verdict.without(Rule::Lost),
        Vec::<&lockusher_router_testbed::checker::Violation>::new()
    );
    assert_served(&records, 0.9);
}

/// Decode searchers can prefill prompts themselves, so failing KV cache transfers must not fail the requests.
#[test]
fn requests_are_served_while_kv_cache_transfers_fail() {
    let _exclusive = exclusive();
    let mut world = world();
    world.kv_network().set_partitioned(true);
    let records = world.load(&load_plan(&world, 8)).finish();
    let half = records.iter().map(|record| record.due).max().unwrap_or(0) / 2;
    let later: Vec<RequestRecord> = records
        .iter()
        .filter(|record| record.due >= half)
        .cloned()
        .collect();
    assert_served(&later, 0.9);
    assert_clean(&mut world, &records);
}
