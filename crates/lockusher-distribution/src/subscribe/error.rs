//! Why a subscription's connection ends.

use derive_more::{Display, Error, From};
use lockusher_transport::error::TransportError;

use crate::message::MessageError;

/// Why a connection to a publisher ended. Another attempt may succeed after each of these, at this publisher or at
/// another one; after [`SubscribeError::Message`] at this one only once either side runs another release.
#[derive(Debug, Display, Error, From)]
pub enum SubscribeError {
    /// Connecting, reading or writing failed, or the publisher closed the connection.
    #[display("{_0}")]
    Transport(TransportError),
    /// The publisher sent what this process can't read.
    #[display("{_0}")]
    Message(MessageError),
    /// The publisher sent nothing for as long as the caller waits, usually
    /// [`PUBLISHER_INACTIVITY_TIMEOUT_MS`](crate::reconnect::PUBLISHER_INACTIVITY_TIMEOUT_MS).
    #[display("the publisher sent no message in time")]
    InactivityTimeout,
    /// The publisher isn't a control node; it named some, or knew none in time.
    #[from(ignore)]
    #[display("the publisher is an agent, which {}", if *named { "named control nodes" } else { "knows no control node" })]
    Referral {
        /// Whether it named control nodes.
        named: bool,
    },
    /// The publisher takes no part in the control plane's current view.
    #[display("the publisher is outside the current view")]
    OutOfView,
}
