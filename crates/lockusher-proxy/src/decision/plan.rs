//! What was decided of one request so far, and what became of its sends.
//!
//! The caller owns the plan from admission to the end; the records of its sends share its [`Progress`]. Invariants: a
//! request is sent to at most `attempts` searchers, the first prefill call that is taken up apart, and one that may run
//! once only is sent again only after proof that it hasn't run (`tests/decision_attempts.rs`).

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use super::admission_control::WaitingPermit;
use super::budget::Charge;
use super::locality::Locality;
use super::prefix_cache::Prefix;
use super::types::{Micros, Purpose, SearcherId, SendOutcome};

/// A request from its admission to its end; kept by the caller.
#[derive(Debug)]
pub struct RequestPlan {
    pub(super) service: usize,
    pub(super) prefixes: Vec<Prefix>,
    /// All tokens of the prompt.
    pub(super) tokens: u32,
    pub(super) is_idempotent: bool,
    /// Rank of the route; 0 is the highest.
    pub(super) priority: u8,
    pub(super) attempts: u32,
    /// The time within which an answer should begin.
    pub(super) target: Micros,
    /// When its time is up.
    pub(super) deadline: Micros,
    /// Where its prompt was read last.
    pub(super) source: Option<Locality>,
    pub(super) progress: Rc<Progress>,
}

/// What became of a request's sends; shared with the records of its sends.
#[derive(Debug)]
pub struct Progress {
    /// When the request was admitted.
    pub admitted: Micros,
    /// The time, counted from then, after which the client abandons the request.
    pub client_patience: Micros,
    /// Its permit to wait for a first event.
    pub waiting: RefCell<Option<WaitingPermit>>,
    /// Arrivals that count: all but the first prefill call that a searcher takes up.
    pub counted: Cell<u32>,
    /// Whether a searcher has taken up a prefill call, or may have.
    pub prefilled: Cell<bool>,
    /// Whether a prefill call is out.
    pub prefilling: Cell<bool>,
    /// Whether a prefill call reached a searcher that gave no handle. It may not have been taken up, and then it was
    /// the first arrival of the request: whatever follows is a retry.
    pub prefill_failed: Cell<bool>,
    /// Sends out that run the request.
    pub running: Cell<u32>,
    /// Whether a send that has ended may have run the request.
    pub may_have_run: Cell<bool>,
    /// Searchers that didn't do what was asked.
    pub tried: RefCell<Vec<SearcherId>>,
    /// Which searcher holds the KV cache that was read last.
    pub holder: Cell<Option<Incarnation>>,
    /// The searcher of the newest send, if it rejected a transfer whose handle seems to be gone.
    pub rejected_transfer: Cell<Option<Incarnation>>,
}

/// One incarnation of a searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    pub searcher: SearcherId,
    /// Hash of its identifier.
    pub hash: u64,
}

/// How a send counts among the attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counting {
    /// Another searcher gets the request.
    Attempt,
    /// The first prefill call, which counts only if it is not taken up.
    FirstPrefill,
    /// The searcher that rejected a transfer gets the complete request: it is no additional searcher.
    SameSearcher,
}

/// One send that is out.
#[derive(Debug)]
pub struct SendRecord {
    pub service: usize,
    pub searcher: SearcherId,
    /// Hash of the searcher's identifier.
    pub hash: u64,
    pub purpose: Purpose,
    pub sent: Micros,
    /// Tokens that it is expected to read or move.
    pub tokens: u32,
    /// How long it is expected to take, in microseconds.
    pub expected: f64,
    /// Time since the request was admitted, in microseconds.
    pub waited: Micros,
    /// The request's target latency.
    pub target: Micros,
    /// The same if the searcher has cached only what this proxy itself sent it lately.
    pub tokens_upper_bound: u32,
    pub counting: Counting,
    /// Whose KV cache it transfers.
    pub holder: Option<Incarnation>,
    /// Whether anything was received for it.
    pub has_response: bool,
    pub charge: Option<Charge>,
    pub progress: Rc<Progress>,
}

/// What an outcome means for the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChargeOutcome {
    Spent,
    Refunded,
}

impl RequestPlan {
    /// Whether a send for a purpose would break a bound of its own: time, attempts, or running twice.
    pub(super) fn forbids(&self, now: Micros, purpose: Purpose) -> bool {
        now >= self.deadline
            || !(self.has_attempt(purpose) || self.same_searcher(purpose).is_some())
            || (purpose != Purpose::Prefill && self.may_run_twice())
    }

    /// Whether another send counts among the attempts that are left; a further prefill leaves one for the run.
    pub(super) fn has_attempt(&self, purpose: Purpose) -> bool {
        let is_repeated_prefill = purpose == Purpose::Prefill && !self.is_first_prefill(purpose);
        let needed = if is_repeated_prefill { 2 } else { 1 };
        self.progress.counted.get() + needed <= self.attempts
    }

