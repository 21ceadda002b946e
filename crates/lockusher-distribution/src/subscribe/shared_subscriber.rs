//! Maintains one subscription over TCP.
//!
//! A [`SharedSubscriber`] is owned by the program that subscribes, and by the task of [`SharedSubscriber::run`], which
//! connects, reads and acknowledges. It connects to another publisher, selected by its [`ConnectionPolicy`], when a
//! connection is lost, when the publisher is inactive and, depending on the policy, when the publisher isn't a member
//! of the current view.
//!
//! Invariant: there is at most one connection at a time, and no cell is borrowed across an await.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};
use futures_util::pin_mut;
use lockusher_transport::clock::Clock;
use lockusher_transport::error::TransportError;
use lockusher_transport::frame::{self, FrameReader, FrameWriter};

use crate::change_notifier::ChangeNotifier;
use crate::message::{Envelope, ToSubscriber};
use crate::reconnect::{
    CONNECT_TIMEOUT_MS, ConnectionAttempt, ConnectionPolicy, OUT_OF_VIEW_TIMEOUT_MS,
    PUBLISHER_INACTIVITY_TIMEOUT_MS, REFERRAL_TIMEOUT_MS,
};
use crate::subscribe::connection_log::ConnectionLog;
use crate::subscribe::error::SubscribeError;
use crate::subscriber::Subscriber;

/// Interval between calls of the policy while no publisher's address is known.
const NO_ADDRESS_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Kind of a received message, as far as it matters for the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReceivedKind {
    /// A message with control nodes.
    ControlNodes,
    /// Any other message, or one without control nodes.
    Other,
}

impl ReceivedKind {
    fn of(message: &ToSubscriber) -> Self {
        match message {
            ToSubscriber::ControlNodes(addresses) if !addresses.is_empty() => Self::ControlNodes,
            _ => Self::Other,
        }
    }
}

/// A subscriber that the connection's task shares with the users of the applied versions.
pub struct SharedSubscriber<P> {
    subscriber: RefCell<Subscriber>,
    policy: RefCell<P>,
    changed: ChangeNotifier,
    /// Notified of newly learned addresses, so that a pending attempt at an older one is abandoned.
    addresses_learned: ChangeNotifier,
    clock: Clock,
    log: RefCell<ConnectionLog>,
}

