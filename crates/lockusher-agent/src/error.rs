//! Errors of the agent: the failed operation, its address, and whether a retry can help.

use std::net::SocketAddrV4;

use derive_more::{Display, Error};
use lockusher_config::settings::TooFewPorts;
use lockusher_distribution::message::MessageError;
use lockusher_transport::error::TransportError;

/// The agent can't run. The process terminates with this error.
#[derive(Debug, Display, Error)]
pub enum AgentError {
    /// The settings contain too few internal ports. Can't be retried until they are changed.
    #[display("{_0}")]
    Ports(TooFewPorts),
    /// A socket can't be bound. Can be retried once the address is free, for example after a previous agent has
    /// terminated.
    #[display("listener at {address}: {source}")]
    Listen {
        /// The address to bind.
        address: SocketAddrV4,
        /// The error of the socket.
        source: TransportError,
    },
}

/// No configuration was fetched from a peer. A retry may succeed in each case, preferably with another peer, which is
/// known as soon as it advertises a newer version by gossip.
#[derive(Debug, Display, Error)]
pub enum ConfigurationFetchError {
    /// The peer is unreachable or the connection was lost.
    #[display("configuration from the agent at {peer}: {source}")]
    Transport {
        /// The peer's address.
        peer: SocketAddrV4,
        /// The error of the connection.
        source: TransportError,
    },
    /// The peer sent a message that can't be decoded; one of a later release may.
    #[display("configuration from the agent at {peer}: {source}")]
    Message {
        /// The peer's address.
        peer: SocketAddrV4,
        /// The error of decoding.
        source: MessageError,
    },
    /// The peer sent no newer configuration before the timeout.
    #[display(
        "configuration from the agent at {peer}: timed out, none received above version {local_version}"
    )]
    TimedOut {
        /// The peer's address.
        peer: SocketAddrV4,
        /// The version that this agent already has.
        local_version: u64,
    },
}
