//! Redirects operators' requests from a machine without a control node to a control node.
//!
//! A task of the agent, spawned by [`serve::run`](crate::serve::run) if the settings contain an address for operators
//! but the machine runs no control node. The response is a temporary redirect (RFC 9110, section 15.4.8), so that the
//! client repeats its request with the same method and body. Its target is the control node that the agent is connected
//! to, which is known to be alive.

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

/// Maximum size of a request body that is read completely before the response; with a larger one the connection is
/// closed.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;
/// Value of the `Retry-After` header while no control node is known, in seconds.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("0.5");
/// The content type of all responses.
const TEXT_CONTENT_TYPE: &str = "text/plain; charset=utf-8";

/// Redirects every request to the control node that this agent is connected to. Control nodes serve operators at
/// `operator_port`.
pub fn start(
    listener: TcpListener,
    subscriber: Rc<SharedSubscriber<ControlNodePolicy>>,
    operator_port: u16,
) -> http::Server {
    let handler = move |request| {
        let subscriber = Rc::clone(&subscriber);
        async move { redirect(&subscriber, operator_port, request).await }
    };
    http::Server::start(listener, handler)
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
    // Closing a connection with part of the body unread resets it, and the response may be lost.
    discard_body(request.into_body()).await;
    let node = subscriber.update_policy(|policy| policy.connected_control_node());
    match node.and_then(|node| location(node, operator_port, &path)) {
        Some(location) => {
            let mut response = answer(
                StatusCode::TEMPORARY_REDIRECT,
                TEXT_CONTENT_TYPE,
                "see Location\n",
            );
            response.headers_mut().insert(LOCATION, location);
            response
        }
        None => {
            let mut response = answer(
                StatusCode::SERVICE_UNAVAILABLE,
                TEXT_CONTENT_TYPE,
                "no control node is known\n",
            );
            response.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_S);
            response
        }
    }
}

/// The `Location` header for a request of `path` at a control node.
fn location(node: SocketAddrV4, operator_port: u16, path: &str) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("http://{}:{operator_port}{path}", node.ip())).ok()
}

/// Reads and drops the body, up to [`MAX_DISCARDED_BYTES`].
async fn discard_body(mut body: Incoming) {
    let mut discarded_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
        if discarded_bytes > MAX_DISCARDED_BYTES {
            return;
        }
    }
}
