//! Keeps a subscription alive over TCP: connects, reads, acknowledges, and moves to another publisher when one is
//! lost, silent or outside the current view.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use lockusher_transport::clock::Clock;
use lockusher_transport::frame::{self, FrameReader, FrameWriter};

use crate::change_notifier::ChangeNotifier;
use crate::message::{Envelope, ToSubscriber};
use crate::reconnect::{
    Attempt, CONNECT_TIMEOUT_MS, ConnectionPolicy, OUT_OF_VIEW_TIMEOUT_MS, PUBLISHER_INACTIVITY_TIMEOUT_MS,
};
use crate::subscribe::error::SubscribeError;
use crate::subscriber::Subscriber;

/// Pause when no publisher's address is known.
const NO_ADDRESS_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A subscriber that its connection's task and its readers share.
pub struct SharedSubscriber<P> {
    pub(super) subscriber: RefCell<Subscriber>,
    policy: RefCell<P>,
    pub(super) changed: ChangeNotifier,
    pub(super) clock: Clock,
}

impl<P: ConnectionPolicy + 'static> SharedSubscriber<P> {
    /// Shares a subscriber; `clock` is the process's.
    pub fn new(subscriber: Subscriber, policy: P, clock: Clock) -> Rc<Self> {
        Rc::new(SharedSubscriber {
            subscriber: RefCell::new(subscriber),
            policy: RefCell::new(policy),
            changed: ChangeNotifier::default(),
            clock,
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

    /// Signals each message that was received, and each loss of a publisher.
    pub fn changed(&self) -> &ChangeNotifier {
        &self.changed
    }

    /// Keeps the subscription alive for ever.
    pub async fn run(self: Rc<Self>) {
        loop {
            let attempt = self.policy.borrow_mut().next_attempt(self.clock.millis());
            let Some(attempt) = attempt else {
                compio::time::sleep(NO_ADDRESS_RETRY_INTERVAL).await;
                continue;
            };
            if let Err(error) = self.follow(attempt).await {
                log::debug!("publisher {}: {error}", attempt.address);
            }
            self.policy.borrow_mut().lost(self.clock.millis());
            self.changed.notify();
        }
    }

    /// Connects to one publisher and reads until the connection ends.
    async fn follow(&self, attempt: Attempt) -> Result<(), SubscribeError> {
        let delay_ms = attempt.at_ms.saturating_sub(self.clock.millis());
        compio::time::sleep(Duration::from_millis(delay_ms)).await;
        let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = lockusher_transport::tcp::connect(attempt.address, connect_timeout).await?;
        let (mut reader, mut writer) = frame::split::<Envelope, Envelope>(stream)?;
        let subscribe = self.subscriber.borrow_mut().subscribe(self.clock.millis());
        writer.write(&Envelope::seal(&subscribe)).await?;
        let mut established = false;
        let mut in_view_at_ms = self.clock.millis();
        loop {
            self.receive(&mut reader, &mut writer).await?;
            let now_ms = self.clock.millis();
            if !established {
                established = true;
                self.policy.borrow_mut().established(now_ms);
            }
            if self.subscriber.borrow().publisher_in_view() {
                in_view_at_ms = now_ms;
            }
            let out_of_view = now_ms.saturating_sub(in_view_at_ms) >= OUT_OF_VIEW_TIMEOUT_MS;
            if out_of_view && self.policy.borrow().leaves_out_of_view() {
                return Err(SubscribeError::OutOfView);
            }
        }
    }

    async fn receive(
        &self,
        reader: &mut FrameReader<Envelope>,
        writer: &mut FrameWriter<Envelope>,
    ) -> Result<(), SubscribeError> {
        let inactivity_timeout = Duration::from_millis(PUBLISHER_INACTIVITY_TIMEOUT_MS);
        let envelope = compio::time::timeout(inactivity_timeout, reader.read())
            .await
            .map_err(|_| SubscribeError::InactivityTimeout)??;
        let message: ToSubscriber = envelope.open()?;
        if let ToSubscriber::ControlNodes(addresses) = &message {
            self.policy.borrow_mut().learn(addresses);
        }
        let answer = self.subscriber.borrow_mut().receive(self.clock.millis(), message);
        self.changed.notify();
        if let Some(answer) = answer {
            writer.write(&Envelope::seal(&answer)).await?;
        }
        Ok(())
    }
}
