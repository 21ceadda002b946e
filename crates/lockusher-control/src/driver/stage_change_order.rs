//! The HTTP request that orders a searcher to change its stage, and the interpretation of the response.
//!
//! Called by the stage assignment; no I/O. The platform defines the protocol: `POST /api/order`.

use std::net::SocketAddrV4;

use hyper::{Method, Request, StatusCode};
use lockusher_config::instances::Stage;
use lockusher_transport::error::TransportError;
use lockusher_transport::http::FullBody;
use serde_json::json;

use crate::stage_scheduler::{OrderOutcome, StageChange};

const ORDER_PATH: &str = "/api/order";

/// Builds the request that orders a change.
///
/// `holder` is the name of the sending node. `fencing_token` increases from one head to the next; a searcher rejects an
/// order with a lower one than the highest that it has seen.
///
/// # Errors
///
/// [`TransportError::Request`] if the searcher's identifier isn't a valid header value.
pub fn stage_change_request(
    address: SocketAddrV4,
    change: &StageChange,
    holder: &str,
    fencing_token: u64,
) -> Result<Request<FullBody>, TransportError> {
    let stage = match change.to {
        Stage::Prefill => "prefill",
        Stage::Decode => "decode",
    };
    let body =
        json!({"operation": "stage", "stage": stage, "holder": holder, "fence": fencing_token})
            .to_string();
    let request = Request::builder()
        .method(Method::POST)
        .uri(ORDER_PATH)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .header("expected-instance", &change.identifier)
        .header("connection", "close")
        .body(FullBody::from(body))?;
    Ok(request)
}

/// The outcome that the status of a searcher's response stands for.
pub fn order_outcome(status: StatusCode) -> OrderOutcome {
    match status {
        StatusCode::OK | StatusCode::ACCEPTED => OrderOutcome::Accepted,
        StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED => {
            OrderOutcome::Unsupported
        }
        StatusCode::CONFLICT
        | StatusCode::PRECONDITION_FAILED
        | StatusCode::MISDIRECTED_REQUEST => OrderOutcome::Rejected,
        _ => OrderOutcome::Unknown,
    }
}
