//! Why a subscriber's connection ends.

use derive_more::{Display, Error, From};
use lockusher_transport::error::TransportError;

use crate::message::MessageError;

/// Why a subscriber's connection ended. The subscriber connects again by itself.
#[derive(Debug, Display, Error, From)]
pub enum ServeError {
    /// Reading or writing failed, or the subscriber closed the connection.
    #[display("{_0}")]
    Transport(TransportError),
    /// The subscriber sent what this process can't read.
    #[display("{_0}")]
    Message(MessageError),
    /// The subscriber sent nothing for
    /// [`SUBSCRIBER_INACTIVITY_TIMEOUT_MS`](crate::publisher::SUBSCRIBER_INACTIVITY_TIMEOUT_MS).
    #[display("the subscriber sent no message in time")]
    InactivityTimeout,
    /// This process closed the connection, by [`SharedPublisher::close`](crate::serve::SharedPublisher::close).
    #[display("the publisher ends")]
    Closed,
}
