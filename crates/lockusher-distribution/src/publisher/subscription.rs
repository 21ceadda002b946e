//! State of one subscriber's connection.
//!
//! Owned by the [`SubscriptionTable`](crate::publisher::subscription_table::SubscriptionTable), updated by the
//! publisher. Invariant: nothing is due to a subscriber that hasn't identified itself.

use std::net::SocketAddrV4;

use lockusher_config::instances::InstanceListRevision;

use crate::frame::Frame;
use crate::message::{AppliedVersions, DownstreamState, FromSubscriber, SubscriberIdentity};
use crate::publisher::delivery_progress::DeliveryProgress;

/// Interval of the heartbeats to one subscriber, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 300;
/// A connection without a message of its subscriber for this long, in milliseconds, is closed. The subscriber's
/// keep-alive interval is a fraction of it.
pub const SUBSCRIBER_INACTIVITY_TIMEOUT_MS: u64 = 5_000;
/// Interval of the peer samples to one agent, in milliseconds.
const PEER_SAMPLE_INTERVAL_MS: u64 = 30_000;

/// Identifier of one connection of a subscriber; a publisher never uses it twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubscriberId(pub(super) u64);

/// State of one subscriber, for the status page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscriberStatus {
    /// Identity of the subscriber.
    pub identity: SubscriberIdentity,
    /// The versions that it last acknowledged.
    pub acknowledged: AppliedVersions,
    /// State of the proxies downstream, by its last acknowledgement.
    pub downstream: DownstreamState,
}

/// One connection: the identity of the subscriber, what it has applied, and which messages are due to it.
#[derive(Debug)]
pub struct Subscription {
    /// Absent before the first message.
    identity: Option<SubscriberIdentity>,
    last_activity_ms: u64,
    /// Delivery of configurations.
    pub configuration: DeliveryProgress<u64>,
    /// Delivery of instance lists.
    pub list: DeliveryProgress<InstanceListRevision>,
    downstream: DownstreamState,
    heartbeat_due_ms: u64,
    peer_sample_due_ms: u64,
    control_nodes_sent: bool,
    /// The peer isn't a subscriber, but a control node that announces control nodes.
    is_announcer: bool,
}

impl Subscription {
    /// Creates the state of a new connection; all messages are due once the subscriber has identified itself.
    pub fn new(now_ms: u64) -> Self {
        Subscription {
            identity: None,
            last_activity_ms: now_ms,
            configuration: DeliveryProgress::default(),
            list: DeliveryProgress::default(),
            downstream: DownstreamState::PROXY,
            heartbeat_due_ms: now_ms,
            peer_sample_due_ms: now_ms,
            control_nodes_sent: false,
            is_announcer: false,
        }
    }

    /// Handles a message of the subscriber.
    pub fn receive(&mut self, now_ms: u64, message: FromSubscriber) {
        self.last_activity_ms = now_ms;
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

    /// Whether the peer is a control node that announces control nodes.
    pub fn is_announcer(&self) -> bool {
        self.is_announcer
    }

    /// Records that the subscriber is active.
    pub fn record_activity(&mut self, now_ms: u64) {
        self.last_activity_ms = now_ms;
    }

    /// Returns the subscriber's identity; absent before the first message.
    pub fn identity(&self) -> Option<&SubscriberIdentity> {
        self.identity.as_ref()
    }

    /// Returns the address at which other agents reach this one; absent for a proxy, and before the first message.
    pub fn agent_address(&self) -> Option<SocketAddrV4> {
        self.identity()?.agent_address
    }

    /// Returns the state of the proxies downstream, by the last acknowledgement.
    pub fn downstream(&self) -> &DownstreamState {
        &self.downstream
    }

    /// Returns the status for the status page; absent before the first message.
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

    /// Whether the subscriber sent no message for [`SUBSCRIBER_INACTIVITY_TIMEOUT_MS`].
    pub fn is_inactive(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_activity_ms) >= SUBSCRIBER_INACTIVITY_TIMEOUT_MS
    }

    /// Returns when the next heartbeat is due.
    pub fn heartbeat_due_ms(&self) -> u64 {
        self.heartbeat_due_ms
    }

    /// Returns whether a heartbeat is due; if so, schedules the next one an interval later.
    pub fn take_due_heartbeat(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms >= self.heartbeat_due_ms;
        if is_due {
            self.heartbeat_due_ms = now_ms + HEARTBEAT_INTERVAL_MS;
        }
        is_due
    }

    /// Returns whether a peer sample is due; if so, schedules the next one an interval later.
    pub fn take_due_peer_sample(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms >= self.peer_sample_due_ms;
        if is_due {
            self.peer_sample_due_ms = now_ms + PEER_SAMPLE_INTERVAL_MS;
        }
        is_due
    }

    /// Returns the frame with the control nodes' addresses if it wasn't sent since their last change.
    pub fn take_due_control_nodes(&mut self, frame: Option<&Frame>) -> Option<Frame> {
        if self.control_nodes_sent {
            return None;
        }
        self.control_nodes_sent = true;
        frame.cloned()
    }

    /// Schedules the control nodes' addresses, which have changed, to be sent.
    pub fn schedule_control_nodes(&mut self) {
        self.control_nodes_sent = false;
    }
}
