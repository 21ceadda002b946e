//! Tracks the activity of every client connection, so that idle and stuck ones are closed without a timer for each.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;

/// Interval between two sweeps over the client connections.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The activity of a connection, and the sweep at which it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// Between requests.
    Idle { since: u64 },
    /// Part of a request's head has arrived.
    ReadingHead { since: u64 },
    /// A request is in flight.
    Serving,
}

/// The state of one client connection, shared by its task and the sweeps.
#[derive(Debug)]
pub(crate) struct ClientState {
    sweeps: Rc<Cell<u64>>,
    activity: Cell<Activity>,
    close: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl ClientState {
    /// Records that bytes arrived; between requests they start a head.
    pub(super) fn record_read(&self) {
        if let Activity::Idle { .. } = self.activity.get() {
            self.activity.set(Activity::ReadingHead {
                since: self.sweeps.get(),
            });
        }
    }

    /// Records that a request's head is complete.
    pub(super) fn begin_request(&self) {
        self.activity.set(Activity::Serving);
    }

    /// Records that the response is complete.
    pub(super) fn end_request(&self) {
        self.activity.set(Activity::Idle {
            since: self.sweeps.get(),
        });
    }

    /// Whether the connection must close; if not, stores the waker to be woken when it must.
    pub(super) fn must_close(&self, waker: &Waker) -> bool {
        if self.close.get() {
            return true;
        }
        let mut stored = self.waker.borrow_mut();
        if !stored
            .as_ref()
            .is_some_and(|stored| stored.will_wake(waker))
        {
            *stored = Some(waker.clone());
        }
        false
    }

    fn request_close(&self) {
        self.close.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// All client connections, in the order in which they were accepted.
#[derive(Debug, Default)]
pub(crate) struct ClientRegistry {
    sweeps: Rc<Cell<u64>>,
    next_key: Cell<u64>,
    clients: RefCell<BTreeMap<u64, Rc<ClientState>>>,
}

impl ClientRegistry {
    /// Adds a connection as idle; returns its key and state.
    pub(crate) fn add(&self) -> (u64, Rc<ClientState>) {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        let state = Rc::new(ClientState {
            sweeps: self.sweeps.clone(),
            activity: Cell::new(Activity::Idle {
                since: self.sweeps.get(),
            }),
            close: Cell::new(false),
            waker: RefCell::new(None),
        });
        self.clients.borrow_mut().insert(key, state.clone());
        (key, state)
    }

    pub(crate) fn remove(&self, key: u64) {
        self.clients.borrow_mut().remove(&key);
    }

    /// Closes connections that exceed the idle limit or the limit for receiving a head.
    pub(crate) fn sweep(&self, idle_limit: Duration, head_limit: Duration) {
        let now = self.sweeps.get() + 1;
        self.sweeps.set(now);
        let (idle_limit, head_limit) = (sweeps_in(idle_limit), sweeps_in(head_limit));
        for state in self.clients.borrow().values() {
            let is_expired = match state.activity.get() {
                Activity::Idle { since } => now - since > idle_limit,
                Activity::ReadingHead { since } => now - since > head_limit,
                Activity::Serving => false,
            };
            if is_expired {
                state.request_close();
            }
        }
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
        for state in self.clients.borrow().values() {
            if let Activity::Idle { .. } = state.activity.get() {
                state.request_close();
            }
        }
    }

    /// Closes the connection that has been idle for the longest time; false if none is idle.
    pub(crate) fn close_one_idle(&self) -> bool {
        let clients = self.clients.borrow();
        let idle = clients.values().filter(|state| !state.close.get());
        let idle = idle.filter_map(|state| match state.activity.get() {
            Activity::Idle { since } => Some((since, state)),
            _ => None,
        });
        let Some((_, state)) = idle.min_by_key(|(since, _)| *since) else {
            return false;
        };
        state.request_close();
        true
    }
}

/// The number of sweeps in a duration, rounded up.
fn sweeps_in(limit: Duration) -> u64 {
    limit.as_millis().div_ceil(SWEEP_INTERVAL.as_millis()) as u64
}
