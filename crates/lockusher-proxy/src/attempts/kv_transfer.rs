//! The KV cache transfer of a request from a prefill searcher to a decode searcher: obtains a handle by a prefill call, and
//! keeps or releases it after a failed send.
//!
//! Invariant: a request has at most one handle; a handle whose KV cache was not transferred is released when dropped.

use std::time::{Duration, Instant};

use hyper::header::HeaderValue;

use super::{MIN_ATTEMPT_TIME, RequestAttempts};
use crate::deadline::CLIENT_DEADLINE_RESERVE;
use crate::decision::{Purpose, SendOutcome};
use crate::headers;
use crate::prefill::{PrefillFailure, prefill};
use crate::timer::{DeadlineExceeded, RequestTimer, run_until};
use crate::upstream::exchange::SendFailure;

/// The maximum number of prefill calls for one request, whatever the retry budget allows.
const MAX_PREFILL_CALLS: u32 = 4;

impl RequestAttempts {
    /// Timeout of a prefill call. It ends before the client gives up, since a prefill after that is wasted.
    pub(super) fn prefill_timeout(&self) -> Duration {
        let Some(first_event_timeout) = self.policy.first_event_timeout else {
            return self.remaining();
        };
        let elapsed = self.request.arrived.elapsed();
        self.remaining()
            .min(first_event_timeout.saturating_sub(elapsed + CLIENT_DEADLINE_RESERVE))
    }

    /// Calls a prefill searcher if prefill and decode are to be split. If there is no handle afterwards, a decode searcher
    /// prefills the prompt in place.
    pub(super) async fn obtain_kv_handle(&mut self) {
        while self.handle.is_none() && self.prefill_calls < MAX_PREFILL_CALLS && self.should_split()
        {
            if self.prefill_timeout() < MIN_ATTEMPT_TIME {
                return;
            }
            let Some((prefill_searcher, mut send)) = self.choose(Purpose::Prefill) else {
                return;
            };
            self.prefill_calls += 1;
            let timeout = self.prefill_timeout();
            let mut request = self.outgoing_request(&prefill_searcher, timeout);
            request
                .headers_mut()
                .insert(headers::STAGE, HeaderValue::from_static("prefill"));
            let clients = self.shared.clients.clone();
            let mut timer = RequestTimer::until(Instant::now() + timeout, clients);
            let call = prefill(&self.shared, &prefill_searcher, request);
            match run_until(&mut timer, call).await {
                Ok(Ok(handle)) => {
                    send.finish(SendOutcome::Answered);
                    self.handle = Some(handle);
                }
                Ok(Err(PrefillFailure::Ran)) => {
                    send.finish(SendOutcome::Failed);
                    self.may_have_run = true;
                    return;
                }
                Ok(Err(PrefillFailure::Send(failure))) => send.finish(failure.outcome()),
                Err(DeadlineExceeded) => send.finish(SendOutcome::TimedOut),
            }
        }
    }

    /// Whether prefill and decode of this request should run at two searchers.
    fn should_split(&self) -> bool {
        self.request.has_prompt()
            && self
                .shared
                .router
                .borrow()
                .should_split(self.shared.clock.micros(), &self.plan)
    }

    /// Whether a rejected handle may be sent to another decode searcher.
    fn may_retry_transfer(&self) -> bool {
        let now = self.shared.clock.micros();
        self.shared
            .router
            .borrow()
            .may_transfer_again(now, &self.plan)
    }

    /// Keeps the handle after a failed send if another decode searcher may still use it, otherwise releases it.
    pub(super) fn keep_or_release_handle(&mut self, failure: &SendFailure) {
        let may_retry_transfer = self.may_retry_transfer();
        let Some(mut handle) = self.handle.take() else {
            return;
        };
        let reuse = &self.shared.handle_reuse;
        let keep = match failure {
            // The searcher did not try to fetch the KV cache.
            SendFailure::AtLimit | SendFailure::Unreachable | SendFailure::Misdirected => true,
            SendFailure::Broken => false,
            SendFailure::Rejected { .. } => {
                handle.rejections += 1;
                let is_first_rejection = handle.rejections == 1;
                if !is_first_rejection {
                    reuse.record(false);
                }
                is_first_rejection
                    && may_retry_transfer
                    && reuse.should_retry(handle.age(), self.policy.handle_lifetime)
            }
        };
        if keep {
            self.handle = Some(handle);
        }
    }

    /// Records that a decode searcher has fetched the KV cache.
    pub(super) fn mark_handle_transferred(&mut self) {
        let Some(mut handle) = self.handle.take() else {
            return;
        };
        handle.mark_transferred();
        if handle.rejections > 0 {
            self.shared.handle_reuse.record(true);
        }
    }
}
