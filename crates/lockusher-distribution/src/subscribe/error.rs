//! Why a subscription's connection ends.

use derive_more::{Display, Error, From};
use lockusher_transport::error::TransportError;

use crate::message::MessageError;

/// Why a connection to a publisher ended. Another attempt may succeed after each of these, at this publisher or at
/// another one; after [`SubscribeError::Message`], at this one only after an upgrade of either side.
#[derive(Debug, Display, Error, From)]
pub enum SubscribeError {
    /// Connecting, reading or writing failed, or the publisher closed the connection.
    #[display("{_0}")]
    Transport(TransportError),
    /// The publisher sent a message that can't be read.
    #[display("{_0}")]
    Message(MessageError),
    /// The publisher sent no message within the caller's timeout, usually
    /// [`PUBLISHER_INACTIVITY_TIMEOUT_MS`](crate::reconnect::PUBLISHER_INACTIVITY_TIMEOUT_MS).
    #[display("no message from the publisher within the inactivity timeout")]
    InactivityTimeout,
    /// The peer is an agent instead of a control node; it returned the addresses of control nodes, or none in time.
    #[from(ignore)]
    #[display("the publisher is an agent, which {}", if *returned_control_nodes { "returned control nodes" } else { "knows no control node" })]
    Referral {
        /// Whether it returned control nodes.
        returned_control_nodes: bool,
    },
    /// The publisher isn't a member of the control plane's current view.
    #[display("the publisher isn't a member of the current view")]
    OutOfView,
}
