//! Small HTTP/1.1 servers and clients for the fleet's own interfaces; the data plane has its own.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use compio::time::timeout;
use cyper_core::{CompioTimer, HyperStream};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};

use crate::error::TransportError;
use crate::tcp;

/// How long a caller may take to send a request's head.
const HEADER_LIMIT: Duration = Duration::from_secs(5);
/// The largest answer that [`get`] takes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Pause after a failed accept, so that a lack of descriptors doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A body that is there at once.
pub type FullBody = Full<Bytes>;

/// An answer read whole.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub body: Bytes,
}

/// One request on a connection of its own, answered within `limit`.
pub async fn get(address: SocketAddrV4, path: &str, limit: Duration) -> Result<Answer, TransportError> {
    let request = Request::builder()
        .method(Method::GET)
        .uri(path)
        .header("host", address.to_string())
        .header("connection", "close")
        .body(FullBody::default())?;
    timeout(limit, send(address, request, limit)).await.map_err(|_| TransportError::TimedOut)?
}

async fn send(
    address: SocketAddrV4,
    request: Request<FullBody>,
    limit: Duration,
) -> Result<Answer, TransportError> {
    exchange(tcp::connect(address, limit).await?, request).await
}

/// One request on a connection that is there; the connection ends with the answer, or when the future is dropped.
pub async fn exchange(stream: TcpStream, request: Request<FullBody>) -> Result<Answer, TransportError> {
    let stream = HyperStream::new_plain(stream.into_poll_fd()?);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream).await?;
    let driver = compio::runtime::spawn(connection);
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|_| TransportError::BodyTooLong(MAX_ANSWER_BYTES))?.to_bytes();
    drop(driver);
    Ok(Answer { status, body })
}

/// Serves every connection of a listener with `handler`, for ever.
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
                compio::time::sleep(ACCEPT_PAUSE).await;
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
    let Ok(stream) = stream.into_poll_fd() else { return };
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(HEADER_LIMIT)
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("connection: {error}");
    }
}

/// A request's body, if it is no longer than `limit` bytes.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, TransportError> {
    let read = Limited::new(body, limit).collect().await;
    Ok(read.map_err(|_| TransportError::BodyTooLong(limit))?.to_bytes())
}

/// An answer with a text.
pub fn answer(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Response<FullBody> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let value = hyper::header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    response
}
