//! Records that a replica has made durable. They are replayed in order at the next start.

use std::net::SocketAddrV4;

use bitcode::{Decode, Encode};

use crate::{
    document::ConfigurationDocument,
    message::ProposalNumber,
    state::{HistoryDigest, ReplicatedState},
    view::{Identity, View},
};

/// Where a state stands: the epoch in which it was written and how many entries of that epoch it contains.
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    pub epoch: u64,
    /// Entries of this epoch contained. [`Position::SEALED`] marks a state handed over at the end of the epoch.
    pub index: u64,
}

impl Position {
    /// Index of a state handed over by a sealed replica: nothing of its epoch comes after it.
    pub const SEALED: u64 = u64::MAX;
}

/// One durable record. Votes are merged by their order (epoch, proposal number), so it is harmless if they come twice or
/// late; `Entry` and `State` are applied in their order.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum DurableRecord {
    /// Who this disk is, and the address it was used at.
    Identity { identity: Identity, address: SocketAddrV4 },
    /// An agreed view.
    View(View),
    /// No proposal number below this one is accepted for the successor of `epoch`.
    Promise { epoch: u64, proposal_number: ProposalNumber },
    /// This view was accepted as the successor of `epoch`.
    Accept { epoch: u64, proposal_number: ProposalNumber, view: View },
    /// No further entry of `epoch` is taken.
    Seal { epoch: u64 },
    /// One configuration on top of the state with the history digest `previous`.
    Entry { position: Position, previous: HistoryDigest, document: ConfigurationDocument },
    /// The whole state, in place of what was held before.
    State { position: Position, state: ReplicatedState },
    /// The state held has the standing of this position, too.
    PositionAdvanced { position: Position },
}
