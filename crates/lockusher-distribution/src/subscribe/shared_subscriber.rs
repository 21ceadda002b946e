//! Keeps one subscription alive over TCP.
//!
//! A [`SharedSubscriber`] is owned by the program that subscribes, and by the task of [`SharedSubscriber::run`], which
//! connects, reads and acknowledges. It moves on to the publisher that its [`ConnectionPolicy`] chooses when a
//! connection is lost, when the publisher is inactive and, if the policy says so, when the publisher is outside the
//! current view.
//!
//! Invariant: there is at most one connection at a time, and none of the cells is borrowed across an await.

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
    Attempt, CONNECT_TIMEOUT_MS, ConnectionPolicy, OUT_OF_VIEW_TIMEOUT_MS,
    PUBLISHER_INACTIVITY_TIMEOUT_MS, REFERRAL_TIMEOUT_MS,
};
use crate::subscribe::connection_log::ConnectionLog;
use crate::subscribe::error::SubscribeError;
use crate::subscriber::Subscriber;

/// Interval at which the policy is asked again while no publisher's address is known.
const NO_ADDRESS_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// What a message was about, as far as its connection depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Received {
    /// It named control nodes.
    ControlNodes,
    /// It was of another kind, or named none.
    Other,
}

impl Received {
    fn of(message: &ToSubscriber) -> Self {
        match message {
            ToSubscriber::ControlNodes(addresses) if !addresses.is_empty() => Self::ControlNodes,
            _ => Self::Other,
        }
    }
}

/// A subscriber that its connection's task shares with those who use what it has applied.
pub struct SharedSubscriber<P> {
    subscriber: RefCell<Subscriber>,
    policy: RefCell<P>,
    changed: ChangeNotifier,
    /// Notified of addresses that are learned, so that no attempt at an older one is waited for.
    addresses_learned: ChangeNotifier,
    clock: Clock,
    log: RefCell<ConnectionLog>,
}

impl<P: ConnectionPolicy + 'static> SharedSubscriber<P> {
    /// Shares a subscriber; `clock` is the process's.
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

    /// Looks at the subscriber.
    pub fn read<R>(&self, look: impl FnOnce(&Subscriber) -> R) -> R {
        look(&self.subscriber.borrow())
    }

    /// Changes the subscriber and wakes those who wait for changes.
    pub fn update<R>(&self, change: impl FnOnce(&mut Subscriber) -> R) -> R {
        let result = change(&mut self.subscriber.borrow_mut());
        self.changed.notify();
        result
    }

    /// Changes the subscriber without waking anyone.
    pub fn update_quietly<R>(&self, change: impl FnOnce(&mut Subscriber) -> R) -> R {
        change(&mut self.subscriber.borrow_mut())
    }

    /// Changes the way that publishers are chosen.
    pub fn update_policy<R>(&self, change: impl FnOnce(&mut P) -> R) -> R {
        change(&mut self.policy.borrow_mut())
    }

    /// Takes addresses of publishers that were learned elsewhere; an attempt that waits for its time is given up.
    pub fn learn(&self, addresses: &[SocketAddrV4]) {
        self.policy.borrow_mut().learn(addresses);
        self.addresses_learned.notify();
    }

    /// Notified of each message that was received, and of each loss of a publisher.
    pub fn changed(&self) -> &ChangeNotifier {
        &self.changed
    }

    /// The time on the process's steady clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.millis()
    }

    /// Keeps the subscription alive for ever.
    pub async fn run(self: Rc<Self>) {
        loop {
            let attempt = self.policy.borrow_mut().next_attempt(self.clock.millis());
            let Some(attempt) = attempt else {
                self.log.borrow_mut().no_address(self.clock.millis());
                compio::time::sleep(NO_ADDRESS_RETRY_INTERVAL).await;
                continue;
            };
            if !self.is_due(attempt).await {
                continue;
            }
            let Err(error) = self.follow(attempt).await;
            self.log_end(attempt, &error);
            self.policy.borrow_mut().lost(self.clock.millis());
            self.changed.notify();
        }
    }

    /// Waits until an attempt is due; false if newer addresses were learned meanwhile.
    async fn is_due(&self, attempt: Attempt) -> bool {
        let seen = self.addresses_learned.generation();
        let delay_ms = attempt.at_ms.saturating_sub(self.clock.millis());
        let due = compio::time::sleep(Duration::from_millis(delay_ms));
        let learned = self.addresses_learned.changed_since(seen);
        pin_mut!(due, learned);
        matches!(select(due, learned).await, Either::Left(_))
    }

    fn log_end(&self, attempt: Attempt, error: &SubscribeError) {
        let version = self.subscriber.borrow().applied().configuration_version;
        let now_ms = self.clock.millis();
        let mut log = self.log.borrow_mut();
        log.ended(now_ms, attempt.address, error, version);
    }

    /// Connects to one publisher and applies what it sends until the connection ends.
    async fn follow(&self, attempt: Attempt) -> Result<Infallible, SubscribeError> {
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
                self.policy.borrow_mut().established(now_ms);
                self.log.borrow_mut().established(now_ms, attempt.address);
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
        attempt: Attempt,
    ) -> Result<(FrameReader<Envelope>, FrameWriter<Envelope>), SubscribeError> {
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = lockusher_transport::tcp::connect(attempt.address, timeout).await?;
        Ok(frame::split(stream)?)
    }

    /// Fails once an agent has named control nodes, or knew none for too long.
    fn check_referral(&self, received: Received, connected_ms: u64) -> Result<(), SubscribeError> {
        if !self.policy.borrow().is_referrer() {
            return Ok(());
        }
        let named = received == Received::ControlNodes;
        if named || connected_ms >= REFERRAL_TIMEOUT_MS {
            return Err(SubscribeError::Referral { named });
        }
        Ok(())
    }

    /// Fails if the publisher has been outside the current view for too long.
    fn check_view(&self, now_ms: u64, in_view_at_ms: u64) -> Result<(), SubscribeError> {
        let out_of_view = now_ms.saturating_sub(in_view_at_ms) >= OUT_OF_VIEW_TIMEOUT_MS;
        if out_of_view && self.policy.borrow().leaves_out_of_view() {
            return Err(SubscribeError::OutOfView);
        }
        Ok(())
    }

    /// Takes the next message and answers it.
    async fn receive(
        &self,
        reader: &mut FrameReader<Envelope>,
        writer: &mut FrameWriter<Envelope>,
    ) -> Result<Received, SubscribeError> {
        let inactivity_timeout = Duration::from_millis(PUBLISHER_INACTIVITY_TIMEOUT_MS);
        let envelope = match reader.read_within(inactivity_timeout).await {
            Err(TransportError::TimedOut { .. }) => return Err(SubscribeError::InactivityTimeout),
            received => received?,
        };
        let message: ToSubscriber = envelope.decode()?;
        let received = Received::of(&message);
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
