//! The attempts of one request, one after another, until a searcher's answer may be forwarded.
//!
//! `forward` makes one [`RequestAttempts`] for each admitted request; `relay` asks it for another answer if a stream breaks.
//! Invariant: once a send may have run the request, a request that isn't idempotent is not sent again; and each send reports
//! its outcome to the request router exactly once (`SendGuard`).

mod kv_transfer;

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::time::Sleep;
use derive_more::From;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderValue;

use crate::attempt_policy::AttemptPolicy;
use crate::deadline::Deadlines;
use crate::decision::{Choice, Purpose, RequestPlan, SendOutcome};
use crate::headers;
use crate::prefill::KvHandle;
use crate::proxy_state::{ProxyState, SendGuard};
use crate::request::ClientRequest;
use crate::response_check::may_be_forwarded;
use crate::timer::until;
use crate::unserved::UnservedReason;
use crate::upstream::exchange::{Destination, Exchange, SendFailure, exchange};

/// What is reserved of the client's time for the answer's way back.
const TRANSIT_RESERVE: Duration = Duration::from_millis(5);

/// With less time left than this, no attempt is begun.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(10);

/// Why no answer of a searcher can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoAnswer {
    /// The request has not run and never will; come back after this time, in milliseconds.
    NotRun { retry_after_ms: u64 },
    /// The request may have run, and no send may follow.
    Failed,
    /// Time ran out while the request was at a searcher.
    TimedOut,
}

/// Why one attempt brought no answer that may be forwarded.
#[derive(Debug, From)]
enum AttemptFailure {
    /// The send failed; whether another attempt may follow is for [`RequestAttempts::record_failure`] to say.
    Send(SendFailure),
    /// The request's deadline passed while a searcher was at work.
    #[from(ignore)]
    DeadlineExceeded,
}

/// An answer whose head may be forwarded, with what its body needs.
#[derive(Debug)]
pub(crate) struct AcceptedAnswer {
    pub(crate) destination: Destination,
    pub(crate) send: SendGuard,
    pub(crate) exchange: Exchange,
}

/// One admitted request and its attempts so far.
#[derive(Debug)]
pub(crate) struct RequestAttempts {
    shared: Rc<ProxyState>,
    request: ClientRequest,
    pub(crate) policy: AttemptPolicy,
    deadlines: Deadlines,
    timer: Sleep,
    plan: RequestPlan,
    /// A send may have run the request.
    may_have_run: bool,
    /// KV cache that was prefilled for this request and that no decode searcher has fetched yet.
    handle: Option<KvHandle>,
    prefill_calls: u32,
    /// `Priority` of the send that was chosen last.
    priority: u8,
    /// The stream is resumed after this event.
    last_event: Option<HeaderValue>,
    /// Why the last send came to nothing.
    last_failure: Option<UnservedReason>,
}

impl RequestAttempts {
    pub(crate) fn new(
        shared: Rc<ProxyState>,
        request: ClientRequest,
        policy: AttemptPolicy,
        deadlines: Deadlines,
        plan: RequestPlan,
    ) -> Self {
        RequestAttempts {
            shared,
            request,
            policy,
            deadlines,
            timer: compio::time::sleep_until(deadlines.answer),
            plan,
            may_have_run: false,
            handle: None,
            prefill_calls: 0,
            priority: 0,
            last_event: None,
            last_failure: None,
        }
    }

    /// Why the last send came to nothing; none if there was no send.
    pub(crate) fn last_failure(&self) -> Option<UnservedReason> {
        self.last_failure
    }

    pub(crate) fn shared(&self) -> &Rc<ProxyState> {
        &self.shared
    }

    pub(crate) fn request(&self) -> &ClientRequest {
        &self.request
    }

    pub(crate) fn timer(&mut self) -> &mut Sleep {
        &mut self.timer
    }

    /// An answer has begun: it may take until the client's deadline.
    pub(crate) fn extend_to_client_deadline(&mut self) {
        self.timer = compio::time::sleep_until(self.deadlines.end);
    }

    /// Resumes a stream that broke, after the last event that the client was given.
    pub(crate) fn resume_after(&mut self, event_id: Option<HeaderValue>) {
        self.last_event = event_id.or(self.last_event.take());
    }

    /// Attempts the request until an answer may be forwarded.
    pub(crate) async fn next_answer(&mut self) -> Result<AcceptedAnswer, NoAnswer> {
        loop {
            if self.remaining() < MIN_ATTEMPT_TIME {
                return Err(self.deadline_exceeded());
            }
            self.obtain_kv_handle().await;
            if self.may_have_run && !self.policy.is_idempotent {
                return Err(NoAnswer::Failed);
            }
            if self.handle.is_none()
                && self.prefill_calls > 0
                && self.prefill_time() < MIN_ATTEMPT_TIME
            {
                // Its time went by in a prefill queue, and the client is about to leave.
                return Err(self.deadline_exceeded());
            }
            let purpose = if self.handle.is_some() {
                Purpose::Decode
            } else {
                Purpose::Whole
            };
            let Some((destination, send)) = self.choose(purpose) else {
                return Err(self.no_searcher());
            };
            match self.attempt(destination, send).await {
                Ok(accepted) => return Ok(accepted),
                Err(AttemptFailure::Send(failure)) => self.record_failure(&failure)?,
                Err(AttemptFailure::DeadlineExceeded) => return Err(self.deadline_exceeded()),
            }
        }
    }

