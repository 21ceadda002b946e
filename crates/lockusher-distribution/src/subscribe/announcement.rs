//! Announcement of the control nodes, by one of them to an agent.
//!
//! Agents find control nodes by their seeds, but a seed's machine may run only an agent. Such an agent learns the
//! control nodes' addresses from these announcements, sends them to other agents that connect to it, and answers a
//! control node that has lost contact with the others with their addresses.

use std::net::SocketAddrV4;
use std::time::Duration;

use lockusher_transport::error::TransportError;
use lockusher_transport::{frame, tcp};

use crate::message::{Envelope, FromSubscriber, ToSubscriber};
use crate::reconnect::CONNECT_TIMEOUT_MS;
use crate::subscribe::error::SubscribeError;

/// Timeout of the agent's answer. An agent that knows no control node doesn't answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Announces control nodes to an agent, or none if the caller doesn't know them, and returns those that the agent
/// knows. Addresses are those of the internal listeners for subscribers.
///
/// # Errors
///
/// [`SubscribeError`] if the agent can't be reached, or its answer can't be read. Another attempt may succeed.
pub async fn announce_control_nodes(
    agent: SocketAddrV4,
    control_nodes: Vec<SocketAddrV4>,
) -> Result<Vec<SocketAddrV4>, SubscribeError> {
    let stream = tcp::connect(agent, Duration::from_millis(CONNECT_TIMEOUT_MS)).await?;
    let (mut reader, mut writer) = frame::split::<Envelope, Envelope>(stream)?;
    let announcement = FromSubscriber::AnnounceControlNodes(control_nodes);
    writer.write(&Envelope::encode(&announcement)).await?;
    let envelope = match reader.read_within(ANSWER_TIMEOUT).await {
        Err(TransportError::TimedOut { .. }) => return Ok(Vec::new()),
        received => received?,
    };
    match envelope.decode()? {
        ToSubscriber::ControlNodes(known) => Ok(known),
        _ => Ok(Vec::new()),
    }
}
