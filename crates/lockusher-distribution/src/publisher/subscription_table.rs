//! All connections of a publisher's subscribers, and totals over them.
//!
//! Owned by the publisher. A subscriber that reconnects may have two connections until the older one ends; totals count
//! its node once. Publishers that subscribe to each other form a tree, and each reports the totals of its subscribers
//! to its own publisher: the totals at the root are those of the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use lockusher_config::instances::InstanceListRevision;

use crate::load::{self, ServiceLoad};
use crate::message::SubscriberIdentity;
use crate::publisher::subscription::{SubscriberId, SubscriberStatus, Subscription};

/// The connections by their identifiers, in the order in which they were accepted.
#[derive(Debug, Default)]
pub struct SubscriptionTable {
    subscriptions: BTreeMap<SubscriberId, Subscription>,
    /// Number of connections accepted so far, which is the next one's identifier.
    connections_accepted: u64,
}

impl SubscriptionTable {
    /// Adds a connection.
    pub fn add(&mut self, subscription: Subscription) -> SubscriberId {
        let id = SubscriberId(self.connections_accepted);
        self.connections_accepted += 1;
        self.subscriptions.insert(id, subscription);
        id
    }

    /// Removes a connection.
    pub fn remove(&mut self, id: SubscriberId) {
        self.subscriptions.remove(&id);
    }

    /// Returns a connection; absent if it has ended.
    pub fn get(&self, id: SubscriberId) -> Option<&Subscription> {
        self.subscriptions.get(&id)
    }

    /// Returns a connection for modification; absent if it has ended.
    pub fn get_mut(&mut self, id: SubscriberId) -> Option<&mut Subscription> {
        self.subscriptions.get_mut(&id)
    }

    /// Returns all connections for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Subscription> {
        self.subscriptions.values_mut()
    }

    /// Returns the number of connections accepted so far.
    pub fn connections_accepted(&self) -> u64 {
        self.connections_accepted
    }

    /// Returns the status of each subscriber that has identified itself.
    pub fn statuses(&self) -> impl Iterator<Item = SubscriberStatus> {
        self.subscriptions.values().filter_map(Subscription::status)
    }

    /// Returns the addresses at which agents reach each other.
    pub fn agent_addresses(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.subscriptions
            .values()
            .filter_map(Subscription::agent_address)
    }

    /// Returns the number of subscribed nodes.
    pub fn node_count(&self) -> usize {
        let nodes = self
            .identified()
            .map(|(identity, _)| identity.node.as_str());
        nodes.collect::<BTreeSet<_>>().len()
    }

    /// Returns the number of proxies downstream; of a node with two connections, the higher count.
    pub fn downstream_proxies(&self) -> u32 {
        let mut by_node: BTreeMap<&str, u32> = BTreeMap::new();
        for (identity, subscription) in self.identified() {
            let proxies = by_node.entry(&identity.node).or_default();
            *proxies = subscription.downstream().proxies.max(*proxies);
        }
        by_node
            .values()
            .fold(0, |sum, proxies| sum.saturating_add(*proxies))
    }

    /// Returns the loads downstream, summed by service; of a node with two connections, those of the newer one.
    pub fn downstream_loads(&self) -> Vec<ServiceLoad> {
        let mut by_node: BTreeMap<&str, &[ServiceLoad]> = BTreeMap::new();
        for (identity, subscription) in self.identified() {
            by_node.insert(&identity.node, &subscription.downstream().loads);
        }
        load::sum(by_node.into_values().flatten())
    }

    /// Returns the number of connections by the configuration version that they have acknowledged.
    pub fn acknowledged_versions(&self) -> BTreeMap<u64, usize> {
        let mut counts = BTreeMap::new();
        for (_, subscription) in self.identified() {
            *counts
                .entry(subscription.configuration.applied())
                .or_default() += 1;
        }
        counts
    }

    /// Returns the highest list revision that a subscriber has applied.
    pub fn highest_applied_revision(&self) -> InstanceListRevision {
        let revisions = self
            .subscriptions
            .values()
            .map(|subscription| subscription.list.applied());
        revisions.max().unwrap_or_default()
    }

    fn identified(&self) -> impl Iterator<Item = (&SubscriberIdentity, &Subscription)> {
        self.subscriptions
            .values()
            .filter_map(|subscription| Some((subscription.identity()?, subscription)))
    }
}
