//! Applies the messages of publishers.
//!
//! A [`Subscriber`] is owned by a [`SharedSubscriber`](crate::subscribe::SharedSubscriber), which passes it the
//! messages of successive connections. It does no I/O and reads no clock.
//!
//! Invariant: while its process runs, it never returns to an older version, whichever publisher sends it, and each
//! version that it has applied is exactly what was published under that version. It answers each update by an
//! acknowledgement or by a request for a full snapshot.

use std::net::SocketAddrV4;
use std::rc::Rc;

use lockusher_config::configuration::Configuration;

use crate::difference::DifferenceError;
use crate::instance_list::InstanceList;
use crate::load::{self, ServiceLoad};
use crate::message::{
    AppliedVersions, ConfigurationUpdate, DownstreamState, FromSubscriber, Heartbeat,
    InstanceListUpdate, NEVER_CONFIRMED_MS, SubscriberIdentity, ToSubscriber,
};

/// Interval of keep-alives, in milliseconds: acknowledgements that answer a heartbeat instead of an update.
const KEEP_ALIVE_INTERVAL_MS: u64 = 1_000;

/// The versions and messages that a subscriber has received, and what its acknowledgements report.
#[derive(Debug)]
pub struct Subscriber {
    identity: SubscriberIdentity,
    configuration: Option<Rc<Configuration>>,
    list: Option<InstanceList>,
    /// On this process's monotonic clock; absent if no heartbeat has confirmed the applied list.
    list_confirmed_at_ms: Option<u64>,
    /// Of the platform's full list; 0 if unknown.
    calls_per_poll: u32,
    /// Number of subscribed proxies in the fleet; 0 if unknown.
    proxies: u32,
    publisher_in_view: bool,
    publisher_list_age_ms: u64,
    control_nodes: Vec<SocketAddrV4>,
    peers: Vec<SocketAddrV4>,
    downstream: DownstreamState,
    /// Loads in the last acknowledgement.
    reported_loads: Vec<ServiceLoad>,
    /// When the last acknowledgement was created, or the connection was established if that is later.
    acknowledged_at_ms: u64,
}

impl Subscriber {
    /// Creates a subscriber that has applied nothing yet.
    pub fn new(identity: SubscriberIdentity) -> Self {
        Subscriber {
            identity,
            configuration: None,
            list: None,
            list_confirmed_at_ms: None,
            calls_per_poll: 0,
            proxies: 0,
            publisher_in_view: true,
            publisher_list_age_ms: NEVER_CONFIRMED_MS,
            control_nodes: Vec::new(),
            peers: Vec::new(),
            downstream: DownstreamState::PROXY,
            reported_loads: Vec::new(),
            acknowledged_at_ms: 0,
        }
    }

    /// Returns the applied configuration.
    pub fn configuration(&self) -> Option<&Rc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the applied list.
    pub fn list(&self) -> Option<&InstanceList> {
        self.list.as_ref()
    }

    /// Returns when a poll last confirmed the applied list against the platform, according to heartbeats.
    pub fn list_confirmed_at_ms(&self) -> Option<u64> {
        self.list_confirmed_at_ms
    }

    /// Returns the number of calls to the platform that one poll of the full list takes; 0 if unknown.
    pub fn calls_per_poll(&self) -> u32 {
        self.calls_per_poll
    }

    /// Returns the last received number of subscribed proxies in the fleet; 0 if unknown.
    pub fn proxies(&self) -> u32 {
        self.proxies
    }

    /// Whether the publisher is a member of the current view; true until a heartbeat reports otherwise.
    pub fn publisher_in_view(&self) -> bool {
        self.publisher_in_view
    }

    /// Returns the age of the publisher's list by its last heartbeat, in milliseconds; [`NEVER_CONFIRMED_MS`] before the first.
    pub fn publisher_list_age_ms(&self) -> u64 {
        self.publisher_list_age_ms
    }

    /// Returns the internal listeners of the control nodes, as last received.
    pub fn control_nodes(&self) -> &[SocketAddrV4] {
        &self.control_nodes
    }

    /// Returns the sample of other agents, as last received.
    pub fn peers(&self) -> &[SocketAddrV4] {
        &self.peers
    }

    /// Returns the applied versions.
    pub fn applied(&self) -> AppliedVersions {
        AppliedVersions {
            configuration_version: self
                .configuration
                .as_ref()
                .map_or(0, |applied| applied.version),
            list_revision: self
                .list
                .as_ref()
                .map(|applied| applied.revision)
                .unwrap_or_default(),
        }
    }

    /// Sets the control nodes' addresses that one of them announced on another connection.
    pub fn set_control_nodes(&mut self, control_nodes: Vec<SocketAddrV4>) {
        self.control_nodes = control_nodes;
    }

    /// Sets the state of the proxies downstream, which the next acknowledgement reports; not needed by a proxy.
    pub fn set_downstream(&mut self, downstream: DownstreamState) {
        self.downstream = downstream;
    }

    /// Sets the loads that acknowledgements report; a proxy reports its own.
    pub fn set_loads(&mut self, loads: Vec<ServiceLoad>) {
        self.downstream.loads = loads;
    }

