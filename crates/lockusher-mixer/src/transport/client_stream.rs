//! A client's connection as the server reads and writes it: it knows whether a request is in hand, so that it
//! can be closed between two.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What is known of one connection.
pub struct Usage {
    /// When the first byte of a request came that has no answer yet.
    began: Cell<Option<Instant>>,
    /// Bytes of an answer wait for the client to read.
    unwritten: Cell<bool>,
    /// It has had an answer.
    served: Cell<bool>,
    used: Cell<Instant>,
    closing: Cell<Closing>,
    reader: RefCell<Option<Waker>>,
}

#[derive(Clone, Copy, PartialEq)]
enum Closing {
    No,
    WhenUnused,
    Now,
}

impl Usage {
    fn new() -> Self {
        Usage {
            began: Cell::new(None),
            unwritten: Cell::new(false),
            served: Cell::new(false),
            used: Cell::new(Instant::now()),
            closing: Cell::new(Closing::No),
            reader: RefCell::default(),
        }
    }

    /// A request has its answer.
    pub fn answered(&self) {
        self.began.set(None);
        self.served.set(true);
        self.used.set(Instant::now());
    }

    fn unused(&self) -> bool {
        self.began.get().is_none() && !self.unwritten.get()
    }

    fn close(&self, how: Closing) {
        self.closing.set(how);
        if let Some(reader) = self.reader.borrow_mut().take() {
            reader.wake();
        }
    }
}

pub struct ClientStream {
    stream: TcpStream,
    pub usage: Rc<Usage>,
}

impl ClientStream {
    pub fn new(stream: TcpStream) -> Self {
        ClientStream { stream, usage: Rc::new(Usage::new()) }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let usage = &self.usage;
        // What has come is read even when closing: a request that was sent gets its answer.
        if read.is_pending() {
            match usage.closing.get() {
                Closing::Now => return Poll::Ready(Ok(())),
                Closing::WhenUnused if usage.unused() => return Poll::Ready(Ok(())),
                _ => *usage.reader.borrow_mut() = Some(cx.waker().clone()),
            }
        } else if buf.filled().len() > before && usage.began.get().is_none() {
            usage.began.set(Some(Instant::now()));
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.usage.unwritten.set(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// All connections of clients that are open.
#[derive(Default)]
pub struct Connections {
    open: RefCell<BTreeMap<u64, Rc<Usage>>>,
    next: Cell<u64>,
}

impl Connections {
    pub fn add(&self, usage: Rc<Usage>) -> u64 {
        let number = self.next.replace(self.next.get() + 1);
        self.open.borrow_mut().insert(number, usage);
        number
    }

    pub fn remove(&self, number: u64) {
        self.open.borrow_mut().remove(&number);
    }

    /// Closes each connection as soon as it is between two requests.
    pub fn close_unused(&self) {
        for usage in self.open.borrow().values() {
            usage.close(Closing::WhenUnused);
        }
    }

    /// Makes room for another: closes one between two requests, first those that never had an answer, of
    /// these the longest unused; or one stuck in a request for longer than any client waits.
    pub fn make_room(&self, longest: Duration) {
        let open = self.open.borrow();
        let closable = open.values().filter(|usage| {
            let stuck = usage.began.get().unwrap_or(usage.used.get()).elapsed() > longest;
            // One that has not been read yet may hold a request.
            let waits = usage.reader.borrow().is_some();
            usage.closing.get() == Closing::No && waits && (usage.unused() || stuck)
        });
        if let Some(usage) = closable.min_by_key(|u| (u.unused() && u.served.get(), u.used.get())) {
            usage.close(if usage.unused() { Closing::WhenUnused } else { Closing::Now });
        }
    }
}
