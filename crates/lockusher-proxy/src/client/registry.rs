//! What every client connection is doing, so that idle and stuck ones can be closed without a timer for each.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;

/// Client connections are looked through this often.
pub(crate) const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// What a connection is doing, and since which sweep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// Between requests.
    Idle { since: u64 },
    /// Some bytes of a head have arrived.
    ReadingHead { since: u64 },
    /// A request is in flight.
    Serving,
}

/// One client connection as its owner and the sweeps see it.
#[derive(Debug)]
pub(crate) struct ClientState {
    sweeps: Rc<Cell<u64>>,
    activity: Cell<Activity>,
    close: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl ClientState {
    /// Records that bytes arrived; outside a request they begin a head.
    pub(super) fn record_read(&self) {
        if let Activity::Idle { .. } = self.activity.get() {
            self.activity.set(Activity::ReadingHead {
                since: self.sweeps.get(),
            });
        }
    }

    /// A request's head is complete.
    pub(super) fn begin_request(&self) {
        self.activity.set(Activity::Serving);
    }

    /// The answer is complete.
    pub(super) fn end_request(&self) {
        self.activity.set(Activity::Idle {
            since: self.sweeps.get(),
        });
    }

    /// Whether the connection was asked to close; else wakes its task when it is.
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

/// All client connections, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct ClientRegistry {
    sweeps: Rc<Cell<u64>>,
    next: Cell<u64>,
    clients: RefCell<BTreeMap<u64, Rc<ClientState>>>,
}

impl ClientRegistry {
    /// Adds a connection that is idle so far; returns its key.
    pub(crate) fn add(&self) -> (u64, Rc<ClientState>) {
        let key = self.next.get();
        self.next.set(key + 1);
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

    /// Closes connections that have been idle, or in the middle of a head, for too long.
    pub(crate) fn sweep(&self, idle_limit: Duration, head_limit: Duration) {
        let now = self.sweeps.get() + 1;
        self.sweeps.set(now);
        let (idle_limit, head_limit) = (sweeps_in(idle_limit), sweeps_in(head_limit));
        for state in self.clients.borrow().values() {
            let late = match state.activity.get() {
                Activity::Idle { since } => now - since > idle_limit,
                Activity::ReadingHead { since } => now - since > head_limit,
                Activity::Serving => false,
            };
            if late {
                state.request_close();
            }
        }
    }

    /// Closes all connections that are between requests.
    pub(crate) fn close_idle(&self) {
        for state in self.clients.borrow().values() {
            if let Activity::Idle { .. } = state.activity.get() {
                state.request_close();
            }
        }
    }

    /// Closes the connection that has been idle for longest; false if none is idle.
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

fn sweeps_in(limit: Duration) -> u64 {
    limit.as_millis().div_ceil(SWEEP_PERIOD.as_millis()) as u64
}
