//! Records that a replica makes durable before it acts on them.
//!
//! The driver appends them to the storage's log as [`Effect::Persist`](crate::Effect::Persist) asks, and hands all of
//! them, in order, to the replica's next start. The encoding is the stored form: fields and variants are never reordered.

use std::net::SocketAddrV4;

use bitcode::{Decode, Encode};

use crate::document::ConfigurationDocument;
use crate::position::Position;
use crate::proposal::ProposalNumber;
use crate::state::{HistoryDigest, ReplicatedState};
use crate::view::{Identity, View};

/// Names a write that a replica asked for until its outcome is known.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PersistTicket(pub u64);

/// One durable record.
///
/// Records of the agreement are merged by their order (epoch, proposal number), so that it is harmless if they come
/// twice or late; `Entry` and `State` are applied in the order of the log.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum DurableRecord {
    /// Whose disk this is.
    Identity {
        /// Identity of the disk.
        identity: Identity,
        /// Address that it was used at.
        address: SocketAddrV4,
    },
    /// An agreed view.
    View(View),
    /// The acceptor's answer to a prepare: it accepts no proposal with a lower number.
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
    /// No further entry of the epoch is taken.
    Seal {
        /// The sealed epoch.
        epoch: u64,
    },
    /// One configuration on top of a state.
    Entry {
        /// Position of the state that contains the entry.
        position: Position,
        /// History digest of the state that it follows.
        previous: HistoryDigest,
        /// The configuration.
        document: ConfigurationDocument,
    },
    /// The whole state, in place of what was stored before.
    State {
        /// Position of the state.
        position: Position,
        /// The state.
        state: ReplicatedState,
    },
    /// The stored state stands at a later position, without a change.
    PositionAdvanced {
        /// The later position.
        position: Position,
    },
}
