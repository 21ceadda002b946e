//! Wakes the tasks of one thread when shared state changes.
//!
//! The owner of the state has a [`ChangeNotifier`] and notifies it after each change. A task reads the generation,
//! reads the state, and then waits until the generation differs: it misses no change between the two.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Counts changes; tasks wait until the count differs from the one that they read last.
#[derive(Debug, Default)]
pub struct ChangeNotifier {
    generation: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl ChangeNotifier {
    /// Returns the number of changes so far.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Counts a change and wakes all waiting tasks.
    pub fn notify(&self) {
        self.generation.set(self.generation.get() + 1);
        for waker in self.waiting.take() {
            waker.wake();
        }
    }

    /// Waits until the generation differs from `seen` and returns it.
    pub async fn changed_since(&self, seen: u64) -> u64 {
        poll_fn(|context| {
            if self.generation.get() != seen {
                return Poll::Ready(self.generation.get());
            }
            let mut waiting = self.waiting.borrow_mut();
            if !waiting.iter().any(|waker| waker.will_wake(context.waker())) {
                waiting.push(context.waker().clone());
            }
            Poll::Pending
        })
        .await
    }
}
