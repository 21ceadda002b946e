//! Forwards the body of a searcher's response, chunk by chunk as it arrives. If the route allows it, a stream that
//! breaks is resumed at another searcher, after the last complete event that was forwarded to the client.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};

use crate::attempts::{AcceptedResponse, RequestAttempts, RequestFailure};
use crate::decision::SendOutcome;
use crate::events::{EventSplitter, begins_after};
use crate::headers;
use crate::proxy_state::SendGuard;
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::exchange::{Destination, Exchange, SendFailure, is_acknowledgement_timeout};

/// The response was interrupted; the client's connection is closed before the end of the body.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the response was interrupted")]
pub(crate) struct ResponseAborted;

/// Forwards a response body from a searcher to a client. Dropped before the end of the body, it closes the searcher's
/// connection and reports the send as cancelled.
#[derive(Debug)]
pub(crate) struct Relay {
    state: State,
    /// Present if a broken stream may be resumed within the response.
    splitter: Option<EventSplitter>,
    /// The id of the event after which the stream was resumed, until the first event of the resumed stream has been
    /// checked to come after it.
    resumed_after: Option<Bytes>,
}

#[derive(Debug)]
enum State {
    Relaying(Box<RelayedResponse>),
    Resuming(Resuming),
    Ended,
}

/// A searcher's response that is being forwarded.
#[derive(Debug)]
struct RelayedResponse {
    attempts: RequestAttempts,
    destination: Destination,
    body: Incoming,
    connection: UpstreamConnection,
    send: SendGuard,
    status: StatusCode,
    /// Bytes of the body that are still missing; `None` if the searcher didn't send a length.
    remaining_bytes: Option<u64>,
    started: bool,
}

/// The pending attempts to resume a stream.
struct Resuming(Pin<Box<dyn Future<Output = ResumeResult>>>);

/// The result of the attempts to resume a stream.
struct ResumeResult {
    /// The state of the request's attempts, for the rest of the response.
    attempts: RequestAttempts,
    /// The response that resumes the stream.
    response: Result<AcceptedResponse, RequestFailure>,
}

impl std::fmt::Debug for Resuming {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Resuming")
    }
}

type PolledFrame = Poll<Option<Result<Frame<Bytes>, ResponseAborted>>>;

impl Relay {
    pub(crate) fn new(
        mut attempts: RequestAttempts,
        accepted: AcceptedResponse,
    ) -> (Response<()>, Self) {
        attempts.extend_to_client_deadline();
        let resumable = attempts.policy.resumable
            && !attempts.request().is_head()
            && may_be_joined(&accepted.exchange.response);
        let (head, relayed) = RelayedResponse::new(attempts, accepted);
        let splitter = resumable.then(EventSplitter::default);
        (
            head,
            Relay {
                state: State::Relaying(Box::new(relayed)),
                splitter,
                resumed_after: None,
            },
        )
    }

    /// The remaining length of the body if the searcher sent a length. A stream that may be resumed has none: the response
    /// that resumes it has a length of its own.
    pub(crate) fn size_hint(&self) -> SizeHint {
        match &self.state {
            State::Relaying(relayed) if self.splitter.is_none() => relayed
                .remaining_bytes
                .map(SizeHint::with_exact)
                .unwrap_or_default(),
            _ => SizeHint::default(),
        }
    }

    pub(crate) fn poll_frame(&mut self, cx: &mut Context<'_>) -> PolledFrame {
        loop {
            match &mut self.state {
                State::Ended => return Poll::Ready(None),
                State::Resuming(resuming) => {
                    let resumed = ready!(resuming.0.as_mut().poll(cx));
                    if !self.continue_with(resumed) {
                        return self.abort();
                    }
                }
                State::Relaying(relayed) => match ready!(relayed.poll_chunk(cx)) {
                    Ok(Some(chunk)) if self.splitter.is_none() => {
                        self.finish_after_last_byte(cx);
                        return Poll::Ready(Some(Ok(Frame::data(chunk))));
                    }
                    Ok(Some(chunk)) => match self.complete_events(chunk) {
                        Ok(chunk) if chunk.is_empty() => {}
                        Ok(chunk) => return Poll::Ready(Some(Ok(Frame::data(chunk)))),
                        Err(ResponseAborted) => return self.abort(),
                    },
                    Ok(None) => {
                        if let Some(rest) = self.finish(cx) {
                            return Poll::Ready(Some(Ok(Frame::data(rest))));
                        }
                    }
                    Err(outcome) => {
                        if !self.resume(outcome) {
                            return self.abort();
                        }
                    }
                },
            }
        }
    }

    /// Ends a body of known length after its last byte: the HTTP library doesn't poll it again.
    fn finish_after_last_byte(&mut self, cx: &mut Context<'_>) {
        if let State::Relaying(relayed) = &self.state
            && relayed.remaining_bytes == Some(0)
        {
            self.finish(cx);
        }
    }

    /// The complete events to forward after a chunk of a stream that may be resumed.
    fn complete_events(&mut self, chunk: Bytes) -> Result<Bytes, ResponseAborted> {
        let Some(splitter) = &mut self.splitter else {
            return Ok(chunk);
        };
        let complete = splitter.push(chunk);
        if complete.is_empty() {
            return Ok(complete);
        }
        if let Some(last) = self.resumed_after.take()
            && !begins_after(&complete, &last)
        {
            log::warn!("the resumed stream does not continue after the last forwarded event");
            return Err(ResponseAborted);
        }
        Ok(complete)
    }

