//! One HTTP/1.1 connection to a searcher. It is driven by whoever uses it, without a task of its own, so that
//! dropping it closes the socket at once.

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

/// A machine that is there answers an opening packet within this; one that is dead says nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The kernel gives a connection up when sent bytes stay unacknowledged for this long.
const USER_TIMEOUT: Duration = Duration::from_secs(1);

/// A silent connection is probed after this time, and so often: a dead machine ends no connection by itself.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(1);

/// How long a connection may be idle where the searcher advertises no time: its buffers cost memory, a new one a handshake.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(12);

type Io = HyperStream<PollFd<Socket>>;

/// Why a request got no answer on a connection.
#[derive(Debug, Display, Error)]
pub(crate) enum ExchangeError {
    /// Not a byte of the request was written.
    #[display("closed before the request was written")]
    NotWritten,
    /// The request may have reached the searcher.
    #[display("no answer: {_0}")]
    Broken(#[error(ignore)] hyper::Error),
}

/// A connection that holds one request at a time.
pub(crate) struct UpstreamConnection {
    sender: SendRequest<Full<Bytes>>,
    connection: Connection<Io, Full<Bytes>>,
    /// The connection has ended; it must not be polled again.
    ended: bool,
    /// The searcher announced that it closes the connection after the answer.
    closes_after_answer: bool,
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
    /// Dials a searcher. An error proves that nothing was sent.
    pub(crate) async fn open(address: SocketAddrV4, permit: ConnectionPermit) -> io::Result<Self> {
        let dial = compio::time::timeout(CONNECT_TIMEOUT, dial(address));
        let stream = dial
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let handshake = Builder::new().handshake(HyperStream::new_plain(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        Ok(UpstreamConnection {
            sender,
            connection,
            ended: false,
            closes_after_answer: false,
            idle_limit: DEFAULT_IDLE_LIMIT,
            idle_since: Instant::now(),
            _permit: permit,
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let mut answer = pin!(self.sender.try_send_request(request));
        let result = poll_fn(|cx| {
            if let Poll::Ready(result) = answer.as_mut().poll(cx) {
                return Poll::Ready(result);
            }
            self.ended |= drive(&mut self.connection, self.ended, cx);
            answer.as_mut().poll(cx)
        })
        .await;
        let response = result.map_err(|mut error| match error.take_message() {
            Some(_) => ExchangeError::NotWritten,
            None => ExchangeError::Broken(error.into_error()),
        })?;
        self.apply_connection_fields(response.headers());
        Ok(response)
    }

    /// Takes what the answer's head says of the connection.
    fn apply_connection_fields(&mut self, answer: &HeaderMap) {
        if headers::says_close(answer) {
            self.closes_after_answer = true;
        }
        if let Some(seconds) = headers::keep_alive_seconds(answer) {
            self.idle_limit = idle_limit_for(Duration::from_secs(seconds));
        }
    }

    /// Lets the connection read and write; true if it has ended.
    pub(crate) fn poll_drive(&mut self, cx: &mut Context<'_>) -> bool {
        self.ended |= drive(&mut self.connection, self.ended, cx);
        self.ended
    }

    /// Whether another request may be sent: the last answer was complete, nothing followed it, neither side closed.
    pub(crate) fn poll_reusable(&mut self, cx: &mut Context<'_>) -> bool {
        !self.closes_after_answer && !self.poll_drive(cx) && self.sender.is_ready()
    }

    /// Waits for something that the connection brings, such as the rest of a body.
    pub(crate) async fn drive_while<F: Future>(&mut self, awaited: F) -> F::Output {
        let mut awaited = pin!(awaited);
        poll_fn(|cx| {
            if let Poll::Ready(output) = awaited.as_mut().poll(cx) {
                return Poll::Ready(output);
            }
            self.poll_drive(cx);
            awaited.as_mut().poll(cx)
        })
        .await
    }

    /// See [`Self::poll_reusable`].
    pub(crate) async fn is_reusable(&mut self) -> bool {
        poll_fn(|cx| Poll::Ready(self.poll_reusable(cx))).await
    }

    /// Starts the time for which the connection is idle.
    pub(crate) fn mark_idle(&mut self, now: Instant) {
        self.idle_since = now;
    }

    /// Whether it has been idle for so long that the searcher may soon close it.
    pub(crate) fn is_idle_for_too_long(&self, now: Instant) -> bool {
        now.duration_since(self.idle_since) >= self.idle_limit
    }
}

/// Well before the time at which the searcher closes an idle connection.
fn idle_limit_for(advertised: Duration) -> Duration {
    let early = advertised.saturating_sub(Duration::from_millis(1_500));
    early.max(advertised / 3).min(DEFAULT_IDLE_LIMIT)
}

/// Polls a connection that has not ended; true if it has ended by now.
fn drive(connection: &mut Connection<Io, Full<Bytes>>, ended: bool, cx: &mut Context<'_>) -> bool {
    if ended {
        return true;
    }
    match Pin::new(connection).poll(cx) {
        Poll::Pending => false,
        Poll::Ready(Ok(())) => true,
        Poll::Ready(Err(error)) => {
            log::debug!("connection to a searcher ended: {error}");
            true
        }
    }
}

async fn dial(address: SocketAddrV4) -> io::Result<PollFd<Socket>> {
    let socket = Socket::new(
        Domain::IPV4,
        Type::STREAM.nonblocking(),
        Some(Protocol::TCP),
    )?;
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_PERIOD)
        .with_interval(KEEP_ALIVE_PERIOD);
    socket.set_tcp_keepalive(&probes.with_retries(1))?;
    let stream = PollFd::new(socket)?;
    stream.connect(&SockAddr::from(address)).await?;
    Ok(stream)
}

/// Permit for one of the connections that a searcher may have from this proxy; given back when dropped.
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
