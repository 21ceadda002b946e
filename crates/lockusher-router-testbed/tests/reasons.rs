//! The logs at the default level identify why service is unavailable: each cause has a distinct log line, which is not
//! logged before the cause occurs.
//!
//! Each test starts a deployment and provokes one cause after another. Conditions are polled for with a bounded number of
//! polls.

use std::time::Duration;

use lockusher_router_testbed::client::Client;
use lockusher_router_testbed::deployment::request_mix;
use lockusher_router_testbed::engine::Stage;
use lockusher_router_testbed::fleet::{ProcessId, Role, SeedChoice};
use lockusher_router_testbed::wait::wait_until;
use lockusher_router_testbed::world::{World, WorldPlan};

/// Polls, 50 ms apart, until a line must have been logged.
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
    World::start(&WorldPlan::default()).expect("starting the world")
}

fn occurrences(world: &World, process: ProcessId, line: &str) -> usize {
    let log = world.fleet.log(process.role, process.machine);
    log.lines().filter(|logged| logged.contains(line)).count()
}

/// Asserts that the line is logged after `trigger` and was not logged before.
fn assert_logged_by(
    world: &mut World,
    process: ProcessId,
    line: &str,
    trigger: impl FnOnce(&mut World),
) {
    assert_eq!(
        occurrences(world, process, line),
        0,
        "{process} logged {line:?} before its cause"
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
    world
        .fleet
        .start(process, false)
        .expect("starting the process");
}

fn restart(world: &mut World, process: ProcessId) {
    kill(world, process);
    start(world, process);
}

#[test]
fn the_first_line_contains_the_start_time_and_the_seeds() {
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
fn a_lost_majority_and_a_missing_configuration_have_distinct_log_lines() {
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
fn an_unreadable_platform_list_is_logged() {
    let mut world = world();
    let primary = (0..world.fleet.control_nodes())
        .map(control)
        .find(|node| occurrences(&world, *node, ": head") > 0)
        .expect("no primary control node");

    assert_logged_by(&mut world, primary, "platform's list at", |world| {
        world.platform.set_down(true);
    });
}

#[test]
fn a_port_in_use_is_logged() {
    let mut world = world();
    let mut sockets = Vec::new();

    assert_logged_by(&mut world, AGENT, "is in use", |world| {
        for edge in 0..world.fleet.mixers().len() {
            world.fleet.kill(Role::Agent, edge);
        }
        sockets = world
            .fleet
            .occupy_agent_ports()
            .expect("binding the agents' ports");
        start(world, AGENT);
    });
}

#[test]
fn a_cleared_disk_is_logged() {
    let mut world = world();

    assert_logged_by(
        &mut world,
        control(0),
        "0 records on disk, view 0",
        |world| {
            kill(world, control(0));
            world.fleet.lose_disk(0).expect("clearing the disk");
            start(world, control(0));
        },
    );
}

#[test]
fn changed_seeds_are_logged() {
    let mut world = world();

    assert_logged_by(&mut world, AGENT, "names other seeds", |world| {
        world
            .fleet
            .change_seeds(SeedChoice::Edges)
            .expect("writing the settings");
        for node in 0..world.fleet.control_nodes() {
            kill(world, control(node));
        }
    });
}

#[test]
fn an_empty_stage_and_unserved_requests_are_logged() {
    let mut world = world();
    let primary = (0..world.fleet.control_nodes())
        .map(control)
        .find(|node| occurrences(&world, *node, ": head") > 0)
        .expect("no primary control node");
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
        .expect("no route to the model service");
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
