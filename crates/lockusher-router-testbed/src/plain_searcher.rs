//! A searcher of a plain service: slots, a queue and a time that each request takes.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::http::{Answer, Connection, Request};
use crate::record::{ArrivalKey, ArrivalOutcome, LabClock, Ledger, Run, RunBody, digest};
use crate::searcher::{
    CALLER_POLL, Fault, FaultPlan, Identity, arrival_of, health, keep_silent, list_entry,
    not_executed, screen,
};
use crate::server::{Handler, Next, Server, lock};

/// The figures of a plain searcher.
#[derive(Clone, Debug)]
pub struct PlainParameters {
    /// Requests that are worked on at once.
    pub slots: usize,
    /// Requests that wait for a slot before more are rejected.
    pub queue_limit: usize,
    /// How long a request takes.
    pub work: Duration,
    /// Size of an answer's body.
    pub answer_bytes: usize,
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
    clock: LabClock,
    ledger: Ledger,
    faults: FaultPlan,
    load: Mutex<Load>,
    slot_freed: Condvar,
    draining: AtomicBool,
    /// How many times longer the work takes.
    slow_down: AtomicU64,
    runs: AtomicU64,
}

/// A plain searcher that serves until it is stopped or dropped.
pub struct PlainSearcher {
    shared: Arc<Shared>,
    server: Server,
}

impl PlainSearcher {
    /// Listens at the identity's address.
    pub fn start(
        mut identity: Identity,
        parameters: PlainParameters,
        clock: LabClock,
        ledger: Ledger,
    ) -> std::io::Result<PlainSearcher> {
        let listener = TcpListener::bind(identity.address)?;
        identity.address = listener.local_addr()?;
        let limit = parameters.connection_limit;
        let shared = Arc::new(Shared {
            parameters,
            identity,
            clock,
            ledger,
            faults: FaultPlan::default(),
            load: Mutex::new(Load::default()),
            slot_freed: Condvar::new(),
            draining: AtomicBool::new(false),
            slow_down: AtomicU64::new(1),
            runs: AtomicU64::new(0),
        });
        let server = Server::start(listener, limit, Arc::clone(&shared) as Arc<dyn Handler>)?;
        Ok(PlainSearcher { shared, server })
    }

    /// Who it is.
    pub fn identity(&self) -> &Identity {
        &self.shared.identity
    }

    /// Its entry on the platform's list, without its state.
    pub fn entry(&self) -> Value {
        list_entry(&self.shared.identity, self.shared.parameters.slots, None)
    }

    /// Switches for faults.
    pub fn faults(&self) -> &FaultPlan {
        &self.shared.faults
    }

    /// Makes all later work `factor` times as long.
    pub fn set_slow_down(&self, factor: u64) {
        self.shared.slow_down.store(factor.max(1), Ordering::SeqCst);
    }

    /// From now on it says that it leaves; it serves on.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Ends it at once, like a crash.
    pub fn stop(&mut self) {
        self.shared.ledger.break_off(&self.shared.identity.instance);
        self.server.stop();
    }
}

