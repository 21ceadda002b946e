//! A control node's announcement to an agent: which control nodes there are.
//!
//! Agents find control nodes by their seeds, and a seed's machine may run an agent only. Such an agent is told of the control
//! nodes by these, refers others to them, and tells a control node that has lost the others who they are.

use std::net::SocketAddrV4;
use std::time::Duration;

use lockusher_transport::error::TransportError;
use lockusher_transport::{frame, tcp};

use crate::message::{Envelope, FromSubscriber, ToSubscriber};
use crate::reconnect::CONNECT_TIMEOUT_MS;
use crate::subscribe::error::SubscribeError;

/// How long the agent's answer is awaited. One that knows no control node sends none.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Announces control nodes to the agent at `agent`, none if the caller doesn't know them, and returns those that the agent
/// knows. Addresses are of internal listeners for subscribers.
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
