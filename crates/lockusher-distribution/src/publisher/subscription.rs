//! The state of one subscriber's connection.
//!
//! Owned by the [`SubscriptionTable`](crate::publisher::subscription_table::SubscriptionTable), changed by the
//! publisher. Invariant: nothing is due to a subscriber that hasn't identified itself.

use std::net::SocketAddrV4;

use lockusher_config::instances::InstanceListRevision;

use crate::frame::Frame;
use crate::message::{AppliedVersions, Downstream, FromSubscriber, SubscriberIdentity};
use crate::publisher::delivery_progress::DeliveryProgress;

/// Interval of the heartbeats to one subscriber, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 300;
/// Without a message from a subscriber for this long, in milliseconds, its connection is closed. The subscriber's own
/// keep-alive interval is a fraction of it.
pub const SUBSCRIBER_INACTIVITY_TIMEOUT_MS: u64 = 5_000;
/// Interval of the peer samples to one agent, in milliseconds.
const PEER_SAMPLE_INTERVAL_MS: u64 = 30_000;

/// Names one connection of a subscriber; never used twice by one publisher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubscriberId(pub(super) u64);

/// What a publisher knows of one subscriber, for the status page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// Who it is.
    pub identity: SubscriberIdentity,
    /// The versions that it acknowledged last.
    pub acknowledged: AppliedVersions,
    /// What it feeds, by its last acknowledgement.
    pub downstream: Downstream,
}

/// One connection: who is at its other end, what it has applied, and what is due to it.
#[derive(Debug)]
pub struct Subscription {
    /// Absent before the first message.
    identity: Option<SubscriberIdentity>,
    last_contact_ms: u64,
    /// Progress of the configurations.
    pub configuration: DeliveryProgress<u64>,
    /// Progress of the instance lists.
    pub list: DeliveryProgress<InstanceListRevision>,
    downstream: Downstream,
    heartbeat_due_ms: u64,
    peers_due_ms: u64,
    control_nodes_sent: bool,
    /// It isn't a subscriber, but a control node that announces others.
    is_announcer: bool,
}

impl Subscription {
    /// A connection that has just come up; all is due to it once it has identified itself.
    pub fn new(now_ms: u64) -> Self {
        Subscription {
            identity: None,
            last_contact_ms: now_ms,
            configuration: DeliveryProgress::default(),
            list: DeliveryProgress::default(),
            downstream: Downstream::PROXY,
            heartbeat_due_ms: now_ms,
            peers_due_ms: now_ms,
            control_nodes_sent: false,
            is_announcer: false,
        }
    }

    /// Takes a message of the subscriber.
    pub fn receive(&mut self, now_ms: u64, message: FromSubscriber) {
        self.last_contact_ms = now_ms;
        match message {
            FromSubscriber::Subscribe { identity, applied } => {
                self.identity = Some(identity);
                self.configuration.restart(applied.configuration_version);
                self.list.restart(applied.list_revision);
            }
            FromSubscriber::Acknowledge {
                applied,
                downstream,
            } => {
                self.configuration
                    .acknowledge(applied.configuration_version);
                self.list.acknowledge(applied.list_revision);
                self.downstream = downstream;
            }
            FromSubscriber::RequestFullSnapshot {
                configuration,
                list,
            } => {
                if configuration {
                    self.configuration.restart(0);
                }
                if list {
                    self.list.restart(InstanceListRevision::default());
                }
            }
            FromSubscriber::AnnounceControlNodes(_) => self.is_announcer = true,
        }
    }

    /// Whether a control node announces others on this connection.
    pub fn is_announcer(&self) -> bool {
        self.is_announcer
    }

    /// The subscriber is there.
    pub fn record_contact(&mut self, now_ms: u64) {
        self.last_contact_ms = now_ms;
    }

    /// Who subscribes; absent before the first message.
    pub fn identity(&self) -> Option<&SubscriberIdentity> {
        self.identity.as_ref()
    }

    /// Where other agents reach this one; absent for a proxy, and before the first message.
    pub fn agent_address(&self) -> Option<SocketAddrV4> {
        self.identity()?.agent_address
    }

    /// What the subscriber feeds, by its last acknowledgement.
    pub fn downstream(&self) -> &Downstream {
        &self.downstream
    }

    /// For the status page; absent before the first message.
    pub fn status(&self) -> Option<SubscriberStatus> {
        let acknowledged = AppliedVersions {
            configuration_version: self.configuration.applied(),
            list_revision: self.list.applied(),
        };
        let identity = self.identity.clone()?;
        Some(SubscriberStatus {
            identity,
            acknowledged,
            downstream: self.downstream.clone(),
        })
    }

    /// Whether there was no message for [`SUBSCRIBER_INACTIVITY_TIMEOUT_MS`].
    pub fn is_inactive(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_contact_ms) >= SUBSCRIBER_INACTIVITY_TIMEOUT_MS
    }

    /// When the next heartbeat is due.
    pub fn heartbeat_due_ms(&self) -> u64 {
        self.heartbeat_due_ms
    }

    /// Whether a heartbeat is due; if so, the next one is due an interval later.
    pub fn take_due_heartbeat(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms >= self.heartbeat_due_ms;
        if is_due {
            self.heartbeat_due_ms = now_ms + HEARTBEAT_INTERVAL_MS;
        }
        is_due
    }

    /// Whether a peer sample is due; if so, the next one is due an interval later.
    pub fn take_due_peer_sample(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms >= self.peers_due_ms;
        if is_due {
            self.peers_due_ms = now_ms + PEER_SAMPLE_INTERVAL_MS;
        }
        is_due
    }

    /// The frame with the control nodes' addresses, unless it was sent since they changed.
    pub fn take_due_control_nodes(&mut self, frame: Option<&Frame>) -> Option<Frame> {
        if self.control_nodes_sent {
            return None;
        }
        self.control_nodes_sent = true;
        frame.cloned()
    }

    /// The control nodes' addresses have changed: they are due again.
    pub fn control_nodes_changed(&mut self) {
        self.control_nodes_sent = false;
    }
}
