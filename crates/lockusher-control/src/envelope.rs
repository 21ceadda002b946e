//! Wire format of messages between control nodes: a protocol number, then the encoded [`Message`].
//!
//! The driver's peer links frame and send it; a node rejects messages with another protocol number, so that releases
//! with different encodings can't misread one another.

use derive_more::{Display, Error, From};

use crate::message::Message;

/// Protocol number of this release.
pub const PROTOCOL: u16 = 2;

/// A message with its protocol number, as sent on the wire.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Number of the protocol in which the message is encoded.
    pub protocol: u16,
    /// The message.
    pub message: Message,
}

/// Reason why received bytes can't be decoded.
#[derive(Debug, Display, Error, From)]
pub enum EnvelopeError {
    /// There are too few bytes for a protocol number.
    #[display("message of {length} bytes has no protocol number")]
    Short {
        /// Bytes received.
        length: usize,
    },
    /// The sender uses another protocol.
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

    /// Encodes the protocol number (little endian) and the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.protocol.to_le_bytes().to_vec();
        bytes.extend_from_slice(&bitcode::encode(&self.message));
        bytes
    }

    /// Decodes what [`Envelope::encode`] returned. The protocol number is checked before anything else is read.
    ///
    /// # Errors
    ///
    /// If there are too few bytes, the protocol number is another one, or the rest isn't an encoded message.
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
