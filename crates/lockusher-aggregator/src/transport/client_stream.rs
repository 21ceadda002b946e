//! A client's connection as the server reads and writes it: it knows whether a request is in hand, so that it
//! can be closed between two, and reads no more than is of use.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Sleep;

use crate::protocol::MOST_HEAD;

/// A request is whole within this of its first byte, the first one of its connection's start: bad clients are
/// owed an end within 3 s.
const WHOLE: Duration = Duration::from_millis(2_500);
/// A connection that never asked for a multiget is closed after this without use; the protocol's pages allow it.
const SILENT: Duration = Duration::from_millis(2_000);
/// A usual request comes in at once: with no place left, one that takes longer makes room.
const SLOW: Duration = Duration::from_millis(250);
/// One that was used is kept for longer, as clients keep theirs.
const UNUSED: Duration = Duration::from_secs(10);

/// How often it is looked whether a client has gone whose end lies behind bytes that are not read yet: it must not be
/// sent on for later than 0.1 s after.
const LOOK_FOR_END: Duration = Duration::from_millis(30);
/// How long what still comes is read, and dropped, once nothing more will be written: a close over unread bytes resets
/// the connection, and an answer on its way may be lost with it. Also how long a refusal may take to reach a client
/// that is still sending.
pub const LINGER: Duration = Duration::from_millis(500);
/// The same where nothing was written for longer than this, so that nothing is on its way but a request that crosses the
/// close: a crowd of such connections must not hold places for long.
const WRITTEN_LATELY: Duration = Duration::from_millis(1_000);
const CROSSING: Duration = Duration::from_millis(100);
/// Reads of one turn that lingers, so that a client that sends without end holds up nobody.
const MOST_READS: usize = 16;

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
    /// When something was last written.
    wrote: Cell<Option<Instant>>,
    /// It has had an answer; one to what it asked searchers for.
    answered: Cell<bool>,
    served: Cell<bool>,
    used: Cell<Instant>,
    closing: Cell<Closing>,
    reader: RefCell<Option<Waker>>,
    gone: Cell<bool>,
    left: Notify,
    stream: Weak<TcpStream>,
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
            wrote: Cell::new(None),
            answered: Cell::new(false),
            served: Cell::new(false),
            used: Cell::new(now),
            closing: Cell::new(Closing::No),
            reader: RefCell::default(),
            gone: Cell::new(false),
            left: Notify::new(),
            stream: Weak::new(),
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

    /// The request with its handler has its answer; `served` if it was a multiget.
    pub fn answered(&self, served: bool) {
        self.asked.set(false);
        self.whole.set(false);
        // What has come behind it begins another.
        self.began
            .set((self.ahead.get() > 0).then(|| self.last_read.get()));
        self.answered.set(true);
        self.served.set(self.served.get() || served);
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

    /// Whether its client is there: asks the system, as a mixer that had to stand still has not read it yet.
    pub fn present(&self) -> bool {
        let Some(stream) = self.stream.upgrade().filter(|_| !self.gone.get()) else {
            return false;
        };
        // Its end may lie behind bytes that are not read yet.
        !hung_up(&stream) && !matches!(unread(&stream), Unread::End)
    }

    /// Ends once the client has gone away.
    pub async fn left(&self) {
        while !self.gone.get() {
            // With more come than is in use, reading may have stopped short of its end.
            tokio::select! {
                () = self.left.notified() => {}
                () = tokio::time::sleep(LOOK_FOR_END), if self.ahead.get() > 0 => {
                    if !self.present() {
                        return self.gone.set(true);
                    }
                }
            }
        }
    }

    /// Whether it is to be closed as soon as it may be.
    pub fn closes(&self) -> bool {
        self.closing.get() != Closing::No
    }

    fn unused(&self) -> bool {
        self.began.get().is_none() && !self.asked.get() && !self.unwritten.get()
    }

    /// Whether it has said nothing for too long, or takes too long to say what it wants.
    fn overdue(&self) -> bool {
        let begun = |at: Instant| if self.answered.get() { at } else { self.came };
        match self.began.get() {
            Some(_) if self.whole.get() => false,
            Some(at) => begun(at).elapsed() > WHOLE,
            None if self.asked.get() => false,
            // Its client does not read.
            None if self.unwritten.get() => self.used.get().elapsed() > WHOLE,
            None if self.served.get() => self.used.get().elapsed() > UNUSED,
            None => self.used.get().elapsed() > SILENT,
        }
    }

    fn wake(&self) {
        if let Some(reader) = self.reader.borrow_mut().take() {
            reader.wake();
        }
    }

    /// Closes it whatever its client does, between two requests if that is where it is.
    fn end(&self) {
        self.close(if self.unused() {
            Closing::WhenUnused
        } else {
            Closing::Now
        });
    }

    fn close(&self, how: Closing) {
        self.closing.set(how);
        self.wake();
    }
}

/// Whether the other side has closed, asked of the system: this shows though bytes before it are not read yet.
fn hung_up(stream: &TcpStream) -> bool {
    let mut asked = libc::pollfd {
        fd: stream.as_raw_fd(),
        events: libc::POLLRDHUP,
        revents: 0,
    };
    // SAFETY: one entry, which outlives the call; with no time to wait it returns at once.
    let told = unsafe { libc::poll(&mut asked, 1, 0) };
    told > 0 && asked.revents & (libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR) != 0
}

