//! A searcher of a plain service: slots, a queue and a fixed service time.

use std::net::{SocketAddr, TcpListener};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::framing::{BodyFraming, body_size};
use crate::http::{Connection, Request, Response};
use crate::record::{ArrivalKey, ArrivalLog, ArrivalOutcome, Run, RunBody, TestClock, digest};
use crate::searcher::{
    DISCONNECT_POLL_INTERVAL, Fault, FaultPlan, Identity, check_preconditions,
    hang_until_disconnect, health_response, list_entry, new_arrival, not_executed,
};
use crate::server::{Handler, Next, Server, lock};

/// Parameters of a plain searcher.
#[derive(Clone, Debug)]
pub struct PlainParameters {
    /// Maximum number of requests processed at once.
    pub slots: usize,
    /// Maximum number of requests waiting for a slot; more are rejected.
    pub queue_limit: usize,
    /// Service time of a request.
    pub work: Duration,
    /// Sizes of response bodies.
    pub answer_bytes: RangeInclusive<usize>,
    pub connection_limit: usize,
    /// Path of the health check.
    pub health_path: String,
}

#[derive(Debug, Default)]
struct Load {
    running: usize,
    waiting: usize,
}

struct Shared {
    parameters: PlainParameters,
    identity: Identity,
    clock: TestClock,
    arrival_log: ArrivalLog,
    faults: FaultPlan,
    load: Mutex<Load>,
    slot_freed: Condvar,
    draining: AtomicBool,
    /// Factor on the service time, for fault injection.
    slow_down: AtomicU64,
    next_run: AtomicU64,
}

/// A plain searcher that serves until it is stopped or dropped.
pub struct PlainSearcher {
    shared: Arc<Shared>,
    server: Server,
}

impl PlainSearcher {
    /// Listens on the identity's address.
    pub fn start(
        mut identity: Identity,
        parameters: PlainParameters,
        clock: TestClock,
        arrival_log: ArrivalLog,
    ) -> std::io::Result<PlainSearcher> {
        let listener = TcpListener::bind(identity.address)?;
        identity.address = listener.local_addr()?;
        let limit = parameters.connection_limit;
        let shared = Arc::new(Shared {
            parameters,
            identity,
            clock,
            arrival_log,
            faults: FaultPlan::default(),
            load: Mutex::new(Load::default()),
            slot_freed: Condvar::new(),
            draining: AtomicBool::new(false),
            slow_down: AtomicU64::new(1),
            next_run: AtomicU64::new(0),
        });
        let server = Server::start(listener, limit, Arc::clone(&shared) as Arc<dyn Handler>)?;
        Ok(PlainSearcher { shared, server })
    }

    /// The identity, with the bound address.
    pub fn identity(&self) -> &Identity {
        &self.shared.identity
    }

    /// The entry for the platform's list, without `state`.
    pub fn entry(&self) -> Value {
        list_entry(&self.shared.identity, self.shared.parameters.slots, None)
    }

    /// The faults to inject.
    pub fn faults(&self) -> &FaultPlan {
        &self.shared.faults
    }

    /// Makes the service time of later requests `factor` times as long.
    pub fn set_slow_down(&self, factor: u64) {
        self.shared.slow_down.store(factor.max(1), Ordering::SeqCst);
    }

    /// Starts to drain: health checks fail and responses carry `Connection: close`, but requests are still served.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops abruptly, like a crash.
    pub fn stop(&mut self) {
        self.shared
            .arrival_log
            .fail_unfinished(&self.shared.identity.instance);
        self.server.stop();
    }
}

impl Handler for Shared {
    fn handle(&self, request: Request, connection: &mut Connection) -> Next {
        if request.method == "GET" && request.target == self.parameters.health_path {
            return self.send(
                connection,
                health_response(&self.identity, !self.draining.load(Ordering::SeqCst)),
            );
        }
        let arrival =
            self.arrival_log
                .record(new_arrival(&request, &self.identity, self.clock.now()));
        if let Some(response) = check_preconditions(&request, &self.identity) {
            return self.reject(connection, arrival, response);
        }
        let request_id = request
            .headers
            .get("Request-Identifier")
            .unwrap_or_default();
        let fault = self.faults.take_next(false);
        match fault {
            Some(Fault::ResetAfterRequest) => {
                self.arrival_log
                    .set_outcome(arrival, ArrivalOutcome::Failed);
                return Next::Reset;
            }
            Some(Fault::Reject { status }) => {
                return self.reject(connection, arrival, not_executed(status, request_id));
            }
            _ => {}
        }
        let deadline = self.deadline_of(&request);
        if !self.take_slot(deadline) {
            return self.reject(connection, arrival, not_executed(503, request_id));
        }
        let next = self.run(connection, arrival, request_id, deadline, fault);
        lock(&self.load).running -= 1;
        self.slot_freed.notify_one();
        next
    }
}

impl Shared {
    fn deadline_of(&self, request: &Request) -> Option<Instant> {
        let milliseconds = request.headers.number("Deadline-Remaining")?;
        Some(Instant::now() + Duration::from_millis(milliseconds))
    }

