//! Errors of the agent: what was tried, on what address, and what to do about it.

use std::net::SocketAddrV4;

use derive_more::{Display, Error};
use lockusher_config::settings::TooFewPorts;
use lockusher_distribution::message::MessageError;
use lockusher_transport::error::TransportError;

/// Why the agent can't run; the process ends with it.
#[derive(Debug, Display, Error)]
pub enum AgentError {
    /// The settings name too few internal ports. Trying again doesn't help before they are changed.
    #[display("{_0}")]
    Ports(TooFewPorts),
    /// A socket can't be bound. Trying again helps once the address is free, as when the agent before this one has ended.
    #[display("listener at {address}: {source}")]
    Listen {
        /// Where the socket should be bound.
        address: SocketAddrV4,
        /// What the system said.
        source: TransportError,
    },
}

/// Why no configuration was fetched from a peer. Trying again may help in each case, best with another peer: the gossip
/// names one when it advertises a newer version.
#[derive(Debug, Display, Error)]
pub enum ConfigurationFetchError {
    /// The peer can't be reached or the connection was lost.
    #[display("configuration from the agent at {peer}: {source}")]
    Transport {
        /// The agent that was asked.
        peer: SocketAddrV4,
        /// What went wrong on the socket.
        source: TransportError,
    },
    /// The peer sent what can't be read, as one of a later release may.
    #[display("configuration from the agent at {peer}: {source}")]
    Message {
        /// The agent that was asked.
        peer: SocketAddrV4,
        /// What can't be read.
        source: MessageError,
    },
    /// The peer sent no newer configuration in time.
    #[display("configuration from the agent at {peer}: none above {local_version} in time")]
    TimedOut {
        /// The agent that was asked.
        peer: SocketAddrV4,
        /// The version that this agent has.
        local_version: u64,
    },
}
