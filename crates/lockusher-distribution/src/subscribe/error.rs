//! Why a subscription's connection ends.

use derive_more::{Display, Error, From};
use lockusher_transport::error::TransportError;

use crate::message::MessageError;

/// Why a connection to a publisher ended.
#[derive(Debug, Display, Error, From)]
pub enum SubscribeError {
    #[display("{_0}")]
    Transport(TransportError),
    #[display("{_0}")]
    Message(MessageError),
    #[display("the publisher fell silent")]
    InactivityTimeout,
    #[display("the publisher is outside the current view")]
    OutOfView,
}
