//! Messages between control nodes.
//!
//! A [`Replica`](crate::Replica) sends and receives them. They may be lost, duplicated, delayed and reordered, which
//! every receiver tolerates. Their encoding is part of the protocol (see [`envelope`](crate::envelope)): fields and
//! variants are never reordered.

use bitcode::{Decode, Encode};

use crate::document::ConfigurationDocument;
use crate::locality::Locality;
use crate::position::Position;
pub use crate::proposal::{AcceptedView, ProposalNumber};
use crate::request::{Reply, Request};
use crate::state::{HistoryDigest, ReplicatedState};
use crate::view::{Identity, View};

/// A message from one control node to another.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Message {
    /// Identity of the sender's disk.
    pub sender: Identity,
    /// Epoch of the newest view that the sender knows; 0 if it knows none.
    pub epoch: u64,
    /// Content of the message.
    pub body: MessageBody,
}

/// Content of a message. All but `Heartbeat`, `NewView`, `Forward`, `ForwardResponse` and `Locality` are valid only in
/// the sender's epoch.
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
        /// The view that the sender has accepted under the highest number so far.
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
    /// The proposal number is below the one that the sender has promised.
    ProposalRejected {
        /// The promised number.
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
        /// Whether it is forwarded to the successor; else it is acknowledged to the head directly.
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
    /// The sender can't store the entry: it lacks the preceding one.
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
    /// Asks the receiver to confirm that the head's epoch is the newest that it knows.
    ConfirmEpoch {
        /// Number of the confirmation within the head's epoch.
        sequence: u64,
    },
    /// Confirms that the epoch is the newest that the sender knows. Contains the position and digest of its state, for
    /// comparison with the head's.
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
    /// Zone and region of the sender's machine. Sent only if the loss of whole zones or regions is tolerated.
    Locality(Locality),
}

/// Status of a node, sent to the others at each heartbeat interval.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Heartbeat {
    /// Whether the sender can replicate.
    pub health: Health,
    /// Position of the sender's durable state.
    pub position: Position,
    /// History digest of that state.
    pub history_digest: HistoryDigest,
    /// Newest position that the sender knows to be committed.
    pub committed: Position,
    /// History digest of the committed state, if the sender is head and knows it.
    pub committed_history_digest: Option<HistoryDigest>,
    /// Version of the newest configuration that the sender knows to be committed.
    pub committed_version: u64,
    /// Nodes from which the sender has recently received messages: messages of a node that isn't listed don't reach the
    /// sender.
    pub recent_senders: Vec<Identity>,
}

/// Whether a node can replicate.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Health {
    /// It can replicate.
    Good,
    /// A write to its disk has failed or takes too long.
    DiskFault,
    /// Its process is shutting down.
    ShuttingDown,
}

/// Purpose of a transfer.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum TransferPurpose {
    /// The new head synchronises a member of its chain to its state.
    Synchronise,
    /// The head sends its committed state to a node outside of the chain.
    Learn,
    /// A sealed member sends its state to a node that joins the next chain.
    Join,
    /// The head replaces a member's state that differs from its own at the same position.
    Repair,
}

/// State for another replica.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Transfer {
    /// Purpose of the transfer.
    pub purpose: TransferPurpose,
    /// Position of the state transferred.
    pub position: Position,
    /// History digest of the state transferred.
    pub history_digest: HistoryDigest,
    /// The part of the state that the receiver is assumed to lack.
    pub payload: Payload,
}

/// How much of the state a transfer carries.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Payload {
    /// Nothing: the receiver is assumed to have the state.
    Empty,
    /// The newest configuration; the receiver is assumed to have the state before it.
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
    /// Whether the transferred state is durable now; if not, a full snapshot is needed.
    pub stored: bool,
}
