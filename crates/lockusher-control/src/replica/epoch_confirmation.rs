//! State of the confirmations, by a majority of the voters, that the head's epoch is the newest.

use std::collections::BTreeSet;

use crate::view::Identity;

/// Confirmations are numbered from 1; only the newest can be in progress, while `last_started` is above `last_completed`.
#[derive(Debug, Default)]
pub(super) struct EpochConfirmation {
    /// Number of the newest confirmation started.
    pub(super) last_started: u64,
    /// Number of the newest confirmation that a majority has answered.
    pub(super) last_completed: u64,
    /// Voters that have answered the newest one.
    pub(super) confirmed_by: BTreeSet<Identity>,
}
