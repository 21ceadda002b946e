//! Weighted traffic split: chooses a service of a route for each request, in proportion to the weights in every window of
//! consecutive requests and not only on average.
//!
//! Independent random choices deviate too much: of 200 requests, a service with half of the weight gets between 80 and 120.
//! The multiples of the golden ratio modulo 1, a low-discrepancy sequence, are evenly spread in every window.

use std::collections::{BTreeSet, HashMap};

use lockusher_config::configuration::Route;

/// Fractional part of the golden ratio, the step whose multiples modulo 1 are spread most evenly.
const STEP: f64 = 0.618_033_988_749_894_9;

/// The positions of all routes in their sequences.
#[derive(Clone, Debug)]
pub struct TrafficSplits {
    /// Start of every route's sequence, in 0..1; differs between proxies.
    start: f64,
    /// Number of requests so far, by route name.
    request_counts: HashMap<String, u64>,
}

impl TrafficSplits {
    /// Creates sequences that start at a position in 0..1.
    pub fn new(start: f64) -> Self {
        Self {
            start,
            request_counts: HashMap::new(),
        }
    }

    /// Chooses the service for the next request of a route.
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

    /// Drops the state of all routes except these.
    pub fn keep_only(&mut self, routes: &[Route]) {
        let names: BTreeSet<&str> = routes.iter().map(|route| route.name.as_str()).collect();
        self.request_counts
            .retain(|name, _| names.contains(name.as_str()));
    }
}

/// The service whose weight interval contains a position in 0..1.
fn service_at(route: &Route, position: f64) -> &str {
    let total: u64 = route
        .split
        .iter()
        .map(|weighted| u64::from(weighted.weight))
        .sum();
    let mut remaining = (position * total as f64) as u64;
    for weighted in &route.split {
        let weight = u64::from(weighted.weight);
        if remaining < weight {
            return &weighted.service;
        }
        remaining -= weight;
    }
    &route
        .split
        .last()
        .expect("a validated route has a service")
        .service
}
