//! A client's socket that records when bytes of a request's head arrive.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use compio::runtime::fd::PollFd;
use cyper_core::HyperStream;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::Socket;

use super::registry::ClientState;

/// The byte stream of a client connection.
pub(super) struct ClientStream {
    inner: HyperStream<PollFd<Socket>>,
    state: Rc<ClientState>,
}

impl ClientStream {
    pub(super) fn new(socket: PollFd<Socket>, state: Rc<ClientState>) -> Self {
        ClientStream {
            inner: HyperStream::new_plain(socket),
            state,
        }
    }
}

impl Read for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = ready!(Pin::new(&mut self.inner).poll_read(cx, buffer));
        // This also records the end of the stream as a read, which is harmless because the connection is about to close.
        self.state.record_read();
        Poll::Ready(read)
    }
}

impl Write for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, buffers)
    }
}
