//! Whether the head of a searcher's answer may reach the client as it is.
//!
//! Source: the operators' pages (PROTOCOL, "Answers"): a 2xx counts only with the searcher's signature, and 429, 503 and 408
//! promise that the request has not run.

use hyper::body::{Body, Incoming};
use hyper::{Response, StatusCode, header};

use crate::headers;

/// Whether an answer without `Not-Executed` may reach the client as it is.
pub(crate) fn may_be_forwarded(response: &Response<Incoming>) -> bool {
    let status = response.status();
    if status.is_success() && !response.headers().contains_key(headers::SERVER_SIGNATURE) {
        return false;
    }
    // These promise that the request has not run, which only `Not-Executed` proves.
    let promises_not_run = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
    );
    !promises_not_run && has_visible_end(response)
}

/// Whether the end of the body can be distinguished from a connection that broke.
fn has_visible_end(response: &Response<Incoming>) -> bool {
    let chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
    chunked || response.body().size_hint().exact().is_some()
}
