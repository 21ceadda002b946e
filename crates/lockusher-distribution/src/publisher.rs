//! Decides what each subscriber is sent.
//!
//! A subscriber has at most one unacknowledged update of each kind under way; when it acknowledges, it is brought to
//! what is newest by then. A slow subscriber therefore skips versions, and nothing queues up for it.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use lockusher_config::configuration::Configuration;
use lockusher_config::instances::{Instance, InstanceListRevision};
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::frame::{Frame, encode_frame};
use crate::instance_list::InstanceList;
use crate::load::{self, ServiceLoad};
use crate::message::{
    AppliedVersions, Downstream, FromSubscriber, Heartbeat, NEVER_MS, SubscriberIdentity, ToSubscriber,
};
use crate::version_history::VersionHistory;

/// Pause between two heartbeats to one subscriber.
pub const HEARTBEAT_INTERVAL_MS: u64 = 300;
/// A subscriber that hasn't been heard for this long is given up; it acknowledges heartbeats more often than that.
pub const SUBSCRIBER_INACTIVITY_TIMEOUT_MS: u64 = 5_000;
/// Pause between two samples of peers sent to one agent.
const PEER_SAMPLE_INTERVAL_MS: u64 = 30_000;
/// Agents in such a sample.
const PEER_SAMPLE_SIZE: usize = 8;

/// Names one connection of a subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubscriberId(u64);

/// What the heartbeats say beside the versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PublisherStatus {
    /// When a reader confirmed the newest list against the platform; absent if none has.
    pub list_confirmed_at_ms: Option<u64>,
    /// Calls to the platform that one reading of the whole list takes; 0 if unknown.
    pub calls_per_poll: u32,
    /// Subscribed proxies in the fleet; 0 if unknown.
    pub proxies: u32,
    /// Whether this publisher takes part in the control plane's current view.
    pub in_view: bool,
}

/// What one subscriber holds, for the status page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberStatus {
    pub identity: SubscriberIdentity,
    pub acknowledged: AppliedVersions,
    pub downstream: Downstream,
}

/// What a subscriber was sent of one kind, and acknowledged.
#[derive(Clone, Copy, Debug, Default)]
struct DeliveryProgress<V> {
    applied: V,
    in_flight: Option<V>,
}

impl<V: Copy + Ord> DeliveryProgress<V> {
    fn acknowledge(&mut self, applied: V) {
        self.applied = applied;
        if self.in_flight.is_some_and(|version| applied >= version) {
            self.in_flight = None;
        }
    }

    fn restart(&mut self, applied: V) {
        *self = DeliveryProgress { applied, in_flight: None };
    }
}

#[derive(Debug)]
struct Subscription {
    identity: Option<SubscriberIdentity>,
    last_contact_ms: u64,
    configuration: DeliveryProgress<u64>,
    list: DeliveryProgress<InstanceListRevision>,
    downstream: Downstream,
    heartbeat_due_ms: u64,
    peers_due_ms: u64,
    control_nodes_sent: bool,
}

impl Subscription {
    fn acknowledged(&self) -> AppliedVersions {
        AppliedVersions {
            configuration_version: self.configuration.applied,
            list_revision: self.list.applied,
        }
    }

    fn agent_address(&self) -> Option<SocketAddrV4> {
        self.identity.as_ref()?.agent_address
    }
}

/// Holds what is newest and the state of every subscriber.
#[derive(Debug)]
pub struct Publisher {
    configurations: VersionHistory<Configuration>,
    lists: VersionHistory<InstanceList>,
    status: PublisherStatus,
    control_nodes: Vec<SocketAddrV4>,
    control_nodes_frame: Option<Frame>,
    subscriptions: BTreeMap<SubscriberId, Subscription>,
    next_id: u64,
    random: ChaCha8Rng,
}

