//! Coverage: a stage that has lost all its searchers gets one again, independently of the load.

#[path = "support/staged_fleet.rs"]
#[allow(dead_code)]
mod support;

use lockusher_config::instances::{InstanceState, ModelVersion, Stage};
use lockusher_control::Millis;
use lockusher_control::stage_scheduler::{NoChange, OrderOutcome, StageChange};
use lockusher_distribution::load::ServiceLoad;
use yare::parameterized;

use support::{Fleet, PROXIES, load, searcher};

/// The load reported while every request is rejected.
fn no_load() -> ServiceLoad {
    ServiceLoad {
        requests_per_s: 0,
        ..load(0.0, 0.0)
    }
}

/// Makes up to 40 observations; returns the first change that is ordered, and the time until then in milliseconds.
fn first_change(fleet: &mut Fleet, outcome: OrderOutcome) -> Option<(Millis, StageChange)> {
    let started_at = fleet.now;
    (0..40).find_map(|_| {
        let change = fleet.observe(&no_load(), PROXIES, outcome)?;
        Some((fleet.now - started_at, change))
    })
}

#[parameterized(
    several_prefill = { 3 },
    one_prefill = { 1 },
)]
fn without_a_decode_searcher_one_is_ordered_within_a_second_and_without_a_load(prefill: usize) {
    let mut fleet = Fleet::new(prefill, 0);

    let (after_ms, change) = first_change(&mut fleet, OrderOutcome::Accepted).expect("an order");

    assert_eq!(change.to, Stage::Decode);
    assert!(after_ms <= 1_000, "after {after_ms} ms");
    fleet.run(30, |_| no_load());
    assert_eq!(
        fleet.orders.len(),
        1,
        "exactly one order: {:?}",
        fleet.orders
    );
    assert_eq!(fleet.count(Stage::Decode), 1);
}

/// A draining searcher still serves, but only for a short time.
#[test]
fn a_draining_decode_searcher_does_not_cover_its_stage() {
    let mut fleet = Fleet::new(3, 1);
    fleet.instances[3].state = InstanceState::Draining;

    let change = first_change(&mut fleet, OrderOutcome::Accepted);

    assert_eq!(change.expect("an order").1.to, Stage::Decode);
}

/// Decode searchers can process prompts themselves, so one changes to prefill only if two others remain.
#[parameterized(
    two_decode = { 2, 0 },
    three_decode = { 3, 1 },
)]
fn without_a_prefill_searcher_one_is_ordered_if_two_others_remain(decode: usize, ordered: usize) {
    let mut fleet = Fleet::new(0, decode);

    fleet.run(30, |_| no_load());

    assert_eq!(fleet.count(Stage::Prefill), ordered);
    assert_eq!(fleet.orders.len(), ordered);
}

/// The searcher that the first order was sent to may have failed.
#[parameterized(
    no_response = { OrderOutcome::Unknown },
    rejected = { OrderOutcome::Rejected },
)]
fn another_searcher_is_ordered_if_the_first_does_not_accept(outcome: OrderOutcome) {
    let mut fleet = Fleet::new(3, 0);
    let (_, first) = first_change(&mut fleet, outcome).expect("an order");

    let (after_ms, second) = first_change(&mut fleet, outcome).expect("another order");

    assert_ne!(first.identifier, second.identifier);
    assert!(after_ms <= 1_000, "after {after_ms} ms");
}

#[test]
fn no_further_order_is_sent_after_an_unsupported_one() {
    let mut fleet = Fleet::new(3, 0);
    first_change(&mut fleet, OrderOutcome::Unsupported).expect("an order");

    assert_eq!(first_change(&mut fleet, OrderOutcome::Unsupported), None);
    assert_eq!(
        fleet.scheduler.no_change_reason("llm"),
        Some(NoChange::Unsupported)
    );
}

/// The list may briefly show an empty stage while searchers are being replaced.
#[test]
fn a_briefly_empty_stage_causes_no_order() {
    let mut fleet = Fleet::new(3, 1);
    fleet.observe(&no_load(), PROXIES, OrderOutcome::Accepted);
    let removed = fleet.instances.pop().expect("the decode searcher");
    fleet.observe(&no_load(), PROXIES, OrderOutcome::Accepted);
    fleet.instances.push(removed);

    fleet.run(10, |_| no_load());

    assert_eq!(fleet.orders, []);
}

/// One model has no decode searcher, while another model has some.
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
