//! Applies what publishers send, and never goes back to an older version within its life, whoever sends it.

use std::net::SocketAddrV4;
use std::rc::Rc;

use lockusher_config::configuration::Configuration;
use lockusher_config::instances::{Instance, InstanceListRevision};

use crate::difference::DifferenceError;
use crate::instance_list::InstanceList;
use crate::load::{self, ServiceLoad};
use crate::message::{
    AppliedVersions, ConfigurationUpdate, Downstream, FromSubscriber, Heartbeat, InstanceListUpdate,
    NEVER_MS, SubscriberIdentity, ToSubscriber,
};

/// Acknowledgements that answer no update are sent this often, as a sign of life.
const KEEP_ALIVE_INTERVAL_MS: u64 = 1_000;

/// What a subscriber knows, and what it owes its publisher.
#[derive(Debug)]
pub struct Subscriber {
    identity: SubscriberIdentity,
    configuration: Option<Rc<Configuration>>,
    list: Option<InstanceList>,
    list_confirmed_at_ms: Option<u64>,
    calls_per_poll: u32,
    proxies: u32,
    publisher_in_view: bool,
    publisher_list_age_ms: u64,
    control_nodes: Vec<SocketAddrV4>,
    peers: Vec<SocketAddrV4>,
    downstream: Downstream,
    /// The loads of the last acknowledgement.
    reported_loads: Vec<ServiceLoad>,
    acknowledged_at_ms: u64,
}

impl Subscriber {
    /// Knows nothing yet.
    pub fn new(identity: SubscriberIdentity) -> Self {
        Subscriber {
            identity,
            configuration: None,
            list: None,
            list_confirmed_at_ms: None,
            calls_per_poll: 0,
            proxies: 0,
            publisher_in_view: true,
            publisher_list_age_ms: NEVER_MS,
            control_nodes: Vec::new(),
            peers: Vec::new(),
            downstream: Downstream::PROXY,
            reported_loads: Vec::new(),
            acknowledged_at_ms: 0,
        }
    }

    /// The newest configuration received.
    pub fn configuration(&self) -> Option<&Rc<Configuration>> {
        self.configuration.as_ref()
    }

    /// The newest list received.
    pub fn list(&self) -> Option<&InstanceList> {
        self.list.as_ref()
    }

    /// When a reader last confirmed the list that is held against the platform, as far as was heard.
    pub fn list_confirmed_at_ms(&self) -> Option<u64> {
        self.list_confirmed_at_ms
    }

    /// Calls to the platform that one reading of the whole list takes; 0 if unknown.
    pub fn calls_per_poll(&self) -> u32 {
        self.calls_per_poll
    }

    /// Subscribed proxies in the fleet, as last heard; 0 if unknown.
    pub fn proxies(&self) -> u32 {
        self.proxies
    }

    /// Whether the publisher takes part in the current view; true until it says otherwise.
    pub fn publisher_in_view(&self) -> bool {
        self.publisher_in_view
    }

    /// Age of the publisher's list by its last heartbeat.
    pub fn publisher_list_age_ms(&self) -> u64 {
        self.publisher_list_age_ms
    }

    /// Internal listeners of the control nodes, as last heard.
    pub fn control_nodes(&self) -> &[SocketAddrV4] {
        &self.control_nodes
    }

    /// The last sample of other agents.
    pub fn peers(&self) -> &[SocketAddrV4] {
        &self.peers
    }

    /// The versions held.
    pub fn applied(&self) -> AppliedVersions {
        AppliedVersions {
            configuration_version: self.configuration.as_ref().map_or(0, |applied| applied.version),
            list_revision: self.list.as_ref().map(|applied| applied.revision).unwrap_or_default(),
        }
    }

    /// Says what stands behind this subscriber; the next acknowledgement carries it. A proxy needn't call this.
    pub fn set_downstream(&mut self, downstream: Downstream) {
        self.downstream = downstream;
    }