impl<P: ConnectionPolicy + 'static> SharedSubscriber<P> {
    /// Shares a subscriber; `clock` is that of the process.
    pub fn new(subscriber: Subscriber, policy: P, clock: Clock) -> Rc<Self> {
        Rc::new(SharedSubscriber {
            subscriber: RefCell::new(subscriber),
            policy: RefCell::new(policy),
            changed: ChangeNotifier::default(),
            addresses_learned: ChangeNotifier::default(),
            clock,
            log: RefCell::default(),
        })
    }

    /// Reads the subscriber.
    pub fn read<R>(&self, f: impl FnOnce(&Subscriber) -> R) -> R {
        f(&self.subscriber.borrow())
    }

    /// Modifies the subscriber and wakes the tasks that wait for changes.
    pub fn update<R>(&self, f: impl FnOnce(&mut Subscriber) -> R) -> R {
        let result = f(&mut self.subscriber.borrow_mut());
        self.changed.notify();
        result
    }

    /// Modifies the subscriber without waking any task.
    pub fn update_no_wake<R>(&self, f: impl FnOnce(&mut Subscriber) -> R) -> R {
        f(&mut self.subscriber.borrow_mut())
    }

    /// Modifies the connection policy.
    pub fn update_policy<R>(&self, f: impl FnOnce(&mut P) -> R) -> R {
        f(&mut self.policy.borrow_mut())
    }

    /// Passes on addresses of publishers learned from another source; a pending attempt is abandoned.
    pub fn learn(&self, addresses: &[SocketAddrV4]) {
        self.policy.borrow_mut().learn(addresses);
        self.addresses_learned.notify();
    }

    /// Notified of each received message, and of each failed attempt or lost connection.
    pub fn changed(&self) -> &ChangeNotifier {
        &self.changed
    }

    /// Returns the time on the process's monotonic clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.millis()
    }

    /// Maintains the subscription until dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            let attempt = self.policy.borrow_mut().next_attempt(self.clock.millis());
            let Some(attempt) = attempt else {
                self.log.borrow_mut().log_no_address(self.clock.millis());
                compio::time::sleep(NO_ADDRESS_RETRY_INTERVAL).await;
                continue;
            };
            if !self.wait_until_due(attempt).await {
                continue;
            }
            let Err(error) = self.run_connection(attempt).await;
            self.log_connection_end(attempt, &error);
            self.policy.borrow_mut().on_lost(self.clock.millis());
            self.changed.notify();
        }
    }

    /// Waits until an attempt is due; returns false if addresses were learned meanwhile.
    async fn wait_until_due(&self, attempt: ConnectionAttempt) -> bool {
        let seen = self.addresses_learned.generation();
        let delay_ms = attempt.at_ms.saturating_sub(self.clock.millis());
        let due = compio::time::sleep(Duration::from_millis(delay_ms));
        let learned = self.addresses_learned.changed_since(seen);
        pin_mut!(due, learned);
        matches!(select(due, learned).await, Either::Left(_))
    }

    fn log_connection_end(&self, attempt: ConnectionAttempt, error: &SubscribeError) {
        let version = self.subscriber.borrow().applied().configuration_version;
        let now_ms = self.clock.millis();
        let mut log = self.log.borrow_mut();
        log.log_ended(now_ms, attempt.address, error, version);
    }

    /// Connects to one publisher and applies what it sends until the connection ends.
    async fn run_connection(
        &self,
        attempt: ConnectionAttempt,
    ) -> Result<Infallible, SubscribeError> {
        let (mut reader, mut writer) = self.connect(attempt).await?;
        let subscribe = self.subscriber.borrow_mut().subscribe(self.clock.millis());
        writer.write(&Envelope::encode(&subscribe)).await?;
        let mut is_established = false;
        let connected_at_ms = self.clock.millis();
        let mut in_view_at_ms = connected_at_ms;
        loop {
            let received = self.receive(&mut reader, &mut writer).await?;
            let now_ms = self.clock.millis();
            self.check_referral(received, now_ms.saturating_sub(connected_at_ms))?;
            if !is_established {
                is_established = true;
                self.policy.borrow_mut().on_established(now_ms);
                self.log
                    .borrow_mut()
                    .log_established(now_ms, attempt.address);
            }
            if self.subscriber.borrow().publisher_in_view() {
                in_view_at_ms = now_ms;
            }
            self.check_view(now_ms, in_view_at_ms)?;
        }
    }

    /// Connects to one publisher.
    async fn connect(
        &self,
        attempt: ConnectionAttempt,
    ) -> Result<(FrameReader<Envelope>, FrameWriter<Envelope>), SubscribeError> {
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = lockusher_transport::tcp::connect(attempt.address, timeout).await?;
        Ok(frame::split(stream)?)
    }

    /// Fails if the peer is a referrer that has returned control nodes, or none in time.
    fn check_referral(
        &self,
        received: ReceivedKind,
        connected_ms: u64,
    ) -> Result<(), SubscribeError> {
        if !self.policy.borrow().is_referrer() {
            return Ok(());
        }
        let returned_control_nodes = received == ReceivedKind::ControlNodes;
        if returned_control_nodes || connected_ms >= REFERRAL_TIMEOUT_MS {
            return Err(SubscribeError::Referral {
                returned_control_nodes,
            });
        }
        Ok(())
    }

    /// Fails if the publisher hasn't been a member of the current view for too long.
    fn check_view(&self, now_ms: u64, in_view_at_ms: u64) -> Result<(), SubscribeError> {
        let out_of_view = now_ms.saturating_sub(in_view_at_ms) >= OUT_OF_VIEW_TIMEOUT_MS;
        if out_of_view && self.policy.borrow().disconnects_out_of_view() {
            return Err(SubscribeError::OutOfView);
        }
        Ok(())
    }

    /// Reads the next message and answers it.
    async fn receive(
        &self,
        reader: &mut FrameReader<Envelope>,
        writer: &mut FrameWriter<Envelope>,
    ) -> Result<ReceivedKind, SubscribeError> {
        let inactivity_timeout = Duration::from_millis(PUBLISHER_INACTIVITY_TIMEOUT_MS);
        let envelope = match reader.read_within(inactivity_timeout).await {
            Err(TransportError::TimedOut { .. }) => return Err(SubscribeError::InactivityTimeout),
            received => received?,
        };
        let message: ToSubscriber = envelope.decode()?;
        let received = ReceivedKind::of(&message);
        if let ToSubscriber::ControlNodes(addresses) = &message {
            self.policy.borrow_mut().learn(addresses);
        }
        let answer = self
            .subscriber
            .borrow_mut()
            .receive(self.clock.millis(), message);
        self.changed.notify();
        if let Some(answer) = answer {
            writer.write(&Envelope::encode(&answer)).await?;
        }
        Ok(received)
    }
}