impl Handler for Shared {
    fn handle(&self, request: Request, connection: &mut Connection) -> Next {
        if request.method == "GET" && request.target == self.parameters.health_path {
            return self.answer(
                connection,
                health(&self.identity, !self.draining.load(Ordering::SeqCst)),
            );
        }
        let arrival = self
            .ledger
            .arrive(arrival_of(&request, &self.identity, self.clock.now()));
        if let Some(answer) = screen(&request, &self.identity) {
            return self.reject(connection, arrival, answer);
        }
        let request_id = request
            .headers
            .get("Request-Identifier")
            .unwrap_or_default();
        let fault = self.faults.next(false);
        match fault {
            Some(Fault::ResetAfterRequest) => {
                self.ledger.settle(arrival, ArrivalOutcome::Broken);
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
            let left = deadline.map_or(CALLER_POLL, |at| {
                at.saturating_duration_since(Instant::now())
            });
            if left.is_zero() {
                load.waiting -= 1;
                return false;
            }
            let waited = self.slot_freed.wait_timeout(load, left.min(CALLER_POLL));
            load = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn run(
        &self,
        connection: &mut Connection,
        arrival: ArrivalKey,
        request_id: &str,
        deadline: Option<Instant>,
        fault: Option<Fault>,
    ) -> Next {
        let body = body_of(request_id, self.parameters.answer_bytes);
        let run = self.begin(&body, fault.is_some());
        let signature = run.signature.clone();
        self.ledger.settle(arrival, ArrivalOutcome::Ran(run));
        if fault == Some(Fault::ResetBeforeFirstEvent) {
            return Next::Reset;
        }
        if fault == Some(Fault::Silence) {
            keep_silent(connection);
            return Next::Close;
        }
        if !self.work(connection, deadline) {
            self.mark_failed(arrival);
            let late = Answer::new(504).header("Request-Identifier", request_id);
            return self.answer(connection, late.header("Server-Signature", signature));
        }
        let named = if fault == Some(Fault::WrongIdentifier) {
            "another"
        } else {
            request_id
        };
        let answer = Answer::new(200)
            .header("Request-Identifier", named)
            .header("Server-Signature", signature)
            .body(body);
        let next = self.answer_with(connection, answer, fault);
        self.ledger
            .update(arrival, |arrival| mark_whole(&mut arrival.outcome, next));
        next
    }

    fn begin(&self, body: &[u8], faulty: bool) -> Run {
        let number = self.runs.fetch_add(1, Ordering::SeqCst);
        Run {
            began: self.clock.now(),
            signature: format!("{}.{number:x}", self.identity.instance),
            status: 200,
            body: RunBody::Plain {
                digest: digest(body),
            },
            whole: false,
            faulty,
        }
    }

    fn mark_failed(&self, arrival: ArrivalKey) {
        self.ledger.update(arrival, |arrival| {
            if let ArrivalOutcome::Ran(run) = &mut arrival.outcome {
                run.status = 504;
                run.body = RunBody::Plain {
                    digest: digest(b""),
                };
            }
        });
    }

    /// Works for the time that a request takes; `false` when the deadline comes first or the caller has gone.
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
            std::thread::park_timeout((done - now).min(CALLER_POLL));
        }
    }

    fn reject(&self, connection: &mut Connection, arrival: ArrivalKey, answer: Answer) -> Next {
        self.ledger.settle(
            arrival,
            ArrivalOutcome::Rejected {
                status: answer.status,
            },
        );
        self.answer(connection, answer)
    }

    fn answer(&self, connection: &mut Connection, answer: Answer) -> Next {
        self.answer_with(connection, answer, None)
    }

    fn answer_with(
        &self,
        connection: &mut Connection,
        answer: Answer,
        fault: Option<Fault>,
    ) -> Next {
        let leaving = self.draining.load(Ordering::SeqCst);
        let answer = if leaving {
            answer.header("Connection", "close")
        } else {
            answer
        };
        let mut bytes = answer.to_bytes();
        if let Some(Fault::ResetMidEvent { .. }) = fault {
            bytes.truncate(bytes.len() - answer.body.len() / 2 - 1);
        }
        if fault == Some(Fault::ExtraBytes) {
            bytes.extend_from_slice(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore");
        }
        let written = connection.write(&bytes);
        match fault {
            Some(Fault::ResetMidEvent { .. }) => Next::Reset,
            _ if leaving || written.is_err() => Next::Close,
            _ => Next::Keep,
        }
    }
}

/// An answer was written in full unless the connection is reset.
fn mark_whole(outcome: &mut ArrivalOutcome, next: Next) {
    if let ArrivalOutcome::Ran(run) = outcome {
        run.whole = next != Next::Reset;
    }
}

/// The body of an answer: it follows from the request, so that a mix-up shows.
fn body_of(request_id: &str, size: usize) -> Vec<u8> {
    request_id.bytes().cycle().take(size).collect()
}