/// What lies unread on a connection, asked of the system.
enum Unread {
    Nothing,
    Bytes,
    End,
}

fn unread(stream: &TcpStream) -> Unread {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(came) if came > 0 => Unread::Bytes,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Unread::Nothing,
        Ok(_) | Err(_) => Unread::End,
    }
}

pub struct ClientStream {
    stream: Rc<TcpStream>,
    pub usage: Rc<Usage>,
    /// It has read in this turn: the next read is another turn's, so that what is read is used before.
    rests: bool,
    /// Nothing more is written; until when what comes is still read.
    lingers: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    pub fn new(stream: TcpStream) -> Self {
        let stream = Rc::new(stream);
        let usage = Rc::new(Usage {
            stream: Rc::downgrade(&stream),
            ..Usage::default()
        });
        ClientStream {
            stream,
            usage,
            rests: false,
            lingers: None,
        }
    }

    /// Reads what has come; tells how much, nothing at its end.
    fn poll_come(&self, cx: &mut Context<'_>, buf: &mut ReadBuf) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(came) => {
                    buf.advance(came);
                    return Poll::Ready(Ok(came));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
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
            match self.poll_come(cx, buf) {
                Poll::Pending => {}
                Poll::Ready(ended @ (Ok(0) | Err(_))) => {
                    usage.gone.set(true);
                    usage.left.notify_one();
                    return Poll::Ready(ended.map(drop));
                }
                Poll::Ready(Ok(came)) => {
                    self.rests = true;
                    usage.ahead.set(ahead + came);
                    if usage.whole.get() {
                        // Whoever waits for its end has to look for it from here on.
                        usage.left.notify_one();
                    }
                    usage.last_read.set(Instant::now());
                    if usage.began.get().is_none() && !usage.whole.get() {
                        usage.began.set(Some(Instant::now()));
                    }
                    return Poll::Ready(Ok(()));
                }
            }
        }
        // What has come is read even when closing: a request that was sent gets its answer. The system is asked, as
        // bytes may have come that nobody was told of yet.
        match usage.closing.get() {
            Closing::WhenUnused
                if usage.unused() && !matches!(unread(&self.stream), Unread::Bytes) =>
            {
                return Poll::Ready(Ok(()));
            }
            Closing::Now if !usage.whole.get() => return Poll::Ready(Ok(())),
            _ => {}
        }
        *usage.reader.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = loop {
            match self.stream.poll_write_ready(cx)? {
                Poll::Pending => break Poll::Pending,
                Poll::Ready(()) => match self.stream.try_write(buf) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    written => break Poll::Ready(written),
                },
            }
        };
        self.usage.unwritten.set(written.is_pending());
        self.usage.wrote.set(Some(Instant::now()));
        if written.is_pending() && self.usage.closing.get() == Closing::Now {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// A half-close, then a lingering close that is bounded: what comes now is read and dropped, never used.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.usage.gone.get() {
            return Poll::Ready(Ok(()));
        }
        if self.lingers.is_none() {
            if SockRef::from(&*self.stream)
                .shutdown(Shutdown::Write)
                .is_err()
            {
                return Poll::Ready(Ok(())); // Its client was quicker.
            }
            let lately = self
                .usage
                .wrote
                .get()
                .is_some_and(|at| at.elapsed() < WRITTEN_LATELY);
            let span = if lately { LINGER } else { CROSSING };
            self.lingers = Some(Box::pin(tokio::time::sleep(span)));
        }
        if let Some(lingers) = self.lingers.as_mut()
            && lingers.as_mut().poll(cx).is_ready()
        {
            return Poll::Ready(Ok(()));
        }
        let mut waste = [0; 4 * 1024];
        for _ in 0..MOST_READS {
            match self.poll_come(cx, &mut ReadBuf::new(&mut waste)) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(_)) => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(0)) => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(_)) => {}
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
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
        self.open
            .borrow()
            .values()
            .for_each(|usage| usage.close(Closing::WhenUnused));
    }

    /// Closes those that have said nothing for too long, or take too long to say what they want.
    pub fn close_overdue(&self) {
        let open = self.open.borrow();
        open.values()
            .filter(|usage| usage.overdue())
            .for_each(|usage| usage.end());
    }

    /// Closes the connection unused for longest if more than `most` were asked multigets on: clients may hold only so
    /// many, and a crowd of them that ask once and stay would leave none for others.
    pub fn keep(&self, most: usize) {
        let open = self.open.borrow();
        let asked = || {
            open.values()
                .filter(|u| u.closing.get() == Closing::No && (u.served.get() || u.asked.get()))
        };
        if asked().count() > most
            && let Some(usage) = asked().filter(|u| u.unused()).min_by_key(|u| u.used.get())
        {
            usage.close(Closing::WhenUnused);
        }
    }

    /// Makes room for another: closes one that never asked for a multiget and is silent or has been long in asking,
    /// else one that was used, between two requests; of these the longest unused.
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
            usage.end();
        }
    }

    /// Those that are being closed, whose places are free soon.
    pub fn closing(&self) -> usize {
        self.open
            .borrow()
            .values()
            .filter(|usage| usage.closes())
            .count()
    }
}
