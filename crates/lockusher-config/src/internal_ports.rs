//! The ports of a machine for internal traffic between the nodes of the fleet.
//!
//! Each internal listener has a fixed position in the port range, and the range is the same on all machines, so that a
//! node can derive the ports of its peers' listeners (operators' pages: DEPLOY, "Settings of a process").

use derive_more::{Display, Error};

/// A range of ports, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port; at least `first`.
    pub last: u16,
}

impl PortRange {
    /// The port of an internal listener.
    ///
    /// # Errors
    ///
    /// If the range ends before the listener's position.
    pub fn port_of(self, listener: InternalListener) -> Result<u16, TooFewPorts> {
        let port = self
            .first
            .checked_add(listener.position())
            .filter(|port| *port <= self.last);
        port.ok_or(TooFewPorts { listener })
    }
}

/// A listener for internal traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InternalListener {
    /// Serves subscribers of configuration and instance list: the agent serves proxies at the loopback address, the
    /// control node serves agents at the machine's address.
    Subscriptions,
    /// Serves other control nodes: consensus and replication.
    Replicas,
    /// Serves other agents: gossip.
    Agents,
}

impl InternalListener {
    /// The listener's position in the range of ports, from 0.
    fn position(self) -> u16 {
        match self {
            Self::Subscriptions => 0,
            Self::Replicas => 1,
            Self::Agents => 2,
        }
    }
}

/// The range of internal ports is too short for a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("settings: internalPorts: expected {} ports at least", listener.position() + 1)]
pub struct TooFewPorts {
    /// The listener that has no port.
    pub listener: InternalListener,
}
