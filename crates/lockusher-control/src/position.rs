//! Position of a replicated state in the sequence of epochs and of entries within them.

use bitcode::{Decode, Encode};

/// Position of a state: the epoch in which it was written and how many entries of that epoch it contains.
///
/// Positions are ordered by epoch, then by index. Within an epoch one head orders the entries, so that a position
/// identifies a state; only sealed states of several members of an epoch share one.
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Epoch of the view in which the state was written; 0 before the first.
    pub epoch: u64,
    /// Number of entries of this epoch that the state contains. [`Position::SEALED`] marks a state transferred at the
    /// end of the epoch.
    pub index: u64,
}

impl Position {
    /// Index of a state transferred by a sealed replica: no entry of its epoch follows.
    pub const SEALED: u64 = u64::MAX;
}
