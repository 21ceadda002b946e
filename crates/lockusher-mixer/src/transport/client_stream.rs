//! A client's connection as the server reads and writes it: it knows whether a request is in hand, so that it
//! can be closed between two, and reads no more than is of use.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::protocol::MOST_HEAD;

/// A request is whole within this of its first byte, the first one of its connection's start: bad clients are
/// owed an end within 3 s.
const WHOLE: Duration = Duration::from_millis(2_500);
/// A connection that never asked for anything is closed after this; the protocol's pages allow it.
const SILENT: Duration = Duration::from_millis(2_000);
/// A usual request comes in at once: with no place left, one that takes longer makes room.
const SLOW: Duration = Duration::from_millis(250);
/// One that was used is kept for longer, as clients keep theirs.
const UNUSED: Duration = Duration::from_secs(10);

/// What is known of one connection.
pub struct Usage {
    came: Instant,
    /// When the first byte of a request came that is not whole yet.
    began: Cell<Option<Instant>>,
    last_read: Cell<Instant>,
    /// Bytes read that no whole request accounts for.
    ahead: Cell<usize>,
    /// A request is with its handler; whole, it has its answer in time.
    asked: Cell<bool>,
    whole: Cell<bool>,
    /// Of what follows on this connection nothing is used.
    refused: Cell<bool>,
    /// Bytes of an answer wait for the client to read.
    unwritten: Cell<bool>,
    /// It has had an answer.
    served: Cell<bool>,
    used: Cell<Instant>,
    closing: Cell<Closing>,
    reader: RefCell<Option<Waker>>,
    gone: Cell<bool>,
    left: Notify,
}

#[derive(Clone, Copy, PartialEq)]
enum Closing {
    No,
    WhenUnused,
    /// Even with a request coming in or an answer going out; one that is whole is still answered.
    Now,
}

impl Default for Usage {
    fn default() -> Self {
        let now = Instant::now();
        Usage {
            came: now,
            began: Cell::new(None),
            last_read: Cell::new(now),
            ahead: Cell::new(0),
            asked: Cell::new(false),
            whole: Cell::new(false),
            refused: Cell::new(false),
            unwritten: Cell::new(false),
            served: Cell::new(false),
            used: Cell::new(now),
            closing: Cell::new(Closing::No),
            reader: RefCell::default(),
            gone: Cell::new(false),
            left: Notify::new(),
        }
    }
}

impl Usage {
    /// A request's head is with its handler.
    pub fn asked(&self) {
        self.asked.set(true);
        self.ahead.set(0);
    }

    /// The last byte of the request with its handler has been read; tells when. Of several that came at once
    /// each counts from then, however long it waited for those before it.
    pub fn whole(&self) -> Instant {
        self.whole.set(true);
        self.ahead.set(0);
        self.began.set(None);
        self.last_read.get()
    }

    /// The request with its handler has its answer.
    pub fn answered(&self) {
        self.asked.set(false);
        self.whole.set(false);
        // What has come behind it begins another.
        self.began.set((self.ahead.get() > 0).then(|| self.last_read.get()));
        self.served.set(true);
        self.used.set(Instant::now());
        self.wake();
    }

    pub fn is_whole(&self) -> bool {
        self.whole.get()
    }

    /// Nothing that follows on this connection is read for use.
    pub fn refuse(&self) {
        self.refused.set(true);
    }

    pub fn gone(&self) -> bool {
        self.gone.get()
    }

    /// Ends once the client has gone away.
    pub async fn left(&self) {
        while !self.gone.get() {
            self.left.notified().await;
        }
    }

    fn unused(&self) -> bool {
        self.began.get().is_none() && !self.asked.get() && !self.unwritten.get()
    }

    /// Whether it has said nothing for too long, or takes too long to say what it wants.
    fn overdue(&self) -> bool {
        let begun = |at: Instant| if self.served.get() { at } else { self.came };
        match self.began.get() {
            Some(_) if self.whole.get() => false,
            Some(at) => begun(at).elapsed() > WHOLE,
            None if self.asked.get() => false,
            // Its client does not read.
            None if self.unwritten.get() => self.used.get().elapsed() > WHOLE,
            None if self.served.get() => self.used.get().elapsed() > UNUSED,
            None => self.came.elapsed() > SILENT,
        }
    }

    fn wake(&self) {
        if let Some(reader) = self.reader.borrow_mut().take() {
            reader.wake();
        }
    }

    fn close(&self, how: Closing) {
        self.closing.set(how);
        self.wake();
    }
}

pub struct ClientStream {
    stream: TcpStream,
    pub usage: Rc<Usage>,
    /// It has read in this turn: the next read is another turn's, so that what is read is used before.
    rests: bool,
}

impl ClientStream {
    pub fn new(stream: TcpStream) -> Self {
        ClientStream { stream, usage: Rc::default(), rests: false }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.rests) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let usage = self.usage.clone();
        let ahead = usage.ahead.get();
        // More than a head's length ahead of what is in use waits in the system; so does what is of no use.
        let full = ahead >= MOST_HEAD && (usage.whole.get() || usage.refused.get());
        if !full {
            if ahead >= MOST_HEAD && !usage.asked.get() {
                return Poll::Ready(Ok(())); // A head that does not end.
            }
            let before = buf.filled().len();
            match Pin::new(&mut self.stream).poll_read(cx, buf) {
                Poll::Pending => {}
                read => {
                    let came = buf.filled().len() - before;
                    if came == 0 {
                        usage.gone.set(true);
                        usage.left.notify_one();
                        return read;
                    }
                    self.rests = true;
                    usage.ahead.set(ahead + came);
                    usage.last_read.set(Instant::now());
                    if usage.began.get().is_none() && !usage.whole.get() {
                        usage.began.set(Some(Instant::now()));
                    }
                    return read;
                }
            }
        }
        // What has come is read even when closing: a request that was sent gets its answer.
        match usage.closing.get() {
            Closing::WhenUnused if usage.unused() => return Poll::Ready(Ok(())),
            Closing::Now if !usage.whole.get() => return Poll::Ready(Ok(())),
            _ => {}
        }
        *usage.reader.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.usage.unwritten.set(written.is_pending());
        if written.is_pending() && self.usage.closing.get() == Closing::Now {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
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
        self.open.borrow().values().for_each(|usage| usage.close(Closing::WhenUnused));
    }

    /// Closes those that have said nothing for too long, or take too long to say what they want.
    pub fn close_overdue(&self) {
        let open = self.open.borrow();
        open.values().filter(|usage| usage.overdue()).for_each(|usage| usage.close(Closing::Now));
    }

    /// Makes room for another: closes one that never had an answer and is silent or has been long in asking, else
    /// one that was used, between two requests; of these the longest unused.
    pub fn make_room(&self) {
        let open = self.open.borrow();
        let closable = open.values().filter_map(|usage| {
            // One that has not been read yet may hold a request.
            let waits = usage.closing.get() == Closing::No && usage.reader.borrow().is_some();
            let asks = usage.began.get().filter(|_| !usage.whole.get());
            let slow = asks.is_some_and(|at| at.elapsed() > SLOW);
            let fit = waits && (usage.unused() || slow);
            fit.then_some((usage, !slow && usage.served.get(), usage.used.get()))
        });
        if let Some((usage, ..)) = closable.min_by_key(|(_, served, used)| (*served, *used)) {
            usage.close(if usage.unused() { Closing::WhenUnused } else { Closing::Now });
        }
    }
}
