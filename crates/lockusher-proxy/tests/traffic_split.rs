//! A route's requests are spread over its services by weight.

use lockusher_config::configuration::{Configuration, Route};
use lockusher_proxy::traffic_split::TrafficSplits;
use proptest::prelude::*;

const REQUESTS: usize = 2_000;
/// Every run of so many consecutive requests is looked at.
const WINDOW: usize = 200;
/// By how much a share may differ from its weight's in such a window. Independent draws differ by 0.1 somewhere.
const MOST_OFF: f64 = 0.03;

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

/// The numbers of the services that took the requests, in order.
fn chosen(splits: &mut TrafficSplits, route: &Route, requests: usize) -> Vec<usize> {
    (0..requests)
        .map(|_| splits.choose(route)[1..].parse().expect("a number"))
        .collect()
}

/// How many of the first requests went to the service, for every number of them.
fn counts_up_to(chosen: &[usize], service: usize) -> Vec<u32> {
    let counts = chosen.iter().scan(0, |count, taker| {
        *count += u32::from(*taker == service);
        Some(*count)
    });
    std::iter::once(0).chain(counts).collect()
}

proptest! {
    #[test]
    fn every_window_keeps_to_the_weights(
        weights in proptest::collection::vec(0u32..100, 2..5)
            .prop_filter("some weight", |weights| weights.iter().any(|weight| *weight > 0)),
        start in 0.0f64..1.0,
    ) {
        let chosen = chosen(&mut TrafficSplits::new(start), &route("r", &weights), REQUESTS);
        let total: u32 = weights.iter().sum();
        for (service, weight) in weights.iter().enumerate() {
            let owed = f64::from(*weight) / f64::from(total);
            let counted = counts_up_to(&chosen, service);
            for (before, up_to) in counted.iter().zip(&counted[WINDOW..]) {
                let share = f64::from(up_to - before) / WINDOW as f64;
                prop_assert!((share - owed).abs() <= MOST_OFF, "service {service}: {share} of {owed}");
            }
            if *weight == 0 {
                prop_assert!(!chosen.contains(&service), "a service without weight gets nothing");
            }
        }
    }
}

#[test]
fn routes_have_sequences_of_their_own() {
    let (one, other) = (route("one", &[1, 1]), route("other", &[1, 1]));
    let alone = chosen(&mut TrafficSplits::new(0.3), &one, 20);
    let mut splits = TrafficSplits::new(0.3);
    let beside: Vec<usize> = (0..20)
        .flat_map(|_| {
            let first = chosen(&mut splits, &one, 1);
            chosen(&mut splits, &other, 3);
            first
        })
        .collect();
    assert_eq!(alone, beside);
}

#[test]
fn a_route_that_remains_continues_its_sequence() {
    let (stays, goes) = (route("stays", &[1, 3]), route("goes", &[1, 3]));
    let whole = chosen(&mut TrafficSplits::new(0.7), &stays, 20);
    let mut splits = TrafficSplits::new(0.7);
    let mut parts = chosen(&mut splits, &stays, 10);
    chosen(&mut splits, &goes, 5);
    splits.keep_only(std::slice::from_ref(&stays));
    parts.extend(chosen(&mut splits, &stays, 10));
    assert_eq!(whole, parts);
    assert_eq!(
        chosen(&mut splits, &goes, 5),
        chosen(&mut TrafficSplits::new(0.7), &goes, 5)
    );
}
