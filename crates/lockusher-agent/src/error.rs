//! Errors of the agent.

use std::net::SocketAddrV4;

use derive_more::{Display, Error};
use lockusher_config::settings::TooFewPorts;
use lockusher_transport::error::TransportError;

/// Why the agent can't run.
#[derive(Debug, Display, Error)]
pub enum AgentError {
    #[display("{_0}")]
    Ports(TooFewPorts),
    #[display("listener at {address}: {source}")]
    Listen { address: SocketAddrV4, source: TransportError },
}