    /// Returns the first message of a new connection.
    pub fn subscribe(&mut self, now_ms: u64) -> FromSubscriber {
        self.acknowledged_at_ms = now_ms;
        self.publisher_in_view = true;
        self.publisher_list_age_ms = NEVER_CONFIRMED_MS;
        FromSubscriber::Subscribe {
            identity: self.identity.clone(),
            applied: self.applied(),
        }
    }

    /// Handles a message of the publisher; returns the answer, if one is due.
    pub fn receive(&mut self, now_ms: u64, message: ToSubscriber) -> Option<FromSubscriber> {
        match message {
            ToSubscriber::Configuration(update) => Some(self.receive_configuration(now_ms, update)),
            ToSubscriber::Instances(update) => Some(self.receive_list(now_ms, update)),
            ToSubscriber::Heartbeat(heartbeat) => self.receive_heartbeat(now_ms, heartbeat),
            ToSubscriber::ControlNodes(addresses) => {
                self.control_nodes = addresses;
                None
            }
            ToSubscriber::Peers(addresses) => {
                self.peers = addresses;
                None
            }
        }
    }

    /// Applies a configuration received from another source; returns false, without effect, if it isn't newer.
    pub fn apply_configuration_if_newer(&mut self, configuration: Rc<Configuration>) -> bool {
        if configuration.version <= self.applied().configuration_version {
            return false;
        }
        self.configuration = Some(configuration);
        true
    }

    fn receive_configuration(
        &mut self,
        now_ms: u64,
        update: ConfigurationUpdate,
    ) -> FromSubscriber {
        match self.apply_configuration(update) {
            Ok(()) => self.acknowledge(now_ms),
            Err(_) => FromSubscriber::RequestFullSnapshot {
                configuration: true,
                list: false,
            },
        }
    }

    fn receive_list(&mut self, now_ms: u64, update: InstanceListUpdate) -> FromSubscriber {
        match self.apply_list(update) {
            Ok(()) => self.acknowledge(now_ms),
            Err(_) => FromSubscriber::RequestFullSnapshot {
                configuration: false,
                list: true,
            },
        }
    }

    fn apply_configuration(&mut self, update: ConfigurationUpdate) -> Result<(), DifferenceError> {
        let newer = match update {
            ConfigurationUpdate::FullSnapshot(configuration) => configuration,
            ConfigurationUpdate::Difference(difference) => {
                if difference.version <= self.applied().configuration_version {
                    return Ok(());
                }
                let base = self
                    .configuration
                    .as_ref()
                    .ok_or(DifferenceError::BaseMismatch)?;
                difference.apply(base)?
            }
        };
        self.apply_configuration_if_newer(Rc::new(newer));
        Ok(())
    }

    fn apply_list(&mut self, update: InstanceListUpdate) -> Result<(), DifferenceError> {
        let (revision, instances) = match update {
            InstanceListUpdate::FullSnapshot {
                revision,
                instances,
            } => (revision, instances),
            InstanceListUpdate::Difference(difference) => {
                let revision = difference.revision;
                if revision <= self.applied().list_revision {
                    return Ok(());
                }
                let base = self.list.as_ref().ok_or(DifferenceError::BaseMismatch)?;
                (revision, difference.apply(base.revision, &base.instances)?)
            }
        };
        if revision > self.applied().list_revision {
            self.list = Some(InstanceList {
                revision,
                instances: Rc::new(instances),
            });
        }
        Ok(())
    }

    fn receive_heartbeat(&mut self, now_ms: u64, heartbeat: Heartbeat) -> Option<FromSubscriber> {
        self.publisher_in_view = heartbeat.in_view;
        self.publisher_list_age_ms = heartbeat.list_age_ms;
        if heartbeat.proxies > 0 {
            self.proxies = heartbeat.proxies;
        }
        if heartbeat.calls_per_poll > 0 {
            self.calls_per_poll = heartbeat.calls_per_poll;
        }
        self.confirm_list(now_ms, &heartbeat);
        self.is_acknowledgement_due(now_ms)
            .then(|| self.acknowledge(now_ms))
    }

    /// Takes the age of the publisher's list as that of the applied list if both have the same revision.
    fn confirm_list(&mut self, now_ms: u64, heartbeat: &Heartbeat) {
        let is_same_list = heartbeat.newest.list_revision == self.applied().list_revision;
        if heartbeat.list_age_ms != NEVER_CONFIRMED_MS && is_same_list {
            let confirmed_at_ms = now_ms.saturating_sub(heartbeat.list_age_ms);
            self.list_confirmed_at_ms = self.list_confirmed_at_ms.max(Some(confirmed_at_ms));
        }
    }

    fn is_acknowledgement_due(&self, now_ms: u64) -> bool {
        let since_acknowledged_ms = now_ms.saturating_sub(self.acknowledged_at_ms);
        since_acknowledged_ms >= KEEP_ALIVE_INTERVAL_MS
            || load::is_significant_change(&self.downstream.loads, &self.reported_loads)
    }

    fn acknowledge(&mut self, now_ms: u64) -> FromSubscriber {
        self.acknowledged_at_ms = now_ms;
        self.reported_loads.clone_from(&self.downstream.loads);
        FromSubscriber::Acknowledge {
            applied: self.applied(),
            downstream: self.downstream.clone(),
        }
    }
}
