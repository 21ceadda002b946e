//! Requests of the operator and the replies to them.
//!
//! The driver hands them to the [`Replica`](crate::Replica) of the node that was asked; it forwards them to the head,
//! where they are decided. Both travel between nodes, so that their encoding is part of the protocol.

use bitcode::{Decode, Encode};

use crate::document::{ConfigurationDocument, Digest};

/// Names a request of the driver until it is answered.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestTicket(pub u64);

/// What the operator asks for.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Request {
    /// Takes a configuration that the driver has found valid.
    Put {
        /// Version that it builds on; 0 for the first.
        if_match: u64,
        /// The new configuration.
        document: ConfigurationDocument,
    },
    /// Asks for the configuration that a patch builds on, unless the patch was taken or can't be.
    Base {
        /// Version that the patch builds on.
        if_match: u64,
        /// Version that the patch makes.
        version: u64,
        /// [`patch_identity`](crate::document::patch_identity).
        request: Digest,
    },
    /// Reads the newest configuration.
    Read,
}

/// Answer to a [`Request`].
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Reply {
    /// The configuration is committed.
    Accepted,
    /// Another version than the one built on is current.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The version isn't above the current one.
    NotNewer {
        /// The current version.
        current: u64,
    },
    /// The newest configuration, or the one that a patch builds on.
    Document(Option<ConfigurationDocument>),
    /// Undecided: the operator may retry.
    Unavailable,
}
