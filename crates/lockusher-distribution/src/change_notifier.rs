//! Wakes the tasks of one thread when shared state has changed.
//!
//! A [`ChangeNotifier`] belongs to the owner of the state, who notifies it after each change. A task reads the
//! generation, looks at the state, and then waits for another generation: no change is missed in between.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Counts changes; tasks wait until the count differs from the one that they saw.
#[derive(Debug, Default)]
pub struct ChangeNotifier {
    generation: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl ChangeNotifier {
    /// Number of changes so far.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Counts a change and wakes all tasks that wait.
    pub fn notify(&self) {
        self.generation.set(self.generation.get() + 1);
        for waker in self.waiting.take() {
            waker.wake();
        }
    }

    /// Waits until the generation differs from `seen`; returns it.
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
