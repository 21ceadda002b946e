//! The form of messages between control nodes on the wire: a protocol number, then the encoded [`Message`].
//!
//! The driver's peer links frame and send it; a node refuses what another protocol number precedes, so that releases
//! with different encodings can't misread one another.

use derive_more::{Display, Error, From};

use crate::message::Message;

/// Number of the protocol that this release speaks.
pub const PROTOCOL: u16 = 2;

/// A message as it goes on the wire.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Number of the protocol that the message is encoded by.
    pub protocol: u16,
    /// The message.
    pub message: Message,
}

/// Why received bytes aren't a message.
#[derive(Debug, Display, Error, From)]
pub enum EnvelopeError {
    /// There are too few bytes for a protocol number.
    #[display("message of {length} bytes has no protocol number")]
    Short {
        /// Bytes received.
        length: usize,
    },
    /// The sender speaks another protocol.
    #[display("unknown protocol number {protocol}")]
    UnknownProtocol {
        /// The number received.
        protocol: u16,
    },
    /// The bytes after the protocol number aren't an encoded message.
    #[display("unreadable message: {_0}")]
    Unreadable(bitcode::Error),
}

impl Envelope {
    /// The message under the current protocol number.
    pub fn new(message: Message) -> Self {
        Self {
            protocol: PROTOCOL,
            message,
        }
    }

    /// Bytes for the wire: the protocol number (little endian), then the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.protocol.to_le_bytes().to_vec();
        bytes.extend_from_slice(&bitcode::encode(&self.message));
        bytes
    }

    /// Reads what [`Envelope::encode`] wrote. The protocol number is checked before anything else is read.
    ///
    /// # Errors
    ///
    /// If the bytes are too few, of another protocol, or no message.
    pub fn decode(bytes: &[u8]) -> Result<Self, EnvelopeError> {
        let Some((number, rest)) = bytes.split_first_chunk::<2>() else {
            return Err(EnvelopeError::Short {
                length: bytes.len(),
            });
        };
        let protocol = u16::from_le_bytes(*number);
        if protocol != PROTOCOL {
            return Err(EnvelopeError::UnknownProtocol { protocol });
        }
        Ok(Self {
            protocol,
            message: bitcode::decode(rest)?,
        })
    }
}
