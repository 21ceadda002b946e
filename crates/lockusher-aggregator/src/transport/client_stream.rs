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

use crate::protocol::MAX_HEAD_BYTES;

/// A request is whole within this of its first byte, the first one of its connection's start: bad clients are
/// owed an end within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A connection that never asked for a multiget is closed after this without use; the protocol's pages allow it.
const UNSERVED_IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A usual request comes in at once: with no place left, one that takes longer makes room.
const SLOW_REQUEST: Duration = Duration::from_millis(250);
/// One that was used is kept for longer, as clients keep theirs.
const SERVED_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// How often it is looked whether a client has gone whose end lies behind bytes that are not read yet: it must not be
/// sent on for later than 0.1 s after.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// How long what still comes is read, and dropped, once nothing more will be written: a close over unread bytes resets
/// the connection, and an answer on its way may be lost with it. Also how long a refusal may take to reach a client
/// that is still sending.
pub const LINGER: Duration = Duration::from_millis(500);
/// The same where nothing was written for longer than this, so that nothing is on its way but a request that crosses the
/// close: a crowd of such connections must not hold places for long.
const RECENT_WRITE: Duration = Duration::from_millis(1_000);
const SHORT_LINGER: Duration = Duration::from_millis(100);
/// Reads of one turn that lingers, so that a client that sends without end holds up nobody.
const MAX_LINGER_READS: usize = 16;

/// What is known of one connection.
pub struct Usage {
    since: Instant,
    /// When the first byte of a request came that is not whole yet.
    request_started: Cell<Option<Instant>>,
    last_read: Cell<Instant>,
    /// Bytes read that no whole request accounts for.
    unconsumed_bytes: Cell<usize>,
    /// A request is with its handler; whole, it has its answer in time.
    handling: Cell<bool>,
    body_read: Cell<bool>,
    /// Of what follows on this connection nothing is used.
    ignores_input: Cell<bool>,
    /// Bytes of an answer wait for the client to read.
    write_blocked: Cell<bool>,
    /// When something was last written.
    last_write: Cell<Option<Instant>>,
    /// It has had an answer; one to what it asked searchers for.
    answered: Cell<bool>,
    served: Cell<bool>,
    last_used: Cell<Instant>,
    closing: Cell<Closing>,
    reader_waker: RefCell<Option<Waker>>,
    disconnected: Cell<bool>,
    disconnect_notify: Notify,
    stream: Weak<TcpStream>,
}

#[derive(Clone, Copy, PartialEq)]
enum Closing {
    No,
    WhenIdle,
    /// Even with a request coming in or an answer going out; one that is whole is still answered.
    Now,
}

impl Default for Usage {
    fn default() -> Self {
        let now = Instant::now();
        Usage {
            since: now,
            request_started: Cell::new(None),
            last_read: Cell::new(now),
            unconsumed_bytes: Cell::new(0),
            handling: Cell::new(false),
            body_read: Cell::new(false),
            ignores_input: Cell::new(false),
            write_blocked: Cell::new(false),
            last_write: Cell::new(None),
            answered: Cell::new(false),
            served: Cell::new(false),
            last_used: Cell::new(now),
            closing: Cell::new(Closing::No),
            reader_waker: RefCell::default(),
            disconnected: Cell::new(false),
            disconnect_notify: Notify::new(),
            stream: Weak::new(),
        }
    }
}

impl Usage {
    /// A request's head is with its handler.
    pub fn begin_request(&self) {
        self.handling.set(true);
        self.unconsumed_bytes.set(0);
    }

    /// The last byte of the request with its handler has been read; tells when. Of several that came at once
    /// each counts from then, however long it waited for those before it.
    pub fn body_complete(&self) -> Instant {
        self.body_read.set(true);
        self.unconsumed_bytes.set(0);
        self.request_started.set(None);
        self.last_read.get()
    }

    /// The request with its handler has its answer; `served` if it was a multiget.
    pub fn finish_request(&self, served: bool) {
        self.handling.set(false);
        self.body_read.set(false);
        // What has come behind it begins another.
        self.request_started
            .set((self.unconsumed_bytes.get() > 0).then(|| self.last_read.get()));
        self.answered.set(true);
        self.served.set(self.served.get() || served);
        self.last_used.set(Instant::now());
        self.wake_reader();
    }

    pub fn is_body_complete(&self) -> bool {
        self.body_read.get()
    }

    /// Nothing that follows on this connection is read for use.
    pub fn ignore_further_input(&self) {
        self.ignores_input.set(true);
    }

