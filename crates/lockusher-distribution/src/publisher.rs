//! Decides which messages each subscriber is sent, and when.
//!
//! A [`Publisher`] has the newest routing configuration and instance list, and the state of each subscriber's
//! connection. A control node has one for its agents, an agent one for the proxy on the same machine; the connections
//! of [`serve`](crate::serve) call it. It does no I/O and reads no clock: callers pass the time.
//!
//! Invariant: at most one unacknowledged update of each kind is in flight to a subscriber. After an acknowledgement,
//! the next update leads to the version that is newest by then: a slow subscriber skips versions, and no updates are
//! queued for it.
//!
//! Source: the state-of-the-world and delta variants of Envoy's xDS protocol, which this one resembles on a smaller
//! scale.

mod delivery_progress;
mod peer_sampler;
mod subscription;
mod subscription_table;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use lockusher_config::configuration::Configuration;
use lockusher_config::instances::{Instance, InstanceListRevision};

use crate::frame::{Frame, encode_frame};
use crate::instance_list::InstanceList;
use crate::load::ServiceLoad;
use crate::message::{
    AppliedVersions, FromSubscriber, Heartbeat, NEVER_CONFIRMED_MS, ToSubscriber,
};
use crate::version_history::VersionHistory;
use peer_sampler::PeerSampler;
use subscription::Subscription;
use subscription_table::SubscriptionTable;

pub use subscription::{
    HEARTBEAT_INTERVAL_MS, SUBSCRIBER_INACTIVITY_TIMEOUT_MS, SubscriberId, SubscriberStatus,
};

/// What heartbeats report besides the newest versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PublisherStatus {
    /// When a poll last confirmed the newest list against the platform, in milliseconds on the process's monotonic
    /// clock; absent if none has.
    pub list_confirmed_at_ms: Option<u64>,
    /// Number of calls to the platform that one poll of the full list takes; 0 if unknown.
    pub calls_per_poll: u32,
    /// Number of subscribed proxies in the fleet; 0 if unknown.
    pub proxies: u32,
    /// Whether this publisher is a member of the control plane's current view.
    pub in_view: bool,
}

/// The newest versions, and the state of each subscriber's connection.
#[derive(Debug)]
pub struct Publisher {
    configurations: VersionHistory<Configuration>,
    lists: VersionHistory<InstanceList>,
    status: PublisherStatus,
    control_nodes: Vec<SocketAddrV4>,
    /// `control_nodes` as an encoded frame; absent until they are set.
    control_nodes_frame: Option<Frame>,
    /// Control nodes announced by one of them since they were last taken.
    announced_control_nodes: Option<Vec<SocketAddrV4>>,
    subscriptions: SubscriptionTable,
    peer_sampler: PeerSampler,
}

impl Publisher {
    /// Creates a publisher without a configuration or a list; `seed` initializes the random choice of peers.
    pub fn new(seed: u64) -> Self {
        Publisher {
            configurations: VersionHistory::default(),
            lists: VersionHistory::default(),
            status: PublisherStatus::default(),
            control_nodes: Vec::new(),
            control_nodes_frame: None,
            announced_control_nodes: None,
            subscriptions: SubscriptionTable::default(),
            peer_sampler: PeerSampler::new(seed),
        }
    }

    /// Publishes a configuration; returns false, without effect, if it isn't newer.
    pub fn publish_configuration(&mut self, configuration: Rc<Configuration>) -> bool {
        self.configurations.push(configuration)
    }

    /// Publishes a list; returns false, without effect, if it isn't newer.
    pub fn publish_list(
        &mut self,
        revision: InstanceListRevision,
        instances: Rc<Vec<Instance>>,
    ) -> bool {
        self.lists.push(Rc::new(InstanceList {
            revision,
            instances,
        }))
    }

    /// Sets what the next heartbeats report.
    pub fn set_status(&mut self, status: PublisherStatus) {
        self.status = status;
    }

    /// Returns what the next heartbeats report.
    pub fn status(&self) -> PublisherStatus {
        self.status
    }

    /// Replaces the addresses at which control nodes accept subscribers; a change is sent to all subscribers.
    pub fn set_control_nodes(&mut self, control_nodes: Vec<SocketAddrV4>) {
        if control_nodes == self.control_nodes {
            return;
        }
        self.control_nodes_frame = Some(encode_frame(&ToSubscriber::ControlNodes(
            control_nodes.clone(),
        )));
        self.control_nodes = control_nodes;
        self.subscriptions
            .iter_mut()
            .for_each(Subscription::schedule_control_nodes);
    }

    /// Returns the addresses at which control nodes accept subscribers, as published.
    pub fn control_nodes(&self) -> &[SocketAddrV4] {
        &self.control_nodes
    }

    /// Takes the control nodes that one of them has announced since the last call.
    pub fn take_announced_control_nodes(&mut self) -> Option<Vec<SocketAddrV4>> {
        self.announced_control_nodes.take()
    }

    /// Returns the newest configuration.
    pub fn configuration(&self) -> Option<&Rc<Configuration>> {
        self.configurations.newest()
    }

    /// Returns the newest list.
    pub fn list(&self) -> Option<&Rc<InstanceList>> {
        self.lists.newest()
    }

    /// Returns the newest versions.
    pub fn newest(&self) -> AppliedVersions {
        AppliedVersions {
            configuration_version: self.configurations.newest_version(),
            list_revision: self.lists.newest_version(),
        }
    }