    /// Ends a complete body; returns the incomplete event that was held back, if any.
    fn finish(&mut self, cx: &mut Context<'_>) -> Option<Bytes> {
        if let State::Relaying(relayed) = std::mem::replace(&mut self.state, State::Ended) {
            relayed.finish(cx);
        }
        let rest = self.splitter.as_mut()?.take_incomplete();
        (!rest.is_empty()).then_some(rest)
    }

    /// Starts to resume a broken stream at another searcher; false if it may not be resumed.
    fn resume(&mut self, outcome: SendOutcome) -> bool {
        let State::Relaying(relayed) = std::mem::replace(&mut self.state, State::Ended) else {
            return false;
        };
        let RelayedResponse {
            mut attempts,
            destination,
            connection,
            mut send,
            ..
        } = *relayed;
        log::debug!("{}: response interrupted: {outcome:?}", destination.address);
        drop(connection);
        send.finish(outcome);
        let Some(splitter) = self
            .splitter
            .as_mut()
            .filter(|_| outcome == SendOutcome::Failed)
        else {
            return false;
        };
        splitter.take_incomplete();
        let event_id = splitter.last_id().map(|id| HeaderValue::from_bytes(id));
        let Ok(event_id) = event_id.transpose() else {
            return false;
        };
        if !splitter.can_resume() || attempts.record_failure(&SendFailure::Broken).is_err() {
            return false;
        }
        self.resumed_after = splitter.last_id().cloned();
        attempts.resume_after(event_id);
        self.state = State::Resuming(Resuming(Box::pin(async move {
            let response = attempts.next_response().await;
            ResumeResult { attempts, response }
        })));
        true
    }

    /// Continues with the response that resumes the stream; false if there is no such response.
    fn continue_with(&mut self, resumed: ResumeResult) -> bool {
        let ResumeResult {
            attempts,
            response: Ok(accepted),
        } = resumed
        else {
            return false;
        };
        if !may_be_joined(&accepted.exchange.response) {
            return false;
        }
        let (_, relayed) = RelayedResponse::new(attempts, accepted);
        self.state = State::Relaying(Box::new(relayed));
        true
    }

    /// Ends the body with an error, so that the client's connection is closed.
    fn abort(&mut self) -> PolledFrame {
        self.state = State::Ended;
        Poll::Ready(Some(Err(ResponseAborted)))
    }
}

impl RelayedResponse {
    fn new(attempts: RequestAttempts, accepted: AcceptedResponse) -> (Response<()>, Self) {
        let AcceptedResponse {
            destination,
            send,
            exchange: Exchange {
                response,
                connection,
            },
        } = accepted;
        let (parts, body) = response.into_parts();
        let remaining_bytes = body.size_hint().exact();
        let status = parts.status;
        let relayed = RelayedResponse {
            attempts,
            destination,
            body,
            connection,
            send,
            status,
            remaining_bytes,
            started: false,
        };
        (Response::from_parts(parts, ()), relayed)
    }

    /// Polls for the next chunk; `None` at the end of the body.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, SendOutcome>> {
        loop {
            let Poll::Ready(item) = self.poll_body(cx) else {
                ready!(self.attempts.timer().poll_elapsed(cx));
                return Poll::Ready(Err(SendOutcome::TimedOut));
            };
            match item {
                None => return Poll::Ready(Ok(None)),
                Some(Err(error)) => {
                    if is_acknowledgement_timeout(&error) {
                        self.attempts
                            .shared()
                            .pool
                            .close_idle_to(&self.destination.identifier);
                    }
                    return Poll::Ready(Err(SendOutcome::Failed));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.record_data(&data);
                        return Poll::Ready(Ok(Some(data)));
                    }
                }
            }
        }
    }

    /// Polls the body; if no data is buffered, polls the connection for more and then the body again.
    fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Poll::Ready(item) = Pin::new(&mut self.body).poll_frame(cx) {
            return Poll::Ready(item);
        }
        self.connection.poll_drive(cx);
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn record_data(&mut self, data: &Bytes) {
        if !self.started {
            self.started = true;
            self.send.first_event();
        }
        if let Some(remaining_bytes) = &mut self.remaining_bytes {
            *remaining_bytes -= data.len() as u64;
        }
    }

    /// Ends a complete body. The connection returns to the pool unless unexpected bytes follow.
    fn finish(mut self, cx: &mut Context<'_>) {
        self.send.finish(outcome_of(self.status));
        if self.connection.poll_reusable(cx) {
            self.attempts
                .shared()
                .pool
                .checkin(&self.destination.identifier, self.connection);
        }
    }
}

/// The outcome of a send by the status of its response. A server error counts as a failure of the searcher even if the
/// response is forwarded.
pub(crate) fn outcome_of(status: StatusCode) -> SendOutcome {
    if status.is_server_error() {
        SendOutcome::Failed
    } else {
        SendOutcome::Answered
    }
}

/// Whether a response is a stream of server-sent events.
pub(crate) fn is_event_stream(response: &Response<Incoming>) -> bool {
    let content_type = headers::single_value(response.headers(), &hyper::header::CONTENT_TYPE);
    let content_type = content_type.map(HeaderValue::as_bytes).unwrap_or_default();
    response.status() == StatusCode::OK && content_type.starts_with(b"text/event-stream")
}

/// Whether a response can be part of a stream that several searchers send: a stream of events that can be split, without
/// header fields that describe the bytes of one searcher's response.
fn may_be_joined(response: &Response<Incoming>) -> bool {
    is_event_stream(response) && !headers::describes_body_bytes(response.headers())
}
