//! The handover of a request from a prefill searcher to a decode searcher: its KV-cache handle is obtained, sent along, and
//! kept or released after a failed send.
//!
//! Invariant: at most one handle per request; one that is not transferred is released when dropped.

use std::time::Duration;

use hyper::header::HeaderValue;

use super::{MIN_ATTEMPT_TIME, RequestAttempts};
use crate::deadline::CLIENT_DEADLINE_RESERVE;
use crate::decision::{Purpose, SendOutcome};
use crate::headers;
use crate::prefill::{PrefillFailure, prefill};
use crate::upstream::exchange::SendFailure;

/// Most prefill calls for one request, whatever else allows more.
const MAX_PREFILL_CALLS: u32 = 4;

impl RequestAttempts {
    /// How long a prefill call may take: what comes after the client has given up is prefilled for nothing.
    pub(super) fn prefill_time(&self) -> Duration {
        let Some(first_event_timeout) = self.policy.first_event_timeout else {
            return self.remaining();
        };
        let waited = self.request.arrived.elapsed();
        self.remaining()
            .min(first_event_timeout.saturating_sub(waited + CLIENT_DEADLINE_RESERVE))
    }

    /// Where the stages are split, has a prefill searcher prefill the prompt. Without a handle afterwards, a decode
    /// searcher prefills it itself.
    pub(super) async fn obtain_kv_handle(&mut self) {
        while self.handle.is_none() && self.prefill_calls < MAX_PREFILL_CALLS && self.is_split() {
            if self.prefill_time() < MIN_ATTEMPT_TIME {
                return;
            }
            let Some((prefill_searcher, mut send)) = self.choose(Purpose::Prefill) else {
                return;
            };
            self.prefill_calls += 1;
            let limit = self.prefill_time();
            let mut request = self.outgoing(&prefill_searcher, limit);
            request
                .headers_mut()
                .insert(headers::STAGE, HeaderValue::from_static("prefill"));
            let call =
                compio::time::timeout(limit, prefill(&self.shared, &prefill_searcher, request));
            match call.await {
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
                Err(_) => send.finish(SendOutcome::TimedOut),
            }
        }
    }

    /// Whether prefill and decode of this request are split between two searchers.
    fn is_split(&self) -> bool {
        self.request.has_prompt()
            && self
                .shared
                .router
                .borrow()
                .should_split(self.shared.clock.micros(), &self.plan)
    }

    /// Whether a handle that was rejected may be sent to another decode searcher.
    fn may_retry_handover(&self) -> bool {
        let now = self.shared.clock.micros();
        self.shared
            .router
            .borrow()
            .may_transfer_again(now, &self.plan)
    }

    /// After a failed send: keeps the handle if it may still be of use, else releases it.
    pub(super) fn keep_or_release_handle(&mut self, failure: &SendFailure) {
        let may_retry_handover = self.may_retry_handover();
        let Some(mut handle) = self.handle.take() else {
            return;
        };
        let reuse = &self.shared.handle_reuse;
        let keep = match failure {
            // The searcher did not reach for it.
            SendFailure::AtLimit | SendFailure::Unreachable | SendFailure::Misdirected => true,
            SendFailure::Broken => false,
            SendFailure::Rejected { .. } => {
                handle.rejections += 1;
                let first = handle.rejections == 1;
                if !first {
                    reuse.record(false);
                }
                first
                    && may_retry_handover
                    && reuse.should_retry(handle.age(), self.policy.handle_lifetime)
            }
        };
        if keep {
            self.handle = Some(handle);
        }
    }

    /// A decode searcher has fetched the KV cache.
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
