//! The byte stream of a server connection as the HTTP library uses it.

use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use compio::runtime::fd::PollFd;
use compio::time::Sleep;
use cyper_core::HyperStream;
use futures_util::AsyncRead;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::Socket;

use super::state::ConnectionState;

/// How long incoming bytes are discarded after the write side is shut down. Closing a socket with unread bytes resets the
/// connection, and the client may lose the end of the last response.
const LINGER: Duration = Duration::from_millis(500);

/// Maximum number of reads per poll while lingering, so that a client that sends without end doesn't starve others.
const MAX_LINGER_READS: usize = 16;

/// Size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 4_096;

/// The byte stream of a server connection. It reports what arrives and what is written to the connection's state, and
/// ends the input when the connection is to be closed.
pub struct ServerStream {
    inner: HyperStream<PollFd<Socket>>,
    state: Rc<ConnectionState>,
    /// Runs once the write side is shut down.
    linger: Option<Sleep>,
}

impl std::fmt::Debug for ServerStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ServerStream")
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

impl ServerStream {
    /// Wraps an accepted connection.
    pub fn new(socket: PollFd<Socket>, state: Rc<ConnectionState>) -> Self {
        ServerStream {
            inner: HyperStream::new_plain(socket),
            state,
            linger: None,
        }
    }

    /// Reads available bytes; returns their number, 0 at the end of the stream.
    fn poll_receive(&mut self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        AsyncRead::poll_read(Pin::new(&mut self.inner), cx, buffer)
    }

    /// Discards incoming bytes until the client closes its side.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut discarded = [0; DISCARD_BUFFER_BYTES];
        for _ in 0..MAX_LINGER_READS {
            match ready!(self.poll_receive(cx, &mut discarded)) {
                Ok(0) | Err(_) => return Poll::Ready(()),
                Ok(_) => {}
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl Read for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let received = match self.poll_receive(cx, buffer.initialize_unfilled()) {
            Poll::Ready(received) => received?,
            // The socket was read before: all that has arrived has been processed.
            Poll::Pending if self.state.is_input_ended_by_server() => return Poll::Ready(Ok(())),
            Poll::Pending => return Poll::Pending,
        };
        if received == 0 {
            self.state.record_end_of_input();
        } else {
            self.state.record_read();
        }
        // SAFETY: the bytes are initialized, and no more were received than fit.
        unsafe { buffer.advance(received) };
        Poll::Ready(Ok(()))
    }
}

impl Write for ServerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.state.record_write();
        Write::poll_write(Pin::new(&mut self.inner), cx, bytes)
    }

    /// The HTTP library calls this once it has written its own buffer.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Write::poll_flush(Pin::new(&mut self.inner), cx))?;
        self.state.record_flush();
        Poll::Ready(Ok(()))
    }

    /// Shuts down the write side; then discards input for a limited time if a response may be in transit.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Write::poll_shutdown(Pin::new(&mut self.inner), cx))?;
            if !self.state.has_response_in_transit() {
                return Poll::Ready(Ok(()));
            }
            self.state.begin_lingering();
            self.linger = Some(compio::time::sleep(LINGER));
        }
        if let Some(linger) = &mut self.linger
            && Pin::new(linger).poll(cx).is_ready()
        {
            return Poll::Ready(Ok(()));
        }
        self.poll_discard(cx).map(Ok)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.state.record_write();
        Write::poll_write_vectored(Pin::new(&mut self.inner), cx, buffers)
    }
}
