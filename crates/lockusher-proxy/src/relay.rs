//! Passes the body of a searcher's answer on, piece by piece as it comes. Where the route allows it, a stream that
//! breaks is taken up at another searcher, behind the last whole event that the client was given.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};

use crate::attempts::{AcceptedAnswer, NoAnswer, RequestAttempts};
use crate::decision::SendOutcome;
use crate::events::{EventSplitter, lies_behind};
use crate::headers;
use crate::shared::SendGuard;
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
    /// Present where a break may be mended within the answer.
    splitter: Option<EventSplitter>,
    /// The new run's first event must lie behind this one.
    joins_behind: Option<Bytes>,
}

#[derive(Debug)]
enum State {
    Running(Box<Running>),
    Resuming(Resuming),
    Ended,
}

/// A searcher's stream that is being passed on.
#[derive(Debug)]
struct Running {
    attempts: RequestAttempts,
    destination: Destination,
    body: Incoming,
    connection: UpstreamConnection,
    send: SendGuard,
    status: StatusCode,
    /// Bytes still to come, where the searcher told the length.
    left: Option<u64>,
    started: bool,
}

/// The search for a searcher that goes on with the stream.
struct Resuming(Pin<Box<dyn Future<Output = Found>>>);

/// The request's attempts, given back, and the answer that goes on with the stream.
type Found = (RequestAttempts, Result<AcceptedAnswer, NoAnswer>);

impl std::fmt::Debug for Resuming {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Resuming")
    }
}

type PolledFrame = Poll<Option<Result<Frame<Bytes>, AnswerAborted>>>;

impl Relay {
    pub(crate) fn new(mut attempts: RequestAttempts, accepted: AcceptedAnswer) -> (Response<()>, Self) {
        attempts.extend_to_client_deadline();
        let resumable = attempts.policy.resumable && is_event_stream(&accepted.exchange.response);
        let (head, running) = Running::new(attempts, accepted);
        let splitter = resumable.then(EventSplitter::default);
        (head, Relay { state: State::Running(Box::new(running)), splitter, joins_behind: None })
    }

    /// The length that the searcher told, if it did.
    pub(crate) fn size_hint(&self) -> SizeHint {
        match &self.state {
            State::Running(running) => running.left.map(SizeHint::with_exact).unwrap_or_default(),
            _ => SizeHint::default(),
        }
    }

