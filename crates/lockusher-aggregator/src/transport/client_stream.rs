//! The stream of a client connection as the HTTP server uses it. It tracks whether a request is being handled, so
//! that the connection can be closed between requests, and limits how far it reads ahead.

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

/// Time within which a request must be complete, from its first byte, or for the first request from the start of
/// its connection: misbehaving clients must be disconnected within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle timeout of a connection that never carried a multiget; the protocol allows closing it.
const UNSERVED_IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A request usually arrives at once: with no free slot, one that takes longer may be closed to make room.
const SLOW_REQUEST: Duration = Duration::from_millis(250);
/// Idle timeout of a connection that carried a multiget; longer, as clients keep such connections as well.
const SERVED_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a client is checked for having disconnected while unread bytes precede the end of its stream:
/// nothing may be sent on its behalf later than 0.1 s after it disconnected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// How long incoming data is read and discarded after the write side is shut down: closing a socket with unread
/// bytes resets the connection, which may lose an answer in transit. Also how long a rejection may take to reach a
/// client that is still sending.
pub const LINGER: Duration = Duration::from_millis(500);
/// If nothing was written for longer than this, nothing but a crossing request can be in transit, and
/// [`SHORT_LINGER`] applies, so that a burst of such connections does not occupy slots for long.
const RECENT_WRITE: Duration = Duration::from_millis(1_000);
/// The shorter linger time; see [`RECENT_WRITE`].
const SHORT_LINGER: Duration = Duration::from_millis(100);
/// Maximum number of reads per poll while lingering, so that a client that sends without end does not starve
/// others.
const MAX_LINGER_READS: usize = 16;

/// State of one connection, shared by its stream, its request handler and [`Connections`].
pub struct ConnectionState {
    /// When the connection was accepted.
    since: Instant,
    /// When the first byte of the request arrived that is still incomplete.
    request_started: Cell<Option<Instant>>,
    /// When bytes were last read.
    last_read: Cell<Instant>,
    /// Number of bytes read beyond the request being handled.
    unconsumed_bytes: Cell<usize>,
    /// Whether a request is being handled, and whether it has been read completely.
    handling: Cell<bool>,
    body_read: Cell<bool>,
    /// Nothing that follows on this connection is parsed as a request.
    ignores_input: Cell<bool>,
    /// Bytes of a response wait for the client to read.
    write_blocked: Cell<bool>,
    /// When bytes were last written.
    last_write: Cell<Option<Instant>>,
    /// Whether any response was sent, and whether one was sent to a multiget.
    answered: Cell<bool>,
    served: Cell<bool>,
    /// When a response was last finished.
    last_used: Cell<Instant>,
    closing: Cell<Closing>,
    /// Waker of the pending read.
    reader_waker: RefCell<Option<Waker>>,
    /// Whether the client has closed its side or the connection failed.
    disconnected: Cell<bool>,
    disconnect_notify: Notify,
    stream: Weak<TcpStream>,
}

/// Whether the connection is to be closed.
#[derive(Clone, Copy, PartialEq)]
enum Closing {
    No,
    /// Close between two requests.
    WhenIdle,
    /// Close even while a request is being received or a response is being written; a complete request is still
    /// answered.
    Now,
}

