//! Forwards one request: reads it, routes it, has it admitted and attempted, and answers the client.
//!
//! Called by `client::connection` for each request. Short answers are buffered, so that a broken one is never begun; a
//! searcher's own failure is replaced by another searcher's answer where the route allows a retry.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::{Request, Response, StatusCode};
use lockusher_config::configuration::{Configuration, Route};

use crate::attempt_policy::AttemptPolicy;
use crate::attempts::{AcceptedAnswer, NoAnswer, RequestAttempts};
use crate::deadline::Deadlines;
use crate::decision::{Admission, RequestAttributes, SendOutcome};
use crate::headers;
use crate::prefill::read_small_answer;
use crate::proxy_state::ProxyState;
use crate::relay::{Relay, is_event_stream, outcome_of};
use crate::request::{ClientRequest, RequestError};
use crate::response::{self, Answer, AnswerBody};
use crate::timer::{DeadlineExceeded, until};
use crate::unserved::UnservedReason;
use crate::upstream::exchange::{Exchange, SendFailure};

/// Answers up to this length are buffered completely before they are forwarded, so that a broken one is never begun.
const MAX_BUFFERED_ANSWER_BYTES: u64 = 64 * 1_024;

/// Forwards a client's request and answers it.
pub(crate) async fn forward(shared: &Rc<ProxyState>, request: Request<Incoming>) -> Answer {
    let Some(routes) = shared.routes() else {
        shared.record_unserved("", UnservedReason::NoConfiguration);
        return response::closing(response::refusal_without_estimate());
    };
    let limit = routes.configuration().limits.body_bytes;
    let request = match ClientRequest::read(request, limit, &shared.body_memory).await {
        Ok(request) => request,
        Err(error) => return reject(error),
    };
    // The configuration may have changed while the body came.
    let Some(routes) = shared.routes() else {
        shared.record_unserved("", UnservedReason::NoConfiguration);
        return response::refusal_without_estimate();
    };
    let Some(route) = routes.lookup(&request.host, request.path()) else {
        return response::local(StatusCode::NOT_FOUND);
    };
    let timeout = Duration::from_millis(route.timeout_ms);
    let deadlines = Deadlines::new(request.arrived, request.deadline_remaining, timeout);
    let service = shared.choose_service(route);
    let facts = facts(&request, route, service, deadlines.answer);
    let admission = shared
        .router
        .borrow_mut()
        .admit(shared.clock.micros(), &facts);
    match admission {
        Admission::Refused { retry_after_ms } => {
            shared.record_unserved(service, UnservedReason::NotAdmitted);
            response::refusal(retry_after_ms)
        }
        Admission::Admitted(plan) => {
            let policy = AttemptPolicy::new(route, handle_hold_ms(routes.configuration(), service));
            let attempts = RequestAttempts::new(shared.clone(), request, policy, deadlines, plan);
            answer_by_attempts(service, attempts).await
        }
    }
}

fn reject(error: RequestError) -> Answer {
    log::debug!("request rejected: {error}");
    response::rejection(error)
}

fn handle_hold_ms(configuration: &Configuration, service: &str) -> u64 {
    let service = configuration
        .services
        .iter()
        .find(|listed| listed.name == service);
    service
        .and_then(|service| service.engine.as_ref())
        .map_or(0, |engine| engine.handle_hold_ms)
}

fn facts(
    request: &ClientRequest,
    route: &Route,
    service: &str,
    deadline: Instant,
) -> RequestAttributes {
    let token_counts = request.token_counts();
    RequestAttributes {
        service: service.to_owned(),
        kind: route.kind,
        is_idempotent: route.is_idempotent(),
        priority: route.priority,
        attempts: route.attempts,
        target_latency_ms: route.target_latency_ms,
        remaining_ms: deadline
            .saturating_duration_since(Instant::now())
            .as_millis() as u64,
        prompt: request.prompt(),
        prompt_tokens: token_counts.prompt,
        max_output_tokens: token_counts.max_answer,
    }
}

