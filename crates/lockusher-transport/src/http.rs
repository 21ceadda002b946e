//! Small HTTP/1.1 servers and clients for the control plane: the operators' API and the agent's redirect to it, the
//! platform's instance list, stage assignments to searchers. The data plane has its own implementation.
//!
//! Bodies are sent in one piece ([`FullBody`]) and are limited in size. A client uses a new connection for each
//! request; a server keeps connections open.

use std::convert::Infallible;
use std::error::Error;
use std::future::{Future, poll_fn};
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use compio::time::timeout;
use cyper_core::{CompioTimer, HyperStream};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};

use crate::error::{Operation, TransportError};
use crate::server::{
    AcceptedSocket, Acceptor, ConnectionRegistry, RequestInProgress, ServerStream, TrackedBody,
};
use crate::tcp;

/// Timeout for receiving the head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of the body of a response that [`get`] and [`exchange`] accept, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum time for requests in progress at a shutdown.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_secs(1);
/// That time is at most the grace period divided by this.
const SHUTDOWN_GRACE_DIVISOR: u32 = 4;
/// Time for the responses to requests that are cut by a shutdown.
pub const LAST_RESPONSE_TIME: Duration = Duration::from_millis(250);
/// Content type of the server's own responses.
const TEXT: &str = "text/plain; charset=utf-8";

/// A body that is sent in one piece, not streamed.
pub type FullBody = Full<Bytes>;

/// A received response with its complete body.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code of the response.
    pub status: StatusCode,
    /// Complete body of the response.
    pub body: Bytes,
}

/// Sends a GET request on a new connection and receives the response, within `time_limit` in total.
///
/// # Errors
///
/// [`TransportError::TimedOut`]; [`TransportError::Request`] if `path` isn't valid; and the errors of [`tcp::connect`]
/// and [`exchange`].
pub async fn get(
    address: SocketAddrV4,
    path: &str,
    time_limit: Duration,
) -> Result<Answer, TransportError> {
    let request = Request::builder()
        .method(Method::GET)
        .uri(path)
        .header("host", address.to_string())
        .header("connection", "close")
        .body(FullBody::default())?;
    let response = async { exchange(tcp::connect(address, time_limit).await?, request).await };
    timeout(time_limit, response)
        .await
        .map_err(|_| TransportError::TimedOut {
            operation: Operation::HttpRequest,
            address: Some(address),
        })?
}

/// Sends one request on an open connection and receives the response. The connection is closed afterwards, or when the
/// future is dropped.
///
/// # Errors
///
/// [`TransportError::Http`] if the connection fails or the response is incomplete, [`TransportError::BodyTooLong`] if
/// its body is too long, and [`TransportError::Io`] if the socket can't be registered with the runtime.
pub async fn exchange(
    stream: TcpStream,
    request: Request<FullBody>,
) -> Result<Answer, TransportError> {
    let socket = stream
        .into_poll_fd()
        .map_err(TransportError::io(Operation::SetUp))?;
    let stream = HyperStream::new_plain(socket);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream).await?;
    let driver = compio::runtime::spawn(connection);
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let body = body
        .map_err(|error| body_error(error, MAX_RESPONSE_BYTES))?
        .to_bytes();
    drop(driver);
    Ok(Answer { status, body })
}

/// How long requests in progress may take when a process shuts down that is killed after `grace`.
pub fn shutdown_time_limit(grace: Duration) -> Duration {
    MAX_SHUTDOWN_TIME.min(grace / SHUTDOWN_GRACE_DIVISOR)
}

/// A running server; its connections end when the runtime does, or by [`Server::shut_down`].
#[derive(Debug)]
pub struct Server {
    acceptor: Acceptor,
    connections: Rc<ConnectionRegistry>,
}

impl Server {
    /// Serves all connections of a listener with `handler`. A failed connection is logged and closed.
    pub fn start<H, F>(listener: TcpListener, handler: H) -> Self
    where
        H: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Response<FullBody>> + 'static,
    {
        let connections: Rc<ConnectionRegistry> = Rc::default();
        let registry = connections.clone();
        let serve = move |socket| {
            let serving = serve_connection(registry.clone(), socket, handler.clone());
            compio::runtime::spawn(serving).detach();
        };
        Server {
            acceptor: Acceptor::start(listener, async || (), serve),
            connections,
        }
    }

    /// Ends all connections between two requests, for `time_limit` at most. Requests that are still in progress by then
    /// are answered 503, which takes up to [`LAST_RESPONSE_TIME`].
    pub async fn shut_down(self, time_limit: Duration) {
        self.connections.close_all_when_idle();
        self.acceptor.finish().await;
        if timeout(time_limit, self.connections.all_ended())
            .await
            .is_ok()
        {
            return;
        }
        let left = self.connections.requests_in_progress();
        log::info!("{left} requests are in progress at the end of the shutdown");
        self.connections.cut_requests();
        let ended = timeout(LAST_RESPONSE_TIME, self.connections.all_ended());
        if ended.await.is_err() {
            log::debug!("clients are still connected at the end of the shutdown");
        }
    }
}

async fn serve_connection<H, F>(
    connections: Rc<ConnectionRegistry>,
    socket: AcceptedSocket,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<FullBody>> + 'static,
{
    if tcp::set_options(&socket).is_err() {
        return;
    }
    let registered = connections.add();
    let stream = ServerStream::new(socket, registered.share());
    let service = service_fn(|request| {
        let in_progress = RequestInProgress::begin(registered.share());
        let response = respond(connections.clone(), in_progress, handler(request));
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(CompioTimer)
        .header_read_timeout(REQUEST_HEAD_TIMEOUT);
    let mut connection = pin!(builder.serve_connection(stream, service));
    let result = poll_fn(|cx| {
        registered.set_waker(cx.waker());
        connection.as_mut().poll(cx)
    })
    .await;
    if let Err(error) = result {
        log::debug!("HTTP connection failed: {error}");
    }
}

/// The handler's response, or 503 if the request is cut before.
async fn respond(
    connections: Rc<ConnectionRegistry>,
    in_progress: RequestInProgress,
    response: impl Future<Output = Response<FullBody>>,
) -> Response<TrackedBody<FullBody>> {
    let response = connections.unless_cut(response).await;
    let mut response = response
        .unwrap_or_else(|| answer(StatusCode::SERVICE_UNAVAILABLE, TEXT, "shutting down\n"));
    if connections.is_closing() {
        let close = hyper::header::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(hyper::header::CONNECTION, close);
    }
    in_progress.respond(response)
}

/// Reads the body of a request, of at most `max_bytes`.
///
/// # Errors
///
/// [`TransportError::BodyTooLong`] if it is longer; [`TransportError::Http`] or [`TransportError::Closed`] if the
/// connection fails before the end of the body.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, TransportError> {
    let collected = Limited::new(body, max_bytes).collect().await;
    let collected = collected.map_err(|error| body_error(error, max_bytes))?;
    Ok(collected.to_bytes())
}

/// Converts the error of reading a size-limited body.
fn body_error(error: Box<dyn Error + Send + Sync>, max_bytes: usize) -> TransportError {
    if error.is::<LengthLimitError>() {
        return TransportError::BodyTooLong { max_bytes };
    }
    match error.downcast::<hyper::Error>() {
        Ok(error) => TransportError::Http(*error),
        Err(_) => TransportError::Closed,
    }
}

/// Creates a response with this status, content type and body.
pub fn answer(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<FullBody> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let value = hyper::header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    response
}
