//! The fleet end to end: `lockusher-node` processes on the loopback between the stand-ins.
//!
//! Each test starts a whole deployment; a lock lets one run at a time, so that they don't take the processor
//! from each other. No test waits blindly: they wait for states, a bounded number of looks long, and for the
//! end of a load whose length is given.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lockusher_config::configuration::RouteKind;
use lockusher_router_testbed::checker::Rule;
use lockusher_router_testbed::deployment::{PLAIN_SERVICE, mix, route, spec_for};
use lockusher_router_testbed::figures::Figures;
use lockusher_router_testbed::fleet::{Role, Signal};
use lockusher_router_testbed::load::{Load, LoadPlan};
use lockusher_router_testbed::operator::ChangeOutcome;
use lockusher_router_testbed::request::{RequestRecord, TryOutcome};
use lockusher_router_testbed::wait::wait_until;
use lockusher_router_testbed::world::{World, WorldPlan};

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

const PATIENCE: Duration = Duration::from_secs(10);
const RATE: f64 = 20.0;
/// Looks of 50 ms until a state must have come.
const TRIES: u32 = 400;

fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

fn world() -> World {
    World::start(&WorldPlan::default()).expect("the world starts")
}

fn load_plan(world: &World, seconds: u64) -> LoadPlan {
    LoadPlan {
        kinds: mix(&world.configuration, RATE),
        length: Duration::from_secs(seconds),
        workers: 40,
        seed: 1,
        reuse_within: Duration::from_secs(12),
    }
}

/// Waits until a share of the load's requests has ended.
fn wait_for_share(load: &Load, share: f64) {
    let wanted = (load.planned() as f64 * share) as usize;
    wait_until("a share of the load", TRIES, || load.ended() >= wanted).expect("the load goes on");
}

