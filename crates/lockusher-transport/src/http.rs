//! Small HTTP/1.1 servers and clients for the control plane: the operators' API and the agent's redirect to it, the
//! platform's instance list, stage assignments to searchers. The data plane has its own implementation.
//!
//! Bodies are sent in one piece ([`FullBody`]) and are limited in size. A client uses a new connection for each
//! request; a server keeps connections open.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddrV4;
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
use crate::tcp;

/// Timeout for receiving the head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of the body of a response that [`get`] and [`exchange`] accept, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Delay after a failed accept, to avoid a busy loop when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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

/// Serves all connections of a listener with `handler`; never returns. A failed connection is logged and closed.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<FullBody>> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                compio::runtime::spawn(serve_connection(stream, handler.clone())).detach();
            }
            Err(error) => {
                log::warn!("accept: {error}");
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<FullBody>> + 'static,
{
    if tcp::set_options(&stream).is_err() {
        return;
    }
    let Ok(stream) = stream.into_poll_fd() else {
        return;
    };
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let result = hyper::server::conn::http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(REQUEST_HEAD_TIMEOUT)
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
    if let Err(error) = result {
        log::debug!("HTTP connection failed: {error}");
    }
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