    /// Waits for a slot; `false` when the queue is full or the deadline passes first.
    fn take_slot(&self, deadline: Option<Instant>) -> bool {
        let mut load = lock(&self.load);
        if load.running >= self.parameters.slots && load.waiting >= self.parameters.queue_limit {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.parameters.slots {
            let remaining = deadline.map_or(DISCONNECT_POLL_INTERVAL, |at| {
                at.saturating_duration_since(Instant::now())
            });
            if remaining.is_zero() {
                load.waiting -= 1;
                return false;
            }
            let waited = self
                .slot_freed
                .wait_timeout(load, remaining.min(DISCONNECT_POLL_INTERVAL));
            load = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    /// Runs a request that has a slot and sends the response.
    fn run(
        &self,
        connection: &mut Connection,
        arrival: ArrivalKey,
        request_id: &str,
        deadline: Option<Instant>,
        fault: Option<Fault>,
    ) -> Next {
        let size = body_size(request_id, &self.parameters.answer_bytes);
        let body = response_body(request_id, size);
        let run = self.new_run(&body, fault.is_some());
        let signature = run.signature.clone();
        self.arrival_log
            .set_outcome(arrival, ArrivalOutcome::Ran(run));
        if fault == Some(Fault::ResetBeforeFirstEvent) {
            return Next::Reset;
        }
        if fault == Some(Fault::NoResponse) {
            hang_until_disconnect(connection);
            return Next::Close;
        }
        if !self.work(connection, deadline) {
            self.mark_deadline_exceeded(arrival);
            let timeout_response = Response::new(504).header("Request-Identifier", request_id);
            return self.send(
                connection,
                timeout_response.header("Server-Signature", signature),
            );
        }
        let answered_id = if fault == Some(Fault::WrongIdentifier) {
            "another"
        } else {
            request_id
        };
        let response = Response::new(200)
            .header("Request-Identifier", answered_id)
            .header("Server-Signature", signature)
            .body(body);
        let framing = BodyFraming::for_request(request_id);
        let next = self.send_with_fault(connection, response, framing, fault);
        self.arrival_log
            .update(arrival, |arrival| set_complete(&mut arrival.outcome, next));
        next
    }

    fn new_run(&self, body: &[u8], faulty: bool) -> Run {
        let number = self.next_run.fetch_add(1, Ordering::SeqCst);
        Run {
            started_at: self.clock.now(),
            signature: format!("{}.{number:x}", self.identity.instance),
            status: 200,
            body: RunBody::Plain {
                digest: digest(body),
            },
            complete: false,
            faulty,
        }
    }

    /// Records that a run ended with 504.
    fn mark_deadline_exceeded(&self, arrival: ArrivalKey) {
        self.arrival_log.update(arrival, |arrival| {
            if let ArrivalOutcome::Ran(run) = &mut arrival.outcome {
                run.status = 504;
                run.body = RunBody::Plain {
                    digest: digest(b""),
                };
            }
        });
    }

    /// Waits for the service time; `false` when the deadline passes first or the caller disconnects.
    fn work(&self, connection: &mut Connection, deadline: Option<Instant>) -> bool {
        let factor = u32::try_from(self.slow_down.load(Ordering::SeqCst)).unwrap_or(u32::MAX);
        let done = Instant::now() + self.parameters.work * factor;
        loop {
            let now = Instant::now();
            if now >= done {
                return true;
            }
            if deadline.is_some_and(|at| at <= now) || connection.peer_has_closed() {
                return false;
            }
            std::thread::park_timeout((done - now).min(DISCONNECT_POLL_INTERVAL));
        }
    }

    fn reject(&self, connection: &mut Connection, arrival: ArrivalKey, response: Response) -> Next {
        self.arrival_log.set_outcome(
            arrival,
            ArrivalOutcome::Rejected {
                status: response.status,
            },
        );
        self.send(connection, response)
    }

    fn send(&self, connection: &mut Connection, response: Response) -> Next {
        self.send_with_fault(connection, response, BodyFraming::Length, None)
    }

    fn send_with_fault(
        &self,
        connection: &mut Connection,
        response: Response,
        framing: BodyFraming,
        fault: Option<Fault>,
    ) -> Next {
        let is_draining = self.draining.load(Ordering::SeqCst);
        let response = if is_draining {
            response.header("Connection", "close")
        } else {
            response
        };
        let mut bytes = framing.encode(&response);
        if let Some(Fault::ResetMidEvent { .. }) = fault {
            bytes.truncate(bytes.len() - response.body.len() / 2 - 1);
        }
        if fault == Some(Fault::ExtraBytes) {
            bytes.extend_from_slice(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore");
        }
        let written = connection.write(&bytes);
        match fault {
            Some(Fault::ResetMidEvent { .. }) => Next::Reset,
            _ if is_draining || written.is_err() => Next::Close,
            _ => Next::Keep,
        }
    }
}

/// Marks a run as complete unless its connection is reset.
fn set_complete(outcome: &mut ArrivalOutcome, next: Next) {
    if let ArrivalOutcome::Ran(run) = outcome {
        run.complete = next != Next::Reset;
    }
}

/// The body of a response. It is derived from the request id, so that mixed-up responses are detected.
fn response_body(request_id: &str, size: usize) -> Vec<u8> {
    request_id.bytes().cycle().take(size).collect()
}
