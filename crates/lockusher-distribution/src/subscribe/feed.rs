//! A proxy's subscription to the agent beside it.

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
