//! One HTTP/1.1 connection to a searcher. It has no task of its own but is polled by its user, so that dropping it closes
//! the socket at once.

use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddrV4;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::runtime::fd::PollFd;
use cyper_core::HyperStream;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::{HeaderMap, Request, Response};
use socket2::{Domain, Protocol, SockAddr, Socket, TcpKeepalive, Type};

use crate::descriptors::DescriptorPermit;
use crate::headers;

/// Timeout for connecting. A live machine acknowledges a SYN within this time, a dead one never does.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The kernel closes a connection whose sent bytes stay unacknowledged for this time (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time before the first TCP keep-alive probe, and interval between probes: a dead machine doesn't close its
/// connections.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Idle timeout of a pooled connection if the searcher advertises none. An idle connection takes memory for its buffers,
/// a new one costs a handshake.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(12);

type Io = HyperStream<PollFd<Socket>>;

/// Why a request received no response on a connection.
#[derive(Debug, Display, Error)]
pub(crate) enum ExchangeError {
    /// No byte of the request was written.
    #[display("connection closed before the request was written")]
    NotWritten,
    /// The request may have reached the searcher.
    #[display("no response: {_0}")]
    Broken(#[error(ignore)] hyper::Error),
}

/// A connection that carries one request at a time.
pub(crate) struct UpstreamConnection {
    sender: SendRequest<Full<Bytes>>,
    connection: Connection<Io, Full<Bytes>>,
    /// The connection has ended; it must not be polled again.
    ended: bool,
    /// The searcher sent `Connection: close` with the response.
    closes_after_response: bool,
    idle_limit: Duration,
    idle_since: Instant,
    _permit: ConnectionPermit,
}

impl std::fmt::Debug for UpstreamConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("UpstreamConnection")
            .field("ended", &self.ended)
            .finish_non_exhaustive()
    }
}

impl UpstreamConnection {
    /// Connects to a searcher. An error proves that no request was sent.
    pub(crate) async fn open(address: SocketAddrV4, permit: ConnectionPermit) -> io::Result<Self> {
        let connecting = compio::time::timeout(CONNECT_TIMEOUT, connect(address));
        let stream = connecting
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let handshake = Builder::new().handshake(HyperStream::new_plain(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        Ok(UpstreamConnection {
            sender,
            connection,
            ended: false,
            closes_after_response: false,
            idle_limit: DEFAULT_IDLE_LIMIT,
            idle_since: Instant::now(),
            _permit: permit,
        })
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let mut pending = pin!(self.sender.try_send_request(request));
        let result = poll_fn(|cx| {
            if let Poll::Ready(result) = pending.as_mut().poll(cx) {
                return Poll::Ready(result);
            }
            self.ended |= poll_connection(&mut self.connection, self.ended, cx);
            pending.as_mut().poll(cx)
        })
        .await;
        let response = result.map_err(|mut error| match error.take_message() {
            Some(_) => ExchangeError::NotWritten,
            None => ExchangeError::Broken(error.into_error()),
        })?;
        self.apply_connection_fields(response.headers());
        Ok(response)
    }

    /// Applies the header fields of a response that concern the connection.
    fn apply_connection_fields(&mut self, response: &HeaderMap) {
        if headers::has_close_option(response) {
            self.closes_after_response = true;
        }
        if let Some(seconds) = headers::keep_alive_seconds(response) {
            self.idle_limit = idle_limit_for(Duration::from_secs(seconds));
        }
    }

    /// Polls the connection, so that it reads and writes; true if it has ended.
    pub(crate) fn poll_drive(&mut self, cx: &mut Context<'_>) -> bool {
        self.ended |= poll_connection(&mut self.connection, self.ended, cx);
        self.ended
    }

    /// Whether another request may be sent: the last response was complete, no bytes followed it, and neither side closed.
    pub(crate) fn poll_reusable(&mut self, cx: &mut Context<'_>) -> bool {
        !self.closes_after_response && !self.poll_drive(cx) && self.sender.is_ready()
    }

    /// Waits for a future that depends on the connection, such as the rest of a body, while polling the connection.
    pub(crate) async fn drive_while<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(output);
            }
            self.poll_drive(cx);
            future.as_mut().poll(cx)
        })
        .await
    }

    /// See [`Self::poll_reusable`].
    pub(crate) async fn is_reusable(&mut self) -> bool {
        poll_fn(|cx| Poll::Ready(self.poll_reusable(cx))).await
    }

    /// Records the start of the connection's idle time.
    pub(crate) fn mark_idle(&mut self, now: Instant) {
        self.idle_since = now;
    }

    /// Whether the connection has been idle for so long that the searcher may soon close it.
    pub(crate) fn is_idle_expired(&self, now: Instant) -> bool {
        now.duration_since(self.idle_since) >= self.idle_limit
    }
}

/// The idle limit for an advertised timeout: 1.5 s less, but at least a third of it, so that no request is sent on a
/// connection that the searcher is about to close.
fn idle_limit_for(advertised: Duration) -> Duration {
    let reduced = advertised.saturating_sub(Duration::from_millis(1_500));
    reduced.max(advertised / 3).min(DEFAULT_IDLE_LIMIT)
}

/// Polls a connection unless it has ended; true if it has ended.
fn poll_connection(
    connection: &mut Connection<Io, Full<Bytes>>,
    ended: bool,
    cx: &mut Context<'_>,
) -> bool {
    if ended {
        return true;
    }
    match Pin::new(connection).poll(cx) {
        Poll::Pending => false,
        Poll::Ready(Ok(())) => true,
        Poll::Ready(Err(error)) => {
            log::debug!("searcher connection ended: {error}");
            true
        }
    }
}

/// Opens a non-blocking TCP connection with the timeouts and keep-alive probes above.
async fn connect(address: SocketAddrV4) -> io::Result<PollFd<Socket>> {
    let socket = Socket::new(
        Domain::IPV4,
        Type::STREAM.nonblocking(),
        Some(Protocol::TCP),
    )?;
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_retries(1))?;
    let stream = PollFd::new(socket)?;
    stream.connect(&SockAddr::from(address)).await?;
    Ok(stream)
}

/// A permit for one of the connections that this proxy may have to a searcher; released when dropped.
#[derive(Debug)]
pub(crate) struct ConnectionPermit {
    open: Rc<Cell<u32>>,
    _descriptor: DescriptorPermit,
}

impl ConnectionPermit {
    pub(crate) fn new(open: Rc<Cell<u32>>, descriptor: DescriptorPermit) -> Self {
        open.set(open.get() + 1);
        ConnectionPermit {
            open,
            _descriptor: descriptor,
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
