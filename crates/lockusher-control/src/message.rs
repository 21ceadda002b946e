//! Messages between control nodes.
//!
//! A [`Replica`](crate::Replica) sends and receives them; they may be lost, doubled, delayed and reordered, and every
//! receiver copes with that. Their encoding is part of the protocol (see [`envelope`](crate::envelope)): fields and
//! variants are never reordered.

use bitcode::{Decode, Encode};

use crate::document::ConfigurationDocument;
use crate::locality::Locality;
use crate::position::Position;
pub use crate::proposal::{AcceptedView, ProposalNumber};
use crate::request::{Reply, Request};
use crate::state::{HistoryDigest, ReplicatedState};
use crate::view::{Identity, View};

/// A message of one control node to another.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Message {
    /// Identity of the sender's disk.
    pub sender: Identity,
    /// Epoch of the newest view that the sender knows; 0 if it knows none.
    pub epoch: u64,
    /// What the message says.
    pub body: MessageBody,
}

/// What a message says. All but `Heartbeat`, `NewView`, `Forward`, `ForwardResponse` and `Locality` are valid
/// in the sender's epoch only.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum MessageBody {
    /// Liveness and progress of the sender.
    Heartbeat(Heartbeat),
    /// An agreed view.
    NewView(View),
    /// Phase 1a of the agreement on the next view.
    Prepare {
        /// Number of the proposal.
        proposal_number: ProposalNumber,
    },
    /// Phase 1b: the sender accepts no proposal with a lower number.
    PrepareResponse {
        /// Number of the proposal answered.
        proposal_number: ProposalNumber,
        /// What the sender has accepted under the highest number so far.
        accepted: Option<AcceptedView>,
    },
    /// Phase 2a of the agreement.
    Accept {
        /// Number of the proposal.
        proposal_number: ProposalNumber,
        /// The view proposed.
        view: View,
    },
    /// Phase 2b: the sender has accepted the proposal.
    AcceptResponse {
        /// Number of the accepted proposal.
        proposal_number: ProposalNumber,
    },
    /// The proposal number is below one that the sender has answered a prepare of.
    ProposalRejected {
        /// That higher number.
        promised: ProposalNumber,
    },
    /// State for another replica.
    Transfer(Transfer),
    /// Answer to a [`Transfer`].
    TransferResponse(TransferResponse),
    /// One configuration, to be stored and, if `relay` is set, forwarded down the chain.
    Append {
        /// Index of the entry in the sender's epoch.
        index: u64,
        /// History digest of the state that it follows.
        previous: HistoryDigest,
        /// The configuration.
        document: ConfigurationDocument,
        /// Whether it goes on to the successor; else the head is answered directly.
        relay: bool,
    },
    /// Every replica from the sender to the tail has stored the entry.
    AppendAcknowledged {
        /// Index of the entry.
        index: u64,
    },
    /// The sender has stored the entry.
    AppendStored {
        /// Index of the entry.
        index: u64,
    },
    /// The sender can't store the entry: it lacks what precedes it.
    AppendRejected {
        /// Index of the entry.
        index: u64,
    },
    /// The whole chain has stored the entries up to this one.
    Committed {
        /// Index of the newest committed entry.
        index: u64,
        /// History digest of the committed state.
        history_digest: HistoryDigest,
    },
    /// The head asks whether its epoch is the newest that the receiver knows.
    ConfirmEpoch {
        /// Number of the confirmation within the head's epoch.
        sequence: u64,
    },
    /// The epoch is the newest that the sender knows; with it what it has stored, to be compared with the head's state.
    EpochConfirmed {
        /// Number of the confirmation answered.
        sequence: u64,
        /// Position of the sender's durable state.
        position: Position,
        /// History digest of that state.
        history_digest: HistoryDigest,
    },
    /// A request for the head.
    Forward {
        /// Number of the request at the sender.
        request: u64,
        /// The request.
        body: Request,
    },
    /// The head's reply to a forwarded request.
    ForwardResponse {
        /// Number of the request at the receiver.
        request: u64,
        /// The reply.
        reply: Reply,
    },
    /// Where the sender's machine stands. Sent only where zones or regions may be lost as a whole.
    Locality(Locality),
}

/// What a node tells the others about itself at each heartbeat interval.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Heartbeat {
    /// Whether the sender can replicate.
    pub health: Health,
    /// Position of the sender's durable state.
    pub position: Position,
    /// History digest of that state.
    pub history_digest: HistoryDigest,
    /// Newest position that the sender knows committed.
    pub committed: Position,
    /// History digest of the committed state, if the sender is head and knows it.
    pub committed_history_digest: Option<HistoryDigest>,
    /// Version of the newest configuration that the sender knows committed.
    pub committed_version: u64,
    /// Nodes from which the sender has recently received: a node that isn't named can't reach the sender.
    pub recent_senders: Vec<Identity>,
}

/// Whether a node can replicate.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Health {
    /// It can.
    Good,
    /// A write to its disk failed or takes too long.
    DiskFault,
    /// Its process is about to end.
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
    /// Why it is sent.
    pub purpose: TransferPurpose,
    /// Position of the state transferred.
    pub position: Position,
    /// History digest of the state transferred.
    pub history_digest: HistoryDigest,
    /// What of the state the receiver is believed to lack.
    pub payload: Payload,
}

/// How much of the state a transfer carries.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Payload {
    /// Nothing: the receiver is believed to have the state.
    Empty,
    /// The newest configuration; the receiver is believed to have what precedes it.
    LatestDocument {
        /// History digest of the state before it.
        previous: HistoryDigest,
        /// The newest configuration.
        document: ConfigurationDocument,
    },
    /// The whole state.
    FullSnapshot(ReplicatedState),
}

/// Answer to a [`Transfer`].
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct TransferResponse {
    /// Purpose of the transfer answered.
    pub purpose: TransferPurpose,
    /// Position of the sender's durable state.
    pub position: Position,
    /// History digest of that state.
    pub history_digest: HistoryDigest,
    /// Whether the state transferred is durable now; if not, a full snapshot is needed.
    pub stored: bool,
}
