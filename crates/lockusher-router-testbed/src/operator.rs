//! The operator: sends configurations to the control plane and reads them back.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lockusher_config::configuration::Configuration;
use serde_json::Value;

use crate::configuration::to_json;
use crate::engine::Micros;
use crate::http::{Answer, Connection, HttpError, Request};
use crate::record::LabClock;
use crate::server::lock;

/// How often a caller follows `Location`.
const MOST_REDIRECTS: usize = 2;
/// Silence after which the operator moves to another node.
const SILENCE: Duration = Duration::from_secs(1);
/// The pause after the first try without a clear answer; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Tries after which any other 4xx is final.
const MOST_ODD_REFUSALS: u32 = 3;

/// How a change ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    Acknowledged,
    Refused {
        status: u16,
    },
    /// No clear answer within the time given: it may or may not be in force.
    Unclear,
}

/// A change that the operator sent.
#[derive(Clone, Debug)]
pub struct Change {
    pub configuration: Configuration,
    /// The version that it builds on.
    pub base: u64,
    pub sent: Micros,
    pub ended: Micros,
    /// Calls that were made for it.
    pub calls: u32,
    pub outcome: ChangeOutcome,
}

/// The operator with everything that it sent.
pub struct Operator {
    control: Mutex<Vec<SocketAddr>>,
    clock: LabClock,
    changes: Mutex<Vec<Change>>,
    /// Answers that are thrown away before they count, for the trouble of lost acknowledgements.
    answers_to_lose: Mutex<u32>,
}

impl Operator {
    /// An operator that knows these `control` addresses.
    pub fn new(control: Vec<SocketAddr>, clock: LabClock) -> Arc<Operator> {
        Arc::new(Operator {
            control: Mutex::new(control),
            clock,
            changes: Mutex::new(Vec::new()),
            answers_to_lose: Mutex::new(0),
        })
    }

    /// Replaces the list of control nodes.
    pub fn set_control(&self, control: Vec<SocketAddr>) {
        *lock(&self.control) = control;
    }

    /// The next `count` answers are lost on their way.
    pub fn lose_answers(&self, count: u32) {
        *lock(&self.answers_to_lose) = count;
    }

    /// Everything that was sent so far.
    pub fn changes(&self) -> Vec<Change> {
        lock(&self.changes).clone()
    }

    /// Sends a configuration until there is a clear answer or `patience` has passed. `first` is the position
    /// of the control node that is tried first.
    pub fn put(
        &self,
        configuration: &Configuration,
        base: u64,
        first: usize,
        patience: Duration,
    ) -> ChangeOutcome {
        let sent = self.clock.now();
        let body = to_json(configuration).to_string();
        let request = Request::new("PUT", "/api/configuration")
            .header("If-Match", base.to_string())
            .header("Content-Type", "application/json")
            .body(body);
        let (outcome, calls) = self.resend(&request, first, patience);
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

    /// Reads the newest configuration; `None` when it doesn't come within `patience`.
    pub fn get(&self, patience: Duration) -> Option<Value> {
        let request = Request::new("GET", "/api/configuration");
        let give_up = Instant::now() + patience;
        let mut pauses = Pauses::new();
        for turn in 0.. {
            if let Ok(answer) = self.call(&request, turn)
                && answer.status == 200
            {
                return serde_json::from_slice(&answer.body).ok();
            }
            if !pauses.pause(give_up) {
                break;
            }
        }
        None
    }

    fn resend(&self, request: &Request, first: usize, patience: Duration) -> (ChangeOutcome, u32) {
        let give_up = Instant::now() + patience;
        let mut pauses = Pauses::new();
        let mut calls = 0;
        let mut odd_refusals = 0;
        loop {
            let answer = self.call(request, first + calls as usize);
            calls += 1;
            let status = answer.map(|answer| answer.status).unwrap_or(0);
            match status {
                200 => return (ChangeOutcome::Acknowledged, calls),
                400 | 409 | 412 | 413 | 422 => return (ChangeOutcome::Refused { status }, calls),
                408 | 429 => {}
                401..=499 => {
                    odd_refusals += 1;
                    if odd_refusals >= MOST_ODD_REFUSALS {
                        return (ChangeOutcome::Refused { status }, calls);
                    }
                }
                _ => {}
            }
            if !pauses.pause(give_up) {
                return (ChangeOutcome::Unclear, calls);
            }
        }
    }

    /// One call to the control node at a turn's place, redirects followed.
    fn call(&self, request: &Request, turn: usize) -> Result<Answer, HttpError> {
        let control = lock(&self.control).clone();
        let mut address = control[turn % control.len()];
        for _ in 0..=MOST_REDIRECTS {
            let answer = call_once(address, request)?;
            if answer.status != 307 {
                return self.lose_or_keep(answer);
            }
            let location = answer.headers.get("Location").and_then(address_of);
            address = location.ok_or(HttpError::Malformed {
                reason: "307 without a place".to_owned(),
            })?;
        }
        Err(HttpError::Malformed {
            reason: "redirected too often".to_owned(),
        })
    }

    fn lose_or_keep(&self, answer: Answer) -> Result<Answer, HttpError> {
        let mut left = lock(&self.answers_to_lose);
        if *left == 0 {
            return Ok(answer);
        }
        *left -= 1;
        Err(HttpError::ClosedEarly)
    }
}

fn call_once(address: SocketAddr, request: &Request) -> Result<Answer, HttpError> {
    let mut connection = Connection::open(address, SILENCE)?;
    connection.set_give_up(Some(Instant::now() + SILENCE));
    let request = request.clone().header("Host", address.to_string());
    connection.write(&request.to_bytes())?;
    connection.read_answer()
}

/// The address in `http://IP:PORT/path`.
fn address_of(location: &str) -> Option<SocketAddr> {
    let rest = location.strip_prefix("http://")?;
    rest.split('/').next()?.parse().ok()
}

/// Pauses that grow.
struct Pauses {
    next: Duration,
}

impl Pauses {
    fn new() -> Pauses {
        Pauses { next: FIRST_PAUSE }
    }

    /// Pauses; `false` when the time to give up comes first.
    fn pause(&mut self, give_up: Instant) -> bool {
        if Instant::now() + self.next >= give_up {
            return false;
        }
        std::thread::park_timeout(self.next);
        self.next = (self.next * 2).min(LONGEST_PAUSE);
        true
    }
}
