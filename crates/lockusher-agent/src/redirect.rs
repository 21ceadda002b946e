//! Redirects operators who call at a machine without a control node to one that has one.
//!
//! A task of the agent, spawned by [`serve::run`](crate::serve::run) where the settings name an operators' address but the
//! machine runs no control node. The answer is a temporary redirect (RFC 9110, section 15.4.8), so that the caller repeats
//! its request with method and body; an address of the control node that the agent is connected to is known to be alive.

use std::net::SocketAddrV4;
use std::rc::Rc;

use bytes::Bytes;
use compio::net::TcpListener;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, LOCATION, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use lockusher_distribution::reconnect::ControlNodePolicy;
use lockusher_distribution::subscribe::SharedSubscriber;
use lockusher_transport::http::{self, FullBody, answer};

/// The largest body that is read to its end before the answer; the connection of a caller that sends more is closed.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;
/// When to call again while no control node is known, in seconds.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("0.5");
/// The content type of all answers.
const TEXT: &str = "text/plain; charset=utf-8";

/// Answers every request by the address of the control node that this agent is connected to, for ever. Control nodes
/// serve operators at `operator_port`.
pub async fn serve(
    listener: TcpListener,
    subscriber: Rc<SharedSubscriber<ControlNodePolicy>>,
    operator_port: u16,
) {
    let handler = move |request| {
        let subscriber = Rc::clone(&subscriber);
        async move { redirect(&subscriber, operator_port, request).await }
    };
    http::serve(listener, handler).await;
}

async fn redirect(
    subscriber: &SharedSubscriber<ControlNodePolicy>,
    operator_port: u16,
    request: Request<Incoming>,
) -> Response<FullBody> {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned();
    // A connection that is closed with part of the body unread is reset, and the answer may be lost.
    discard_body(request.into_body()).await;
    let node = subscriber.update_policy(|policy| policy.connected());
    match node.and_then(|node| location(node, operator_port, &path)) {
        Some(location) => {
            let mut response = answer(StatusCode::TEMPORARY_REDIRECT, TEXT, "see Location\n");
            response.headers_mut().insert(LOCATION, location);
            response
        }
        None => {
            let mut response = answer(
                StatusCode::SERVICE_UNAVAILABLE,
                TEXT,
                "no control node is known\n",
            );
            response.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_S);
            response
        }
    }
}

fn location(node: SocketAddrV4, operator_port: u16, path: &str) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("http://{}:{operator_port}{path}", node.ip())).ok()
}

async fn discard_body(mut body: Incoming) {
    let mut discarded_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
        if discarded_bytes > MAX_DISCARDED_BYTES {
            return;
        }
    }
}
