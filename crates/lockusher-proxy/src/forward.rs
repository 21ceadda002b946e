//! Forwards one request: reads and routes it, applies admission control, sends it to searchers and responds to the client.
//!
//! Called by `client::connection` for each request. Short responses are buffered, so that an incomplete one never reaches
//! the client; a server error is replaced by another searcher's response if the route allows a retry.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::{Request, Response, StatusCode};
use lockusher_config::configuration::{Configuration, Route};
use lockusher_transport::server::RequestInProgress;

use crate::attempt_policy::AttemptPolicy;
use crate::attempts::{AcceptedResponse, RequestAttempts, RequestFailure};
use crate::deadline::Deadlines;
use crate::decision::{Admission, RequestAttributes, SendOutcome};
use crate::headers;
use crate::prefill::read_small_response;
use crate::proxy_state::ProxyState;
use crate::relay::{Relay, is_event_stream, outcome_of};
use crate::request::{ClientRequest, RequestError};
use crate::response::{self, ClientResponse, ResponseBody};
use crate::timer::{DeadlineExceeded, run_until};
use crate::unserved::UnservedReason;
use crate::upstream::exchange::{Exchange, SendFailure};

/// Responses up to this length are buffered completely before they are forwarded, so that an incomplete one never
/// reaches the client.
const MAX_BUFFERED_RESPONSE_BYTES: u64 = 64 * 1_024;

/// `Retry-After` if this proxy shuts down: another one can serve the request at once.
const SHUTDOWN_RETRY_MS: u64 = 0;

/// Forwards a client's request and returns the response to it.
///
/// Runs in the task of the client's connection, on which the request is `in_progress`.
pub(crate) async fn forward(
    shared: &Rc<ProxyState>,
    in_progress: &RequestInProgress,
    request: Request<Incoming>,
) -> ClientResponse {
    let Some(routes) = shared.routes() else {
        shared.record_unserved("", UnservedReason::NoConfiguration);
        return response::closing(response::refusal_without_estimate());
    };
    let limit = routes.configuration().limits.body_bytes;
    let reading = ClientRequest::read(request, limit, &shared.body_memory);
    let request = match shared.clients.unless_cut(reading).await {
        Some(Ok(request)) => request,
        Some(Err(error)) => return reject(error),
        None => {
            shared.record_unserved("", UnservedReason::ShuttingDown);
            return response::refusal(SHUTDOWN_RETRY_MS);
        }
    };
    in_progress.received();
    // The configuration may have changed while the body arrived.
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
    if !shared.may_forward(deadlines.response_end) {
        shared.record_unserved(service, UnservedReason::ShuttingDown);
        return response::refusal(SHUTDOWN_RETRY_MS);
    }
    let attributes = request_attributes(&request, route, service, deadlines.response_head);
    let admission = shared
        .router
        .borrow_mut()
        .admit(shared.clock.micros(), &attributes);
    match admission {
        Admission::Refused { retry_after_ms } => {
            shared.record_unserved(service, UnservedReason::NotAdmitted);
            response::refusal(retry_after_ms)
        }
        Admission::Admitted(plan) => {
            let policy = AttemptPolicy::new(route, handle_hold_ms(routes.configuration(), service));
            let attempts = RequestAttempts::new(shared.clone(), request, policy, deadlines, plan);
            run_attempts(service, attempts).await
        }
    }
}

fn reject(error: RequestError) -> ClientResponse {
    log::debug!("request rejected: {error}");
    response::rejection(error)
}

/// How long the engine of a service holds KV cache for a handle; 0 without an engine.
fn handle_hold_ms(configuration: &Configuration, service: &str) -> u64 {
    let service = configuration
        .services
        .iter()
        .find(|listed| listed.name == service);
    service
        .and_then(|service| service.engine.as_ref())
        .map_or(0, |engine| engine.handle_hold_ms)
}

