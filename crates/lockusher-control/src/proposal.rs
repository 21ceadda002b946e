//! Proposals of views: their numbers, and the views accepted under them.
//!
//! One instance of single-decree Paxos (Lamport, "Paxos Made Simple") decides the successor of each view. Proposer and
//! acceptors are voters of that view; messages and records carry the types of this module.

use bitcode::{Decode, Encode};

use crate::view::View;

/// Number of a proposal within the instance of one epoch. Unique, since it includes the proposer; ordered by the
/// counter first.
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProposalNumber {
    /// Higher than every counter that the proposer has seen.
    pub counter: u64,
    /// [`Identity`](crate::view::Identity) of the proposer.
    pub proposer: u64,
}

/// A view accepted under a proposal number.
#[derive(Clone, Debug, Decode, Encode, Eq, Hash, PartialEq)]
pub struct AcceptedView {
    /// The highest number under which the acceptor has accepted a view.
    pub proposal_number: ProposalNumber,
    /// The view accepted under it.
    pub view: View,
}
