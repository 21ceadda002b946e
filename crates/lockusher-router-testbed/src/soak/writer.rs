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
const CHANGE_TIMEOUT: Duration = Duration::from_secs(8);
/// Changes in a storm.
const STORM_CHANGES: u64 = 6;
/// Answers that are lost when acknowledgements are.
const LOST_RESPONSES: u32 = 3;
/// How much `timeoutMs` grows with each change.
const TIMEOUT_INCREMENT_MS: u64 = 10;

/// What the operator is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
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
    failures: Vec<String>,
}

/// Sends changes as ordered.
pub(super) struct Writer {
    commands: Sender<Command>,
    worker: JoinHandle<()>,
    state: Arc<Mutex<State>>,
}

/// What was written in a day.
pub(super) struct WriterResult {
    newest: Configuration,
    sent: Vec<Configuration>,
    failures: Vec<String>,
}

impl Writer {
    pub fn start(operator: Arc<Operator>, current: Configuration) -> Writer {
        let (commands, receiver) = channel();
        let state = State {
            sent: vec![current.clone()],
            newest: current,
            failures: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let worker_state = Arc::clone(&state);
        let worker = std::thread::spawn(move || run_worker(&operator, &receiver, &worker_state));
        Writer {
            commands,
            worker,
            state,
        }
    }

    pub fn send(&self, command: Command) {
        // A worker that has panicked shows in the output.
        let _ = self.commands.send(command);
    }

    /// Waits for all orders.
    pub fn end(self) -> WriterResult {
        drop(self.commands);
        // A worker that has panicked shows in the output.
        let _ = self.worker.join();
        let state = lock(&self.state);
        WriterResult {
            newest: state.newest.clone(),
            sent: state.sent.clone(),
            failures: state.failures.clone(),
        }
    }
}

impl WriterResult {
    /// What is wrong with the configuration that is read back at the end of the day.
    pub fn check_read_back(&self, operator: &Operator, wait: Duration) -> Vec<String> {
        let mut failures = self.failures.clone();
        match operator.get(wait) {
            None => failures.push("the configuration can't be read back".to_owned()),
            Some(read) => failures.extend(self.check(&read)),
        }
        failures
    }

    fn check(&self, read: &Value) -> Option<String> {
        let version = read["version"].as_u64().unwrap_or(0);
        if version < self.newest.version {
            return Some(format!(
                "version {version} is read back, {} was acknowledged",
                self.newest.version
            ));
        }
        let was_sent = self.sent.iter().any(|sent| to_json(sent) == *read);
        (!was_sent).then(|| format!("version {version} is read back other than it was sent"))
    }
}

fn run_worker(operator: &Operator, commands: &Receiver<Command>, state: &Mutex<State>) {
    while let Ok(command) = commands.recv() {
        match command {
            Command::Change => apply_change(operator, state),
            Command::Storm => (0..STORM_CHANGES).for_each(|_| apply_change(operator, state)),
            Command::LostAcknowledgements => {
                operator.lose_answers(LOST_RESPONSES);
                apply_change(operator, state);
            }
            Command::Invalid => send_invalid(operator, state),
            Command::Race => race_changes(operator, state),
        }
    }
}

/// The next version: timeouts grow and a route comes or goes.
fn next_configuration(current: &Configuration, version_increment: u64) -> Configuration {
    const ADDED: &str = "added";
    let mut next = current.clone();
    next.version += version_increment;
    for route in &mut next.routes {
        route.timeout_ms += TIMEOUT_INCREMENT_MS;
    }
    if next.routes.iter().any(|route| route.name == ADDED) {
        next.routes.retain(|route| route.name != ADDED);
    } else {
        next.routes
            .push(route(ADDED, PLAIN_SERVICE, RouteKind::Idempotent));
    }
    next
}

fn apply_change(operator: &Operator, state: &Mutex<State>) {
    let current = lock(state).newest.clone();
    let next = next_configuration(&current, 1 + current.version % 3);
    let outcome = send(operator, state, &next, current.version, 0);
    match outcome {
        ChangeOutcome::Acknowledged => lock(state).newest = next,
        ChangeOutcome::Refused { status } => {
            lock(state).failures.push(format!(
                "version {} was refused with {status}",
                next.version
            ));
            refresh_newest(operator, state);
        }
        ChangeOutcome::Unclear => refresh_newest(operator, state),
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
    operator.put(next, base, first, CHANGE_TIMEOUT)
}

/// After an unclear answer: what is read back is the present one, if it is one that was sent.
fn refresh_newest(operator: &Operator, state: &Mutex<State>) {
    let Some(read) = operator.get(CHANGE_TIMEOUT) else {
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
    let current = lock(state).newest.clone();
    let mut invalid = next_configuration(&current, 1);
    invalid.routes[0].split[0].service = "nobody".to_owned();
    // It is not among those that may be read back.
    let outcome = operator.put(&invalid, current.version, 0, CHANGE_TIMEOUT);
    if outcome == ChangeOutcome::Acknowledged {
        lock(state).failures.push(format!(
            "the invalid version {} was acknowledged",
            invalid.version
        ));
    }
}

fn race_changes(operator: &Operator, state: &Mutex<State>) {
    let current = lock(state).newest.clone();
    let first_change = next_configuration(&current, 2);
    let mut second_change = first_change.clone();
    second_change.routes[0].timeout_ms += TIMEOUT_INCREMENT_MS;
    let outcomes = std::thread::scope(|scope| {
        let second = scope.spawn(|| send(operator, state, &second_change, current.version, 1));
        let first = send(operator, state, &first_change, current.version, 0);
        [first, second.join().unwrap_or(ChangeOutcome::Unclear)]
    });
    match outcomes {
        [ChangeOutcome::Acknowledged, _] => lock(state).newest = first_change,
        [_, ChangeOutcome::Acknowledged] => lock(state).newest = second_change,
        _ => refresh_newest(operator, state),
    }
}
