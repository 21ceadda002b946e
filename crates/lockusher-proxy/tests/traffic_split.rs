//! The requests of a route are split between its services in proportion to their weights.

use lockusher_config::configuration::{Configuration, Route};
use lockusher_proxy::traffic_split::TrafficSplits;
use proptest::prelude::*;

const REQUESTS: usize = 2_000;
/// Length of the windows of consecutive requests that are checked.
const WINDOW: usize = 200;
/// Maximum difference between a service's share of a window and its share of the weights. With independent random choices
/// the difference reaches 0.1 in some window.
const MAX_DEVIATION: f64 = 0.03;

/// A route of a parsed configuration, with one service per weight.
fn route(name: &str, weights: &[u32]) -> Route {
    let services: Vec<serde_json::Value> = (0..weights.len())
        .map(|number| serde_json::json!({"name": format!("s{number}"), "healthCheck": "/h", "connectionLimit": 5, "protocol": "h1", "transportSecurity": false}))
        .collect();
    let split: Vec<serde_json::Value> = weights
        .iter()
        .enumerate()
        .map(|(number, weight)| serde_json::json!({"service": format!("s{number}"), "weight": weight}))
        .collect();
    let text = serde_json::json!({
        "version": 1,
        "routes": [{"name": name, "host": "h.example", "pathPrefix": "/", "kind": "idempotent", "timeoutMs": 1000,
            "targetLatencyMs": 100, "priority": 0, "trafficSplit": split, "attempts": 1}],
        "services": services,
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    });
    let configuration =
        Configuration::parse(text.to_string().as_bytes()).expect("a valid configuration");
    configuration.routes[0].clone()
}

/// The numbers of the services chosen for consecutive requests.
fn chosen(splits: &mut TrafficSplits, route: &Route, requests: usize) -> Vec<usize> {
    (0..requests)
        .map(|_| splits.choose(route)[1..].parse().expect("a number"))
        .collect()
}

/// For each n up to the number of requests: how many of the first n requests went to the service.
fn counts_up_to(chosen: &[usize], service: usize) -> Vec<u32> {
    let counts = chosen.iter().scan(0, |count, chosen_service| {
        *count += u32::from(*chosen_service == service);
        Some(*count)
    });
    std::iter::once(0).chain(counts).collect()
}

proptest! {
    #[test]
    fn every_window_follows_the_weights(
        weights in proptest::collection::vec(0u32..100, 2..5)
            .prop_filter("some weight", |weights| weights.iter().any(|weight| *weight > 0)),
        start in 0.0f64..1.0,
    ) {
        let chosen = chosen(&mut TrafficSplits::new(start), &route("r", &weights), REQUESTS);
        let total: u32 = weights.iter().sum();
        for (service, weight) in weights.iter().enumerate() {
            let expected = f64::from(*weight) / f64::from(total);
            let counts = counts_up_to(&chosen, service);
            for (before, after) in counts.iter().zip(&counts[WINDOW..]) {
                let share = f64::from(after - before) / WINDOW as f64;
                prop_assert!((share - expected).abs() <= MAX_DEVIATION, "service {service}: {share} of {expected}");
            }
            if *weight == 0 {
                prop_assert!(!chosen.contains(&service), "a service with weight 0 gets no requests");
            }
        }
    }
}

#[test]
fn routes_have_independent_sequences() {
    let (one, other) = (route("one", &[1, 1]), route("other", &[1, 1]));
    let alone = chosen(&mut TrafficSplits::new(0.3), &one, 20);
    let mut splits = TrafficSplits::new(0.3);
    let interleaved: Vec<usize> = (0..20)
        .flat_map(|_| {
            let first = chosen(&mut splits, &one, 1);
            chosen(&mut splits, &other, 3);
            first
        })
        .collect();
    assert_eq!(alone, interleaved);
}

#[test]
fn a_route_that_remains_continues_its_sequence() {
    let (kept, removed) = (route("stays", &[1, 3]), route("goes", &[1, 3]));
    let uninterrupted = chosen(&mut TrafficSplits::new(0.7), &kept, 20);
    let mut splits = TrafficSplits::new(0.7);
    let mut parts = chosen(&mut splits, &kept, 10);
    chosen(&mut splits, &removed, 5);
    splits.keep_only(std::slice::from_ref(&kept));
    parts.extend(chosen(&mut splits, &kept, 10));
    assert_eq!(uninterrupted, parts);
    assert_eq!(
        chosen(&mut splits, &removed, 5),
        chosen(&mut TrafficSplits::new(0.7), &removed, 5)
    );
}
