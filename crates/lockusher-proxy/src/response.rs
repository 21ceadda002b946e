//! Responses to clients: the proxy's own, and those forwarded from searchers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

use crate::relay::{Relay, ResponseAborted};
use crate::request::RequestError;

/// `Retry-After` if the proxy has no memory for the body or no configuration yet.
const DEFAULT_RETRY_MS: u64 = 250;

/// The body of a response to a client.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// Buffered completely.
    Buffered(Bytes),
    /// Forwarded chunk by chunk as it arrives from a searcher.
    Relay(Box<Relay>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match self.get_mut() {
            ResponseBody::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            ResponseBody::Buffered(bytes) => {
                Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes)))))
            }
            ResponseBody::Relay(relay) => relay.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(bytes) => bytes.is_empty(),
            ResponseBody::Relay(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            ResponseBody::Relay(relay) => relay.size_hint(),
        }
    }
}

/// A response to a client.
pub(crate) type ClientResponse = Response<ResponseBody>;

/// A response of the proxy itself, with an empty body.
pub(crate) fn local(status: StatusCode) -> ClientResponse {
    let mut response = Response::new(ResponseBody::Buffered(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// 503 with `Retry-After`: the request has not run and will not run.
pub(crate) fn refusal(retry_after_ms: u64) -> ClientResponse {
    let mut response = local(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
    let value = HeaderValue::try_from(seconds).expect("digits and a dot are a valid header value");
    response.headers_mut().insert(header::RETRY_AFTER, value);
    response
}

/// 503 with the default `Retry-After`, if it is unknown when there will be capacity.
pub(crate) fn refusal_without_estimate() -> ClientResponse {
    refusal(DEFAULT_RETRY_MS)
}

/// The response to a request that can't be forwarded.
pub(crate) fn rejection(error: RequestError) -> ClientResponse {
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

/// The response with `Connection: close`, so that the client's connection is closed after it.
pub(crate) fn closing(mut response: ClientResponse) -> ClientResponse {
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
