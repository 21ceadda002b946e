//! What plain searchers and searchers of language-model services have in common: identity, screening of
//! requests, faults on demand.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::json;

use crate::engine::Micros;
use crate::http::{Answer, Connection, Request};
use crate::record::{Arrival, ArrivalOutcome, digest};
use crate::server::lock;

/// How often a searcher looks whether its caller has gone.
pub(crate) const CALLER_POLL: Duration = Duration::from_millis(20);

/// Who a searcher is. Every start is a new incarnation with a new `instance`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    pub instance: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub region: String,
}

/// A way to misbehave with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Reset once the whole request was read; it has not begun to run.
    ResetAfterRequest,
    /// The run begins, then the connection is reset without a byte of the answer.
    ResetBeforeFirstEvent,
    /// Reset in the middle of the event after so many whole ones.
    ResetMidEvent { whole_events: usize },
    /// The answer names another request.
    WrongIdentifier,
    /// Bytes follow the whole answer.
    ExtraBytes,
    /// The run begins, then nothing is ever answered.
    Silence,
    /// It is rejected with this status and `Not-Executed`.
    Reject { status: u16 },
}

/// The faults that the next requests meet, in order.
#[derive(Debug, Default)]
pub struct FaultPlan {
    runs: Mutex<VecDeque<Fault>>,
    prefills: Mutex<VecDeque<Fault>>,
    met: AtomicUsize,
}

impl FaultPlan {
    /// The next `times` requests that are to run meet `fault`.
    pub fn on_runs(&self, fault: Fault, times: usize) {
        lock(&self.runs).extend(std::iter::repeat_n(fault, times));
    }

    /// The next `times` prompts that are to be read meet `fault`.
    pub fn on_prefills(&self, fault: Fault, times: usize) {
        lock(&self.prefills).extend(std::iter::repeat_n(fault, times));
    }

    /// Faults that requests have met so far.
    pub fn met(&self) -> usize {
        self.met.load(Ordering::SeqCst)
    }

    /// Drops the faults that no request has met.
    pub fn clear(&self) {
        lock(&self.runs).clear();
        lock(&self.prefills).clear();
    }

    pub(crate) fn next(&self, prefill_only: bool) -> Option<Fault> {
        let plan = if prefill_only {
            &self.prefills
        } else {
            &self.runs
        };
        let fault = lock(plan).pop_front();
        self.met
            .fetch_add(usize::from(fault.is_some()), Ordering::SeqCst);
        fault
    }
}

/// A request that did not run and never will.
pub(crate) fn not_executed(status: u16, request_id: &str) -> Answer {
    Answer::new(status)
        .header("Request-Identifier", request_id)
        .header("Not-Executed", "1")
}

/// The answer of a searcher to a request that it must not run, if so.
pub(crate) fn screen(request: &Request, identity: &Identity) -> Option<Answer> {
    let Some(request_id) = request.headers.get("Request-Identifier") else {
        return Some(not_executed(400, ""));
    };
    match request.headers.get("Expected-Instance") {
        Some(expected) if expected != identity.instance => Some(
            not_executed(421, request_id).header("Instance-Identifier", identity.instance.as_str()),
        ),
        _ => None,
    }
}

/// The record of a request as it comes in.
pub(crate) fn arrival_of(request: &Request, identity: &Identity, at: Micros) -> Arrival {
    Arrival {
        at,
        instance: identity.instance.clone(),
        service: identity.service.clone(),
        request_id: request
            .headers
            .get("Request-Identifier")
            .unwrap_or_default()
            .to_owned(),
        method: request.method.clone(),
        target: request.target.clone(),
        body_digest: digest(&request.body),
        prefill_only: request.headers.get("Stage") == Some("prefill"),
        continues: None,
        last_event_id: request.headers.number("Last-Event-Id").unwrap_or(0),
        outcome: ArrivalOutcome::Waiting,
    }
}

/// The answer to a health check.
pub(crate) fn health(identity: &Identity, well: bool) -> Answer {
    let status = if well { 200 } else { 503 };
    Answer::new(status).header("Instance-Identifier", identity.instance.as_str())
}

/// Holds a connection without a word until its caller goes.
pub(crate) fn keep_silent(connection: &mut Connection) {
    let pause = std::sync::Condvar::new();
    let held = Mutex::new(());
    while !connection.peer_has_closed() {
        // Nobody notifies: this is a wait between two looks at the socket.
        let _ = pause.wait_timeout(lock(&held), CALLER_POLL);
    }
}

/// A searcher's entry on the platform's list, without its state.
pub(crate) fn list_entry(
    identity: &Identity,
    slots: usize,
    stage: Option<&str>,
) -> serde_json::Value {
    let mut entry = json!({
        "identifier": identity.instance,
        "service": identity.service,
        "address": identity.address.to_string(),
        "zone": identity.zone,
        "version": "v1",
        "slots": slots,
        "coldRemainingMs": 0,
    });
    if let Some(stage) = stage {
        entry["stage"] = json!(stage);
        entry["models"] = json!([{"name": "m", "version": 1, "adapters": []}]);
    }
    entry
}