    /// Says what the proxy that this subscriber feeds sees of its services.
    pub fn set_loads(&mut self, loads: Vec<ServiceLoad>) {
        self.downstream.loads = loads;
    }

    /// The first message on a new connection.
    pub fn subscribe(&mut self, now_ms: u64) -> FromSubscriber {
        self.acknowledged_at_ms = now_ms;
        self.publisher_in_view = true;
        self.publisher_list_age_ms = NEVER_MS;
        FromSubscriber::Subscribe { identity: self.identity.clone(), applied: self.applied() }
    }

    /// Takes a message of the publisher; returns the answer that is owed.
    pub fn receive(&mut self, now_ms: u64, message: ToSubscriber) -> Option<FromSubscriber> {
        match message {
            ToSubscriber::Configuration(update) => match self.apply_configuration(update) {
                Ok(()) => Some(self.acknowledge(now_ms)),
                Err(_) => Some(FromSubscriber::RequestFullSnapshot { configuration: true, list: false }),
            },
            ToSubscriber::Instances(update) => match self.apply_list(update) {
                Ok(()) => Some(self.acknowledge(now_ms)),
                Err(_) => Some(FromSubscriber::RequestFullSnapshot { configuration: false, list: true }),
            },
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

    /// Takes a whole configuration from elsewhere; false if it isn't newer.
    pub fn offer_configuration(&mut self, configuration: Rc<Configuration>) -> bool {
        if configuration.version <= self.applied().configuration_version {
            return false;
        }
        self.configuration = Some(configuration);
        true
    }

    fn apply_configuration(&mut self, update: ConfigurationUpdate) -> Result<(), DifferenceError> {
        let newer = match update {
            ConfigurationUpdate::FullSnapshot(configuration) => configuration,
            ConfigurationUpdate::Difference(difference) => {
                if difference.version <= self.applied().configuration_version {
                    return Ok(());
                }
                let base = self.configuration.as_ref().ok_or(DifferenceError::BaseMismatch)?;
                difference.apply(base)?
            }
        };
        self.offer_configuration(Rc::new(newer));
        Ok(())
    }

    fn apply_list(&mut self, update: InstanceListUpdate) -> Result<(), DifferenceError> {
        let (revision, instances) = match update {
            InstanceListUpdate::FullSnapshot { revision, instances } => (revision, instances),
            InstanceListUpdate::Difference(difference) => {
                let revision = difference.revision;
                if revision <= self.applied().list_revision {
                    return Ok(());
                }
                let base = self.list.as_ref().ok_or(DifferenceError::BaseMismatch)?;
                (revision, difference.apply(base.revision, &base.instances)?)
            }
        };
        self.take_list(revision, instances);
        Ok(())
    }

    fn take_list(&mut self, revision: InstanceListRevision, instances: Vec<Instance>) {
        if revision > self.applied().list_revision {
            self.list = Some(InstanceList { revision, instances: Rc::new(instances) });
        }
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
        let applied = self.applied();
        if heartbeat.list_age_ms != NEVER_MS && heartbeat.newest.list_revision == applied.list_revision {
            let confirmed = now_ms.saturating_sub(heartbeat.list_age_ms);
            self.list_confirmed_at_ms = self.list_confirmed_at_ms.max(Some(confirmed));
        }
        let since_acknowledged_ms = now_ms.saturating_sub(self.acknowledged_at_ms);
        let due = since_acknowledged_ms >= KEEP_ALIVE_INTERVAL_MS
            || load::is_noticeable(&self.downstream.loads, &self.reported_loads);
        due.then(|| self.acknowledge(now_ms))
    }

    fn acknowledge(&mut self, now_ms: u64) -> FromSubscriber {
        self.acknowledged_at_ms = now_ms;
        self.reported_loads.clone_from(&self.downstream.loads);
        FromSubscriber::Acknowledge { applied: self.applied(), downstream: self.downstream.clone() }
    }
}
