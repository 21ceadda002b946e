//! Where a replicated state stands in the history of epochs and entries.

use bitcode::{Decode, Encode};

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
