//! Keeps a subscription alive over TCP: connects, reads, acknowledges, and moves to another publisher when one is
//! lost, silent or outside the current view.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;
use derive_more::{Display, Error, From};
use futures_util::Stream;
use lockusher_config::configuration::Configuration;
use lockusher_config::instances::{Instance, InstanceListRevision};
use lockusher_transport::clock::Clock;
use lockusher_transport::error::TransportError;
use lockusher_transport::frame::{self, FrameReader, FrameWriter};

use crate::change_notifier::ChangeNotifier;
use crate::departures::DepartedInstances;
use crate::load::ServiceLoad;
use crate::message::{Envelope, MessageError, SubscriberIdentity, ToSubscriber};
use crate::reconnect::{
    Attempt, CONNECT_TIMEOUT_MS, ConnectionPolicy, FixedAddressPolicy, OUT_OF_VIEW_TIMEOUT_MS,
    PUBLISHER_INACTIVITY_TIMEOUT_MS,
};
use crate::subscriber::Subscriber;

/// Pause when no publisher's address is known.
const NO_ADDRESS_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Why a connection to a publisher ended.
#[derive(Debug, Display, Error, From)]
pub enum SubscribeError {
    #[display("{_0}")]
    Transport(TransportError),
    #[display("{_0}")]
    Message(MessageError),
    #[display("the publisher fell silent")]
    InactivityTimeout,
    #[display("the publisher is outside the current view")]
    OutOfView,
}

/// A subscriber that its connection's task and its readers share.
pub struct SharedSubscriber<P> {
    subscriber: RefCell<Subscriber>,
    policy: RefCell<P>,
    changed: ChangeNotifier,
    clock: Clock,
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

/// Something newer for a proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedUpdate {
    Configuration(Rc<Configuration>),
    Instances {
        revision: InstanceListRevision,
        instances: Rc<Vec<Instance>>,
    },
    /// Number of proxies in the fleet that are subscribed, for budgets that they share.
    FleetSize(u32),
}

/// A proxy's subscription to the agent beside it; ends when dropped.
///
/// Only the newest is kept: a reader that is slow skips versions, and never sees an older one after a newer. A searcher
/// that was seen draining or gone doesn't come back, also when the agent was restarted meanwhile.
pub struct Feed {
    shared: Rc<SharedSubscriber<FixedAddressPolicy>>,
    _connection: JoinHandle<()>,
    delivered_configuration_version: u64,
    delivered_list_revision: InstanceListRevision,
    delivered_instances: Rc<Vec<Instance>>,
    delivered_fleet_size: u32,
    ended: DepartedInstances,
}

/// Subscribes to the publisher at `agent`; the connection is made, and made again, in a task of its own.
pub fn subscribe(agent: SocketAddrV4, identity: SubscriberIdentity, clock: Clock, random_seed: u64) -> Feed {
    let policy = FixedAddressPolicy::new(agent, random_seed);
    let shared = SharedSubscriber::new(Subscriber::new(identity), policy, clock);
    let connection = compio::runtime::spawn(Rc::clone(&shared).run());
    Feed {
        shared,
        _connection: connection,
        delivered_configuration_version: 0,
        delivered_list_revision: InstanceListRevision::default(),
        delivered_instances: Rc::default(),
        delivered_fleet_size: 0,
        ended: DepartedInstances::default(),
    }
}

/// Tells the publisher of a [`Feed`] what the proxy sees of its services.
#[derive(Clone)]
pub struct LoadReporter {
    shared: Rc<SharedSubscriber<FixedAddressPolicy>>,
}

impl LoadReporter {
    /// The next acknowledgement carries these loads; it comes within about a second.
    pub fn report(&self, loads: Vec<ServiceLoad>) {
        self.shared.update_quietly(|subscriber| subscriber.set_loads(loads));
    }
}

impl Feed {
    /// Reports to the publisher of this feed.
    pub fn load_reporter(&self) -> LoadReporter {
        LoadReporter { shared: Rc::clone(&self.shared) }
    }

    /// Waits for something newer than what was returned before. Dropping the future loses nothing.
    pub async fn next(&mut self) -> FeedUpdate {
        loop {
            let seen = self.shared.changed.generation();
            if let Some(update) = self.take() {
                return update;
            }
            self.shared.changed.changed_since(seen).await;
        }
    }

    /// The updates as a stream without end.
    pub fn into_stream(self) -> impl Stream<Item = FeedUpdate> {
        futures_util::stream::unfold(self, |mut feed| async move {
            let update = feed.next().await;
            Some((update, feed))
        })
    }

    fn take(&mut self) -> Option<FeedUpdate> {
        let subscriber = self.shared.subscriber.borrow();
        if let Some(configuration) = subscriber.configuration()
            && configuration.version > self.delivered_configuration_version
        {
            self.delivered_configuration_version = configuration.version;
            return Some(FeedUpdate::Configuration(Rc::clone(configuration)));
        }
        if let Some(list) = subscriber.list()
            && list.revision > self.delivered_list_revision
        {
            self.delivered_list_revision = list.revision;
            let confirmed_at_ms = subscriber.list_confirmed_at_ms().unwrap_or_default();
            let instances = self.ended.apply(confirmed_at_ms, &list.instances);
            self.ended.record_list(self.shared.clock.millis(), &self.delivered_instances, &list.instances);
            self.delivered_instances = Rc::clone(&instances);
            return Some(FeedUpdate::Instances { revision: list.revision, instances });
        }
        if subscriber.proxies() != self.delivered_fleet_size {
            self.delivered_fleet_size = subscriber.proxies();
            return Some(FeedUpdate::FleetSize(self.delivered_fleet_size));
        }
        None
    }
}