    /// Records that a send, or the body of its answer, failed.
    ///
    /// # Errors
    ///
    /// [`NoAnswer`] if the request may not be sent again.
    pub(crate) fn record_failure(&mut self, failure: &SendFailure) -> Result<(), NoAnswer> {
        self.may_have_run |= !failure.proves_not_run();
        self.last_failure = Some(failure.unserved_reason());
        if self.may_have_run && !self.policy.is_idempotent {
            return Err(NoAnswer::Failed);
        }
        self.keep_or_release_handle(failure);
        Ok(())
    }

    /// Records that the deadline passed while a searcher was at work.
    pub(crate) fn record_timeout(&mut self) -> NoAnswer {
        self.may_have_run = true;
        NoAnswer::TimedOut
    }

    fn remaining(&self) -> Duration {
        self.deadlines
            .answer
            .saturating_duration_since(Instant::now())
    }

    fn deadline_exceeded(&self) -> NoAnswer {
        if self.may_have_run {
            NoAnswer::TimedOut
        } else {
            self.not_run()
        }
    }

    fn no_searcher(&self) -> NoAnswer {
        if self.may_have_run {
            NoAnswer::Failed
        } else {
            self.not_run()
        }
    }

    fn not_run(&self) -> NoAnswer {
        let router = self.shared.router.borrow();
        let retry_after_ms = router.retry_after_ms(self.shared.clock.micros(), &self.plan);
        NoAnswer::NotRun { retry_after_ms }
    }

    /// Has the router choose a searcher.
    fn choose(&mut self, purpose: Purpose) -> Option<(Destination, SendGuard)> {
        let now = self.shared.clock.micros();
        let choice = self
            .shared
            .router
            .borrow_mut()
            .choose(now, &mut self.plan, purpose);
        match choice {
            Choice::Send {
                identifier,
                address,
                ticket,
                priority,
                ..
            } => {
                self.priority = priority;
                Some((
                    Destination {
                        identifier,
                        address,
                    },
                    self.shared.guard_send(ticket),
                ))
            }
            Choice::Unavailable { .. } | Choice::Exhausted => None,
        }
    }

    /// The request as it goes to one searcher, to be done within a time.
    fn outgoing(&self, destination: &Destination, time: Duration) -> Request<Full<Bytes>> {
        let mut request = self.request.to_forward();
        let fields = request.headers_mut();
        let left = time.saturating_sub(TRANSIT_RESERVE).as_millis().max(1) as u64;
        fields.insert(headers::DEADLINE_REMAINING, HeaderValue::from(left));
        fields.insert(
            headers::PRIORITY,
            HeaderValue::from(u16::from(self.priority)),
        );
        if let Ok(instance) = HeaderValue::try_from(&destination.identifier) {
            fields.insert(headers::EXPECTED_INSTANCE, instance);
        }
        if let Some(event) = &self.last_event {
            fields.insert(headers::LAST_EVENT_ID, event.clone());
        }
        request
    }

    /// One send to a searcher that runs the request.
    ///
    /// # Errors
    ///
    /// [`AttemptFailure`] if its answer can't be forwarded.
    async fn attempt(
        &mut self,
        destination: Destination,
        mut send: SendGuard,
    ) -> Result<AcceptedAnswer, AttemptFailure> {
        let mut request = self.outgoing(&destination, self.remaining());
        if let Some(source) = self.handle.as_ref().and_then(KvHandle::header_value) {
            request.headers_mut().insert(headers::KV_FROM, source);
        }
        let exchange = exchange(&self.shared, &destination, request);
        let Ok(exchanged) = until(&mut self.timer, exchange).await else {
            send.finish(SendOutcome::TimedOut);
            self.may_have_run = true;
            return Err(AttemptFailure::DeadlineExceeded);
        };
        let exchange = exchanged.inspect_err(|failure| send.finish(failure.outcome()))?;
        let status = exchange.response.status();
        if !may_be_forwarded(&exchange.response) {
            log::debug!(
                "{}: answer {status} can't be passed on",
                destination.address
            );
            send.finish(SendOutcome::Failed);
            return Err(SendFailure::Broken.into());
        }
        if status.is_success() {
            self.mark_handle_transferred();
        }
        Ok(AcceptedAnswer {
            destination,
            send,
            exchange,
        })
    }
}
