//! Answers to clients: the proxy's own, and those relayed from searchers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

use crate::relay::{AnswerAborted, Relay};
use crate::request::RequestError;

/// When to come back after the proxy itself has no capacity or is not set up yet, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 250;

/// The body of an answer to a client.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// Buffered completely.
    Buffered(Bytes),
    /// Forwarded chunk by chunk as a searcher sends it.
    Relay(Box<Relay>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        match self.get_mut() {
            AnswerBody::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            AnswerBody::Buffered(bytes) => {
                Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes)))))
            }
            AnswerBody::Relay(relay) => relay.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Buffered(bytes) => bytes.is_empty(),
            AnswerBody::Relay(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            AnswerBody::Relay(relay) => relay.size_hint(),
        }
    }
}

/// An answer to a client.
pub(crate) type Answer = Response<AnswerBody>;

/// An answer that the proxy itself gives.
pub(crate) fn local(status: StatusCode) -> Answer {
    let mut answer = Response::new(AnswerBody::Buffered(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// 503: the request has not run and never will; come back after a while.
pub(crate) fn refusal(retry_after_ms: u64) -> Answer {
    let mut answer = local(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
    let value = HeaderValue::try_from(seconds).expect("digits and a dot make a field value");
    answer.headers_mut().insert(header::RETRY_AFTER, value);
    answer
}

/// 503 where it is unknown when there will be capacity.
pub(crate) fn refusal_without_estimate() -> Answer {
    refusal(DEFAULT_RETRY_MS)
}

/// The answer to a request that cannot be forwarded.
pub(crate) fn rejection(error: RequestError) -> Answer {
    match error {
        RequestError::BadHost | RequestError::MissingIdentifier | RequestError::BadTarget => {
            local(StatusCode::BAD_REQUEST)
        }
        RequestError::BodyBroken => closing(local(StatusCode::BAD_REQUEST)),
        RequestError::BodyTooLarge => closing(local(StatusCode::PAYLOAD_TOO_LARGE)),
        RequestError::BodyTooSlow => closing(local(StatusCode::REQUEST_TIMEOUT)),
        RequestError::MemoryFull => closing(refusal_without_estimate()),
    }
}

/// The same answer, after which the client's connection is closed.
pub(crate) fn closing(mut answer: Answer) -> Answer {
    answer
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
    answer
}
