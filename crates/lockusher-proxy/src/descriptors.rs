//! Counts the descriptors of clients and searchers together against the limit of the process.
//!
//! The listener and the pool acquire a permit for each socket; dropped with the socket, it gives the descriptor back.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// The sockets that may be open at once.
#[derive(Debug)]
pub(crate) struct Descriptors {
    limit: u64,
    open: Cell<u64>,
    /// The accept loop, where it waits for capacity.
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

    /// Counts a socket; it may exceed the limit by what was accepted already.
    pub(crate) fn acquire(self: &Rc<Self>) -> DescriptorPermit {
        self.open.set(self.open.get() + 1);
        DescriptorPermit {
            descriptors: self.clone(),
        }
    }

    /// Waits until another socket may be opened. One waiter at a time.
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

/// Permit for one open socket; given back when dropped.
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
