//! Why service is away can be told from the processes' logs alone, at their default level: each cause has a line of its own,
//! which doesn't come before the cause.
//!
//! One deployment, in which one cause after the other is brought about. No test waits blindly: states are looked for, a bounded
//! number of looks long.

use std::time::Duration;

use lockusher_router_testbed::client::Client;
use lockusher_router_testbed::deployment::request_mix;
use lockusher_router_testbed::engine::Stage;
use lockusher_router_testbed::fleet::{ProcessId, Role, SeedChoice};
use lockusher_router_testbed::wait::wait_until;
use lockusher_router_testbed::world::{World, WorldPlan};

/// Looks of 50 ms until a line must have come.
const POLLS: u32 = 400;

const AGENT: ProcessId = ProcessId {
    role: Role::Agent,
    machine: 0,
};
const PROXY: ProcessId = ProcessId {
    role: Role::Proxy,
    machine: 0,
};

fn control(machine: usize) -> ProcessId {
    ProcessId {
        role: Role::Control,
        machine,
    }
}

fn world() -> World {
    World::start(&WorldPlan::default()).expect("the world starts")
}

fn occurrences(world: &World, process: ProcessId, line: &str) -> usize {
    let log = world.fleet.log(process.role, process.machine);
    log.lines().filter(|logged| logged.contains(line)).count()
}

/// The line comes after `trigger`, and hasn't come so far.
fn assert_logged_by(
    world: &mut World,
    process: ProcessId,
    line: &str,
    trigger: impl FnOnce(&mut World),
) {
    assert_eq!(
        occurrences(world, process, line),
        0,
        "{process} logs {line:?} without a cause"
    );
    trigger(world);
    let logged = wait_until(&format!("{line:?} in the log of {process}"), POLLS, || {
        world.list_stages();
        occurrences(world, process, line) > 0
    });
    logged.unwrap_or_else(|timeout| {
        let log = world.fleet.log(process.role, process.machine);
        panic!("{timeout}\n{log}")
    });
}

fn kill(world: &mut World, process: ProcessId) {
    world.fleet.kill(process.role, process.machine);
}

fn start(world: &mut World, process: ProcessId) {
    world.fleet.start(process, false).expect("it starts");
}

fn restart(world: &mut World, process: ProcessId) {
    kill(world, process);
    start(world, process);
}

#[test]
fn the_first_line_has_the_time_of_day_and_the_seeds() {
    let world = world();

    for process in [AGENT, PROXY, control(0)] {
        let log = world.fleet.log(process.role, process.machine);
        let first = log.lines().next().unwrap_or_default();
        assert!(
            first.contains(" started at 2") && first.contains("seeds 127."),
            "{first}"
        );
    }
}

#[test]
fn a_lost_majority_and_an_agent_without_a_configuration_are_told_apart() {
    let mut world = world();

    assert_logged_by(&mut world, control(2), "no majority in view", |world| {
        kill(world, control(0));
        kill(world, control(1));
    });
    assert_logged_by(&mut world, AGENT, "attempts, no configuration", |world| {
        kill(world, control(2));
        restart(world, AGENT);
    });
    assert_logged_by(&mut world, PROXY, "no configuration", |world| {
        restart(world, PROXY);
    });
}

#[test]
fn a_list_that_cannot_be_read_is_told() {
    let mut world = world();
    let primary = (0..world.fleet.control_nodes())
        .map(control)
        .find(|node| occurrences(&world, *node, ": head") > 0)
        .expect("a head");

    assert_logged_by(&mut world, primary, "platform's list at", |world| {
        world.platform.set_down(true);
    });
}

#[test]
fn a_port_that_is_taken_is_told() {
    let mut world = world();
    let mut sockets = Vec::new();

    assert_logged_by(&mut world, AGENT, "is in use", |world| {
        for edge in 0..world.fleet.mixers().len() {
            world.fleet.kill(Role::Agent, edge);
        }
        sockets = world
            .fleet
            .occupy_agent_ports()
            .expect("the ports are free");
        start(world, AGENT);
    });
}

#[test]
fn a_disk_that_was_cleared_is_told() {
    let mut world = world();

    assert_logged_by(
        &mut world,
        control(0),
        "0 records on disk, view 0",
        |world| {
            kill(world, control(0));
            world.fleet.lose_disk(0).expect("the disk is emptied");
            start(world, control(0));
        },
    );
}

#[test]
fn other_seeds_are_told() {
    let mut world = world();

    assert_logged_by(&mut world, AGENT, "names other seeds", |world| {
        world
            .fleet
            .change_seeds(SeedChoice::Edges)
            .expect("the settings are written");
        for node in 0..world.fleet.control_nodes() {
            kill(world, control(node));
        }
    });
}

#[test]
fn an_empty_stage_and_unserved_requests_are_told() {
    let mut world = world();
    let primary = (0..world.fleet.control_nodes())
        .map(control)
        .find(|node| occurrences(&world, *node, ": head") > 0)
        .expect("a head");
    let decode_searchers: Vec<String> = world
        .models
        .iter()
        .filter(|model| model.report().stage == Stage::Decode)
        .map(|model| model.identity().instance.clone())
        .collect();

    assert_logged_by(&mut world, primary, "no searcher to decode", |world| {
        decode_searchers
            .iter()
            .for_each(|instance| world.remove_model(instance));
    });

    let kind = request_mix(&world.configuration, 1.0)
        .into_iter()
        .find(|kind| kind.spec.route == "answer")
        .expect("a route to the models");
    let spec = std::sync::Arc::new(kind.spec);
    let mixer = world.fleet.mixers()[0].front;
    let searchers: Vec<String> = world
        .models
        .iter()
        .map(|model| model.identity().instance.clone())
        .collect();
    assert_logged_by(&mut world, PROXY, "unserved in", |world| {
        searchers
            .iter()
            .for_each(|instance| world.remove_model(instance));
        let mut client = Client::keeping_connections(world.clock, Duration::from_secs(1));
        client.request(&spec, world.clock.now(), |_| mixer);
    });
}
