//! Why a subscriber's connection ends.

use derive_more::{Display, Error, From};
use lockusher_transport::error::TransportError;

use crate::message::MessageError;

/// Why a subscriber's connection ended. The subscriber reconnects by itself.
#[derive(Debug, Display, Error, From)]
pub enum ServeError {
    /// Reading or writing failed, or the subscriber closed the connection.
    #[display("{_0}")]
    Transport(TransportError),
    /// The subscriber sent a message that can't be read.
    #[display("{_0}")]
    Message(MessageError),
    /// The subscriber sent no message for
    /// [`SUBSCRIBER_INACTIVITY_TIMEOUT_MS`](crate::publisher::SUBSCRIBER_INACTIVITY_TIMEOUT_MS).
    #[display("no message from the subscriber within the inactivity timeout")]
    InactivityTimeout,
    /// This process closed the connection, by [`SharedPublisher::close`](crate::serve::SharedPublisher::close).
    #[display("the publisher was closed")]
    Closed,
}