/// Attempts the request until there is an answer, or none can come any more.
async fn answer_by_attempts(service: &str, mut attempts: RequestAttempts) -> Answer {
    // A searcher's own failure, retained in case no other searcher does better.
    let mut failure: Option<Answer> = None;
    loop {
        let accepted = match attempts.next_answer().await {
            Ok(accepted) => accepted,
            Err(no_answer) => {
                return failure.unwrap_or_else(|| answer_to_failure(service, &attempts, no_answer));
            }
        };
        if !is_buffered(&accepted.exchange.response) {
            return relay(attempts, accepted);
        }
        match buffer_answer(&mut attempts, accepted).await {
            Err(no_answer) => {
                return failure.unwrap_or_else(|| answer_to_failure(service, &attempts, no_answer));
            }
            Ok(None) => {}
            Ok(Some(answer))
                if answer.status().is_server_error() && attempts.policy.is_idempotent =>
            {
                failure = Some(answer);
                // The route allows repeats, so this cannot forbid one.
                let _ = attempts.record_failure(&SendFailure::Broken);
            }
            Ok(Some(answer)) => return answer,
        }
    }
}

fn answer_to_failure(service: &str, attempts: &RequestAttempts, no_answer: NoAnswer) -> Answer {
    let reason = match no_answer {
        NoAnswer::TimedOut => UnservedReason::TimedOut,
        NoAnswer::NotRun { .. } | NoAnswer::Failed => attempts
            .last_failure()
            .unwrap_or(UnservedReason::NoSearcher),
    };
    attempts.shared().record_unserved(service, reason);
    match no_answer {
        NoAnswer::NotRun { retry_after_ms } => response::refusal(retry_after_ms),
        NoAnswer::Failed => response::local(StatusCode::BAD_GATEWAY),
        NoAnswer::TimedOut => response::local(StatusCode::GATEWAY_TIMEOUT),
    }
}

fn is_buffered(response: &Response<Incoming>) -> bool {
    let length = response.body().size_hint().exact();
    length.is_some_and(|length| length <= MAX_BUFFERED_ANSWER_BYTES) && !is_event_stream(response)
}

/// Buffers a short answer; `None` if it broke and the request may be sent again.
async fn buffer_answer(
    attempts: &mut RequestAttempts,
    accepted: AcceptedAnswer,
) -> Result<Option<Answer>, NoAnswer> {
    let AcceptedAnswer {
        destination,
        mut send,
        exchange: Exchange {
            response,
            connection,
        },
    } = accepted;
    let shared = attempts.shared().clone();
    let (parts, body) = response.into_parts();
    let read = read_small_answer(&shared, &destination, body, connection);
    match until(attempts.timer(), read).await {
        Err(DeadlineExceeded) => {
            send.finish(SendOutcome::TimedOut);
            Err(attempts.record_timeout())
        }
        Ok(Err(failure)) => {
            send.finish(failure.outcome());
            attempts.record_failure(&failure)?;
            Ok(None)
        }
        Ok(Ok(bytes)) => {
            send.finish(outcome_of(parts.status));
            let is_head = attempts.request().is_head();
            Ok(Some(stripped(
                Response::from_parts(parts, AnswerBody::Buffered(bytes)),
                is_head,
            )))
        }
    }
}

/// Forwards an answer chunk by chunk.
fn relay(attempts: RequestAttempts, accepted: AcceptedAnswer) -> Answer {
    let is_head = attempts.request().is_head();
    let (head, relay) = Relay::new(attempts, accepted);
    stripped(head.map(|()| AnswerBody::Relay(Box::new(relay))), is_head)
}

/// The answer without what concerns only the searcher's connection.
fn stripped(mut answer: Answer, keeps_length: bool) -> Answer {
    strip(answer.headers_mut(), keeps_length);
    answer
}

fn strip(fields: &mut HeaderMap, keeps_length: bool) {
    let length = fields.get(header::CONTENT_LENGTH).cloned();
    headers::strip_answer(fields);
    if let Some(length) = length.filter(|_| keeps_length) {
        fields.insert(header::CONTENT_LENGTH, length);
    }
}
