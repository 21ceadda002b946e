//! Requests of the operator and the replies to them.
//!
//! The driver passes requests to the [`Replica`](crate::Replica) of the node that received them, which forwards them to
//! the head for a decision. Both requests and replies are sent between nodes, so their encoding is part of the
//! protocol.

use bitcode::{Decode, Encode};

use crate::document::{ConfigurationDocument, Digest};

/// Identifies a request of the driver until it is answered.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestTicket(pub u64);

/// A request of the operator.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Request {
    /// Commits a configuration that the driver has validated.
    Put {
        /// Version that it builds on; 0 for the first.
        if_match: u64,
        /// The new configuration.
        document: ConfigurationDocument,
    },
    /// Reads the configuration that a patch builds on, unless the patch was applied already or can't be applied.
    PatchBase {
        /// Version that the patch builds on.
        if_match: u64,
        /// Version that the patch produces.
        version: u64,
        /// Identity of the patch: [`patch_identity`](crate::document::patch_identity).
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
    /// The current version isn't the one that the request builds on.
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
