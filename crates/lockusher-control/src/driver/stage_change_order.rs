//! The order to change a searcher's stage, as an HTTP request, and the meaning of the searcher's answer.
//!
//! Called by the stage assignment; no I/O. The wire is the platform's: `POST /api/order`.

use std::net::SocketAddrV4;

use hyper::{Method, Request, StatusCode};
use lockusher_config::instances::Stage;
use lockusher_transport::error::TransportError;
use lockusher_transport::http::FullBody;
use serde_json::json;

use crate::stage_scheduler::{OrderOutcome, StageChange};

const ORDER_PATH: &str = "/api/order";

/// The request that orders a change.
///
/// `holder` names the node that sends it, `fencing_token` rises from one head to the next: a searcher rejects an order
/// with a lower one than it has seen.
///
/// # Errors
///
/// [`TransportError::Request`] if the searcher's identifier can't stand in a header.
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

/// What the status of a searcher's answer means.
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
