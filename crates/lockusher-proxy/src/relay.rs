//! Forwards the body of a searcher's answer, chunk by chunk as it comes. Where the route allows it, a stream that
//! breaks is resumed at another searcher, after the last complete event that the client was given.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};

use crate::attempts::{AcceptedAnswer, NoAnswer, RequestAttempts};
use crate::decision::SendOutcome;
use crate::events::{EventSplitter, begins_after};
use crate::headers;
use crate::proxy_state::SendGuard;
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::exchange::{Destination, Exchange, SendFailure, is_acknowledgement_timeout};

/// The answer broke off; the client's connection is closed without a proper end.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the answer broke off")]
pub(crate) struct AnswerAborted;

/// A body on its way from a searcher to a client. Dropped before its end, it closes the searcher's connection
/// and reports the send as cancelled.
#[derive(Debug)]
pub(crate) struct Relay {
    state: State,
    /// Present where a stream that breaks may be resumed within the answer.
    splitter: Option<EventSplitter>,
    /// The id of the event after which the stream was resumed: the first event of the new run must come after it.
    resumed_after: Option<Bytes>,
}

#[derive(Debug)]
enum State {
    Relaying(Box<RelayedAnswer>),
    Resuming(Resuming),
    Ended,
}

/// A searcher's stream that is being forwarded.
#[derive(Debug)]
struct RelayedAnswer {
    attempts: RequestAttempts,
    destination: Destination,
    body: Incoming,
    connection: UpstreamConnection,
    send: SendGuard,
    status: StatusCode,
    /// Bytes still to come, where the searcher announced the length.
    remaining_bytes: Option<u64>,
    started: bool,
}

/// The attempts at resuming the stream.
struct Resuming(Pin<Box<dyn Future<Output = ResumeResult>>>);

/// The end of the attempts at resuming a stream.
struct ResumeResult {
    /// The request's attempts, given back.
    attempts: RequestAttempts,
    /// The answer that resumes the stream.
    answer: Result<AcceptedAnswer, NoAnswer>,
}

impl std::fmt::Debug for Resuming {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Resuming")
    }
}

type PolledFrame = Poll<Option<Result<Frame<Bytes>, AnswerAborted>>>;

impl Relay {
    pub(crate) fn new(
        mut attempts: RequestAttempts,
        accepted: AcceptedAnswer,
    ) -> (Response<()>, Self) {
        attempts.extend_to_client_deadline();
        let resumable = attempts.policy.resumable && is_event_stream(&accepted.exchange.response);
        let (head, relayed) = RelayedAnswer::new(attempts, accepted);
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

    /// The length that the searcher announced, if it did.
    pub(crate) fn size_hint(&self) -> SizeHint {
        match &self.state {
            State::Relaying(relayed) => relayed
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
                State::Resuming(search) => {
                    let resumed = ready!(search.0.as_mut().poll(cx));
                    if !self.continue_with(resumed) {
                        return self.abort();
                    }
                }
                State::Relaying(relayed) => match ready!(relayed.poll_chunk(cx)) {
                    Ok(Some(chunk)) => match self.complete_events(chunk, cx) {
                        Ok(chunk) if chunk.is_empty() => {}
                        Ok(chunk) => return Poll::Ready(Some(Ok(Frame::data(chunk)))),
                        Err(AnswerAborted) => return self.abort(),
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

    /// What of a chunk is forwarded now: all of it, or its complete events where the stream may be resumed.
    fn complete_events(
        &mut self,
        chunk: Bytes,
        cx: &mut Context<'_>,
    ) -> Result<Bytes, AnswerAborted> {
        if let State::Relaying(relayed) = &mut self.state
            && relayed.remaining_bytes == Some(0)
        {
            // Whoever writes a body of known length does not ask for more.
            self.finish(cx);
        }
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
            log::warn!("a resumed stream does not go on behind the last event");
            return Err(AnswerAborted);
        }
        Ok(complete)
    }

    /// The body is complete; returns what was held back of it.
    fn finish(&mut self, cx: &mut Context<'_>) -> Option<Bytes> {
        if let State::Relaying(relayed) = std::mem::replace(&mut self.state, State::Ended) {
            relayed.finish(cx);
        }
        let rest = self.splitter.as_mut()?.take_incomplete();
        (!rest.is_empty()).then_some(rest)
    }

    /// The stream broke: looks for a searcher that resumes it, if it may be resumed.
    fn resume(&mut self, outcome: SendOutcome) -> bool {
        let State::Relaying(relayed) = std::mem::replace(&mut self.state, State::Ended) else {
            return false;
        };
        let RelayedAnswer {
            mut attempts,
            destination,
            connection,
            mut send,
            ..
        } = *relayed;
        log::debug!("{}: answer broken off, {outcome:?}", destination.address);
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
        let event = splitter.last_id().map(|id| HeaderValue::from_bytes(id));
        let Ok(event) = event.transpose() else {
            return false;
        };
        if !splitter.can_resume() || attempts.record_failure(&SendFailure::Broken).is_err() {
            return false;
        }
        self.resumed_after = splitter.last_id().cloned();
        attempts.resume_after(event);
        self.state = State::Resuming(Resuming(Box::pin(async move {
            let answer = attempts.next_answer().await;
            ResumeResult { attempts, answer }
        })));
        true
    }

    /// Continues with the answer that resumes the stream; false if there is none.
    fn continue_with(&mut self, resumed: ResumeResult) -> bool {
        let ResumeResult {
            attempts,
            answer: Ok(accepted),
        } = resumed
        else {
            return false;
        };
        if !is_event_stream(&accepted.exchange.response) {
            return false;
        }
        let (_, relayed) = RelayedAnswer::new(attempts, accepted);
        self.state = State::Relaying(Box::new(relayed));
        true
    }

    fn abort(&mut self) -> PolledFrame {
        self.state = State::Ended;
        Poll::Ready(Some(Err(AnswerAborted)))
    }
}

impl RelayedAnswer {
    fn new(attempts: RequestAttempts, accepted: AcceptedAnswer) -> (Response<()>, Self) {
        let AcceptedAnswer {
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
        let relayed = RelayedAnswer {
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

    /// The next chunk; `None` at the end of the body.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, SendOutcome>> {
        loop {
            let Poll::Ready(item) = self.poll_body(cx) else {
                ready!(Pin::new(self.attempts.timer()).poll(cx));
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

    /// Polls the body, and drives its connection where it has nothing.
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

    /// The body is complete: the connection may serve another request if nothing odd follows.
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

/// A searcher's own failure counts against it, also where its answer is forwarded.
pub(crate) fn outcome_of(status: StatusCode) -> SendOutcome {
    if status.is_server_error() {
        SendOutcome::Failed
    } else {
        SendOutcome::Answered
    }
}

/// Whether an answer is a stream of server-sent events.
pub(crate) fn is_event_stream(response: &Response<Incoming>) -> bool {
    let content_type = headers::single(response.headers(), &hyper::header::CONTENT_TYPE);
    let content_type = content_type.map(HeaderValue::as_bytes).unwrap_or_default();
    response.status() == StatusCode::OK && content_type.starts_with(b"text/event-stream")
}
