//! Records that a replica makes durable before it acts on them.
//!
//! The driver appends them to the storage's log on [`Effect::Persist`](crate::Effect::Persist), and passes all of them,
//! in order, to the replica at its next start. The encoding is the storage format: fields and variants are never
//! reordered.

use std::net::SocketAddrV4;

use bitcode::{Decode, Encode};

use crate::document::ConfigurationDocument;
use crate::position::Position;
use crate::proposal::ProposalNumber;
use crate::state::{HistoryDigest, ReplicatedState};
use crate::view::{Identity, View};

/// Identifies a write requested by a replica until its outcome is known.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PersistTicket(pub u64);

/// One durable record.
///
/// Records of view agreement are merged by epoch and proposal number, so that duplicate and late records are harmless;
/// `Entry` and `State` are applied in the order of the log.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum DurableRecord {
    /// Identity and address of the disk's node.
    Identity {
        /// Identity of the disk.
        identity: Identity,
        /// Address at which the disk was used.
        address: SocketAddrV4,
    },
    /// An agreed view.
    View(View),
    /// The acceptor's promise to accept no proposal with a lower number.
    Promise {
        /// Epoch whose successor is agreed on.
        epoch: u64,
        /// The lowest number that may still be accepted.
        proposal_number: ProposalNumber,
    },
    /// The acceptor has accepted a view.
    Accept {
        /// Epoch whose successor is agreed on.
        epoch: u64,
        /// Number of the accepted proposal.
        proposal_number: ProposalNumber,
        /// The accepted view.
        view: View,
    },
    /// The epoch is sealed: no further entry of it is accepted.
    Seal {
        /// The sealed epoch.
        epoch: u64,
    },
    /// One configuration, applied to the preceding state.
    Entry {
        /// Position of the state that contains the entry.
        position: Position,
        /// History digest of the state that it follows.
        previous: HistoryDigest,
        /// The configuration.
        document: ConfigurationDocument,
    },
    /// The whole state, which replaces the one stored before.
    State {
        /// Position of the state.
        position: Position,
        /// The state.
        state: ReplicatedState,
    },
    /// The stored state, unchanged, has a later position.
    PositionAdvanced {
        /// The later position.
        position: Position,
    },
}
