//! Stand-in for the operator: sends configurations to the control plane and reads them back.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lockusher_config::configuration::Configuration;
use serde_json::Value;

use crate::configuration::to_json;
use crate::engine::Micros;
use crate::http::{Connection, HttpError, Request, Response};
use crate::record::TestClock;
use crate::server::lock;

/// Maximum number of redirects (`Location`) followed in one call.
const MAX_REDIRECTS: usize = 2;
/// How long the operator waits for a response before it tries another node.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Backoff after the first call without a final response; it doubles up to `MAX_BACKOFF`.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Number of other 4xx responses after which the change counts as refused.
const MAX_UNEXPECTED_REFUSALS: u32 = 3;

/// The outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    Acknowledged,
    Refused {
        status: u16,
    },
    /// No final response before the timeout: the change may or may not be in force.
    Unknown,
}

/// A change that the operator sent.
#[derive(Clone, Debug)]
pub struct Change {
    pub configuration: Configuration,
    /// The version that it replaces (`If-Match`).
    pub base: u64,
    pub sent: Micros,
    pub ended: Micros,
    /// Number of calls made for it.
    pub calls: u32,
    pub outcome: ChangeOutcome,
}

/// The operator and the changes that it sent.
pub struct Operator {
    control: Mutex<Vec<SocketAddr>>,
    clock: TestClock,
    changes: Mutex<Vec<Change>>,
    /// Number of responses still to be dropped, to simulate lost acknowledgements.
    responses_to_drop: Mutex<u32>,
}

impl Operator {
    /// Creates an operator that calls the control nodes at these addresses.
    pub fn new(control: Vec<SocketAddr>, clock: TestClock) -> Arc<Operator> {
        Arc::new(Operator {
            control: Mutex::new(control),
            clock,
            changes: Mutex::new(Vec::new()),
            responses_to_drop: Mutex::new(0),
        })
    }

    /// Replaces the addresses of the control nodes.
    pub fn set_control(&self, control: Vec<SocketAddr>) {
        *lock(&self.control) = control;
    }

    /// Drops the next `count` responses.
    pub fn drop_responses(&self, count: u32) {
        *lock(&self.responses_to_drop) = count;
    }

    /// All changes sent so far.
    pub fn changes(&self) -> Vec<Change> {
        lock(&self.changes).clone()
    }

    /// Sends a configuration until a final response or the timeout. `first_node` is the index of the control node
    /// that is called first.
    pub fn put(
        &self,
        configuration: &Configuration,
        base: u64,
        first_node: usize,
        timeout: Duration,
    ) -> ChangeOutcome {
        let sent = self.clock.now();
        let body = to_json(configuration).to_string();
        let request = Request::new("PUT", "/api/configuration")
            .header("If-Match", base.to_string())
            .header("Content-Type", "application/json")
            .body(body);
        let (outcome, calls) = self.send_until_final(&request, first_node, timeout);
        lock(&self.changes).push(Change {
            configuration: configuration.clone(),
            base,
            sent,
            ended: self.clock.now(),
            calls,
            outcome,
        });
        outcome
    }

    /// Reads the newest configuration; `None` without a successful response before the timeout.
    pub fn get(&self, timeout: Duration) -> Option<Value> {
        let request = Request::new("GET", "/api/configuration");
        let deadline = Instant::now() + timeout;
        let mut backoff = Backoff::new();
        for attempt in 0.. {
            if let Ok(response) = self.call(&request, attempt)
                && response.status == 200
            {
                return serde_json::from_slice(&response.body).ok();
            }
            if !backoff.wait(deadline) {
                break;
            }
        }
        None
    }

    /// Repeats a request on the control nodes in turn; returns the outcome and the number of calls.
    fn send_until_final(
        &self,
        request: &Request,
        first_node: usize,
        timeout: Duration,
    ) -> (ChangeOutcome, u32) {
        let deadline = Instant::now() + timeout;
        let mut backoff = Backoff::new();
        let mut calls = 0;
        let mut unexpected_refusals = 0;
        loop {
            let response = self.call(request, first_node + calls as usize);
            calls += 1;
            let status = response.map(|response| response.status).unwrap_or(0);
            match status {
                200 => return (ChangeOutcome::Acknowledged, calls),
                400 | 409 | 412 | 413 | 422 => return (ChangeOutcome::Refused { status }, calls),
                408 | 429 => {}
                401..=499 => {
                    unexpected_refusals += 1;
                    if unexpected_refusals >= MAX_UNEXPECTED_REFUSALS {
                        return (ChangeOutcome::Refused { status }, calls);
                    }
                }
                _ => {}
            }
            if !backoff.wait(deadline) {
                return (ChangeOutcome::Unknown, calls);
            }
        }
    }

    /// Calls the control node of an attempt and follows redirects.
    fn call(&self, request: &Request, attempt: usize) -> Result<Response, HttpError> {
        let control = lock(&self.control).clone();
        let mut address = control[attempt % control.len()];
        for _ in 0..=MAX_REDIRECTS {
            let response = send_once(address, request)?;
            if response.status != 307 {
                return self.drop_or_return(response);
            }
            let location = response.headers.get("Location").and_then(parse_location);
            address = location.ok_or(HttpError::Malformed {
                reason: "307 without a valid Location".to_owned(),
            })?;
        }
        Err(HttpError::Malformed {
            reason: "too many redirects".to_owned(),
        })
    }

    fn drop_or_return(&self, response: Response) -> Result<Response, HttpError> {
        let mut remaining = lock(&self.responses_to_drop);
        if *remaining == 0 {
            return Ok(response);
        }
        *remaining -= 1;
        Err(HttpError::ClosedEarly)
    }
}

fn send_once(address: SocketAddr, request: &Request) -> Result<Response, HttpError> {
    let mut connection = Connection::open(address, RESPONSE_TIMEOUT)?;
    connection.set_deadline(Some(Instant::now() + RESPONSE_TIMEOUT));
    let request = request.clone().header("Host", address.to_string());
    connection.write(&request.to_bytes())?;
    connection.read_response()
}

/// Parses the address in `http://IP:PORT/path`.
fn parse_location(location: &str) -> Option<SocketAddr> {
    let authority_and_path = location.strip_prefix("http://")?;
    authority_and_path.split('/').next()?.parse().ok()
}

/// Exponential backoff.
struct Backoff {
    next: Duration,
}

impl Backoff {
    fn new() -> Backoff {
        Backoff {
            next: INITIAL_BACKOFF,
        }
    }

    /// Waits for the next backoff; `false` without waiting if it would end after the deadline.
    fn wait(&mut self, deadline: Instant) -> bool {
        if Instant::now() + self.next >= deadline {
            return false;
        }
        std::thread::park_timeout(self.next);
        self.next = (self.next * 2).min(MAX_BACKOFF);
        true
    }
}
