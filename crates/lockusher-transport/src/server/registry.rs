//! All connections of a server, so that idle and stuck ones are closed without a timer for each, and a shutdown can wait
//! for the last one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::{Future, poll_fn};
use std::ops::Deref;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

use super::state::{Activity, ConnectionState};

/// Interval between two sweeps over the connections.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// All connections of a server, in the order in which they were accepted.
#[derive(Debug, Default)]
pub struct ConnectionRegistry {
    sweeps: Rc<Cell<u64>>,
    next_key: Cell<u64>,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    /// Whether all connections are to be closed between two requests, also those that are added later.
    closes_when_idle: Cell<bool>,
    /// Whether requests in progress are to be answered now, whatever they wait for.
    requests_cut: Cell<bool>,
    /// Waker of the task that waits until all connections have ended.
    waiting: RefCell<Option<Waker>>,
}

/// A connection in a registry; dropping it removes the connection.
#[derive(Debug)]
pub struct RegisteredConnection {
    registry: Rc<ConnectionRegistry>,
    key: u64,
    state: Rc<ConnectionState>,
}

impl RegisteredConnection {
    /// The shared state of the connection.
    pub fn share(&self) -> Rc<ConnectionState> {
        self.state.clone()
    }
}

impl Deref for RegisteredConnection {
    type Target = ConnectionState;

    fn deref(&self) -> &ConnectionState {
        &self.state
    }
}

impl Drop for RegisteredConnection {
    fn drop(&mut self) {
        let mut connections = self.registry.connections.borrow_mut();
        connections.remove(&self.key);
        if connections.is_empty()
            && let Some(waker) = self.registry.waiting.borrow_mut().take()
        {
            waker.wake();
        }
    }
}

impl ConnectionRegistry {
    /// Adds a connection as idle.
    pub fn add(self: &Rc<Self>) -> RegisteredConnection {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        let state = ConnectionState::new(self.sweeps.clone(), self.closes_when_idle.get());
        self.connections.borrow_mut().insert(key, state.clone());
        RegisteredConnection {
            registry: self.clone(),
            key,
            state,
        }
    }

    /// Closes connections that exceed the idle limit or the limit for receiving a head.
    pub fn sweep(&self, idle_limit: Duration, head_limit: Duration) {
        let now = self.sweeps.get() + 1;
        self.sweeps.set(now);
        let (idle_limit, head_limit) = (sweeps_in(idle_limit), sweeps_in(head_limit));
        for state in self.connections.borrow().values() {
            match state.activity() {
                Activity::Idle { since } if now - since > idle_limit => state.close_when_idle(),
                Activity::ReadingHead { since } if now - since > head_limit => {
                    state.close_before_next_request();
                }
                _ => {}
            }
        }
    }

    /// Closes the connection that has been idle for the longest time; false if none is idle.
    pub fn close_one_idle(&self) -> bool {
        let connections = self.connections.borrow();
        let open = connections.values().filter(|state| !state.is_closing());
        let idle = open.filter_map(|state| match state.activity() {
            Activity::Idle { since } => Some((since, state)),
            _ => None,
        });
        let Some((_, state)) = idle.min_by_key(|(since, _)| *since) else {
            return false;
        };
        state.close_when_idle();
        true
    }

    /// Closes each connection as soon as it is between two requests: idle ones now, others after their response. What
    /// has arrived by then is read first.
    pub fn close_all_when_idle(&self) {
        self.closes_when_idle.set(true);
        for state in self.connections.borrow().values() {
            state.close_when_idle();
        }
    }

    /// Whether [`Self::close_all_when_idle`] was called.
    pub fn is_closing(&self) -> bool {
        self.closes_when_idle.get()
    }

    /// Completes [`Self::unless_cut`] for all requests in progress.
    pub fn cut_requests(&self) {
        self.requests_cut.set(true);
        for state in self.connections.borrow().values() {
            state.wake();
        }
    }

    /// Whether [`Self::cut_requests`] was called.
    pub fn are_requests_cut(&self) -> bool {
        self.requests_cut.get()
    }

    /// Waits for `future`, which is polled by the task of a connection; `None` once requests are cut.
    pub async fn unless_cut<F: Future>(&self, future: F) -> Option<F::Output> {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(Some(output));
            }
            if self.are_requests_cut() {
                return Poll::Ready(None);
            }
            Poll::Pending
        })
        .await
    }

    /// Waits until all connections have ended. Only one task may wait at a time.
    pub async fn all_ended(&self) {
        poll_fn(|cx| {
            if self.connections.borrow().is_empty() {
                return Poll::Ready(());
            }
            *self.waiting.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Number of requests whose responses are not written completely.
    pub fn requests_in_progress(&self) -> usize {
        let connections = self.connections.borrow();
        let is_in_progress = |state: &&Rc<ConnectionState>| {
            matches!(state.activity(), Activity::Serving | Activity::Writing)
        };
        connections.values().filter(is_in_progress).count()
    }
}

/// The number of sweeps in a duration, rounded up.
fn sweeps_in(limit: Duration) -> u64 {
    limit.as_millis().div_ceil(SWEEP_INTERVAL.as_millis()) as u64
}
