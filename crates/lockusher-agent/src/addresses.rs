//! Addresses that the agent derives from the node's settings: its own, those of control nodes and of other agents.
//!
//! Internal ports are the same on all machines, so an IP address identifies an agent or a control node.

use std::net::{Ipv4Addr, SocketAddrV4};

use lockusher_config::settings::{InternalListener, NodeSettings, TooFewPorts};
use lockusher_distribution::message::SubscriberIdentity;

/// Ports of the internal listeners.
#[derive(Clone, Copy, Debug)]
pub struct InternalPorts {
    subscriptions: u16,
    agents: u16,
}

impl InternalPorts {
    /// The ports assigned by the settings.
    ///
    /// # Errors
    ///
    /// If the range of internal ports is too short. Can't be retried until the settings are changed.
    pub fn from_settings(settings: &NodeSettings) -> Result<Self, TooFewPorts> {
        Ok(InternalPorts {
            subscriptions: settings.internal_port(InternalListener::Subscriptions)?,
            agents: settings.internal_port(InternalListener::Agents)?,
        })
    }

    /// The address at which the proxies of this machine subscribe.
    pub fn proxy_listener(self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::LOCALHOST, self.subscriptions)
    }

    /// The address at which other agents reach this one, over UDP and TCP.
    pub fn peer_address(self, settings: &NodeSettings) -> SocketAddrV4 {
        SocketAddrV4::new(settings.ip_address, self.agents)
    }

    /// The internal listeners of the control nodes on the machines of the seeds; a machine may run none.
    pub fn control_listeners(self, seeds: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        let listener = |seed: &SocketAddrV4| SocketAddrV4::new(*seed.ip(), self.subscriptions);
        seeds.iter().map(listener).collect()
    }

    /// The agents on the machines of the seeds, except this agent.
    pub fn seed_agents(self, settings: &NodeSettings, seeds: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        let others = seeds
            .iter()
            .filter(|seed| *seed.ip() != settings.ip_address);
        others
            .map(|seed| SocketAddrV4::new(*seed.ip(), self.agents))
            .collect()
    }

    /// The identity under which this agent subscribes at control nodes, and at peers from which it fetches.
    pub fn identity(self, settings: &NodeSettings) -> SubscriberIdentity {
        SubscriberIdentity {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            agent_address: Some(self.peer_address(settings)),
        }
    }
}
