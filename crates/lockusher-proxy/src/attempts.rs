//! Sends one request to searchers, one attempt after another, until a response may be forwarded.
//!
//! `forward` creates one [`RequestAttempts`] for each admitted request; `relay` requests another response from it if a
//! stream breaks. Invariants: a request that isn't idempotent is not sent again once a send may have run it; and each send
//! reports its final outcome to the request router exactly once (`SendGuard`).

mod kv_transfer;

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
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
use crate::timer::{RequestTimer, run_until};
use crate::unserved::UnservedReason;
use crate::upstream::exchange::{Destination, Exchange, SendFailure, exchange};

/// Subtracted from the deadline that a searcher is given, for the transit of its response.
const TRANSIT_RESERVE: Duration = Duration::from_millis(5);

/// No attempt is started with less time than this before the deadline.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(10);

/// Why a request gets no response from a searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestFailure {
    /// The request has not run and will not run; the client may retry after this time.
    NotRun { retry_after_ms: u64 },
    /// The request may have run and must not be sent again.
    Failed,
    /// The deadline passed while a searcher was processing the request.
    TimedOut,
}

/// Why one attempt produced no response that may be forwarded.
#[derive(Debug, From)]
enum AttemptFailure {
    /// The send failed; [`RequestAttempts::record_failure`] decides whether another attempt may follow.
    Send(SendFailure),
    /// The request's deadline passed before the searcher responded.
    #[from(ignore)]
    DeadlineExceeded,
}

/// A response whose head may be forwarded, with the connection that its body is read from.
#[derive(Debug)]
pub(crate) struct AcceptedResponse {
    pub(crate) destination: Destination,
    pub(crate) send: SendGuard,
    pub(crate) exchange: Exchange,
}

