//! Common parts of plain searchers and model searchers: identity, preconditions of requests, fault injection.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::json;

use crate::engine::Micros;
use crate::http::{Connection, Request, Response};
use crate::record::{Arrival, ArrivalOutcome, digest};
use crate::server::lock;

/// How often a searcher checks whether its caller has disconnected.
pub(crate) const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The identity of a searcher. Every start is a new incarnation with a new `instance`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    pub instance: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub region: String,
}

/// A fault to inject into one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Resets the connection after reading the request, before the run starts.
    ResetAfterRequest,
    /// Starts the run, then resets the connection before the first byte of the response.
    ResetBeforeFirstEvent,
    /// Resets the connection in the middle of the event that follows `complete_events` complete ones.
    ResetMidEvent { complete_events: usize },
    /// Sends a response with the `Request-Identifier` of another request.
    WrongIdentifier,
    /// Sends surplus bytes after the complete response.
    ExtraBytes,
    /// Starts the run, then never responds.
    NoResponse,
    /// Rejects the request with this status and `Not-Executed`.
    Reject { status: u16 },
}

/// The faults to inject into the next requests, in order.
#[derive(Debug, Default)]
pub struct FaultPlan {
    runs: Mutex<VecDeque<Fault>>,
    prefills: Mutex<VecDeque<Fault>>,
    injected: AtomicUsize,
}

impl FaultPlan {
    /// Injects `fault` into the next `times` requests that generate a response.
    pub fn on_runs(&self, fault: Fault, times: usize) {
        lock(&self.runs).extend(std::iter::repeat_n(fault, times));
    }

    /// Injects `fault` into the next `times` prefill requests.
    pub fn on_prefills(&self, fault: Fault, times: usize) {
        lock(&self.prefills).extend(std::iter::repeat_n(fault, times));
    }

    /// Number of faults injected so far.
    pub fn injected(&self) -> usize {
        self.injected.load(Ordering::SeqCst)
    }

    /// Drops the faults not yet injected.
    pub fn clear(&self) {
        lock(&self.runs).clear();
        lock(&self.prefills).clear();
    }

    /// Takes the fault for the next request, if any.
    pub(crate) fn take_next(&self, prefill_only: bool) -> Option<Fault> {
        let plan = if prefill_only {
            &self.prefills
        } else {
            &self.runs
        };
        let fault = lock(plan).pop_front();
        self.injected
            .fetch_add(usize::from(fault.is_some()), Ordering::SeqCst);
        fault
    }
}

/// Builds a response which promises that the request has not run and never will.
pub(crate) fn not_executed(status: u16, request_id: &str) -> Response {
    Response::new(status)
        .header("Request-Identifier", request_id)
        .header("Not-Executed", "1")
}

/// Returns the rejection of a request without an id or for another incarnation.
pub(crate) fn check_preconditions(request: &Request, identity: &Identity) -> Option<Response> {
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

/// Creates the record of an incoming request.
pub(crate) fn new_arrival(request: &Request, identity: &Identity, at: Micros) -> Arrival {
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
        prompt_owner: None,
        last_event_id: request.headers.number("Last-Event-Id").unwrap_or(0),
        outcome: ArrivalOutcome::Waiting,
    }
}

/// Builds the response to a health check.
pub(crate) fn health_response(identity: &Identity, is_healthy: bool) -> Response {
    let status = if is_healthy { 200 } else { 503 };
    Response::new(status).header("Instance-Identifier", identity.instance.as_str())
}

/// Keeps a connection open without sending anything until the caller disconnects.
pub(crate) fn hang_until_disconnect(connection: &mut Connection) {
    let never_notified = std::sync::Condvar::new();
    let mutex = Mutex::new(());
    while !connection.peer_has_closed() {
        // Nothing notifies the condition variable: this only waits between two checks of the socket.
        let _ = never_notified.wait_timeout(lock(&mutex), DISCONNECT_POLL_INTERVAL);
    }
}

/// Builds a searcher's entry for the platform's list, without `state`.
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
