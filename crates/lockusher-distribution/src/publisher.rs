//! Decides what each subscriber is sent, and when.
//!
//! A [`Publisher`] has the newest routing configuration and instance list, and the state of each subscriber's
//! connection. A control node owns one for its agents, an agent one for the proxy beside it; the connections of
//! [`serve`](crate::serve) call it. It does no I/O and reads no clock: callers pass the time.
//!
//! Invariant: at most one unacknowledged update of each kind is in flight to a subscriber. When the subscriber
//! acknowledges, it is brought to what is newest by then: a slow one skips versions, and nothing queues up for it.
//!
//! Source: the state-of-the-world and delta variants of Envoy's xDS protocol, of which this is a small relative.

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
use crate::message::{AppliedVersions, FromSubscriber, Heartbeat, NEVER_MS, ToSubscriber};
use crate::version_history::VersionHistory;
use peer_sampler::PeerSampler;
use subscription::Subscription;
use subscription_table::SubscriptionTable;

pub use subscription::{
    HEARTBEAT_INTERVAL_MS, SUBSCRIBER_INACTIVITY_TIMEOUT_MS, SubscriberId, SubscriberStatus,
};

/// What heartbeats report beside the newest versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PublisherStatus {
    /// When a poll last confirmed the newest list against the platform, in milliseconds on the process's steady clock;
    /// absent if none has.
    pub list_confirmed_at_ms: Option<u64>,
    /// Calls to the platform that one poll of the full list takes; 0 if unknown.
    pub calls_per_poll: u32,
    /// Subscribed proxies in the fleet; 0 if unknown.
    pub proxies: u32,
    /// Whether this publisher takes part in the control plane's current view.
    pub in_view: bool,
}

/// The newest versions, and the state of every subscriber.
#[derive(Debug)]
pub struct Publisher {
    configurations: VersionHistory<Configuration>,
    lists: VersionHistory<InstanceList>,
    status: PublisherStatus,
    control_nodes: Vec<SocketAddrV4>,
    /// `control_nodes` as a frame; absent until they are set.
    control_nodes_frame: Option<Frame>,
    /// What a control node announced since it was taken last.
    announced_control_nodes: Option<Vec<SocketAddrV4>>,
    subscriptions: SubscriptionTable,
    peer_sampler: PeerSampler,
}

impl Publisher {
    /// A publisher without any version yet; `seed` feeds the random choice of peers.
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

    /// Publishes a configuration; false, and without effect, if it isn't newer.
    pub fn publish_configuration(&mut self, configuration: Rc<Configuration>) -> bool {
        self.configurations.push(configuration)
    }

    /// Publishes a list; false, and without effect, if it isn't newer.
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

    /// Replaces what the next heartbeats report.
    pub fn set_status(&mut self, status: PublisherStatus) {
        self.status = status;
    }

    /// What the next heartbeats report.
    pub fn status(&self) -> PublisherStatus {
        self.status
    }

    /// Replaces the addresses at which control nodes serve subscribers; a change is sent to all subscribers.
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
            .for_each(Subscription::control_nodes_changed);
    }

    /// The addresses at which control nodes serve subscribers, as published.
    pub fn control_nodes(&self) -> &[SocketAddrV4] {
        &self.control_nodes
    }

    /// What a control node has announced of the control nodes since the last call.
    pub fn take_announced_control_nodes(&mut self) -> Option<Vec<SocketAddrV4>> {
        self.announced_control_nodes.take()
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

    /// Adds a connection; nothing is sent on it before its first message.
    pub fn connect(&mut self, now_ms: u64) -> SubscriberId {
        self.subscriptions.add(Subscription::new(now_ms))
    }

    /// Removes a connection that ended.
    pub fn disconnect(&mut self, id: SubscriberId) {
        self.subscriptions.remove(id);
    }

    /// Takes a message of a subscriber.
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

    /// A subscriber has shown that it is there without a message: it has taken a long frame.
    pub fn record_contact(&mut self, id: SubscriberId, now_ms: u64) {
        if let Some(subscription) = self.subscriptions.get_mut(id) {
            subscription.record_contact(now_ms);
        }
    }

    /// The next frame that is due to a subscriber; to be called until there is none.
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
            .or_else(|| self.peers_frame(id, now_ms))
    }

    /// When [`Publisher::next_frame`] has a frame for this subscriber even if nothing changes; absent if its connection
    /// has ended.
    pub fn next_due_ms(&self, id: SubscriberId) -> Option<u64> {
        self.subscriptions
            .get(id)
            .map(Subscription::heartbeat_due_ms)
    }

    /// Whether a subscriber's connection is to be closed, for there was no message for
    /// [`SUBSCRIBER_INACTIVITY_TIMEOUT_MS`].
    pub fn is_inactive(&self, id: SubscriberId, now_ms: u64) -> bool {
        self.subscriptions
            .get(id)
            .is_none_or(|subscription| subscription.is_inactive(now_ms))
    }

    /// Connections that came up so far: many more than there are subscribers are a sign of a fault.
    pub fn connections_made(&self) -> u64 {
        self.subscriptions.connections_made()
    }

    /// The status of every subscriber.
    pub fn subscribers(&self) -> impl Iterator<Item = SubscriberStatus> {
        self.subscriptions.statuses()
    }

    /// Number of nodes that are subscribed; one that has two connections counts once.
    pub fn subscribed_nodes(&self) -> usize {
        self.subscriptions.node_count()
    }

    /// Number of proxies that are fed by way of this publisher, directly or over other publishers.
    pub fn downstream_proxies(&self) -> u32 {
        self.subscriptions.downstream_proxies()
    }

    /// The load that the proxies fed by way of this publisher see, summed by service.
    pub fn downstream_loads(&self) -> Vec<ServiceLoad> {
        self.subscriptions.downstream_loads()
    }

    /// Number of subscribers by the configuration version that they acknowledged.
    pub fn acknowledged_versions(&self) -> BTreeMap<u64, usize> {
        self.subscriptions.acknowledged_versions()
    }

    /// The highest list revision that a subscriber has applied.
    pub fn highest_applied_revision(&self) -> InstanceListRevision {
        self.subscriptions.highest_applied_revision()
    }

    fn heartbeat_frame(&mut self, id: SubscriberId, now_ms: u64) -> Option<Frame> {
        let is_due = self.subscriptions.get_mut(id)?.take_due_heartbeat(now_ms);
        is_due.then(|| encode_frame(&ToSubscriber::Heartbeat(self.heartbeat(now_ms))))
    }

    fn heartbeat(&self, now_ms: u64) -> Heartbeat {
        let age = self
            .status
            .list_confirmed_at_ms
            .map(|confirmed| now_ms.saturating_sub(confirmed));
        Heartbeat {
            newest: self.newest(),
            list_age_ms: age.unwrap_or(NEVER_MS),
            calls_per_poll: self.status.calls_per_poll,
            proxies: self.status.proxies,
            in_view: self.status.in_view,
        }
    }

    /// A sample of other agents, if one is due; never for a proxy.
    fn peers_frame(&mut self, id: SubscriberId, now_ms: u64) -> Option<Frame> {
        let subscription = self.subscriptions.get_mut(id)?;
        let own = subscription.agent_address()?;
        if !subscription.take_due_peer_sample(now_ms) {
            return None;
        }
        let others = self
            .subscriptions
            .agent_addresses()
            .filter(|address| *address != own);
        let others: Vec<SocketAddrV4> = others.collect();
        if others.is_empty() {
            return None;
        }
        Some(encode_frame(&ToSubscriber::Peers(
            self.peer_sampler.sample(&others),
        )))
    }
}
