//! A proxy's subscription to the agent on the same machine.
//!
//! Owned by the proxy, which takes one [`FeedUpdate`] after the other. Invariant: only the newest version of each kind
//! is delivered, so that a slow proxy skips versions and never receives an older one after a newer, and a searcher that
//! was listed as draining or gone doesn't come back, even if the agent restarts meanwhile.

use std::net::SocketAddrV4;
use std::rc::Rc;

use compio::runtime::JoinHandle;
use futures_util::Stream;
use lockusher_config::configuration::Configuration;
use lockusher_config::instances::{Instance, InstanceListRevision};
use lockusher_transport::clock::Clock;

use crate::departures::DepartedInstances;
use crate::load::ServiceLoad;
use crate::message::SubscriberIdentity;
use crate::reconnect::FixedAddressPolicy;
use crate::subscribe::shared_subscriber::SharedSubscriber;
use crate::subscriber::Subscriber;

/// A change delivered to a proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedUpdate {
    /// The newest configuration.
    Configuration(Rc<Configuration>),
    /// The newest list, with departed searchers marked as draining or removed.
    Instances {
        /// Revision of the list.
        revision: InstanceListRevision,
        /// Instances in the order received.
        instances: Rc<Vec<Instance>>,
    },
    /// Number of subscribed proxies in the fleet, by which fleet-wide quotas are divided.
    FleetSize(u32),
}

/// A running subscription; ends when dropped.
pub struct Feed {
    shared: Rc<SharedSubscriber<FixedAddressPolicy>>,
    /// Ends the connection when dropped.
    _connection: JoinHandle<()>,
    delivered_configuration_version: u64,
    delivered_list_revision: InstanceListRevision,
    delivered_instances: Rc<Vec<Instance>>,
    delivered_fleet_size: u32,
    departed: DepartedInstances,
}

/// Subscribes to the publisher at `agent`; a separate task connects and reconnects.
pub fn subscribe(
    agent: SocketAddrV4,
    identity: SubscriberIdentity,
    clock: Clock,
    random_seed: u64,
) -> Feed {
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
        departed: DepartedInstances::default(),
    }
}

/// Reports a proxy's load to the publisher of its [`Feed`].
#[derive(Clone)]
pub struct LoadReporter {
    shared: Rc<SharedSubscriber<FixedAddressPolicy>>,
}

impl LoadReporter {
    /// Sets the loads that the next acknowledgement reports; it is sent within about a second.
    pub fn report(&self, loads: Vec<ServiceLoad>) {
        self.shared
            .update_no_wake(|subscriber| subscriber.set_loads(loads));
    }
}

impl Feed {
    /// Returns a reporter to the publisher of this feed.
    pub fn load_reporter(&self) -> LoadReporter {
        LoadReporter {
            shared: Rc::clone(&self.shared),
        }
    }

    /// Waits for a change since the last call. Cancel safe: dropping the future loses no update.
    pub async fn next(&mut self) -> FeedUpdate {
        loop {
            let seen = self.shared.changed().generation();
            if let Some(update) = self.take_update() {
                return update;
            }
            self.shared.changed().changed_since(seen).await;
        }
    }

    /// Returns the updates as an endless stream.
    pub fn into_stream(self) -> impl Stream<Item = FeedUpdate> {
        futures_util::stream::unfold(self, |mut feed| async move {
            let update = feed.next().await;
            Some((update, feed))
        })
    }

    fn take_update(&mut self) -> Option<FeedUpdate> {
        self.take_configuration()
            .or_else(|| self.take_instances())
            .or_else(|| self.take_fleet_size())
    }

    fn take_configuration(&mut self) -> Option<FeedUpdate> {
        let configuration = self
            .shared
            .read(|subscriber| subscriber.configuration().cloned())?;
        if configuration.version <= self.delivered_configuration_version {
            return None;
        }
        self.delivered_configuration_version = configuration.version;
        Some(FeedUpdate::Configuration(configuration))
    }

    fn take_instances(&mut self) -> Option<FeedUpdate> {
        let list = self.shared.read(|subscriber| subscriber.list().cloned())?;
        if list.revision <= self.delivered_list_revision {
            return None;
        }
        self.delivered_list_revision = list.revision;
        let confirmed_at_ms = self
            .shared
            .read(Subscriber::list_confirmed_at_ms)
            .unwrap_or_default();
        let instances = self.departed.apply(confirmed_at_ms, &list.instances);
        let now_ms = self.shared.now_ms();
        self.departed
            .record_list(now_ms, &self.delivered_instances, &list.instances);
        self.delivered_instances = Rc::clone(&instances);
        Some(FeedUpdate::Instances {
            revision: list.revision,
            instances,
        })
    }

    fn take_fleet_size(&mut self) -> Option<FeedUpdate> {
        let fleet_size = self.shared.read(Subscriber::proxies);
        if fleet_size == self.delivered_fleet_size {
            return None;
        }
        self.delivered_fleet_size = fleet_size;
        Some(FeedUpdate::FleetSize(fleet_size))
    }
}