/// An admitted request and the state of its attempts.
#[derive(Debug)]
pub(crate) struct RequestAttempts {
    shared: Rc<ProxyState>,
    request: ClientRequest,
    pub(crate) policy: AttemptPolicy,
    deadlines: Deadlines,
    timer: RequestTimer,
    plan: RequestPlan,
    /// Whether a send may have run the request.
    may_have_run: bool,
    /// The KV cache that was prefilled for this request and not yet fetched by a decode searcher.
    handle: Option<KvHandle>,
    prefill_calls: u32,
    /// The `Priority` header of the send that was chosen last.
    priority: u8,
    /// The `Last-Event-Id` header of the next send: the stream is resumed after this event.
    last_event_id: Option<HeaderValue>,
    /// Why the last send failed.
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
        let timer = RequestTimer::until(deadlines.response_head, shared.clients.clone());
        RequestAttempts {
            shared,
            request,
            policy,
            deadlines,
            timer,
            plan,
            may_have_run: false,
            handle: None,
            prefill_calls: 0,
            priority: 0,
            last_event_id: None,
            last_failure: None,
        }
    }

    /// Why the last send failed; `None` if no send has failed.
    pub(crate) fn last_failure(&self) -> Option<UnservedReason> {
        self.last_failure
    }

    pub(crate) fn shared(&self) -> &Rc<ProxyState> {
        &self.shared
    }

    pub(crate) fn request(&self) -> &ClientRequest {
        &self.request
    }

    pub(crate) fn timer(&mut self) -> &mut RequestTimer {
        &mut self.timer
    }

    /// Extends the deadline to the client's own, once the head of a response has been accepted.
    pub(crate) fn extend_to_client_deadline(&mut self) {
        let clients = self.shared.clients.clone();
        self.timer = RequestTimer::until(self.deadlines.response_end, clients);
    }

    /// Makes the next send resume a broken stream after the last event that was forwarded to the client.
    pub(crate) fn resume_after(&mut self, event_id: Option<HeaderValue>) {
        self.last_event_id = event_id.or(self.last_event_id.take());
    }

    /// Sends the request, with retries, until a response may be forwarded.
    pub(crate) async fn next_response(&mut self) -> Result<AcceptedResponse, RequestFailure> {
        loop {
            if self.remaining() < MIN_ATTEMPT_TIME {
                return Err(self.deadline_exceeded());
            }
            self.obtain_kv_handle().await;
            if self.may_have_run && !self.policy.is_idempotent {
                return Err(RequestFailure::Failed);
            }
            if self.handle.is_none()
                && self.prefill_calls > 0
                && self.prefill_timeout() < MIN_ATTEMPT_TIME
            {
                // The time was spent in a prefill queue, and the client is about to give up.
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

    /// Records that a send or the body of its response failed.
    ///
    /// # Errors
    ///
    /// [`RequestFailure`] if the request may not be sent again.
    pub(crate) fn record_failure(&mut self, failure: &SendFailure) -> Result<(), RequestFailure> {
        self.may_have_run |= !failure.proves_not_run();
        self.last_failure = Some(failure.unserved_reason());
        if self.may_have_run && !self.policy.is_idempotent {
            return Err(RequestFailure::Failed);
        }
        self.keep_or_release_handle(failure);
        Ok(())
    }

    /// Records that the deadline passed while a searcher was processing the request.
    pub(crate) fn record_timeout(&mut self) -> RequestFailure {
        self.may_have_run = true;
        RequestFailure::TimedOut
    }

    /// Time until the deadline for the head of a response; zero once requests are cut.
    fn remaining(&self) -> Duration {
        if self.shared.clients.are_requests_cut() {
            return Duration::ZERO;
        }
        self.deadlines
            .response_head
            .saturating_duration_since(Instant::now())
    }

    /// The failure of the request after its deadline.
    fn deadline_exceeded(&self) -> RequestFailure {
        if self.may_have_run {
            RequestFailure::TimedOut
        } else {
            self.not_run()
        }
    }

    /// The failure of the request if no searcher can be chosen.
    fn no_searcher(&self) -> RequestFailure {
        if self.may_have_run {
            RequestFailure::Failed
        } else {
            self.not_run()
        }
    }

    /// The failure of a request that has not run, with the router's estimate of when to retry.
    fn not_run(&self) -> RequestFailure {
        let router = self.shared.router.borrow();
        let retry_after_ms = router.retry_after_ms(self.shared.clock.micros(), &self.plan);
        RequestFailure::NotRun { retry_after_ms }
    }

    /// Lets the router choose a searcher; `None` if no send is possible or allowed.
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

    /// The request as it is sent to a searcher that has to respond within `time_limit`.
    fn outgoing_request(
        &self,
        destination: &Destination,
        time_limit: Duration,
    ) -> Request<Full<Bytes>> {
        let mut request = self.request.to_forward();
        let fields = request.headers_mut();
        let remaining_ms = time_limit
            .saturating_sub(TRANSIT_RESERVE)
            .as_millis()
            .max(1) as u64;
        fields.insert(headers::DEADLINE_REMAINING, HeaderValue::from(remaining_ms));
        fields.insert(
            headers::PRIORITY,
            HeaderValue::from(u16::from(self.priority)),
        );
        if let Ok(instance) = HeaderValue::try_from(&destination.identifier) {
            fields.insert(headers::EXPECTED_INSTANCE, instance);
        }
        if let Some(event_id) = &self.last_event_id {
            fields.insert(headers::LAST_EVENT_ID, event_id.clone());
        }
        request
    }

    /// Sends the request to a searcher and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`AttemptFailure`] if no response arrives in time or it can't be forwarded.
    async fn attempt(
        &mut self,
        destination: Destination,
        mut send: SendGuard,
    ) -> Result<AcceptedResponse, AttemptFailure> {
        let mut request = self.outgoing_request(&destination, self.remaining());
        if let Some(source) = self.handle.as_ref().and_then(KvHandle::header_value) {
            request.headers_mut().insert(headers::KV_FROM, source);
        }
        let exchange = exchange(&self.shared, &destination, request);
        let Ok(exchanged) = run_until(&mut self.timer, exchange).await else {
            send.finish(SendOutcome::TimedOut);
            self.may_have_run = true;
            return Err(AttemptFailure::DeadlineExceeded);
        };
        let exchange = exchanged.inspect_err(|failure| send.finish(failure.outcome()))?;
        let status = exchange.response.status();
        if !may_be_forwarded(&exchange.response) {
            log::debug!(
                "{}: response with status {status} can't be forwarded",
                destination.address
            );
            send.finish(SendOutcome::Failed);
            return Err(SendFailure::Broken.into());
        }
        if status.is_success() {
            self.mark_handle_transferred();
        }
        Ok(AcceptedResponse {
            destination,
            send,
            exchange,
        })
    }
}