fn assert_clean(world: &mut World, records: &[RequestRecord]) {
    let verdict = world.check(records);
    assert!(verdict.is_clean(), "{:#?}", verdict.violations);
    assert_eq!(world.fleet.ended_by_themselves(), Vec::<String>::new());
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
fn a_calm_run_serves_all_and_breaks_nothing() {
    let _alone = alone();
    let mut world = world();
    let records = world.load(&load_plan(&world, 6)).finish();
    assert_served(&records, 1.0);
    assert_clean(&mut world, &records);
}

#[test]
fn a_calm_run_splits_prefill_and_decode() {
    let _alone = alone();
    let mut world = world();
    let records = world.load(&load_plan(&world, 4)).finish();
    let handed_over = world
        .arrival_log()
        .count(|arrival| arrival.prompt_owner.is_some() && arrival.run().is_some());
    assert!(
        handed_over > 0,
        "no stream continued from a prompt that another searcher had read"
    );
    assert_clean(&mut world, &records);
}

#[test]
fn a_change_is_in_force_on_every_proxy() {
    let _alone = alone();
    let mut world = world();
    let added = route("added", PLAIN_SERVICE, RouteKind::Idempotent);
    let for_change = added.clone();
    let outcome = world.change(
        |configuration| {
            configuration.routes.retain(|route| route.name != "record");
            configuration.routes.push(for_change);
        },
        PATIENCE,
    );
    assert_eq!(outcome, ChangeOutcome::Acknowledged);
    let spec = std::sync::Arc::new(spec_for(&added));
    let dropped = std::sync::Arc::new(spec_for(&route(
        "record",
        PLAIN_SERVICE,
        RouteKind::NonIdempotent,
    )));
    let mut client = lockusher_router_testbed::client::Client::new(world.clock);
    let mut records = Vec::new();
    for mixer in world.fleet.mixers() {
        let mut ask = |spec, wanted| {
            wait_until("the change is in force", TRIES, || {
                let record = client.request(spec, world.clock.now(), |_| mixer.front);
                let status = match &record.tries[record.tries.len() - 1].outcome {
                    TryOutcome::Complete(seen) => seen.status,
                    _ => 0,
                };
                records.push(record);
                status == wanted
            })
        };
        ask(&spec, 200).expect("the new route serves");
        ask(&dropped, 404).expect("the dropped route is gone");
    }
    assert_clean(&mut world, &records);
    let read_back = world.operator.get(PATIENCE).expect("it is read back");
    assert_eq!(read_back["version"], world.configuration.version);
}

#[test]
fn an_acknowledged_change_that_is_sent_again_is_acknowledged_again() {
    let _alone = alone();
    let mut world = world();
    let base = world.configuration.version;
    assert_eq!(world.change(|_| {}, PATIENCE), ChangeOutcome::Acknowledged);
    for first in 0..world.fleet.control().len() {
        let again = world
            .operator
            .put(&world.configuration, base, first, PATIENCE);
        assert_eq!(again, ChangeOutcome::Acknowledged);
    }
}

#[test]
fn an_invalid_or_outdated_configuration_is_refused() {
    let _alone = alone();
    let world = world();
    let mut invalid = world.configuration.clone();
    invalid.version += 1;
    invalid.routes[0].split[0].service = "nobody".to_owned();
    let outcome = world
        .operator
        .put(&invalid, world.configuration.version, 0, PATIENCE);
    assert_eq!(outcome, ChangeOutcome::Refused { status: 400 });
    let mut outdated = world.configuration.clone();
    outdated.version += 1;
    let outcome = world
        .operator
        .put(&outdated, world.configuration.version + 5, 0, PATIENCE);
    assert_eq!(outcome, ChangeOutcome::Refused { status: 412 });
}

#[test]
fn of_two_racing_changes_one_wins() {
    let _alone = alone();
    let world = world();
    let base = world.configuration.version;
    let rival = |name: &str| {
        let mut next = world.configuration.clone();
        next.version = base + 3;
        next.routes
            .push(route(name, PLAIN_SERVICE, RouteKind::Idempotent));
        next
    };
    let rivals = [rival("one"), rival("other")];
    let operator = &world.operator;
    let outcomes: Vec<ChangeOutcome> = std::thread::scope(|scope| {
        let race = |(first, rival)| scope.spawn(move || operator.put(rival, base, first, PATIENCE));
        let racers: Vec<_> = rivals.iter().enumerate().map(race).collect();
        racers
            .into_iter()
            .map(|racer| racer.join().expect("a racer"))
            .collect()
    });
    let won = outcomes
        .iter()
        .filter(|outcome| **outcome == ChangeOutcome::Acknowledged)
        .count();
    assert_eq!(won, 1, "{outcomes:?}");
    let read_back = world.operator.get(PATIENCE).expect("it is read back");
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
fn a_control_node_that_is_killed_comes_back_with_what_was_acknowledged() {
    let _alone = alone();
    let mut world = world();
    let load = world.load(&load_plan(&world, 8));
    wait_for_share(&load, 0.2);
    for core in 0..world.fleet.control().len() {
        world.fleet.kill(Role::Control, core);
        assert_eq!(
            world.change(|_| {}, PATIENCE),
            ChangeOutcome::Acknowledged,
            "without control node {core}"
        );
        world
            .fleet
            .start_control(core, false)
            .expect("it starts again");
        let version = world.configuration.version;
        let comes_back = || {
            world
                .operator
                .get(PATIENCE)
                .is_some_and(|read| read["version"] == version)
        };
        wait_until("the newest version is read back", TRIES, comes_back).expect("nothing is lost");
    }
    let records = load.finish();
    assert_served(&records, 1.0);
    assert_clean(&mut world, &records);
}

#[test]
fn all_control_nodes_killed_at_once_lose_nothing() {
    let _alone = alone();
    let mut world = world();
    assert_eq!(world.change(|_| {}, PATIENCE), ChangeOutcome::Acknowledged);
    let cores = world.fleet.control().len();
    (0..cores).for_each(|core| world.fleet.kill(Role::Control, core));
    for core in 0..cores {
        world
            .fleet
            .start_control(core, false)
            .expect("it starts again");
    }
    let read_back = world.operator.get(PATIENCE * 2).expect("it is read back");
    assert_eq!(read_back["version"], world.configuration.version);
    assert_eq!(world.change(|_| {}, PATIENCE), ChangeOutcome::Acknowledged);
}

#[test]
fn a_control_node_that_lost_its_disk_joins_again() {
    let _alone = alone();
    let mut world = world();
    world.fleet.kill(Role::Control, 0);
    world.fleet.lose_disk(0).expect("the disk is lost");
    world
        .fleet
        .start_control(0, false)
        .expect("it starts again");
    assert_eq!(
        world.change(|_| {}, PATIENCE * 2),
        ChangeOutcome::Acknowledged
    );
    let read_back = world.operator.get(PATIENCE).expect("it is read back");
    assert_eq!(read_back["version"], world.configuration.version);
}

#[test]
fn a_draining_searcher_gets_nothing_once_its_time_is_over() {
    let _alone = alone();
    let mut world = world();
    let load = world.load(&load_plan(&world, 10));
    wait_for_share(&load, 0.2);
    let leaving = world.plains[0].identity().instance.clone();
    world.plains[0].drain();
    world.platform.drain(&leaving);
    let leaving = world.models[0].identity().instance.clone();
    world.models[0].drain();
    world.platform.drain(&leaving);
    let records = load.finish();
    assert_served(&records, 1.0);
    assert_clean(&mut world, &records);
}

#[test]
fn a_proxy_that_is_told_to_end_under_load_loses_nothing() {
    let _alone = alone();
    let mut world = world();
    let load = world.load(&load_plan(&world, 10));
    wait_for_share(&load, 0.3);
    world.fleet.signal(Role::Proxy, 0, Signal::Terminate);
    let code = world
        .fleet
        .wait_ended(Role::Proxy, 0, TRIES)
        .expect("it ends in time");
    assert_eq!(code, 0);
    world.fleet.start_proxy(0, false).expect("it starts again");
    world.fleet.wait_ready(0).expect("it is ready again");
    let records = load.finish();
    assert_served(&records, 0.98);
    assert_clean(&mut world, &records);
}

#[test]
fn an_agent_that_is_killed_leaves_its_proxy_serving() {
    let _alone = alone();
    let mut world = world();
    let load = world.load(&load_plan(&world, 6));
    wait_for_share(&load, 0.2);
    world.fleet.kill(Role::Agent, 0);
    wait_for_share(&load, 0.5);
    world.fleet.start_agent(0, false).expect("it starts again");
    let records = load.finish();
    assert_served(&records, 1.0);
    assert_clean(&mut world, &records);
}

#[test]
fn a_searcher_that_crashes_costs_no_rule() {
    let _alone = alone();
    let mut world = world();
    let load = world.load(&load_plan(&world, 8));
    wait_for_share(&load, 0.3);
    let mut crashed = world.models.pop().expect("a decode searcher");
    crashed.stop();
    let records = load.finish();
    let verdict = world.check(&records);
    // A stream that the crash broke off may end early; nothing else may go wrong.
    assert_eq!(
        verdict.without(Rule::Lost),
        Vec::<&lockusher_router_testbed::checker::Violation>::new()
    );
    assert_served(&records, 0.9);
}

/// Decode searchers may read prompts themselves: a hand-over that always fails must not cost the requests.
#[test]
fn requests_are_served_while_no_prompt_can_be_handed_over() {
    let _alone = alone();
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
