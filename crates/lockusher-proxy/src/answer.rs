//! Answers to clients: the proxy's own, and those relayed from searchers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

use crate::relay::{AnswerAborted, Relay};
use crate::request::RequestError;

/// When to come back after the proxy itself has no room or is not set up yet, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 250;

/// The body of an answer to a client.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// Held whole.
    Whole(Bytes),
    /// Passed on piece by piece as a searcher sends it.
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
            AnswerBody::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            AnswerBody::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            AnswerBody::Relay(relay) => relay.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.is_empty(),
            AnswerBody::Relay(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            AnswerBody::Relay(relay) => relay.size_hint(),
        }
    }
}

/// An answer to a client.
pub(crate) type Answer = Response<AnswerBody>;

/// An answer of the proxy's own.
pub(crate) fn own(status: StatusCode) -> Answer {
    let mut answer = Response::new(AnswerBody::Whole(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// 503: the request has not run and never will; come back after a while.
pub(crate) fn refusal(retry_after_ms: u64) -> Answer {
    let mut answer = own(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
    let value = HeaderValue::try_from(seconds).expect("digits and a dot make a field value");
    answer.headers_mut().insert(header::RETRY_AFTER, value);
    answer
}

/// 503 where nothing tells when there will be room.
pub(crate) fn refusal_without_estimate() -> Answer {
    refusal(DEFAULT_RETRY_MS)
}

/// The answer to a request that cannot be forwarded.
pub(crate) fn rejection(error: RequestError) -> Answer {
    match error {
        RequestError::BadHost | RequestError::MissingIdentifier | RequestError::BadTarget => {
            own(StatusCode::BAD_REQUEST)
        }
        RequestError::BodyBroken => closing(own(StatusCode::BAD_REQUEST)),
        RequestError::BodyTooLarge => closing(own(StatusCode::PAYLOAD_TOO_LARGE)),
        RequestError::BodyTooSlow => closing(own(StatusCode::REQUEST_TIMEOUT)),
        RequestError::MemoryFull => closing(refusal_without_estimate()),
    }
}

/// The same answer, after which the client's connection is closed.
pub(crate) fn closing(mut answer: Answer) -> Answer {
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    answer
}