impl Default for ConnectionState {
    fn default() -> Self {
        let now = Instant::now();
        ConnectionState {
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

impl ConnectionState {
    /// Records that the head of a request was passed to its handler.
    pub fn begin_request(&self) {
        self.handling.set(true);
        self.unconsumed_bytes.set(0);
    }

    /// Records that the request being handled was read completely, and returns when its last byte was read.
    /// Pipelined requests that were read together share this time, however long each waited for those before it.
    pub fn body_complete(&self) -> Instant {
        self.body_read.set(true);
        self.unconsumed_bytes.set(0);
        self.request_started.set(None);
        self.last_read.get()
    }

    /// Records that the response to the current request is finished; `served` if the request was a multiget.
    pub fn finish_request(&self, served: bool) {
        self.handling.set(false);
        self.body_read.set(false);
        // Bytes that followed it belong to the next request.
        self.request_started
            .set((self.unconsumed_bytes.get() > 0).then(|| self.last_read.get()));
        self.answered.set(true);
        self.served.set(self.served.get() || served);
        self.last_used.set(Instant::now());
        self.wake_reader();
    }

    /// Whether the current request has been read completely.
    pub fn is_body_complete(&self) -> bool {
        self.body_read.get()
    }

    /// Stops parsing requests on this connection.
    pub fn ignore_further_input(&self) {
        self.ignores_input.set(true);
    }

    /// Whether the client is still connected. Asks the kernel, as after a stall the end of the stream may not have
    /// been read yet.
    pub fn is_connected(&self) -> bool {
        let Some(stream) = self.stream.upgrade().filter(|_| !self.disconnected.get()) else {
            return false;
        };
        // Unread bytes may precede the end of the stream.
        !peer_closed(&stream) && !matches!(unread_input(&stream), UnreadInput::End)
    }

    /// Completes once the client has disconnected.
    pub async fn wait_disconnected(&self) {
        while !self.disconnected.get() {
            // With bytes read ahead, reading may have paused before the end of the stream.
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

    /// Whether the connection is to be closed as soon as possible.
    pub fn is_closing(&self) -> bool {
        self.closing.get() != Closing::No
    }

    /// Whether no request is being received, handled or answered.
    fn is_idle(&self) -> bool {
        self.request_started.get().is_none() && !self.handling.get() && !self.write_blocked.get()
    }

    /// Whether the connection has been idle for too long, or a request takes too long to arrive.
    fn is_overdue(&self) -> bool {
        let timed_from = |at: Instant| if self.answered.get() { at } else { self.since };
        match self.request_started.get() {
            Some(_) if self.body_read.get() => false,
            Some(at) => timed_from(at).elapsed() > REQUEST_TIMEOUT,
            None if self.handling.get() => false,
            // The client does not read its response.
            None if self.write_blocked.get() => self.last_used.get().elapsed() > REQUEST_TIMEOUT,
            None if self.served.get() => self.last_used.get().elapsed() > SERVED_IDLE_TIMEOUT,
            None => self.last_used.get().elapsed() > UNSERVED_IDLE_TIMEOUT,
        }
    }

    /// Wakes the pending read, so that it sees a change of state.
    fn wake_reader(&self) {
        if let Some(reader_waker) = self.reader_waker.borrow_mut().take() {
            reader_waker.wake();
        }
    }

    /// Closes the connection regardless of what the client does: between two requests if it is idle, at once
    /// otherwise.
    fn force_close(&self) {
        self.close(if self.is_idle() {
            Closing::WhenIdle
        } else {
            Closing::Now
        });
    }

    /// Requests that the connection be closed.
    fn close(&self, when: Closing) {
        self.closing.set(when);
        self.wake_reader();
    }
}

/// Whether the peer has closed the connection according to the kernel, even if unread bytes precede the end.
fn peer_closed(stream: &TcpStream) -> bool {
    let mut poll_entry = libc::pollfd {
        fd: stream.as_raw_fd(),
        events: libc::POLLRDHUP,
        revents: 0,
    };
    // SAFETY: one entry, which outlives the call; with a timeout of zero the call returns at once.
    let ready_count = unsafe { libc::poll(&mut poll_entry, 1, 0) };
    ready_count > 0 && poll_entry.revents & (libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR) != 0
}

/// Unread input of a connection according to the kernel.
enum UnreadInput {
    Nothing,
    Bytes,
    End,
}

/// Peeks at the input of a connection.
fn unread_input(stream: &TcpStream) -> UnreadInput {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(received) if received > 0 => UnreadInput::Bytes,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => UnreadInput::Nothing,
        Ok(_) | Err(_) => UnreadInput::End,
    }
}

/// The stream of a client connection, with its state.
pub struct ClientStream {
    stream: Rc<TcpStream>,
    pub state: Rc<ConnectionState>,
    /// A read has completed in this poll: the next one waits for another poll, so that the data is processed first.
    defer_next_read: bool,
    /// Set once the write side is shut down: when to stop reading and discarding input.
    linger: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        let stream = Rc::new(stream);
        let state = Rc::new(ConnectionState {
            stream: Rc::downgrade(&stream),
            ..ConnectionState::default()
        });
        ClientStream {
            stream,
            state,
            defer_next_read: false,
            linger: None,
        }
    }

    /// Reads available bytes and returns their number, 0 at the end of the stream.
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
        let state = self.state.clone();
        let unconsumed_bytes = state.unconsumed_bytes.get();
        // Reading pauses once a maximum head is buffered beyond the current request, or beyond input that is
        // ignored; the rest stays in the kernel.
        let paused = unconsumed_bytes >= MAX_HEAD_BYTES
            && (state.body_read.get() || state.ignores_input.get());
        if !paused {
            if unconsumed_bytes >= MAX_HEAD_BYTES && !state.handling.get() {
                return Poll::Ready(Ok(())); // The head exceeds the limit.
            }
            match self.poll_receive(cx, buf) {
                Poll::Pending => {}
                Poll::Ready(ended @ (Ok(0) | Err(_))) => {
                    state.disconnected.set(true);
                    state.disconnect_notify.notify_one();
                    return Poll::Ready(ended.map(drop));
                }
                Poll::Ready(Ok(received)) => {
                    self.defer_next_read = true;
                    state.unconsumed_bytes.set(unconsumed_bytes + received);
                    if state.body_read.get() {
                        // From here on, [`ConnectionState::wait_disconnected`] has to check for the end of the stream itself.
                        state.disconnect_notify.notify_one();
                    }
                    state.last_read.set(Instant::now());
                    if state.request_started.get().is_none() && !state.body_read.get() {
                        state.request_started.set(Some(Instant::now()));
                    }
                    return Poll::Ready(Ok(()));
                }
            }
        }
        // Available input is read even when closing: a request that was sent is answered. The kernel is asked, as
        // bytes may have arrived without a wake-up yet.
        match state.closing.get() {
            Closing::WhenIdle
                if state.is_idle() && !matches!(unread_input(&self.stream), UnreadInput::Bytes) =>
            {
                return Poll::Ready(Ok(()));
            }
            Closing::Now if !state.body_read.get() => return Poll::Ready(Ok(())),
            _ => {}
        }
        *state.reader_waker.borrow_mut() = Some(cx.waker().clone());
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
        self.state.write_blocked.set(written.is_pending());
        self.state.last_write.set(Some(Instant::now()));
        if written.is_pending() && self.state.closing.get() == Closing::Now {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Shuts down the write side, then reads and discards input for a limited time.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.state.disconnected.get() {
            return Poll::Ready(Ok(()));
        }
        if self.linger.is_none() {
            if SockRef::from(&*self.stream)
                .shutdown(Shutdown::Write)
                .is_err()
            {
                return Poll::Ready(Ok(())); // The client closed first.
            }
            let wrote_recently = self
                .state
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

/// All open client connections.
#[derive(Default)]
pub struct Connections {
    open: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_number: Cell<u64>,
}

impl Connections {
    /// Adds a connection and returns its number.
    pub fn add(&self, state: Rc<ConnectionState>) -> u64 {
        let number = self.next_number.replace(self.next_number.get() + 1);
        self.open.borrow_mut().insert(number, state);
        number
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, number: u64) {
        self.open.borrow_mut().remove(&number);
    }

    /// Closes every connection as soon as it is between two requests.
    pub fn close_idle(&self) {
        self.open
            .borrow()
            .values()
            .for_each(|state| state.close(Closing::WhenIdle));
    }

    /// Closes connections that have been idle for too long or whose requests take too long to arrive.
    pub fn close_overdue(&self) {
        let open = self.open.borrow();
        open.values()
            .filter(|state| state.is_overdue())
            .for_each(|state| state.force_close());
    }

    /// Closes the connection idle for longest if more than `max_used` have carried a multiget: otherwise clients
    /// that send one request each and stay connected could leave no slot for others.
    pub fn limit_used(&self, max_used: usize) {
        let open = self.open.borrow();
        let used = || {
            open.values()
                .filter(|u| u.closing.get() == Closing::No && (u.served.get() || u.handling.get()))
        };
        if used().count() > max_used
            && let Some(state) = used()
                .filter(|state| state.is_idle())
                .min_by_key(|u| u.last_used.get())
        {
            state.close(Closing::WhenIdle);
        }
    }

    /// Frees a slot: closes a connection that never carried a multiget and is idle or slow to send its request,
    /// else one that has, between two requests; among these the one idle for longest.
    pub fn make_room(&self) {
        let open = self.open.borrow();
        let candidates = open.values().filter_map(|state| {
            // A connection that has not been read yet may hold a request.
            let is_parked =
                state.closing.get() == Closing::No && state.reader_waker.borrow().is_some();
            let receiving_since = state
                .request_started
                .get()
                .filter(|_| !state.body_read.get());
            let is_slow = receiving_since.is_some_and(|at| at.elapsed() > SLOW_REQUEST);
            let closable = is_parked && (state.is_idle() || is_slow);
            closable.then_some((state, !is_slow && state.served.get(), state.last_used.get()))
        });
        if let Some((state, ..)) =
            candidates.min_by_key(|(_, served, last_used)| (*served, *last_used))
        {
            state.force_close();
        }
    }

    /// Number of connections that are being closed and will free their slots soon.
    pub fn closing_count(&self) -> usize {
        self.open
            .borrow()
            .values()
            .filter(|state| state.is_closing())
            .count()
    }
}
