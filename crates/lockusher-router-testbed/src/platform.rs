//! Stand-in for the platform: the list of instances with paging, lag, a rate limit and the state `draining`.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use crate::engine::{MICROS_PER_MS, Micros};
use crate::http::{Connection, Request, Response};
use crate::record::{DrainTimes, TestClock};
use crate::server::{Handler, Next, Server, lock};

/// Maximum number of open connections.
const CONNECTION_LIMIT: usize = 1_000;
/// Prefix of the offset in a page token.
const PAGE_TOKEN_PREFIX: &str = "p-";

/// Parameters of the platform.
#[derive(Clone, Debug)]
pub struct PlatformParameters {
    /// Delay until a change appears on the list.
    pub lag: Micros,
    /// Rate limit over all callers, in calls per second; calls beyond it get 429.
    pub rate_per_second: f64,
    /// Entries per page.
    pub page_size: usize,
}

/// Counts of the calls to the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformCalls {
    pub answered: u64,
    pub rate_limited: u64,
}

/// The contents of the list from a point in time on.
#[derive(Clone, Debug)]
struct Listing {
    since: Micros,
    entries: BTreeMap<String, Value>,
}

struct State {
    /// All listings in order of time; the newest is current, the list shows the one that is `lag` old.
    listings: Vec<Listing>,
    drained: DrainTimes,
    calls: PlatformCalls,
    /// Token bucket of the rate limit: calls available at the time `refilled_at`.
    available_calls: f64,
    refilled_at: Micros,
    is_down: bool,
}

struct Shared {
    parameters: PlatformParameters,
    clock: TestClock,
    state: Mutex<State>,
}

/// The platform's HTTP server; it serves until it is dropped.
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

impl Platform {
    /// Listens on `address` with `entries` on the list since time 0.
    pub fn start(
        address: SocketAddr,
        parameters: PlatformParameters,
        entries: Vec<Value>,
        clock: TestClock,
    ) -> std::io::Result<Platform> {
        let entries = entries.into_iter().map(ready_entry).collect();
        let state = State {
            listings: vec![Listing { since: 0, entries }],
            drained: DrainTimes::new(),
            calls: PlatformCalls::default(),
            available_calls: parameters.rate_per_second,
            refilled_at: clock.now(),
            is_down: false,
        };
        let shared = Arc::new(Shared {
            parameters,
            clock,
            state: Mutex::new(state),
        });
        let server = Server::start(
            TcpListener::bind(address)?,
            CONNECTION_LIMIT,
            Arc::clone(&shared) as Arc<dyn Handler>,
        )?;
        Ok(Platform { shared, server })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds an entry in the state `ready`.
    pub fn add(&self, entry: Value) {
        let (identifier, entry) = ready_entry(entry);
        self.change(|entries| {
            entries.insert(identifier, entry);
        });
    }

    /// Changes the state of an entry to `draining`.
    pub fn drain(&self, identifier: &str) {
        self.change(|entries| {
            if let Some(entry) = entries.get_mut(identifier) {
                entry["state"] = json!("draining");
            }
        });
        self.record_drain(identifier);
    }

    /// Removes an entry from the list.
    pub fn remove(&self, identifier: &str) {
        self.change(|entries| {
            entries.remove(identifier);
        });
        self.record_drain(identifier);
    }

    /// Changes the stage of an entry.
    pub fn set_stage(&self, identifier: &str, stage: &str) {
        self.change(|entries| {
            if let Some(entry) = entries.get_mut(identifier) {
                entry["stage"] = json!(stage);
            }
        });
    }

    /// While the platform is down, every call gets 500.
    pub fn set_down(&self, is_down: bool) {
        lock(&self.shared.state).is_down = is_down;
    }

    /// When the list first showed each searcher as draining or removed.
    pub fn drain_times(&self) -> DrainTimes {
        lock(&self.shared.state).drained.clone()
    }

    /// Counts of the calls so far.
    pub fn calls(&self) -> PlatformCalls {
        lock(&self.shared.state).calls
    }

    fn change(&self, change_entries: impl FnOnce(&mut BTreeMap<String, Value>)) {
        let mut state = lock(&self.shared.state);
        let mut entries = state
            .listings
            .last()
            .map(|listing| listing.entries.clone())
            .unwrap_or_default();
        change_entries(&mut entries);
        state.listings.push(Listing {
            since: self.shared.clock.now(),
            entries,
        });
    }

    fn record_drain(&self, identifier: &str) {
        let shown_at = self.shared.clock.now() + self.shared.parameters.lag;
        lock(&self.shared.state)
            .drained
            .entry(identifier.to_owned())
            .or_insert(shown_at);
    }
}

impl Handler for Shared {
    fn handle(&self, request: Request, connection: &mut Connection) -> Next {
        let response = self.respond(&request);
        if connection.write(&response.to_bytes()).is_err() {
            Next::Close
        } else {
            Next::Keep
        }
    }
}

impl Shared {
    fn respond(&self, request: &Request) -> Response {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        if request.method != "GET" || path != "/instances" {
            return Response::new(404);
        }
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.is_down {
            return Response::new(500);
        }
        if !state.try_take_call(now, self.parameters.rate_per_second) {
            state.calls.rate_limited += 1;
            return Response::new(429).header("Retry-After", "1");
        }
        state.calls.answered += 1;
        self.page(&state, now, query)
    }

    fn page(&self, state: &State, now: Micros, query: &str) -> Response {
        let zone = query_value(query, "zone");
        let offset = query_value(query, "pageToken")
            .and_then(|token| token.strip_prefix(PAGE_TOKEN_PREFIX))
            .and_then(|offset| offset.parse::<usize>().ok())
            .unwrap_or(0);
        let listing = state.listing_at(now.saturating_sub(self.parameters.lag));
        let mut matching = listing
            .entries
            .values()
            .filter(|entry| zone.is_none_or(|zone| entry["zone"] == zone))
            .skip(offset);
        let page: Vec<&Value> = matching.by_ref().take(self.parameters.page_size).collect();
        let next = matching
            .next()
            .map(|_| format!("{PAGE_TOKEN_PREFIX}{}", offset + page.len()));
        Response::new(200).json(&json!({"instances": page, "nextToken": next}))
    }
}

impl State {
    /// Returns the listing at a time.
    fn listing_at(&self, at: Micros) -> &Listing {
        let listing = self
            .listings
            .iter()
            .rev()
            .find(|listing| listing.since <= at);
        listing.unwrap_or(&self.listings[0])
    }

    /// Takes a call from the token bucket, which holds at most one second's calls; `false` when it is empty.
    fn try_take_call(&mut self, now: Micros, rate_per_second: f64) -> bool {
        let seconds = (now - self.refilled_at) as f64 / (1_000 * MICROS_PER_MS) as f64;
        self.available_calls =
            (self.available_calls + seconds * rate_per_second).min(rate_per_second.max(1.0));
        self.refilled_at = now;
        if self.available_calls < 1.0 {
            return false;
        }
        self.available_calls -= 1.0;
        true
    }
}

/// Returns an entry in the state `ready` with its identifier.
fn ready_entry(mut entry: Value) -> (String, Value) {
    entry["state"] = json!("ready");
    let identifier = entry["identifier"].as_str().unwrap_or_default().to_owned();
    (identifier, entry)
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(listing, _)| *listing == name)
        .map(|(_, value)| value)
}
