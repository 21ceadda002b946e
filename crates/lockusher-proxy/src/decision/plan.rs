//! The state of one request's routing: its attributes, its attempts, and the outcomes of its sends.
//!
//! The caller owns the plan from admission to the end; the records of its sends share its [`Progress`]. Invariants: a
//! request is sent to at most `attempts` searchers, not counting the first accepted prefill call, and a request that
//! isn't idempotent is sent again only if it provably hasn't run (`tests/decision_attempts.rs`).

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use super::admission_control::WaitingPermit;
use super::budget::Charge;
use super::locality::Locality;
use super::prefix_cache::Prefix;
use super::types::{Micros, Purpose, SearcherId, SendOutcome};

/// A request from its admission to its end; held by the caller.
#[derive(Debug)]
pub struct RequestPlan {
    pub(super) service: usize,
    pub(super) prefixes: Vec<Prefix>,
    /// All tokens of the prompt.
    pub(super) prompt_tokens: u32,
    pub(super) is_idempotent: bool,
    /// Priority of the route; 0 is the highest.
    pub(super) priority: u8,
    pub(super) attempts: u32,
    /// The time within which the first event should arrive.
    pub(super) target_latency: Micros,
    /// When the time for the request is up.
    pub(super) deadline: Micros,
    /// Locality of the searcher that prefilled its prompt last.
    pub(super) prefill_locality: Option<Locality>,
    pub(super) progress: Rc<Progress>,
}

/// The progress of a request's sends; shared with their records.
#[derive(Debug)]
pub struct Progress {
    /// When the request was admitted.
    pub admitted_at: Micros,
    /// The time after admission at which the client abandons the request.
    pub client_timeout: Micros,
    /// The request's permit to wait for a first event.
    pub waiting_permit: RefCell<Option<WaitingPermit>>,
    /// Attempts used so far: sends that reached a searcher, except for the first prefill call that one accepts.
    pub attempts_used: Cell<u32>,
    /// Whether a searcher has accepted a prefill call, or may have.
    pub prefill_accepted: Cell<bool>,
    /// Whether the first prefill call is in flight.
    pub prefill_in_flight: Cell<bool>,
    /// Whether a prefill call reached a searcher but returned no handle. If the searcher didn't accept the call, it was
    /// the first arrival of the request, so that every later send is a retry.
    pub prefill_failed: Cell<bool>,
    /// Sends in flight that run the request.
    pub runs_in_flight: Cell<u32>,
    /// Whether a send that has ended may have run the request.
    pub may_have_run: Cell<bool>,
    /// Searchers whose send failed or was rejected.
    pub tried: RefCell<Vec<SearcherId>>,
    /// The searcher that holds the KV cache of the last prefill.
    pub cache_holder: Cell<Option<Incarnation>>,
    /// The searcher of the last send, if it rejected a transfer whose handle is likely gone.
    pub rejected_transfer: Cell<Option<Incarnation>>,
}

/// One incarnation of a searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    pub searcher: SearcherId,
    /// Hash of its identifier.
    pub hash: u64,
}

/// How a send counts against the attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// Counts as an attempt.
    Counted,
    /// The first prefill call, which counts only if no searcher accepts it.
    FirstPrefill,
    /// The complete request for the searcher that rejected its transfer: it isn't an additional searcher.
    SameSearcher,
}

/// One send in flight.
#[derive(Debug)]
pub struct SendRecord {
    pub service: usize,
    pub searcher: SearcherId,
    /// Hash of the searcher's identifier.
    pub hash: u64,
    pub purpose: Purpose,
    pub sent_at: Micros,
    /// Expected number of tokens to prefill or transfer.
    pub expected_tokens: u32,
    /// Expected duration in microseconds.
    pub expected_micros: f64,
    /// Time from admission to the send, in microseconds.
    pub delay_before_send: Micros,
    /// The request's target latency.
    pub target_latency: Micros,
    /// The expected tokens if the searcher has cached only what this proxy itself recently sent it.
    pub tokens_upper_bound: u32,
    pub attempt_kind: AttemptKind,
    /// The searcher whose KV cache is transferred.
    pub cache_holder: Option<Incarnation>,
    /// Whether a response or first event was received.
    pub has_response: bool,
    pub charge: Option<Charge>,
    pub progress: Rc<Progress>,
}

/// How an outcome affects the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChargeOutcome {
    Spent,
    Refunded,
}

impl RequestPlan {
    /// Whether a send for this purpose is not allowed: the deadline, the attempts, or a possible second run.
    pub(super) fn forbids(&self, now: Micros, purpose: Purpose) -> bool {
        now >= self.deadline
            || !(self.has_attempt_left(purpose) || self.same_searcher(purpose).is_some())
            || (purpose != Purpose::Prefill && self.may_run_twice())
    }

    /// Whether an attempt is left for a send. A repeated prefill must leave one more for the run.
    pub(super) fn has_attempt_left(&self, purpose: Purpose) -> bool {
        let is_repeated_prefill = purpose == Purpose::Prefill && !self.is_first_prefill(purpose);
        let needed = if is_repeated_prefill { 2 } else { 1 };
        self.progress.attempts_used.get() + needed <= self.attempts
    }

    /// The searcher that may still get the complete request when no attempt is left. The attempts limit the number of
    /// searchers; this one already received the request and didn't run it.
    pub(super) fn same_searcher(&self, purpose: Purpose) -> Option<Incarnation> {
        let is_last = purpose == Purpose::Whole && !self.has_attempt_left(purpose);
        self.progress.rejected_transfer.get().filter(|_| is_last)
    }

