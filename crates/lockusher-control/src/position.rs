//! Where a replicated state stands in the sequence of epochs and of entries within them.

use bitcode::{Decode, Encode};

/// Position of a state: the epoch in which it was written and how many entries of that epoch it contains.
///
/// Positions are ordered by epoch, then by index. Within an epoch one head orders the entries, so that a position
/// identifies a state; only sealed states of several members of an epoch share one.
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Epoch of the view in which the state was written; 0 before the first.
    pub epoch: u64,
    /// Entries of this epoch contained. [`Position::SEALED`] marks a state handed over at the end of the epoch.
    pub index: u64,
}

impl Position {
    /// Index of a state handed over by a sealed replica: nothing of its epoch comes after it.
    pub const SEALED: u64 = u64::MAX;
}
