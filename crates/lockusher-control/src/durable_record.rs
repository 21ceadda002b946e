//! Records that a replica has made durable. They are replayed in order at the next start.

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
