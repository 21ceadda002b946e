//! Limits the file descriptors of client and searcher connections together.
//!
//! The listener and the connection pool acquire a permit for each socket and drop it with the socket.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// The number of open sockets and its limit.
#[derive(Debug)]
pub(crate) struct Descriptors {
    limit: u64,
    open: Cell<u64>,
    /// Waker of the accept loop while it waits for capacity.
    waiting: RefCell<Option<Waker>>,
}

impl Descriptors {
    pub(crate) fn new(limit: u64) -> Rc<Self> {
        Rc::new(Descriptors {
            limit,
            open: Cell::new(0),
            waiting: RefCell::new(None),
        })
    }

    /// Whether another socket may be opened.
    pub(crate) fn has_capacity(&self) -> bool {
        self.open.get() < self.limit
    }

    /// Acquires a permit for a socket. The limit isn't enforced here, as the socket may be open already.
    pub(crate) fn acquire(self: &Rc<Self>) -> DescriptorPermit {
        self.open.set(self.open.get() + 1);
        DescriptorPermit {
            descriptors: self.clone(),
        }
    }

    /// Waits until another socket may be opened. Only one task may wait at a time.
    pub(crate) async fn capacity_available(&self) {
        poll_fn(|cx| {
            if self.has_capacity() {
                return Poll::Ready(());
            }
            *self.waiting.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

/// A permit for one open socket; released when dropped.
#[derive(Debug)]
pub(crate) struct DescriptorPermit {
    descriptors: Rc<Descriptors>,
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let open = &self.descriptors.open;
        open.set(open.get() - 1);
        if let Some(waker) = self.descriptors.waiting.borrow_mut().take() {
            waker.wake();
        }
    }
}