    /// Whether its client is there: asks the system, as a mixer that had to stand still has not read it yet.
    pub fn is_connected(&self) -> bool {
        let Some(stream) = self.stream.upgrade().filter(|_| !self.disconnected.get()) else {
            return false;
        };
        // Its end may lie behind bytes that are not read yet.
        !peer_closed(&stream) && !matches!(unread_input(&stream), UnreadInput::End)
    }

    /// Ends once the client has gone away.
    pub async fn wait_disconnected(&self) {
        while !self.disconnected.get() {
            // With more come than is in use, reading may have stopped short of its end.
            tokio::select! {
                () = self.disconnect_notify.notified() => {}
                () = tokio::time::sleep(DISCONNECT_CHECK_INTERVAL), if self.unconsumed_bytes.get() > 0 => {
                    if !self.is_connected() {
                        return self.disconnected.set(true);
                    }
                }
            }
        }
    }

    /// Whether it is to be closed as soon as it may be.
    pub fn is_closing(&self) -> bool {
        self.closing.get() != Closing::No
    }

    fn is_idle(&self) -> bool {
        self.request_started.get().is_none() && !self.handling.get() && !self.write_blocked.get()
    }

    /// Whether it has said nothing for too long, or takes too long to say what it wants.
    fn is_overdue(&self) -> bool {
        let timed_from = |at: Instant| if self.answered.get() { at } else { self.since };
        match self.request_started.get() {
            Some(_) if self.body_read.get() => false,
            Some(at) => timed_from(at).elapsed() > REQUEST_TIMEOUT,
            None if self.handling.get() => false,
            // Its client does not read.
            None if self.write_blocked.get() => self.last_used.get().elapsed() > REQUEST_TIMEOUT,
            None if self.served.get() => self.last_used.get().elapsed() > SERVED_IDLE_TIMEOUT,
            None => self.last_used.get().elapsed() > UNSERVED_IDLE_TIMEOUT,
        }
    }

    fn wake_reader(&self) {
        if let Some(reader_waker) = self.reader_waker.borrow_mut().take() {
            reader_waker.wake();
        }
    }

    /// Closes it whatever its client does, between two requests if that is where it is.
    fn force_close(&self) {
        self.close(if self.is_idle() {
            Closing::WhenIdle
        } else {
            Closing::Now
        });
    }

    fn close(&self, when: Closing) {
        self.closing.set(when);
        self.wake_reader();
    }
}

/// Whether the other side has closed, asked of the system: this shows though bytes before it are not read yet.
fn peer_closed(stream: &TcpStream) -> bool {
    let mut poll_entry = libc::pollfd {
        fd: stream.as_raw_fd(),
        events: libc::POLLRDHUP,
        revents: 0,
    };
    // SAFETY: one entry, which outlives the call; with no time to wait it returns at once.
    let ready_count = unsafe { libc::poll(&mut poll_entry, 1, 0) };
    ready_count > 0 && poll_entry.revents & (libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR) != 0
}

/// What lies unread on a connection, asked of the system.
enum UnreadInput {
    Nothing,
    Bytes,
    End,
}

fn unread_input(stream: &TcpStream) -> UnreadInput {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(received) if received > 0 => UnreadInput::Bytes,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => UnreadInput::Nothing,
        Ok(_) | Err(_) => UnreadInput::End,
    }
}

