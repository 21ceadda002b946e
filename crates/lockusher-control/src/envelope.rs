//! The form of messages between control nodes on the wire.

use derive_more::{Display, Error, From};

use crate::message::Message;

/// Number of the protocol that this release speaks.
pub const PROTOCOL: u16 = 2;

/// A message as it goes on the wire.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    pub protocol: u16,
    pub message: Message,
}

/// Why received bytes aren't a message.
#[derive(Debug, Display, Error, From)]
pub enum EnvelopeError {
    #[display("message of {length} bytes has no protocol number")]
    Short { length: usize },
    #[display("unknown protocol number {protocol}")]
    UnknownProtocol { protocol: u16 },
    #[display("unreadable message: {_0}")]
    Unreadable(bitcode::Error),
}

impl Envelope {
    /// The message under the current protocol number.
    pub fn new(message: Message) -> Self {
        Self { protocol: PROTOCOL, message }
    }

    /// Bytes for the wire: the protocol number (little endian), then the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.protocol.to_le_bytes().to_vec();
        bytes.extend_from_slice(&bitcode::encode(&self.message));
        bytes
    }

    /// Reads what [`Envelope::encode`] wrote. The protocol number is checked before anything else is read.
    pub fn decode(bytes: &[u8]) -> Result<Self, EnvelopeError> {
        let Some((number, rest)) = bytes.split_first_chunk::<2>() else {
            return Err(EnvelopeError::Short { length: bytes.len() });
        };
        let protocol = u16::from_le_bytes(*number);
        if protocol != PROTOCOL {
            return Err(EnvelopeError::UnknownProtocol { protocol });
        }
        Ok(Self { protocol, message: bitcode::decode(rest)? })
    }
}
