//! Weighted traffic split: which service of a route takes a request, by weight, in every window of requests and not only on
//! the average.
//!
//! Independent draws stray: of 200 requests, a service with half of the weight gets between 80 and 120. The positions of a
//! sequence that steps by the golden ratio lie as evenly as can be in every run of consecutive requests.

use std::collections::{BTreeSet, HashMap};

use lockusher_config::configuration::Route;

/// The golden ratio's fraction: the step that leaves the smallest gaps.
const STEP: f64 = 0.618_033_988_749_894_9;

/// How far each split route has come.
#[derive(Clone, Debug)]
pub struct TrafficSplits {
    /// Where every route's sequence starts, in 0..1; it differs between proxies.
    start: f64,
    /// Requests so far, by the name of the route.
    request_counts: HashMap<String, u64>,
}

impl TrafficSplits {
    /// Sequences that start at this position in 0..1.
    pub fn new(start: f64) -> Self {
        Self {
            start,
            request_counts: HashMap::new(),
        }
    }

    /// The service that takes the next request of the route.
    pub fn choose<'route>(&mut self, route: &'route Route) -> &'route str {
        if let [only] = &route.split[..] {
            return &only.service;
        }
        let position = self.next_position(&route.name);
        service_at(route, position)
    }

    fn next_position(&mut self, route: &str) -> f64 {
        let count = match self.request_counts.get_mut(route) {
            Some(count) => count,
            None => self.request_counts.entry(route.to_owned()).or_default(),
        };
        let position = (self.start + *count as f64 * STEP).fract();
        *count += 1;
        position
    }

    /// Forgets routes that aren't among these.
    pub fn keep_only(&mut self, routes: &[Route]) {
        let names: BTreeSet<&str> = routes.iter().map(|route| route.name.as_str()).collect();
        self.request_counts
            .retain(|name, _| names.contains(name.as_str()));
    }
}

/// The service whose part of the weights covers this position in 0..1.
fn service_at(route: &Route, position: f64) -> &str {
    let total: u64 = route
        .split
        .iter()
        .map(|weighted| u64::from(weighted.weight))
        .sum();
    let mut left = (position * total as f64) as u64;
    for weighted in &route.split {
        let weight = u64::from(weighted.weight);
        if left < weight {
            return &weighted.service;
        }
        left -= weight;
    }
    &route
        .split
        .last()
        .expect("a checked route has a service")
        .service
}