    /// The searcher that may still get the complete request though no attempt is left: attempts bound the searchers
    /// that a request is sent to, and this one had it already and didn't run it.
    pub(super) fn same_searcher(&self, purpose: Purpose) -> Option<Incarnation> {
        let is_last = purpose == Purpose::Whole && !self.has_attempt(purpose);
        self.progress.rejected_transfer.get().filter(|_| is_last)
    }

    /// Whether a handle that was rejected may be sent to one more searcher: where it seems to be gone, the last
    /// send is reserved for the complete request.
    pub(super) fn may_transfer_again(&self) -> bool {
        let is_handle_likely_gone = self.progress.rejected_transfer.get().is_some();
        let reserved_attempts = u32::from(is_handle_likely_gone);
        self.progress.counted.get() + 1 + reserved_attempts <= self.attempts
    }

    /// How a send for a purpose would count.
    pub(super) fn counting(&self, purpose: Purpose) -> Counting {
        if self.is_first_prefill(purpose) {
            Counting::FirstPrefill
        } else if self.same_searcher(purpose).is_some() {
            Counting::SameSearcher
        } else {
            Counting::Attempt
        }
    }

    fn may_run_twice(&self) -> bool {
        !self.is_idempotent && (self.progress.running.get() > 0 || self.progress.may_have_run.get())
    }

    /// Whether a send for a purpose would be the first prefill call that is taken up.
    pub(super) fn is_first_prefill(&self, purpose: Purpose) -> bool {
        purpose == Purpose::Prefill
            && !self.progress.prefilled.get()
            && !self.progress.prefilling.get()
    }

    /// Whether a send now would be an arrival beyond the first.
    pub(super) fn is_retry(&self) -> bool {
        self.progress.counted.get() > 0 || self.progress.prefill_failed.get()
    }

    /// Whether nothing of the request has run or may have run.
    pub fn has_not_run(&self) -> bool {
        self.progress.running.get() == 0 && !self.progress.may_have_run.get()
    }
}

impl Progress {
    /// A request that nothing was sent of.
    pub fn new(admitted: Micros, client_patience: Micros, waiting: WaitingPermit) -> Self {
        Progress {
            admitted,
            client_patience,
            waiting: RefCell::new(Some(waiting)),
            counted: Cell::new(0),
            prefilled: Cell::new(false),
            prefilling: Cell::new(false),
            prefill_failed: Cell::new(false),
            running: Cell::new(0),
            may_have_run: Cell::new(false),
            tried: RefCell::new(Vec::new()),
            holder: Cell::new(None),
            rejected_transfer: Cell::new(None),
        }
    }

    /// Records a send.
    pub fn sent(&self, purpose: Purpose, counting: Counting) {
        self.rejected_transfer.set(None);
        if purpose != Purpose::Prefill {
            self.running.set(self.running.get() + 1);
        }
        match counting {
            Counting::FirstPrefill => self.prefilling.set(true),
            Counting::Attempt => self.counted.set(self.counted.get() + 1),
            Counting::SameSearcher => {}
        }
    }

    /// Records the end of a send, and returns whether it counts as an arrival beyond the first.
    pub fn ended(&self, record: &SendRecord, outcome: SendOutcome) -> ChargeOutcome {
        use SendOutcome::*;
        let proven_not_run = matches!(outcome, Rejected | Misdirected | Unreachable);
        if record.purpose != Purpose::Prefill {
            self.running.set(self.running.get().saturating_sub(1));
            self.may_have_run
                .set(self.may_have_run.get() || !proven_not_run);
        }
        if !matches!(outcome, Answered | Cancelled) {
            self.tried.borrow_mut().push(record.searcher);
        }
        self.record_transfer(record, outcome);
        if record.counting == Counting::FirstPrefill {
            return self.first_prefill_ended(outcome, proven_not_run);
        }
        if outcome != Unreachable {
            return ChargeOutcome::Spent;
        }
        if record.counting == Counting::Attempt {
            self.counted.set(self.counted.get().saturating_sub(1));
        }
        ChargeOutcome::Refunded
    }

    fn record_transfer(&self, record: &SendRecord, outcome: SendOutcome) {
        let ended = Incarnation {
            searcher: record.searcher,
            hash: record.hash,
        };
        match (record.purpose, outcome) {
            (Purpose::Prefill, SendOutcome::Answered) => self.holder.set(Some(ended)),
            (Purpose::Decode, SendOutcome::Rejected) => self.rejected_transfer.set(Some(ended)),
            _ => {}
        }
    }

    fn first_prefill_ended(&self, outcome: SendOutcome, proven_not_run: bool) -> ChargeOutcome {
        self.prefilling.set(false);
        if !proven_not_run {
            // It may have been taken up: that call is free, and the next one isn't.
            self.prefilled.set(true);
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
        self.counted.set(self.counted.get() + 1);
        ChargeOutcome::Spent
    }
}