pub struct ClientStream {
    stream: Rc<TcpStream>,
    pub usage: Rc<Usage>,
    /// It has read in this turn: the next read is another turn's, so that what is read is used before.
    defer_next_read: bool,
    /// Nothing more is written; until when what comes is still read.
    linger: Option<Pin<Box<Sleep>>>,
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
            defer_next_read: false,
            linger: None,
        }
    }

    /// Reads what has come; tells how much, nothing at its end.
    fn poll_receive(&self, cx: &mut Context<'_>, buf: &mut ReadBuf) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(received) => {
                    buf.advance(received);
                    return Poll::Ready(Ok(received));
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
        if std::mem::take(&mut self.defer_next_read) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let usage = self.usage.clone();
        let unconsumed_bytes = usage.unconsumed_bytes.get();
        // More than a head's length ahead of what is in use waits in the system; so does what is of no use.
        let paused = unconsumed_bytes >= MAX_HEAD_BYTES
            && (usage.body_read.get() || usage.ignores_input.get());
        if !paused {
            if unconsumed_bytes >= MAX_HEAD_BYTES && !usage.handling.get() {
                return Poll::Ready(Ok(())); // A head that does not end.
            }
            match self.poll_receive(cx, buf) {
                Poll::Pending => {}
                Poll::Ready(ended @ (Ok(0) | Err(_))) => {
                    usage.disconnected.set(true);
                    usage.disconnect_notify.notify_one();
                    return Poll::Ready(ended.map(drop));
                }
                Poll::Ready(Ok(received)) => {
                    self.defer_next_read = true;
                    usage.unconsumed_bytes.set(unconsumed_bytes + received);
                    if usage.body_read.get() {
                        // Whoever waits for its end has to look for it from here on.
                        usage.disconnect_notify.notify_one();
                    }
                    usage.last_read.set(Instant::now());
                    if usage.request_started.get().is_none() && !usage.body_read.get() {
                        usage.request_started.set(Some(Instant::now()));
                    }
                    return Poll::Ready(Ok(()));
                }
            }
        }
        // What has come is read even when closing: a request that was sent gets its answer. The system is asked, as
        // bytes may have come that nobody was told of yet.
        match usage.closing.get() {
            Closing::WhenIdle
                if usage.is_idle() && !matches!(unread_input(&self.stream), UnreadInput::Bytes) =>
            {
                return Poll::Ready(Ok(()));
            }
            Closing::Now if !usage.body_read.get() => return Poll::Ready(Ok(())),
            _ => {}
        }
        *usage.reader_waker.borrow_mut() = Some(cx.waker().clone());
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
        self.usage.write_blocked.set(written.is_pending());
        self.usage.last_write.set(Some(Instant::now()));
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
        if self.usage.disconnected.get() {
            return Poll::Ready(Ok(()));
        }
        if self.linger.is_none() {
            if SockRef::from(&*self.stream)
                .shutdown(Shutdown::Write)
                .is_err()
            {
                return Poll::Ready(Ok(())); // Its client was quicker.
            }
            let wrote_recently = self
                .usage
                .last_write
                .get()
                .is_some_and(|at| at.elapsed() < RECENT_WRITE);
            let span = if wrote_recently { LINGER } else { SHORT_LINGER };
            self.linger = Some(Box::pin(tokio::time::sleep(span)));
        }
        if let Some(linger) = self.linger.as_mut()
            && linger.as_mut().poll(cx).is_ready()
        {
            return Poll::Ready(Ok(()));
        }
        let mut discarded = [0; 4 * 1024];
        for _ in 0..MAX_LINGER_READS {
            match self.poll_receive(cx, &mut ReadBuf::new(&mut discarded)) {
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
    next_number: Cell<u64>,
}

impl Connections {
    pub fn add(&self, usage: Rc<Usage>) -> u64 {
        let number = self.next_number.replace(self.next_number.get() + 1);
        self.open.borrow_mut().insert(number, usage);
        number
    }

    pub fn remove(&self, number: u64) {
        self.open.borrow_mut().remove(&number);
    }

    /// Closes each connection as soon as it is between two requests.
    pub fn close_idle(&self) {
        self.open
            .borrow()
            .values()
            .for_each(|usage| usage.close(Closing::WhenIdle));
    }

    /// Closes those that have said nothing for too long, or take too long to say what they want.
    pub fn close_overdue(&self) {
        let open = self.open.borrow();
        open.values()
            .filter(|usage| usage.is_overdue())
            .for_each(|usage| usage.force_close());
    }

    /// Closes the connection unused for longest if more than `most` were asked multigets on: clients may hold only so
    /// many, and a crowd of them that ask once and stay would leave none for others.
    pub fn limit_used(&self, max_used: usize) {
        let open = self.open.borrow();
        let used = || {
            open.values()
                .filter(|u| u.closing.get() == Closing::No && (u.served.get() || u.handling.get()))
        };
        if used().count() > max_used
            && let Some(usage) = used()
                .filter(|usage| usage.is_idle())
                .min_by_key(|u| u.last_used.get())
        {
            usage.close(Closing::WhenIdle);
        }
    }

    /// Makes room for another: closes one that never asked for a multiget and is silent or has been long in asking,
    /// else one that was used, between two requests; of these the longest unused.
    pub fn make_room(&self) {
        let open = self.open.borrow();
        let candidates = open.values().filter_map(|usage| {
            // One that has not been read yet may hold a request.
            let is_parked =
                usage.closing.get() == Closing::No && usage.reader_waker.borrow().is_some();
            let receiving_since = usage
                .request_started
                .get()
                .filter(|_| !usage.body_read.get());
            let is_slow = receiving_since.is_some_and(|at| at.elapsed() > SLOW_REQUEST);
            let closable = is_parked && (usage.is_idle() || is_slow);
            closable.then_some((usage, !is_slow && usage.served.get(), usage.last_used.get()))
        });
        if let Some((usage, ..)) =
            candidates.min_by_key(|(_, served, last_used)| (*served, *last_used))
        {
            usage.force_close();
        }
    }

    /// Those that are being closed, whose places are free soon.
    pub fn closing_count(&self) -> usize {
        self.open
            .borrow()
            .values()
            .filter(|usage| usage.is_closing())
            .count()
    }
}
