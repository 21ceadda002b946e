//! The operator's changes during a day, one after another, in a thread of their own.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use lockusher_config::configuration::{Configuration, RouteKind};
use serde_json::Value;

use crate::configuration::to_json;
use crate::deployment::{PLAIN_SERVICE, route};
use crate::operator::{ChangeOutcome, Operator};
use crate::server::lock;

/// How long the operator waits for a clear answer.
const PATIENCE: Duration = Duration::from_secs(8);
/// Changes in a storm.
const STORM: u64 = 6;
/// Answers that are lost when acknowledgements are.
const LOST_ANSWERS: u32 = 3;
/// How much `timeoutMs` grows with each change.
const STEP_MS: u64 = 10;

/// What the operator is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Order {
    Change,
    Storm,
    Race,
    Invalid,
    LostAcknowledgements,
}

/// The newest configuration that may be in force, and all that were sent.
struct State {
    newest: Configuration,
    sent: Vec<Configuration>,
    faults: Vec<String>,
}

/// Sends changes as ordered.
pub(super) struct Writer {
    orders: Sender<Order>,
    worker: JoinHandle<()>,
    state: Arc<Mutex<State>>,
}

/// What was written in a day.
pub(super) struct Written {
    newest: Configuration,
    sent: Vec<Configuration>,
    faults: Vec<String>,
}

impl Writer {
    pub fn start(operator: Arc<Operator>, present: Configuration) -> Writer {
        let (orders, receiver) = channel();
        let state = State {
            sent: vec![present.clone()],
            newest: present,
            faults: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let for_worker = Arc::clone(&state);
        let worker = std::thread::spawn(move || work(&operator, &receiver, &for_worker));
        Writer {
            orders,
            worker,
            state,
        }
    }

    pub fn order(&self, order: Order) {
        // A worker that has panicked shows in the output.
        let _ = self.orders.send(order);
    }

    /// Waits for all orders.
    pub fn end(self) -> Written {
        drop(self.orders);
        // A worker that has panicked shows in the output.
        let _ = self.worker.join();
        let state = lock(&self.state);
        Written {
            newest: state.newest.clone(),
            sent: state.sent.clone(),
            faults: state.faults.clone(),
        }
    }
}

impl Written {
    /// What is wrong with the configuration that is read back at the end of the day.
    pub fn check_read_back(&self, operator: &Operator, wait: Duration) -> Vec<String> {
        let mut faults = self.faults.clone();
        match operator.get(wait) {
            None => faults.push("the configuration can't be read back".to_owned()),
            Some(read) => faults.extend(self.check(&read)),
        }
        faults
    }

    fn check(&self, read: &Value) -> Option<String> {
        let version = read["version"].as_u64().unwrap_or(0);
        if version < self.newest.version {
            return Some(format!(
                "version {version} is read back, {} was acknowledged",
                self.newest.version
            ));
        }
        let known = self.sent.iter().any(|sent| to_json(sent) == *read);
        (!known).then(|| format!("version {version} is read back other than it was sent"))
    }
}

fn work(operator: &Operator, orders: &Receiver<Order>, state: &Mutex<State>) {
    while let Ok(order) = orders.recv() {
        match order {
            Order::Change => change(operator, state),
            Order::Storm => (0..STORM).for_each(|_| change(operator, state)),
            Order::LostAcknowledgements => {
                operator.drop_responses(LOST_ANSWERS);
                change(operator, state);
            }
            Order::Invalid => send_invalid(operator, state),
            Order::Race => race(operator, state),
        }
    }
}

/// The next version: timeouts grow and a route comes or goes.
fn next_after(present: &Configuration, step: u64) -> Configuration {
    const ADDED: &str = "added";
    let mut next = present.clone();
    next.version += step;
    for route in &mut next.routes {
        route.timeout_ms += STEP_MS;
    }
    if next.routes.iter().any(|route| route.name == ADDED) {
        next.routes.retain(|route| route.name != ADDED);
    } else {
        next.routes
            .push(route(ADDED, PLAIN_SERVICE, RouteKind::Idempotent));
    }
    next
}

fn change(operator: &Operator, state: &Mutex<State>) {
    let present = lock(state).newest.clone();
    let next = next_after(&present, 1 + present.version % 3);
    let outcome = send(operator, state, &next, present.version, 0);
    match outcome {
        ChangeOutcome::Acknowledged => lock(state).newest = next,
        ChangeOutcome::Refused { status } => {
            lock(state).faults.push(format!(
                "version {} was refused with {status}",
                next.version
            ));
            learn_newest(operator, state);
        }
        ChangeOutcome::Unknown => learn_newest(operator, state),
    }
}

fn send(
    operator: &Operator,
    state: &Mutex<State>,
    next: &Configuration,
    base: u64,
    first: usize,
) -> ChangeOutcome {
    lock(state).sent.push(next.clone());
    operator.put(next, base, first, PATIENCE)
}

/// After an unclear answer: what is read back is the present one, if it is one that was sent.
fn learn_newest(operator: &Operator, state: &Mutex<State>) {
    let Some(read) = operator.get(PATIENCE) else {
        return;
    };
    let mut state = lock(state);
    let found = state
        .sent
        .iter()
        .find(|sent| to_json(sent) == read)
        .cloned();
    if let Some(found) = found.filter(|found| found.version > state.newest.version) {
        state.newest = found;
    }
}

fn send_invalid(operator: &Operator, state: &Mutex<State>) {
    let present = lock(state).newest.clone();
    let mut invalid = next_after(&present, 1);
    invalid.routes[0].split[0].service = "nobody".to_owned();
    // It is not among those that may be read back.
    let outcome = operator.put(&invalid, present.version, 0, PATIENCE);
    if outcome == ChangeOutcome::Acknowledged {
        lock(state).faults.push(format!(
            "the invalid version {} was acknowledged",
            invalid.version
        ));
    }
}

fn race(operator: &Operator, state: &Mutex<State>) {
    let present = lock(state).newest.clone();
    let one = next_after(&present, 2);
    let mut other = one.clone();
    other.routes[0].timeout_ms += STEP_MS;
    let outcomes = std::thread::scope(|scope| {
        let racer = scope.spawn(|| send(operator, state, &other, present.version, 1));
        let first = send(operator, state, &one, present.version, 0);
        [first, racer.join().unwrap_or(ChangeOutcome::Unknown)]
    });
    match outcomes {
        [ChangeOutcome::Acknowledged, _] => lock(state).newest = one,
        [_, ChangeOutcome::Acknowledged] => lock(state).newest = other,
        _ => learn_newest(operator, state),
    }
}
