//! A publisher that the connections of one thread share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use lockusher_transport::clock::Clock;

use crate::change_notifier::ChangeNotifier;
use crate::publisher::Publisher;

/// A publisher that several connections share, with the signal that wakes them.
#[derive(Debug)]
pub struct SharedPublisher {
    pub(super) publisher: RefCell<Publisher>,
    pub(super) changed: ChangeNotifier,
    pub(super) subscriber_activity: ChangeNotifier,
    pub(super) closed: Cell<bool>,
    pub(super) clock: Clock,
}

impl SharedPublisher {
    /// Shares a publisher; `clock` is the process's.
    pub fn new(publisher: Publisher, clock: Clock) -> Rc<Self> {
        Rc::new(SharedPublisher {
            publisher: RefCell::new(publisher),
            changed: ChangeNotifier::default(),
            subscriber_activity: ChangeNotifier::default(),
            closed: Cell::new(false),
            clock,
        })
    }

    /// Changes the publisher and lets every connection send what became due.
    pub fn update<R>(&self, change: impl FnOnce(&mut Publisher) -> R) -> R {
        let result = change(&mut self.publisher.borrow_mut());
        self.changed.notify();
        result
    }

    /// Changes the publisher without waking connections: for what can wait for the next heartbeat.
    pub fn update_quietly<R>(&self, change: impl FnOnce(&mut Publisher) -> R) -> R {
        change(&mut self.publisher.borrow_mut())
    }

    /// Looks at the publisher.
    pub fn read<R>(&self, look: impl FnOnce(&Publisher) -> R) -> R {
        look(&self.publisher.borrow())
    }

    /// Ends every connection.
    pub fn close(&self) {
        self.closed.set(true);
        self.changed.notify();
    }

    /// Signals each message of a subscriber, and each end of one.
    pub fn subscriber_activity(&self) -> &ChangeNotifier {
        &self.subscriber_activity
    }
}
