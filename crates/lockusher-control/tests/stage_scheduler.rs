//! The stage scheduler: single scenarios, property tests, and convergence under a simple queueing model.

#[path = "support/staged_fleet.rs"]
mod support;

use std::collections::BTreeSet;

use lockusher_config::instances::{ModelVersion, Stage};
use lockusher_control::stage_scheduler::{Demand, OrderOutcome, StageCounts};
use lockusher_distribution::load::ServiceLoad;
use proptest::prelude::*;
use yare::parameterized;

use support::{Fleet, PROXIES, engine, load};

/// Mean number of requests at `servers` searchers whose load would keep `busy_servers` of them fully busy.
fn queue(busy_servers: f64, servers: usize) -> f64 {
    let utilization = (busy_servers / servers.max(1) as f64).min(0.98);
    servers as f64 * utilization / (1.0 - utilization)
}

#[parameterized(
    many_prompts = { 5, 7, 4.5, 60.0 },
    many_streams = { 9, 3, 1.0, 420.0 },
    large_fleet = { 100, 100, 90.0, 800.0 },
)]
fn stages_converge_and_then_stay_unchanged(
    prefill: usize,
    decode: usize,
    busy_prefill: f64,
    streams: f64,
) {
    let mut fleet = Fleet::new(prefill, decode);
    let demanded = |fleet: &Fleet| load(queue(busy_prefill, fleet.count(Stage::Prefill)), streams);
    fleet.run(120, demanded);
    let orders_until_convergence = fleet.orders.len();
    let counts = StageCounts::by_stage(|stage| fleet.count(stage));
    let demand = Demand {
        prefill: busy_prefill,
        decode: streams / f64::from(engine().slots),
    };
    let best = demand.best_split(prefill + decode, counts.prefill);
    let (reached, best_pressure) = (demand.pressure(counts), demand.pressure(best));
    assert!(
        orders_until_convergence > 0,
        "the initial split requires changes"
    );
    assert!(
        reached <= best_pressure * 1.25,
        "{counts:?}: pressure {reached:.2}, best split {best_pressure:.2}"
    );
    fleet.run(120, demanded);
    assert_eq!(
        fleet.orders.len(),
        orders_until_convergence,
        "no further order after convergence: {:?}",
        fleet.orders
    );
}

#[test]
fn the_first_change_comes_within_a_second_of_the_load() {
    let mut fleet = Fleet::new(5, 7);
    fleet.run(20, |_| ServiceLoad {
        requests_per_s: 0,
        ..load(0.0, 0.0)
    });
    assert_eq!(fleet.orders, []);
    let load_started_at = fleet.now;
    fleet.run(5, |_| load(40.0, 20.0));
    let (at, change) = &fleet.orders[0];
    assert!(
        at - load_started_at <= 1_000,
        "after {} ms",
        at - load_started_at
    );
    assert_eq!(change.to, Stage::Prefill);
}

#[test]
fn light_load_changes_nothing() {
    let mut fleet = Fleet::new(5, 7);
    fleet.run(60, |_| load(1.5, 10.0));
    assert_eq!(fleet.orders, []);
}

#[test]
fn a_load_reported_by_too_few_proxies_is_not_used() {
    let mut fleet = Fleet::new(5, 7);
    for _ in 0..100 {
        let minority_load = ServiceLoad {
            proxies: 2,
            ..load(40.0, 20.0)
        };
        assert_eq!(
            fleet.observe(&minority_load, PROXIES, OrderOutcome::Accepted),
            None
        );
        assert_eq!(
            fleet.observe(&load(40.0, 20.0), 0, OrderOutcome::Accepted),
            None
        );
    }
}

#[test]
fn a_full_kv_cache_makes_the_decode_stage_grow() {
    let mut fleet = Fleet::new(9, 3);
    fleet.run(30, |_| ServiceLoad {
        decode_tokens: 2_400_000,
        ..load(2.0, 30.0)
    });
    assert!(
        fleet
            .orders
            .iter()
            .all(|(_, change)| change.to == Stage::Decode)
    );
    assert!(fleet.count(Stage::Decode) > 3);
}

#[test]
fn decode_searchers_needed_for_the_load_do_not_change() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(60, |_| load(60.0, 220.0));
    assert_eq!(
        fleet.orders,
        [],
        "the remaining decode searchers would be full"
    );
}

#[test]
fn the_searcher_of_the_zone_with_the_most_of_a_stage_changes() {
    let mut fleet = Fleet::new(5, 7);
    fleet
        .instances
        .iter_mut()
        .skip(5)
        .for_each(|searcher| searcher.zone = "north".to_owned());
    fleet.instances[11].zone = "south".to_owned();
    fleet.run(3, |_| load(40.0, 20.0));
    let change = &fleet.orders[0].1;
    let chosen = fleet
        .instances
        .iter()
        .find(|searcher| searcher.identifier == change.identifier)
        .expect("it is listed");
    assert_eq!(chosen.zone, "north");
}

