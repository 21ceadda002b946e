//! Confirmations by a majority that the head's epoch is the newest.

use std::collections::BTreeSet;

use crate::view::Identity;

/// Rounds in which the voters are asked whether the epoch is the newest they know.
#[derive(Debug, Default)]
pub(super) struct EpochConfirmation {
    pub(super) last_started: u64,
    pub(super) last_completed: u64,
    pub(super) confirmed_by: BTreeSet<Identity>,
}
