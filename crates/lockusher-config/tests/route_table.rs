//! The route table, compared with a linear scan of all routes.

use std::rc::Rc;

use lockusher_config::configuration::{Configuration, Limits, Route, RouteKind, WeightedService};
use lockusher_config::route_table::RouteTable;
use proptest::prelude::*;
use yare::parameterized;

fn route(host: &str, path_prefix: &str) -> Route {
    Route {
        name: format!("{host}{path_prefix}"),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 1,
        split: vec![WeightedService {
            service: "any".to_owned(),
            weight: 1,
        }],
        attempts: 1,
        sticky: false,
        resumable: false,
        target_gap_ms: None,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    let limits = Limits {
        header_bytes: 1,
        body_bytes: 1,
        header_timeout_ms: 1,
        idle_timeout_ms: 1,
    };
    RouteTable::new(Rc::new(Configuration {
        version: 1,
        routes,
        services: Vec::new(),
        limits,
    }))
}

fn example() -> RouteTable {
    table(vec![
        route("one.test", "/a/"),
        route("one.test", "/a/b/"),
        route("one.test", "/a/b/c/d/"),
        route("Two.test:8080", "/"),
        route("two.test", "/x//"),
    ])
}

#[parameterized(
    prefix_itself = { "one.test", "/a/", Some("one.test/a/") },
    below_prefix = { "one.test", "/a/z", Some("one.test/a/") },
    longest = { "one.test", "/a/b/z", Some("one.test/a/b/") },
    within_a_gap_between_prefixes = { "one.test", "/a/b/c/z", Some("one.test/a/b/") },
    beyond_the_gap = { "one.test", "/a/b/c/d/z/", Some("one.test/a/b/c/d/") },
    without_the_slash = { "one.test", "/a", None },
    last_segment_without_slash = { "one.test", "/a/b", Some("one.test/a/") },
    other_segment = { "one.test", "/ab/", None },
    letter_case_of_path = { "one.test", "/A/", None },
    no_root_route = { "one.test", "/", None },
    root_route = { "two.test", "/any/thing", Some("Two.test:8080/") },
    letter_case_of_host = { "ONE.Test", "/a/", Some("one.test/a/") },
    port = { "one.test:81", "/a/", Some("one.test/a/") },
    empty_port = { "one.test:", "/a/", Some("one.test/a/") },
    empty_segment = { "two.test", "/x//y", Some("two.test/x//") },
    other_host = { "three.test", "/a/", None },
    empty_host = { "", "/a/", None },
    empty_path = { "two.test", "", None },
    star = { "two.test", "*", None },
    relative = { "one.test", "a/", None },
    query = { "one.test", "/a/z?p=/b/", Some("one.test/a/") },
    query_with_slash = { "one.test", "/a?/", None },
    prefix_in_query = { "one.test", "/a/b?/c/d/", Some("one.test/a/") },
)]
fn the_longest_prefix_of_the_host_is_found(host: &str, path: &str, expected: Option<&str>) {
    let table = example();

    assert_eq!(
        table.lookup(host, path).map(|route| route.name.as_str()),
        expected
    );
}

#[test]
fn a_lookup_by_index_finds_the_route_in_the_configuration() {
    let table = example();

    let index = table.lookup_index("one.test", "/a/b/z").unwrap();

    assert_eq!(table.configuration().routes[index].path_prefix, "/a/b/");
}

/// Reference implementation of a lookup.
fn linear_scan<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    let host = host.split(':').next().unwrap();
    let path = path.split('?').next().unwrap();
    routes
        .iter()
        .filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix)
        })
        .max_by_key(|route| route.path_prefix.len())
}

proptest! {
    #[test]
    fn lookups_agree_with_a_linear_scan(
        hosts_and_prefixes in prop::collection::hash_set(("[ab]", "/([ab]{0,2}/){0,4}"), 0..40),
        requests in prop::collection::vec(("[abABc](:[0-9]{1,3})?", "/?([ab]{0,2}[/?]){0,6}[ab]{0,2}"), 60),
    ) {
        let routes: Vec<Route> = hosts_and_prefixes.iter().map(|(host, prefix)| route(host, prefix)).collect();
        let table = table(routes.clone());
        for (host, path) in &requests {
            prop_assert_eq!(table.lookup(host, path), linear_scan(&routes, host, path), "{} {}", host, path);
        }
    }

    #[test]
    fn any_host_and_path_can_be_looked_up(host in ".*", path in ".*") {
        example().lookup(&host, &path);
    }
}
