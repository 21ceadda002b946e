//! Checks whether a searcher's response may be forwarded to the client.
//!
//! The protocol documentation (PROTOCOL, "Answers") defines that a 2xx is valid only with the searcher's signature, and that
//! 429, 503 and 408 guarantee that the request has not run.

use hyper::body::{Body, Incoming};
use hyper::{Response, StatusCode, header};

use crate::headers;

/// Whether a response without `Not-Executed` may be forwarded to the client unchanged.
pub(crate) fn may_be_forwarded(response: &Response<Incoming>) -> bool {
    let status = response.status();
    if status.is_success() && !response.headers().contains_key(headers::SERVER_SIGNATURE) {
        return false;
    }
    // These statuses guarantee to the client that the request has not run, which only `Not-Executed` proves.
    let guarantees_not_run = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
    );
    !guarantees_not_run && has_explicit_end(response)
}

/// Whether the end of the body can be distinguished from a broken connection.
fn has_explicit_end(response: &Response<Incoming>) -> bool {
    let chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
    chunked || response.body().size_hint().exact().is_some()
}