    /// Whether a rejected handle may be sent to another searcher. If the handle is likely gone, the last attempt is
    /// reserved for the complete request.
    pub(super) fn may_transfer_again(&self) -> bool {
        let is_handle_likely_gone = self.progress.rejected_transfer.get().is_some();
        let reserved_attempts = u32::from(is_handle_likely_gone);
        self.progress.attempts_used.get() + 1 + reserved_attempts <= self.attempts
    }

    /// How a send for this purpose counts.
    pub(super) fn attempt_kind(&self, purpose: Purpose) -> AttemptKind {
        if self.is_first_prefill(purpose) {
            AttemptKind::FirstPrefill
        } else if self.same_searcher(purpose).is_some() {
            AttemptKind::SameSearcher
        } else {
            AttemptKind::Counted
        }
    }

    fn may_run_twice(&self) -> bool {
        !self.is_idempotent
            && (self.progress.runs_in_flight.get() > 0 || self.progress.may_have_run.get())
    }

    /// Whether a send for this purpose would be the first prefill call that is accepted.
    pub(super) fn is_first_prefill(&self, purpose: Purpose) -> bool {
        purpose == Purpose::Prefill
            && !self.progress.prefill_accepted.get()
            && !self.progress.prefill_in_flight.get()
    }

    /// Whether a send now would be a retry.
    pub(super) fn is_retry(&self) -> bool {
        self.progress.attempts_used.get() > 0 || self.progress.prefill_failed.get()
    }

    /// Whether the request provably hasn't run, not even in part.
    pub fn has_not_run(&self) -> bool {
        self.progress.runs_in_flight.get() == 0 && !self.progress.may_have_run.get()
    }
}

impl Progress {
    /// The progress of a request before its first send.
    pub fn new(admitted_at: Micros, client_timeout: Micros, waiting_permit: WaitingPermit) -> Self {
        Progress {
            admitted_at,
            client_timeout,
            waiting_permit: RefCell::new(Some(waiting_permit)),
            attempts_used: Cell::new(0),
            prefill_accepted: Cell::new(false),
            prefill_in_flight: Cell::new(false),
            prefill_failed: Cell::new(false),
            runs_in_flight: Cell::new(0),
            may_have_run: Cell::new(false),
            tried: RefCell::new(Vec::new()),
            cache_holder: Cell::new(None),
            rejected_transfer: Cell::new(None),
        }
    }

    /// Records a send.
    pub fn record_send(&self, purpose: Purpose, attempt_kind: AttemptKind) {
        self.rejected_transfer.set(None);
        if purpose != Purpose::Prefill {
            self.runs_in_flight.set(self.runs_in_flight.get() + 1);
        }
        match attempt_kind {
            AttemptKind::FirstPrefill => self.prefill_in_flight.set(true),
            AttemptKind::Counted => self.attempts_used.set(self.attempts_used.get() + 1),
            AttemptKind::SameSearcher => {}
        }
    }

    /// Records the end of a send, and returns whether its charge to the retry budget is spent.
    pub fn record_end(&self, record: &SendRecord, outcome: SendOutcome) -> ChargeOutcome {
        use SendOutcome::*;
        let provably_not_run = matches!(outcome, Rejected | Misdirected | Unreachable);
        if record.purpose != Purpose::Prefill {
            self.runs_in_flight
                .set(self.runs_in_flight.get().saturating_sub(1));
            self.may_have_run
                .set(self.may_have_run.get() || !provably_not_run);
        }
        if !matches!(outcome, Answered | Cancelled) {
            self.tried.borrow_mut().push(record.searcher);
        }
        self.record_transfer(record, outcome);
        if record.attempt_kind == AttemptKind::FirstPrefill {
            return self.record_first_prefill_end(outcome, provably_not_run);
        }
        if outcome != Unreachable {
            return ChargeOutcome::Spent;
        }
        if record.attempt_kind == AttemptKind::Counted {
            self.attempts_used
                .set(self.attempts_used.get().saturating_sub(1));
        }
        ChargeOutcome::Refunded
    }

    fn record_transfer(&self, record: &SendRecord, outcome: SendOutcome) {
        let searcher = Incarnation {
            searcher: record.searcher,
            hash: record.hash,
        };
        match (record.purpose, outcome) {
            (Purpose::Prefill, SendOutcome::Answered) => self.cache_holder.set(Some(searcher)),
            (Purpose::Decode, SendOutcome::Rejected) => self.rejected_transfer.set(Some(searcher)),
            _ => {}
        }
    }

    fn record_first_prefill_end(
        &self,
        outcome: SendOutcome,
        provably_not_run: bool,
    ) -> ChargeOutcome {
        self.prefill_in_flight.set(false);
        if !provably_not_run {
            // The searcher may have accepted it: this call doesn't count as an attempt, the next one does.
            self.prefill_accepted.set(true);
            self.prefill_failed.set(outcome != SendOutcome::Answered);
            return if outcome == SendOutcome::Answered {
                ChargeOutcome::Refunded
            } else {
                ChargeOutcome::Spent
            };
        }
        if outcome == SendOutcome::Unreachable {
            return ChargeOutcome::Refunded;
        }
        self.attempts_used.set(self.attempts_used.get() + 1);
        ChargeOutcome::Spent
    }
}
