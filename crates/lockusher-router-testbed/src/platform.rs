//! The platform's list of instances: pages, lag, a rate limit, `draining`.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use crate::engine::{MICROS_PER_MS, Micros};
use crate::http::{Answer, Connection, Request};
use crate::record::{DrainTimes, LabClock};
use crate::server::{Handler, Next, Server, lock};

/// Connections that the platform takes.
const CONNECTION_LIMIT: usize = 1_000;
/// Words before the offset in a page token.
const PAGE_TOKEN_PREFIX: &str = "p-";

/// The figures of the platform.
#[derive(Clone, Debug)]
pub struct PlatformParameters {
    /// How far the list lags behind the truth.
    pub lag: Micros,
    /// Calls a second from all callers together; more get 429.
    pub rate_per_second: f64,
    /// Entries on one page.
    pub page_size: usize,
}

/// What the platform was asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformCalls {
    pub answered: u64,
    pub over_rate: u64,
}

/// The list as it was from some time on.
#[derive(Clone, Debug)]
struct Listing {
    since: Micros,
    entries: BTreeMap<String, Value>,
}

struct State {
    /// All listings so far; the newest is the truth, an older one is what the list shows.
    listings: Vec<Listing>,
    drained: DrainTimes,
    calls: PlatformCalls,
    /// Calls that may still be made now, and when that was worked out.
    allowance: f64,
    refilled: Micros,
    down: bool,
}

struct Shared {
    parameters: PlatformParameters,
    clock: LabClock,
    state: Mutex<State>,
}

/// The platform; it serves until it is dropped.
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

impl Platform {
    /// Listens at `address`; the list has held `entries` for long.
    pub fn start(
        address: SocketAddr,
        parameters: PlatformParameters,
        entries: Vec<Value>,
        clock: LabClock,
    ) -> std::io::Result<Platform> {
        let entries = entries.into_iter().map(ready_entry).collect();
        let state = State {
            listings: vec![Listing { since: 0, entries }],
            drained: DrainTimes::new(),
            calls: PlatformCalls::default(),
            allowance: parameters.rate_per_second,
            refilled: clock.now(),
            down: false,
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds an entry as `ready`.
    pub fn add(&self, entry: Value) {
        let (identifier, entry) = ready_entry(entry);
        self.change(|entries| {
            entries.insert(identifier, entry);
        });
    }

    /// Shows an entry as `draining` from now on, less the lag.
    pub fn drain(&self, identifier: &str) {
        self.change(|entries| {
            if let Some(entry) = entries.get_mut(identifier) {
                entry["state"] = json!("draining");
            }
        });
        self.note_drained(identifier);
    }

    /// Takes an entry off the list.
    pub fn remove(&self, identifier: &str) {
        self.change(|entries| {
            entries.remove(identifier);
        });
        self.note_drained(identifier);
    }

    /// Changes the stage that an entry shows.
    pub fn set_stage(&self, identifier: &str, stage: &str) {
        self.change(|entries| {
            if let Some(entry) = entries.get_mut(identifier) {
                entry["stage"] = json!(stage);
            }
        });
    }

    /// While it is down, every call gets 500.
    pub fn set_down(&self, down: bool) {
        lock(&self.shared.state).down = down;
    }

    /// When the list first showed each searcher as draining or gone.
    pub fn drain_times(&self) -> DrainTimes {
        lock(&self.shared.state).drained.clone()
    }

    /// What it was asked so far.
    pub fn calls(&self) -> PlatformCalls {
        lock(&self.shared.state).calls
    }

    fn change(&self, act: impl FnOnce(&mut BTreeMap<String, Value>)) {
        let mut state = lock(&self.shared.state);
        let mut entries = state
            .listings
            .last()
            .map(|listing| listing.entries.clone())
            .unwrap_or_default();
        act(&mut entries);
        state.listings.push(Listing {
            since: self.shared.clock.now(),
            entries,
        });
    }

    fn note_drained(&self, identifier: &str) {
        let shown = self.shared.clock.now() + self.shared.parameters.lag;
        lock(&self.shared.state)
            .drained
            .entry(identifier.to_owned())
            .or_insert(shown);
    }
}

impl Handler for Shared {
    fn handle(&self, request: Request, connection: &mut Connection) -> Next {
        let answer = self.answer(&request);
        if connection.write(&answer.to_bytes()).is_err() {
            Next::Close
        } else {
            Next::Keep
        }
    }
}

impl Shared {
    fn answer(&self, request: &Request) -> Answer {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        if request.method != "GET" || path != "/instances" {
            return Answer::new(404);
        }
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.down {
            return Answer::new(500);
        }
        if !state.take_call(now, self.parameters.rate_per_second) {
            state.calls.over_rate += 1;
            return Answer::new(429).header("Retry-After", "1");
        }
        state.calls.answered += 1;
        self.page(&state, now, query)
    }

    fn page(&self, state: &State, now: Micros, query: &str) -> Answer {
        let zone = query_value(query, "zone");
        let offset = query_value(query, "pageToken")
            .and_then(|token| token.strip_prefix(PAGE_TOKEN_PREFIX))
            .and_then(|offset| offset.parse::<usize>().ok())
            .unwrap_or(0);
        let listing = state.shown(now.saturating_sub(self.parameters.lag));
        let mut wanted = listing
            .entries
            .values()
            .filter(|entry| zone.is_none_or(|zone| entry["zone"] == zone))
            .skip(offset);
        let page: Vec<&Value> = wanted.by_ref().take(self.parameters.page_size).collect();
        let next = wanted
            .next()
            .map(|_| format!("{PAGE_TOKEN_PREFIX}{}", offset + page.len()));
        Answer::new(200).json(&json!({"instances": page, "nextToken": next}))
    }
}

impl State {
    /// The list as it stood at a time.
    fn shown(&self, at: Micros) -> &Listing {
        let known = self
            .listings
            .iter()
            .rev()
            .find(|listing| listing.since <= at);
        known.unwrap_or(&self.listings[0])
    }

    /// Takes a call out of the allowance of one second's calls.
    fn take_call(&mut self, now: Micros, rate_per_second: f64) -> bool {
        let seconds = (now - self.refilled) as f64 / (1_000 * MICROS_PER_MS) as f64;
        self.allowance = (self.allowance + seconds * rate_per_second).min(rate_per_second.max(1.0));
        self.refilled = now;
        if self.allowance < 1.0 {
            return false;
        }
        self.allowance -= 1.0;
        true
    }
}

/// An entry by its identifier, in the state `ready`.
fn ready_entry(mut entry: Value) -> (String, Value) {
    entry["state"] = json!("ready");
    let identifier = entry["identifier"].as_str().unwrap_or_default().to_owned();
    (identifier, entry)
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}
