//! A publisher that the connections of one thread share.
//!
//! Owned by the program that publishes and by each connection's task. Invariant: whoever changes what is published by
//! [`SharedPublisher::update`] wakes all connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use lockusher_transport::clock::Clock;

use crate::change_notifier::ChangeNotifier;
use crate::message::FromSubscriber;
use crate::publisher::{Publisher, SubscriberId};

/// A publisher with what wakes its connections, and those who watch its subscribers.
#[derive(Debug)]
pub struct SharedPublisher {
    publisher: RefCell<Publisher>,
    changed: ChangeNotifier,
    subscriber_activity: ChangeNotifier,
    closed: Cell<bool>,
    clock: Clock,
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

    /// Notified of each message of a subscriber, and of each end of a connection.
    pub fn subscriber_activity(&self) -> &ChangeNotifier {
        &self.subscriber_activity
    }

    /// Notified of each change that connections may have to send.
    pub(super) fn changed(&self) -> &ChangeNotifier {
        &self.changed
    }

    /// Whether [`SharedPublisher::close`] was called.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// The time on the process's steady clock, in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.clock.millis()
    }

    /// Adds a connection that has come up.
    pub(super) fn connect(&self) -> SubscriberId {
        self.publisher.borrow_mut().connect(self.now_ms())
    }

    /// Removes a connection that has ended.
    pub(super) fn disconnect(&self, id: SubscriberId) {
        self.publisher.borrow_mut().disconnect(id);
        self.subscriber_activity.notify();
    }

    /// A subscriber has shown that it is there without a message.
    pub(super) fn record_contact(&self, id: SubscriberId) {
        let now_ms = self.now_ms();
        self.publisher.borrow_mut().record_contact(id, now_ms);
    }

    /// Takes a message of a subscriber.
    pub(super) fn receive(&self, id: SubscriberId, message: FromSubscriber) {
        self.publisher
            .borrow_mut()
            .receive(id, self.now_ms(), message);
        self.subscriber_activity.notify();
    }
}
