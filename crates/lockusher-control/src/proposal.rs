//! Proposals of views: their numbers, and what was accepted under one.

use bitcode::{Decode, Encode};

use crate::view::View;

/// Number of an attempt to agree on a view; unique to its proposer.
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProposalNumber {
    pub counter: u64,
    pub proposer: u64,
}

/// A view accepted under a proposal number.
#[derive(Clone, Debug, Decode, Encode, Eq, Hash, PartialEq)]
pub struct AcceptedView {
    pub proposal_number: ProposalNumber,
    pub view: View,
}