    pub(crate) fn poll_frame(&mut self, cx: &mut Context<'_>) -> PolledFrame {
        loop {
            match &mut self.state {
                State::Ended => return Poll::Ready(None),
                State::Resuming(search) => {
                    let (attempts, found) = ready!(search.0.as_mut().poll(cx));
                    if !self.go_on(attempts, found) {
                        return self.abort();
                    }
                }
                State::Running(running) => match ready!(running.poll_piece(cx)) {
                    Ok(Some(piece)) => match self.pass(piece, cx) {
                        Ok(piece) if piece.is_empty() => {}
                        Ok(piece) => return Poll::Ready(Some(Ok(Frame::data(piece)))),
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

    /// What of a piece goes to the client now.
    fn pass(&mut self, piece: Bytes, cx: &mut Context<'_>) -> Result<Bytes, AnswerAborted> {
        if let State::Running(running) = &mut self.state
            && running.left == Some(0)
        {
            // Whoever writes a body of known length does not ask for more.
            self.finish(cx);
        }
        let Some(splitter) = &mut self.splitter else { return Ok(piece) };
        let whole = splitter.take(piece);
        if whole.is_empty() {
            return Ok(whole);
        }
        if let Some(last) = self.joins_behind.take()
            && !lies_behind(&whole, &last)
        {
            log::warn!("a resumed stream does not go on behind the last event");
            return Err(AnswerAborted);
        }
        Ok(whole)
    }

    /// The body is whole; returns what was held back of it.
    fn finish(&mut self, cx: &mut Context<'_>) -> Option<Bytes> {
        if let State::Running(running) = std::mem::replace(&mut self.state, State::Ended) {
            running.finish(cx);
        }
        let rest = self.splitter.as_mut()?.take_unfinished();
        (!rest.is_empty()).then_some(rest)
    }

    /// The stream broke: looks for a searcher that goes on with it, if one may.
    fn resume(&mut self, outcome: SendOutcome) -> bool {
        let State::Running(running) = std::mem::replace(&mut self.state, State::Ended) else { return false };
        let Running { mut attempts, destination, connection, mut send, .. } = *running;
        log::debug!("{}: answer broken off, {outcome:?}", destination.address);
        drop(connection);
        send.finish(outcome);
        let Some(splitter) = self.splitter.as_mut().filter(|_| outcome == SendOutcome::Failed) else {
            return false;
        };
        splitter.take_unfinished();
        let event = splitter.last_id().map(|id| HeaderValue::from_bytes(id));
        let Ok(event) = event.transpose() else { return false };
        if !splitter.can_join() || attempts.record_failure(&SendFailure::Broken).is_err() {
            return false;
        }
        self.joins_behind = splitter.last_id().cloned();
        attempts.resume_after(event);
        self.state = State::Resuming(Resuming(Box::pin(async move {
            let found = attempts.next_answer().await;
            (attempts, found)
        })));
        true
    }

    /// Goes on with the stream that was found; false if there is none.
    fn go_on(&mut self, attempts: RequestAttempts, found: Result<AcceptedAnswer, NoAnswer>) -> bool {
        let Ok(accepted) = found else { return false };
        if !is_event_stream(&accepted.exchange.response) {
            return false;
        }
        let (_, running) = Running::new(attempts, accepted);
        self.state = State::Running(Box::new(running));
        true
    }

    fn abort(&mut self) -> PolledFrame {
        self.state = State::Ended;
        Poll::Ready(Some(Err(AnswerAborted)))
    }
}

impl Running {
    fn new(attempts: RequestAttempts, accepted: AcceptedAnswer) -> (Response<()>, Self) {
        let AcceptedAnswer { destination, send, exchange: Exchange { response, connection } } = accepted;
        let (parts, body) = response.into_parts();
        let left = body.size_hint().exact();
        let status = parts.status;
        let running = Running { attempts, destination, body, connection, send, status, left, started: false };
        (Response::from_parts(parts, ()), running)
    }

    /// The next piece; `None` at the end of the body.
    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, SendOutcome>> {
        loop {
            let Poll::Ready(item) = self.poll_body(cx) else {
                ready!(Pin::new(self.attempts.timer()).poll(cx));
                return Poll::Ready(Err(SendOutcome::TimedOut));
            };
            match item {
                None => return Poll::Ready(Ok(None)),
                Some(Err(error)) => {
                    if is_acknowledgement_timeout(&error) {
                        self.attempts.shared().pool.close_idle_to(&self.destination.identifier);
                    }
                    return Poll::Ready(Err(SendOutcome::Failed));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.count(&data);
                        return Poll::Ready(Ok(Some(data)));
                    }
                }
            }
        }
    }

    /// Polls the body, and drives its connection where it has nothing.
    fn poll_body(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Poll::Ready(item) = Pin::new(&mut self.body).poll_frame(cx) {
            return Poll::Ready(item);
        }
        self.connection.poll_drive(cx);
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn count(&mut self, data: &Bytes) {
        if !self.started {
            self.started = true;
            self.send.first_event();
        }
        if let Some(left) = &mut self.left {
            *left -= data.len() as u64;
        }
    }

    /// The body is whole: the connection may serve another request if nothing odd follows.
    fn finish(mut self, cx: &mut Context<'_>) {
        self.send.finish(outcome_of(self.status));
        if self.connection.poll_reusable(cx) {
            self.attempts.shared().pool.checkin(&self.destination.identifier, self.connection);
        }
    }
}

/// A searcher's own failure counts against it, also where its answer is passed on.
pub(crate) fn outcome_of(status: StatusCode) -> SendOutcome {
    if status.is_server_error() { SendOutcome::Failed } else { SendOutcome::Answered }
}

/// Whether an answer is a stream whose events can be told apart.
pub(crate) fn is_event_stream(response: &Response<Incoming>) -> bool {
    let content_type = headers::single(response.headers(), &hyper::header::CONTENT_TYPE);
    let content_type = content_type.map(HeaderValue::as_bytes).unwrap_or_default();
    response.status() == StatusCode::OK && content_type.starts_with(b"text/event-stream")
}
