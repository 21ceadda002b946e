//! Addresses that the agent derives from the node's settings: its own, and those of control nodes.
//!
//! Internal ports are the same on all machines, so that an IP address is enough to find an agent or a control node.

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
    /// The ports that the settings assign.
    ///
    /// # Errors
    ///
    /// If their range is too short. Trying again doesn't help before the settings are changed.
    pub fn of(settings: &NodeSettings) -> Result<Self, TooFewPorts> {
        Ok(InternalPorts {
            subscriptions: settings.internal_port(InternalListener::Subscriptions)?,
            agents: settings.internal_port(InternalListener::Agents)?,
        })
    }

    /// Where proxies of this machine subscribe.
    pub fn proxy_listener(self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::LOCALHOST, self.subscriptions)
    }

    /// Where other agents reach this one, over UDP and TCP.
    pub fn peer_address(self, settings: &NodeSettings) -> SocketAddrV4 {
        SocketAddrV4::new(settings.ip_address, self.agents)
    }

    /// Internal listeners of the control nodes that the seeds name, if they name control nodes.
    pub fn control_listeners(self, seeds: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        let listener = |seed: &SocketAddrV4| SocketAddrV4::new(*seed.ip(), self.subscriptions);
        seeds.iter().map(listener).collect()
    }

    /// Agents on the machines of the seeds, this one's own excepted.
    pub fn seed_agents(self, settings: &NodeSettings, seeds: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        let others = seeds
            .iter()
            .filter(|seed| *seed.ip() != settings.ip_address);
        others
            .map(|seed| SocketAddrV4::new(*seed.ip(), self.agents))
            .collect()
    }

    /// How this agent names itself to control nodes and to peers from which it fetches.
    pub fn identity(self, settings: &NodeSettings) -> SubscriberIdentity {
        SubscriberIdentity {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            agent_address: Some(self.peer_address(settings)),
        }
    }
}
