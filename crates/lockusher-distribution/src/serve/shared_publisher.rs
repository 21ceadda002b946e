//! A publisher that the connections of one thread share.
//!
//! Owned by the program that publishes and by each connection's task. Invariant: each change by
//! [`SharedPublisher::update`] wakes all connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use lockusher_transport::clock::Clock;

use crate::change_notifier::ChangeNotifier;
use crate::message::FromSubscriber;
use crate::publisher::{Publisher, SubscriberId};

/// A publisher, with notifiers for its connections and for the tasks that wait for its subscribers.
#[derive(Debug)]
pub struct SharedPublisher {
    publisher: RefCell<Publisher>,
    changed: ChangeNotifier,
    subscriber_activity: ChangeNotifier,
    closed: Cell<bool>,
    clock: Clock,
}

impl SharedPublisher {
    /// Shares a publisher; `clock` is that of the process.
    pub fn new(publisher: Publisher, clock: Clock) -> Rc<Self> {
        Rc::new(SharedPublisher {
            publisher: RefCell::new(publisher),
            changed: ChangeNotifier::default(),
            subscriber_activity: ChangeNotifier::default(),
            closed: Cell::new(false),
            clock,
        })
    }

    /// Modifies the publisher and wakes all connections, so that each sends what has become due.
    pub fn update<R>(&self, f: impl FnOnce(&mut Publisher) -> R) -> R {
        let result = f(&mut self.publisher.borrow_mut());
        self.changed.notify();
        result
    }

    /// Modifies the publisher without waking connections, for changes that can wait until the next heartbeat.
    pub fn update_no_wake<R>(&self, f: impl FnOnce(&mut Publisher) -> R) -> R {
        f(&mut self.publisher.borrow_mut())
    }

    /// Reads the publisher.
    pub fn read<R>(&self, f: impl FnOnce(&Publisher) -> R) -> R {
        f(&self.publisher.borrow())
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.closed.set(true);
        self.changed.notify();
    }

    /// Notified of each message of a subscriber, and of each connection that ends.
    pub fn subscriber_activity(&self) -> &ChangeNotifier {
        &self.subscriber_activity
    }

    /// Notified of each change after which messages may be due.
    pub(super) fn changed(&self) -> &ChangeNotifier {
        &self.changed
    }

    /// Whether [`SharedPublisher::close`] was called.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Returns the time on the process's monotonic clock, in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.clock.millis()
    }

    /// Adds a new connection.
    pub(super) fn connect(&self) -> SubscriberId {
        self.publisher.borrow_mut().connect(self.now_ms())
    }

    /// Removes a connection that has ended.
    pub(super) fn disconnect(&self, id: SubscriberId) {
        self.publisher.borrow_mut().disconnect(id);
        self.subscriber_activity.notify();
    }

    /// Records that a subscriber is active without a message.
    pub(super) fn record_activity(&self, id: SubscriberId) {
        let now_ms = self.now_ms();
        self.publisher.borrow_mut().record_activity(id, now_ms);
    }

    /// Handles a message of a subscriber.
    pub(super) fn receive(&self, id: SubscriberId, message: FromSubscriber) {
        self.publisher
            .borrow_mut()
            .receive(id, self.now_ms(), message);
        self.subscriber_activity.notify();
    }
}
