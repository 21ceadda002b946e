//! Sends the operator's configuration changes during a soak, one after another, on a thread of their own.

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

/// How long the operator retries a request until it has a definite response.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(8);
/// Consecutive changes of [`Command::Storm`].
const STORM_CHANGES: u64 = 6;
/// Responses that are dropped for [`Command::LostAcknowledgements`].
const LOST_RESPONSES: u32 = 3;
/// Increase of `timeoutMs` with each change.
const TIMEOUT_INCREMENT_MS: u64 = 10;

/// An operation for the writer's thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    Change,
    Storm,
    Race,
    Invalid,
    LostAcknowledgements,
}

/// The newest configuration known to be in force, all configurations sent, and the failures so far.
struct State {
    newest: Configuration,
    sent: Vec<Configuration>,
    failures: Vec<String>,
}

/// Sends configuration changes on request.
pub(super) struct Writer {
    commands: Sender<Command>,
    worker: JoinHandle<()>,
    state: Arc<Mutex<State>>,
}

/// The final state of a [`Writer`].
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

    /// Queues a command.
    pub fn send(&self, command: Command) {
        // Fails only if the worker has panicked, which its own output shows.
        let _ = self.commands.send(command);
    }

    /// Waits until all commands are done.
    pub fn end(self) -> WriterResult {
        drop(self.commands);
        // Fails only if the worker has panicked, which its own output shows.
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
    /// Failures so far, and what is wrong with the configuration that is read back at the end of the soak.
    pub fn check_read_back(&self, operator: &Operator, wait: Duration) -> Vec<String> {
        let mut failures = self.failures.clone();
        match operator.get(wait) {
            None => failures.push("reading the configuration back failed".to_owned()),
            Some(read) => failures.extend(self.check(&read)),
        }
        failures
    }

    fn check(&self, read: &Value) -> Option<String> {
        let version = read["version"].as_u64().unwrap_or(0);
        if version < self.newest.version {
            return Some(format!(
                "configuration version {version} was read back, but version {} was acknowledged",
                self.newest.version
            ));
        }
        let was_sent = self.sent.iter().any(|sent| to_json(sent) == *read);
        (!was_sent).then(|| format!("configuration version {version} read back was never sent"))
    }
}

fn run_worker(operator: &Operator, commands: &Receiver<Command>, state: &Mutex<State>) {
    while let Ok(command) = commands.recv() {
        match command {
            Command::Change => apply_change(operator, state),
            Command::Storm => (0..STORM_CHANGES).for_each(|_| apply_change(operator, state)),
            Command::LostAcknowledgements => {
                operator.drop_responses(LOST_RESPONSES);
                apply_change(operator, state);
            }
            Command::Invalid => send_invalid(operator, state),
            Command::Race => race_changes(operator, state),
        }
    }
}

/// The next configuration: timeouts grow, and a route is added or removed.
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
                "configuration version {} was refused with status {status}",
                next.version
            ));
            refresh_newest(operator, state);
        }
        ChangeOutcome::Unknown => refresh_newest(operator, state),
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

/// After an indefinite outcome: reads the configuration back and takes it as the newest if it was sent by this writer.
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
    // Not added to `sent`, because it must not be read back.
    let outcome = operator.put(&invalid, current.version, 0, CHANGE_TIMEOUT);
    if outcome == ChangeOutcome::Acknowledged {
        lock(state).failures.push(format!(
            "the invalid configuration version {} was acknowledged",
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
        [first, second.join().unwrap_or(ChangeOutcome::Unknown)]
    });
    match outcomes {
        [ChangeOutcome::Acknowledged, _] => lock(state).newest = first_change,
        [_, ChangeOutcome::Acknowledged] => lock(state).newest = second_change,
        _ => refresh_newest(operator, state),
    }
}
