//! A stage that has lost all of its searchers is given one again, whatever the load.

#[path = "support/staged_fleet.rs"]
#[allow(dead_code)]
mod support;

use lockusher_config::instances::{InstanceState, ModelVersion, Stage};
use lockusher_control::Millis;
use lockusher_control::stage_scheduler::{NoChange, OrderOutcome, StageChange};
use lockusher_distribution::load::ServiceLoad;
use yare::parameterized;

use support::{Fleet, PROXIES, load, searcher};

/// While every request is rejected, searchers see no load.
fn no_load() -> ServiceLoad {
    ServiceLoad {
        requests_per_s: 0,
        ..load(0.0, 0.0)
    }
}

/// Observes for a while; the first change that is ordered, and after how many milliseconds.
fn first_change(fleet: &mut Fleet, outcome: OrderOutcome) -> Option<(Millis, StageChange)> {
    let begun = fleet.now;
    (0..40).find_map(|_| {
        let change = fleet.observe(&no_load(), PROXIES, outcome)?;
        Some((fleet.now - begun, change))
    })
}

#[parameterized(
    several_left = { 3 },
    one_left = { 1 },
)]
fn without_a_decode_searcher_one_is_ordered_within_a_second_and_without_a_load(prefill: usize) {
    let mut fleet = Fleet::new(prefill, 0);

    let (after_ms, change) = first_change(&mut fleet, OrderOutcome::Accepted).expect("an order");

    assert_eq!(change.to, Stage::Decode);
    assert!(after_ms <= 1_000, "after {after_ms} ms");
    fleet.run(30, |_| no_load());
    assert_eq!(fleet.orders.len(), 1, "one is enough: {:?}", fleet.orders);
    assert_eq!(fleet.count(Stage::Decode), 1);
}

/// One that drains serves on for a while, but not for long.
#[test]
fn a_draining_decode_searcher_covers_nothing() {
    let mut fleet = Fleet::new(3, 1);
    fleet.instances[3].state = InstanceState::Draining;

    let change = first_change(&mut fleet, OrderOutcome::Accepted);

    assert_eq!(change.expect("an order").1.to, Stage::Decode);
}

/// Decode searchers read prompts themselves: one is given up only if two others stay.
#[parameterized(
    two_decode = { 2, 0 },
    three_decode = { 3, 1 },
)]
fn without_a_prefill_searcher_one_is_ordered_if_two_others_stay(decode: usize, ordered: usize) {
    let mut fleet = Fleet::new(0, decode);

    fleet.run(30, |_| no_load());

    assert_eq!(fleet.count(Stage::Prefill), ordered);
    assert_eq!(fleet.orders.len(), ordered);
}

/// The order may have been lost with the searcher that it was meant for.
#[parameterized(
    no_answer = { OrderOutcome::Unknown },
    rejected = { OrderOutcome::Rejected },
)]
fn another_searcher_is_ordered_if_the_first_does_not_answer(outcome: OrderOutcome) {
    let mut fleet = Fleet::new(3, 0);
    let (_, first) = first_change(&mut fleet, outcome).expect("an order");

    let (after_ms, second) = first_change(&mut fleet, outcome).expect("another order");

    assert_ne!(first.identifier, second.identifier);
    assert!(after_ms <= 1_000, "after {after_ms} ms");
}

#[test]
fn searchers_that_do_not_know_the_order_are_left_alone() {
    let mut fleet = Fleet::new(3, 0);
    first_change(&mut fleet, OrderOutcome::Unsupported).expect("an order");

    assert_eq!(first_change(&mut fleet, OrderOutcome::Unsupported), None);
    assert_eq!(
        fleet.scheduler.why_no_change("llm"),
        Some(NoChange::Unsupported)
    );
}

/// A list may show a stage as empty for a moment while searchers are replaced.
#[test]
fn a_stage_that_is_empty_for_a_moment_is_left_alone() {
    let mut fleet = Fleet::new(3, 1);
    fleet.observe(&no_load(), PROXIES, OrderOutcome::Accepted);
    let gone = fleet.instances.pop().expect("the decode searcher");
    fleet.observe(&no_load(), PROXIES, OrderOutcome::Accepted);
    fleet.instances.push(gone);

    fleet.run(10, |_| no_load());

    assert_eq!(fleet.orders, []);
}

/// Other models have decode searchers; this one has none.
#[test]
fn each_model_is_covered() {
    let mut fleet = Fleet::new(2, 2);
    let rare = ModelVersion {
        name: "rare".to_owned(),
        version: 1,
    };
    let mut serving_rare = searcher(7, Stage::Prefill);
    serving_rare.models = vec![rare];
    fleet.instances.push(serving_rare);

    let (_, change) = first_change(&mut fleet, OrderOutcome::Accepted).expect("an order");

    assert_eq!(
        (change.identifier.as_str(), change.to),
        ("i-7", Stage::Decode)
    );
    fleet.run(30, |_| no_load());
    assert_eq!(fleet.orders.len(), 1, "{:?}", fleet.orders);
}