#[test]
fn the_only_searcher_of_a_model_does_not_change() {
    let mut fleet = Fleet::new(2, 3);
    let rare = ModelVersion {
        name: "rare".to_owned(),
        version: 1,
    };
    fleet.instances[4].models.push(rare);
    fleet.run(60, |_| load(40.0, 5.0));
    assert!(
        fleet
            .orders
            .iter()
            .all(|(_, change)| change.identifier != "i-4")
    );
}

#[parameterized(
    rejected = { OrderOutcome::Rejected, false },
    not_sent = { OrderOutcome::NotSent, true },
)]
fn an_order_that_was_not_accepted_leaves_no_change_in_flight(
    outcome: OrderOutcome,
    same_searcher_again: bool,
) {
    let mut fleet = Fleet::new(5, 7);
    let heavy = load(40.0, 20.0);
    let first = (0..8)
        .find_map(|_| fleet.observe(&heavy, PROXIES, outcome))
        .expect("an order");
    assert_eq!(fleet.scheduler.changes_in_flight().count(), 0);
    let second = (0..8)
        .find_map(|_| fleet.observe(&heavy, PROXIES, outcome))
        .expect("another order");
    assert_eq!(first.identifier == second.identifier, same_searcher_again);
}

#[test]
fn a_service_that_does_not_support_the_order_gets_no_further_one() {
    let mut fleet = Fleet::new(5, 7);
    let orders = (0..400)
        .filter_map(|_| fleet.observe(&load(40.0, 20.0), PROXIES, OrderOutcome::Unsupported));
    assert_eq!(orders.count(), 1);
}

#[test]
fn an_order_without_a_response_counts_as_in_flight() {
    let mut fleet = Fleet::new(5, 7);
    let heavy = load(40.0, 20.0);
    let first = (0..8)
        .find_map(|_| fleet.observe(&heavy, PROXIES, OrderOutcome::Unknown))
        .expect("an order");
    assert!(
        fleet
            .scheduler
            .changes_in_flight()
            .any(|change| *change == first),
        "it counts as in flight"
    );
    fleet.run(60, |_| load(0.5, 1.0));
    assert_eq!(
        fleet.scheduler.changes_in_flight().count(),
        0,
        "it has failed, since the list never showed it"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// With arbitrary loads each stage keeps a searcher, or two in a service with enough of them, and the rate of
    /// orders is limited.
    #[test]
    fn each_stage_keeps_its_searchers_and_the_rate_of_changes_is_limited(
        prefill in 1usize..9,
        decode in 1usize..9,
        loads in prop::collection::vec((0.0f64..300.0, 0.0f64..900.0, 0u32..9_000_000), 1..60),
    ) {
        let mut fleet = Fleet::new(prefill, decode);
        let min_per_stage = if prefill + decode >= 4 { 2 } else { 1 };
        for (prefill_in_flight, streams, tokens) in &loads {
            for _ in 0..8 {
                let load = ServiceLoad { decode_tokens: *tokens, ..load(*prefill_in_flight, *streams) };
                let before = [fleet.count(Stage::Prefill), fleet.count(Stage::Decode)];
                let change = fleet.observe(&load, PROXIES, OrderOutcome::Accepted);
                let after = [fleet.count(Stage::Prefill), fleet.count(Stage::Decode)];
                if change.is_some() {
                    let least = after[0].min(after[1]);
                    prop_assert!(least >= min_per_stage.min(before[0]).min(before[1]), "{before:?}, then {after:?}");
                }
                prop_assert!(after[0] >= 1 && after[1] >= 1);
                let changing: BTreeSet<&str> =
                    fleet.in_flight.iter().map(|(_, change)| change.identifier.as_str()).collect();
                prop_assert!(changing.len() <= ((prefill + decode) / 4).max(1), "{changing:?}");
            }
        }
        // One change for each searcher in fifty seconds, after an initial burst of half the searchers or four changes.
        let (searchers, seconds) = ((prefill + decode) as f64, loads.len() as f64 * 2.0);
        let max_orders = (searchers / 2.0).max(4.0) + searchers * seconds / 50.0;
        prop_assert!(fleet.orders.len() as f64 <= max_orders + 1.0, "{} orders", fleet.orders.len());
    }

    /// A load that fluctuates around the capacity doesn't make searchers change back and forth.
    #[test]
    fn noise_does_not_make_stages_oscillate(
        busy_prefill in 1.0f64..6.0,
        streams in 10.0f64..300.0,
        noise in prop::collection::vec(0.7f64..1.4, 480),
    ) {
        let mut fleet = Fleet::new(6, 6);
        let mut noise_factors = noise.iter().cycle();
        for _ in 0..480 {
            let factor = noise_factors.next().copied().unwrap_or(1.0);
            let prefill_in_flight = queue(busy_prefill, fleet.count(Stage::Prefill)) * factor;
            fleet.observe(&load(prefill_in_flight, streams * factor), PROXIES, OrderOutcome::Accepted);
        }
        let mut reversals = 0;
        for pair in fleet.orders.windows(2) {
            reversals += usize::from(pair[0].1.to != pair[1].1.to);
        }
        prop_assert!(reversals <= 1, "{:?}", fleet.orders);
    }
}
