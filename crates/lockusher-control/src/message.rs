//! Messages between control nodes and their form on the wire.

use bitcode::{Decode, Encode};

use crate::document::ConfigurationDocument;
use crate::position::Position;
pub use crate::proposal::{AcceptedView, ProposalNumber};
use crate::request::{Reply, Request};
use crate::state::{HistoryDigest, ReplicatedState};
use crate::view::{Identity, View};

/// A message of one control node to another.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Message {
    pub sender: Identity,
    /// Epoch of the newest view that the sender knows; 0 if it knows none.
    pub epoch: u64,
    pub body: MessageBody,
}

/// What a message says. All but `Heartbeat`, `NewView`, `Forward` and `ForwardResponse` hold for the sender's epoch only.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum MessageBody {
    Heartbeat(Heartbeat),
    /// An agreed view.
    NewView(View),
    Prepare {
        proposal_number: ProposalNumber,
    },
    PrepareResponse {
        proposal_number: ProposalNumber,
        accepted: Option<AcceptedView>,
    },
    Accept {
        proposal_number: ProposalNumber,
        view: View,
    },
    AcceptResponse {
        proposal_number: ProposalNumber,
    },
    /// The proposal number is below a promised one.
    ProposalRejected {
        promised: ProposalNumber,
    },
    /// State for another replica.
    Transfer(Transfer),
    TransferResponse(TransferResponse),
    /// One configuration. `relay` asks to pass it on to the successor.
    Append {
        index: u64,
        previous: HistoryDigest,
        document: ConfigurationDocument,
        relay: bool,
    },
    /// Every replica from the sender to the tail holds the entry.
    AppendAcknowledged {
        index: u64,
    },
    /// The sender holds the entry.
    AppendStored {
        index: u64,
    },
    /// The sender can't take the entry: it lacks what comes before.
    AppendRejected {
        index: u64,
    },
    /// All of the chain hold the entries up to this one, which make this state.
    Committed {
        index: u64,
        history_digest: HistoryDigest,
    },
    /// Asks whether the sender's epoch is the newest known.
    ConfirmEpoch {
        sequence: u64,
    },
    /// The epoch is the newest known; with it what the sender holds, to be compared with the head's state.
    EpochConfirmed {
        sequence: u64,
        position: Position,
        history_digest: HistoryDigest,
    },
    /// A request for the head.
    Forward {
        request: u64,
        body: Request,
    },
    ForwardResponse {
        request: u64,
        reply: Reply,
    },
}

/// Regular sign of life.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Heartbeat {
    pub health: Health,
    /// Durable state of the sender.
    pub position: Position,
    pub history_digest: HistoryDigest,
    /// Newest position that the sender knows committed.
    pub committed: Position,
    /// History digest of the committed state, if the sender is head and knows it.
    pub committed_history_digest: Option<HistoryDigest>,
    /// Version of the newest configuration that the sender knows committed.
    pub committed_version: u64,
    /// Nodes that the sender has heard lately: a node that isn't named can't reach the sender.
    pub recent_senders: Vec<Identity>,
}

/// Whether a node can replicate.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Health {
    Good,
    /// A write to its disk failed or takes too long.
    DiskFault,
    /// It is about to end.
    ShuttingDown,
}

/// Why a state is sent.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum TransferPurpose {
    /// The new head brings a member of its chain to its state.
    Synchronise,
    /// The head feeds its committed state to a node outside of the chain.
    Learn,
    /// A sealed member hands over what a node needs that joins the next chain.
    Join,
    /// The head replaces a member's state that differs from its own at the same position.
    Repair,
}

/// State for another replica.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Transfer {
    pub purpose: TransferPurpose,
    pub position: Position,
    /// History digest of the state transferred.
    pub history_digest: HistoryDigest,
    pub payload: Payload,
}

/// How much of the state a transfer carries.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Payload {
    /// Nothing: the receiver is believed to hold it.
    Empty,
    /// The newest configuration; the receiver is believed to hold what comes before.
    LatestDocument {
        previous: HistoryDigest,
        document: ConfigurationDocument,
    },
    FullSnapshot(ReplicatedState),
}

/// Answer to a [`Transfer`].
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct TransferResponse {
    pub purpose: TransferPurpose,
    pub position: Position,
    pub history_digest: HistoryDigest,
    /// Whether the state is durable now; if not, it is wanted whole.
    pub stored: bool,
}