    /// Adds a connection; nothing is due to it before its first message.
    pub fn connect(&mut self, now_ms: u64) -> SubscriberId {
        self.subscriptions.add(Subscription::new(now_ms))
    }

    /// Removes a connection that has ended.
    pub fn disconnect(&mut self, id: SubscriberId) {
        self.subscriptions.remove(id);
    }

    /// Handles a message of a subscriber.
    pub fn receive(&mut self, id: SubscriberId, now_ms: u64, message: FromSubscriber) {
        if let FromSubscriber::AnnounceControlNodes(addresses) = &message
            && !addresses.is_empty()
        {
            self.announced_control_nodes = Some(addresses.clone());
        }
        if let Some(subscription) = self.subscriptions.get_mut(id) {
            subscription.receive(now_ms, message);
        }
    }

    /// Records that a subscriber is active though it has sent no message: it has taken a long frame.
    pub fn record_activity(&mut self, id: SubscriberId, now_ms: u64) {
        if let Some(subscription) = self.subscriptions.get_mut(id) {
            subscription.record_activity(now_ms);
        }
    }

    /// Returns the next frame that is due to a subscriber; callers repeat the call until it returns none.
    pub fn next_frame(&mut self, id: SubscriberId, now_ms: u64) -> Option<Frame> {
        let subscription = self.subscriptions.get_mut(id)?;
        let control_nodes = self.control_nodes_frame.as_ref();
        if subscription.is_announcer() {
            return subscription.take_due_control_nodes(control_nodes);
        }
        subscription.identity()?;
        subscription
            .take_due_control_nodes(control_nodes)
            .or_else(|| {
                subscription
                    .configuration
                    .next_update(&mut self.configurations)
            })
            .or_else(|| subscription.list.next_update(&mut self.lists))
            .or_else(|| self.heartbeat_frame(id, now_ms))
            .or_else(|| self.peer_sample_frame(id, now_ms))
    }

    /// When [`Publisher::next_frame`] has a frame for this subscriber even if nothing changes; absent if its connection
    /// has ended.
    pub fn next_due_ms(&self, id: SubscriberId) -> Option<u64> {
        self.subscriptions
            .get(id)
            .map(Subscription::heartbeat_due_ms)
    }

    /// Whether a subscriber's connection is to be closed because it sent no message for
    /// [`SUBSCRIBER_INACTIVITY_TIMEOUT_MS`].
    pub fn is_inactive(&self, id: SubscriberId, now_ms: u64) -> bool {
        self.subscriptions
            .get(id)
            .is_none_or(|subscription| subscription.is_inactive(now_ms))
    }

    /// Returns the number of connections accepted so far; many more than there are subscribers indicate a fault.
    pub fn connections_accepted(&self) -> u64 {
        self.subscriptions.connections_accepted()
    }

    /// Returns the status of each subscriber.
    pub fn subscribers(&self) -> impl Iterator<Item = SubscriberStatus> {
        self.subscriptions.statuses()
    }

    /// Returns the number of subscribed nodes; a node with two connections counts once.
    pub fn subscribed_nodes(&self) -> usize {
        self.subscriptions.node_count()
    }

    /// Returns the number of proxies that receive updates from this publisher, directly or through other publishers.
    pub fn downstream_proxies(&self) -> u32 {
        self.subscriptions.downstream_proxies()
    }

    /// Returns the load of the proxies downstream, summed by service.
    pub fn downstream_loads(&self) -> Vec<ServiceLoad> {
        self.subscriptions.downstream_loads()
    }

    /// Returns the number of subscribers by the configuration version that they have acknowledged.
    pub fn acknowledged_versions(&self) -> BTreeMap<u64, usize> {
        self.subscriptions.acknowledged_versions()
    }

    /// Returns the highest list revision that a subscriber has applied.
    pub fn highest_applied_revision(&self) -> InstanceListRevision {
        self.subscriptions.highest_applied_revision()
    }

    fn heartbeat_frame(&mut self, id: SubscriberId, now_ms: u64) -> Option<Frame> {
        let is_due = self.subscriptions.get_mut(id)?.take_due_heartbeat(now_ms);
        is_due.then(|| encode_frame(&ToSubscriber::Heartbeat(self.heartbeat(now_ms))))
    }

    fn heartbeat(&self, now_ms: u64) -> Heartbeat {
        let list_age_ms = self
            .status
            .list_confirmed_at_ms
            .map(|confirmed| now_ms.saturating_sub(confirmed));
        Heartbeat {
            newest: self.newest(),
            list_age_ms: list_age_ms.unwrap_or(NEVER_CONFIRMED_MS),
            calls_per_poll: self.status.calls_per_poll,
            proxies: self.status.proxies,
            in_view: self.status.in_view,
        }
    }

    /// Returns a sample of other agents if one is due; none for a proxy.
    fn peer_sample_frame(&mut self, id: SubscriberId, now_ms: u64) -> Option<Frame> {
        let subscription = self.subscriptions.get_mut(id)?;
        let own_address = subscription.agent_address()?;
        if !subscription.take_due_peer_sample(now_ms) {
            return None;
        }
        let other_agents = self
            .subscriptions
            .agent_addresses()
            .filter(|address| *address != own_address);
        let other_agents: Vec<SocketAddrV4> = other_agents.collect();
        if other_agents.is_empty() {
            return None;
        }
        Some(encode_frame(&ToSubscriber::Peers(
            self.peer_sampler.sample(&other_agents),
        )))
    }
}