impl Publisher {
    /// Holds nothing yet; `seed` feeds the random choice of peers.
    pub fn new(seed: u64) -> Self {
        Publisher {
            configurations: VersionHistory::default(),
            lists: VersionHistory::default(),
            status: PublisherStatus::default(),
            control_nodes: Vec::new(),
            control_nodes_frame: None,
            subscriptions: BTreeMap::new(),
            next_id: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes a newer configuration; false if it isn't newer.
    pub fn publish_configuration(&mut self, configuration: Rc<Configuration>) -> bool {
        self.configurations.push(configuration)
    }

    /// Takes a newer list; false if it isn't newer.
    pub fn publish_list(&mut self, revision: InstanceListRevision, instances: Rc<Vec<Instance>>) -> bool {
        self.lists.push(Rc::new(InstanceList { revision, instances }))
    }

    /// Replaces what the next heartbeats say.
    pub fn set_status(&mut self, status: PublisherStatus) {
        self.status = status;
    }

    /// What the next heartbeats say.
    pub fn status(&self) -> PublisherStatus {
        self.status
    }

    /// Replaces the addresses at which control nodes serve subscribers; subscribers are told of a change.
    pub fn set_control_nodes(&mut self, control_nodes: Vec<SocketAddrV4>) {
        if control_nodes == self.control_nodes {
            return;
        }
        self.control_nodes_frame = Some(encode_frame(&ToSubscriber::ControlNodes(control_nodes.clone())));
        self.control_nodes = control_nodes;
        for subscription in self.subscriptions.values_mut() {
            subscription.control_nodes_sent = false;
        }
    }

    /// The newest configuration.
    pub fn configuration(&self) -> Option<&Rc<Configuration>> {
        self.configurations.newest()
    }

    /// The newest list.
    pub fn list(&self) -> Option<&Rc<InstanceList>> {
        self.lists.newest()
    }

    /// The newest versions.
    pub fn newest(&self) -> AppliedVersions {
        AppliedVersions {
            configuration_version: self.configurations.newest_version(),
            list_revision: self.lists.newest_version(),
        }
    }

    /// A connection came up; nothing is sent before its first message.
    pub fn connect(&mut self, now_ms: u64) -> SubscriberId {
        let id = SubscriberId(self.next_id);
        self.next_id += 1;
        let subscription = Subscription {
            identity: None,
            last_contact_ms: now_ms,
            configuration: DeliveryProgress::default(),
            list: DeliveryProgress::default(),
            downstream: Downstream::PROXY,
            heartbeat_due_ms: now_ms,
            peers_due_ms: now_ms,
            control_nodes_sent: false,
        };
        self.subscriptions.insert(id, subscription);
        id
    }

    /// Connections that came up so far: many more than there are subscribers are a sign of trouble.
    pub fn connections_made(&self) -> u64 {
        self.next_id
    }

    /// A connection ended.
    pub fn disconnect(&mut self, id: SubscriberId) {
        self.subscriptions.remove(&id);
    }

    /// Takes a message of a subscriber.
    pub fn receive(&mut self, id: SubscriberId, now_ms: u64, message: FromSubscriber) {
        let Some(subscription) = self.subscriptions.get_mut(&id) else { return };
        subscription.last_contact_ms = now_ms;
        match message {
            FromSubscriber::Subscribe { identity, applied } => {
                subscription.identity = Some(identity);
                subscription.configuration.restart(applied.configuration_version);
                subscription.list.restart(applied.list_revision);
            }
            FromSubscriber::Acknowledge { applied, downstream } => {
                subscription.configuration.acknowledge(applied.configuration_version);
                subscription.list.acknowledge(applied.list_revision);
                subscription.downstream = downstream;
            }
            FromSubscriber::RequestFullSnapshot { configuration, list } => {
                if configuration {
                    subscription.configuration.restart(0);
                }
                if list {
                    subscription.list.restart(InstanceListRevision::default());
                }
            }
        }
    }

    /// The next frame that is due to a subscriber; called until there is none.
    pub fn next_frame(&mut self, id: SubscriberId, now_ms: u64) -> Option<Frame> {
        let subscription = self.subscriptions.get_mut(&id)?;
        subscription.identity.as_ref()?;
        if !subscription.control_nodes_sent {
            subscription.control_nodes_sent = true;
            if let Some(frame) = &self.control_nodes_frame {
                return Some(Rc::clone(frame));
            }
        }
        if subscription.configuration.in_flight.is_none()
            && let Some(frame) = self.configurations.update_frame(subscription.configuration.applied)
        {
            subscription.configuration.in_flight = Some(self.configurations.newest_version());
            return Some(frame);
        }
        if subscription.list.in_flight.is_none()
            && let Some(frame) = self.lists.update_frame(subscription.list.applied)
        {
            subscription.list.in_flight = Some(self.lists.newest_version());
            return Some(frame);
        }
        if now_ms >= subscription.heartbeat_due_ms {
            subscription.heartbeat_due_ms = now_ms + HEARTBEAT_INTERVAL_MS;
            return Some(encode_frame(&ToSubscriber::Heartbeat(self.heartbeat(now_ms))));
        }
        self.peers_frame(id, now_ms)
    }

    /// When [`Publisher::next_frame`] has something for this subscriber even if nothing changes.
    pub fn next_due_ms(&self, id: SubscriberId) -> Option<u64> {
        self.subscriptions.get(&id).map(|subscription| subscription.heartbeat_due_ms)
    }

    /// Whether a subscriber hasn't been heard for too long.
    pub fn is_inactive(&self, id: SubscriberId, now_ms: u64) -> bool {
        let Some(subscription) = self.subscriptions.get(&id) else { return true };
        now_ms.saturating_sub(subscription.last_contact_ms) >= SUBSCRIBER_INACTIVITY_TIMEOUT_MS
    }

    /// What every subscriber holds.
    pub fn subscribers(&self) -> impl Iterator<Item = SubscriberStatus> {
        self.subscriptions.values().filter_map(|subscription| {
            Some(SubscriberStatus {
                identity: subscription.identity.clone()?,
                acknowledged: subscription.acknowledged(),
                downstream: subscription.downstream.clone(),
            })
        })
    }

    /// Number of nodes that are subscribed; one that has two connections counts once.
    pub fn subscribed_nodes(&self) -> usize {
        let nodes = self.subscriptions.values().filter_map(|subscription| subscription.identity.as_ref());
        nodes.map(|identity| identity.node.as_str()).collect::<std::collections::BTreeSet<_>>().len()
    }

    /// Number of proxies that are fed by way of this publisher. Publishers that follow each other make a tree: each says
    /// how many stand behind it, and the root's count is that of the fleet.
    pub fn downstream_proxies(&self) -> u32 {
        let mut by_node: BTreeMap<&str, u32> = BTreeMap::new();
        for subscription in self.subscriptions.values() {
            let Some(identity) = &subscription.identity else { continue };
            let proxies = by_node.entry(&identity.node).or_default();
            *proxies = subscription.downstream.proxies.max(*proxies);
        }
        by_node.values().fold(0, |sum, proxies| sum.saturating_add(*proxies))
    }

    /// What the proxies that are fed by way of this publisher see of the services, summed over them. A node that has
    /// two connections counts by the newer one.
    pub fn downstream_loads(&self) -> Vec<ServiceLoad> {
        let mut by_node: BTreeMap<&str, &[ServiceLoad]> = BTreeMap::new();
        for subscription in self.subscriptions.values() {
            let Some(identity) = &subscription.identity else { continue };
            by_node.insert(&identity.node, &subscription.downstream.loads);
        }
        load::sum(by_node.into_values().flatten())
    }

    /// Number of subscribers by the configuration version that they acknowledged.
    pub fn acknowledged_versions(&self) -> BTreeMap<u64, usize> {
        let mut counts = BTreeMap::new();
        for subscription in self.subscriptions.values().filter(|known| known.identity.is_some()) {
            *counts.entry(subscription.configuration.applied).or_default() += 1;
        }
        counts
    }

    /// The highest revision that a subscriber says it holds.
    pub fn highest_applied_revision(&self) -> InstanceListRevision {
        self.subscriptions.values().map(|subscription| subscription.list.applied).max().unwrap_or_default()
    }

    fn heartbeat(&self, now_ms: u64) -> Heartbeat {
        let age = self.status.list_confirmed_at_ms.map(|confirmed| now_ms.saturating_sub(confirmed));
        Heartbeat {
            newest: self.newest(),
            list_age_ms: age.unwrap_or(NEVER_MS),
            calls_per_poll: self.status.calls_per_poll,
            proxies: self.status.proxies,
            in_view: self.status.in_view,
        }
    }

    fn peers_frame(&mut self, id: SubscriberId, now_ms: u64) -> Option<Frame> {
        let subscription = self.subscriptions.get_mut(&id)?;
        let own = subscription.agent_address()?;
        if now_ms < subscription.peers_due_ms {
            return None;
        }
        subscription.peers_due_ms = now_ms + PEER_SAMPLE_INTERVAL_MS;
        let others = self.subscriptions.values().filter_map(Subscription::agent_address);
        let others: Vec<SocketAddrV4> = others.filter(|address| *address != own).collect();
        if others.is_empty() {
            return None;
        }
        let sample = others.sample(&mut self.random, PEER_SAMPLE_SIZE).copied().collect();
        Some(encode_frame(&ToSubscriber::Peers(sample)))
    }
}
