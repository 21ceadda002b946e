//! What one connection is doing, and whether it is to be closed. No I/O; the stream and the server report each step.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};

/// A response that was written longer ago than this has reached the client or never will.
const TRANSIT_TIME: Duration = Duration::from_secs(1);

/// The activity of a connection, and the sweep at which it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// Between requests: the last response is written completely, and no byte of the next request has arrived.
    Idle { since: u64 },
    /// Part of a request's head has arrived.
    ReadingHead { since: u64 },
    /// From the head of a request to the end of its response's body.
    Serving,
    /// The response's body has ended; its last bytes are not yet written to the kernel.
    Writing,
    /// The write side is shut down; what still arrives is discarded.
    Lingering,
}

/// Whether a connection is to be closed, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closing {
    No,
    /// As soon as it is between two requests.
    WhenIdle,
    /// Also while the head of a request is incomplete.
    BeforeNextRequest,
}

/// The state of one connection, shared by its stream, its request handler and its registry.
#[derive(Debug)]
pub struct ConnectionState {
    sweeps: Rc<Cell<u64>>,
    activity: Cell<Activity>,
    closing: Cell<Closing>,
    /// Whether the body of the current request has been read completely: later bytes belong to the next request.
    request_received: Cell<bool>,
    /// Whether bytes of the next request have been read before the current response was written.
    read_ahead: Cell<bool>,
    input_ended: Cell<bool>,
    has_written: Cell<bool>,
    last_response: Cell<Option<Instant>>,
    waker: RefCell<Option<Waker>>,
}

impl ConnectionState {
    pub(super) fn new(sweeps: Rc<Cell<u64>>, close_when_idle: bool) -> Rc<Self> {
        let since = sweeps.get();
        let closing = if close_when_idle {
            Closing::WhenIdle
        } else {
            Closing::No
        };
        Rc::new(ConnectionState {
            sweeps,
            activity: Cell::new(Activity::Idle { since }),
            closing: Cell::new(closing),
            request_received: Cell::new(false),
            read_ahead: Cell::new(false),
            input_ended: Cell::new(false),
            has_written: Cell::new(false),
            last_response: Cell::new(None),
            waker: RefCell::new(None),
        })
    }

    /// Stores the waker of the connection's task; to be called whenever the task is polled.
    pub fn set_waker(&self, waker: &Waker) {
        let mut stored = self.waker.borrow_mut();
        if !stored
            .as_ref()
            .is_some_and(|stored| stored.will_wake(waker))
        {
            *stored = Some(waker.clone());
        }
    }

    /// Records that a request's head is complete.
    pub(super) fn begin_request(&self) {
        self.activity.set(Activity::Serving);
        self.request_received.set(false);
        self.read_ahead.set(false);
    }

    /// Records that the current request has been read completely, including its body.
    pub(super) fn request_received(&self) {
        self.request_received.set(true);
    }

    /// Records that the body of the response has ended, all of which the HTTP library holds now.
    pub(super) fn end_response(&self) {
        self.activity.set(Activity::Writing);
    }

    /// Records that bytes were read.
    pub(super) fn record_read(&self) {
        match self.activity.get() {
            Activity::Idle { .. } => self.activity.set(Activity::ReadingHead {
                since: self.sweeps.get(),
            }),
            Activity::Serving if self.request_received.get() => self.read_ahead.set(true),
            Activity::Writing => self.read_ahead.set(true),
            Activity::Serving | Activity::ReadingHead { .. } | Activity::Lingering => {}
        }
    }

    /// Records that the client has closed its side.
    pub(super) fn record_end_of_input(&self) {
        self.input_ended.set(true);
    }

    /// Records that bytes of a response were written.
    pub(super) fn record_write(&self) {
        self.has_written.set(true);
    }

    /// Records that all bytes so far are written to the kernel.
    pub(super) fn record_flush(&self) {
        if self.activity.get() != Activity::Writing {
            return;
        }
        let since = self.sweeps.get();
        self.activity.set(if self.read_ahead.take() {
            Activity::ReadingHead { since }
        } else {
            Activity::Idle { since }
        });
        self.last_response.set(Some(Instant::now()));
        if self.closing.get() != Closing::No {
            // The connection's input ends now, which the HTTP library sees at its next read.
            self.wake();
        }
    }

    /// Records that the write side is shut down.
    pub(super) fn begin_lingering(&self) {
        self.activity.set(Activity::Lingering);
    }

    /// Whether the connection's input ends now, given that nothing can be read from the socket.
    pub(super) fn is_input_ended_by_server(&self) -> bool {
        match (self.closing.get(), self.activity.get()) {
            (Closing::WhenIdle | Closing::BeforeNextRequest, Activity::Idle { .. }) => true,
            (Closing::BeforeNextRequest, Activity::ReadingHead { .. }) => true,
            (_, _) => false,
        }
    }

    /// Whether a response may still be on its way to a client that has not closed its side.
    pub(super) fn has_response_in_transit(&self) -> bool {
        let is_recent = |at: Instant| at.elapsed() < TRANSIT_TIME;
        !self.input_ended.get()
            && self.has_written.get()
            && self.last_response.get().is_none_or(is_recent)
    }

    pub(super) fn activity(&self) -> Activity {
        self.activity.get()
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closing.get() != Closing::No
    }

    pub(super) fn close_when_idle(&self) {
        if self.closing.get() == Closing::No {
            self.closing.set(Closing::WhenIdle);
        }
        self.wake();
    }

    pub(super) fn close_before_next_request(&self) {
        self.closing.set(Closing::BeforeNextRequest);
        self.wake();
    }

    pub(super) fn wake(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}