/// The attributes of a request that the request router decides by.
fn request_attributes(
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
        max_output_tokens: token_counts.max_output,
    }
}

/// Sends the request until there is a response for the client, or no further send is possible.
async fn run_attempts(service: &str, mut attempts: RequestAttempts) -> ClientResponse {
    // A searcher's server error, returned if no other searcher responds successfully.
    let mut error_response: Option<ClientResponse> = None;
    loop {
        let accepted = match attempts.next_response().await {
            Ok(accepted) => accepted,
            Err(failure) => {
                return error_response
                    .unwrap_or_else(|| failure_response(service, &attempts, failure));
            }
        };
        if !is_buffered(&accepted.exchange.response) {
            return relay(attempts, accepted);
        }
        match buffer_response(&mut attempts, accepted).await {
            Err(failure) => {
                return error_response
                    .unwrap_or_else(|| failure_response(service, &attempts, failure));
            }
            Ok(None) => {}
            Ok(Some(response))
                if response.status().is_server_error() && attempts.policy.is_idempotent =>
            {
                error_response = Some(response);
                // This can't fail, as the request is idempotent.
                let _ = attempts.record_failure(&SendFailure::Broken);
            }
            Ok(Some(response)) => return response,
        }
    }
}

/// The proxy's own response to a request that failed.
fn failure_response(
    service: &str,
    attempts: &RequestAttempts,
    failure: RequestFailure,
) -> ClientResponse {
    let reason = match failure {
        RequestFailure::TimedOut => UnservedReason::TimedOut,
        RequestFailure::NotRun { .. } | RequestFailure::Failed => attempts
            .last_failure()
            .unwrap_or(UnservedReason::NoSearcher),
    };
    attempts.shared().record_unserved(service, reason);
    match failure {
        RequestFailure::NotRun { retry_after_ms } => response::refusal(retry_after_ms),
        RequestFailure::Failed => response::local(StatusCode::BAD_GATEWAY),
        RequestFailure::TimedOut => response::local(StatusCode::GATEWAY_TIMEOUT),
    }
}

/// Whether a response is short enough to be buffered, and no event stream.
fn is_buffered(response: &Response<Incoming>) -> bool {
    let length = response.body().size_hint().exact();
    length.is_some_and(|length| length <= MAX_BUFFERED_RESPONSE_BYTES) && !is_event_stream(response)
}

/// Buffers a short response; `None` if it was incomplete and the request may be sent again.
async fn buffer_response(
    attempts: &mut RequestAttempts,
    accepted: AcceptedResponse,
) -> Result<Option<ClientResponse>, RequestFailure> {
    let AcceptedResponse {
        destination,
        mut send,
        exchange: Exchange {
            response,
            connection,
        },
    } = accepted;
    let shared = attempts.shared().clone();
    let (parts, body) = response.into_parts();
    let reading = read_small_response(&shared, &destination, body, connection);
    match run_until(attempts.timer(), reading).await {
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
                Response::from_parts(parts, ResponseBody::Buffered(bytes)),
                is_head,
            )))
        }
    }
}

/// Forwards a response chunk by chunk as it arrives.
fn relay(attempts: RequestAttempts, accepted: AcceptedResponse) -> ClientResponse {
    let is_head = attempts.request().is_head();
    let (head, relay) = Relay::new(attempts, accepted);
    stripped(head.map(|()| ResponseBody::Relay(Box::new(relay))), is_head)
}

/// The response without hop-by-hop and framing header fields; `Content-Length` stays if `keeps_length`.
fn stripped(mut response: ClientResponse, keeps_length: bool) -> ClientResponse {
    strip(response.headers_mut(), keeps_length);
    response
}

fn strip(fields: &mut HeaderMap, keeps_length: bool) {
    let length = fields.get(header::CONTENT_LENGTH).cloned();
    headers::strip_response(fields);
    if let Some(length) = length.filter(|_| keeps_length) {
        fields.insert(header::CONTENT_LENGTH, length);
    }
}
