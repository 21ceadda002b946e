//! State of the head's confirmations, by a majority of the voters, that its epoch is the newest.

use std::collections::BTreeSet;

use crate::view::Identity;

/// Confirmations are numbered from 1. Only the newest can be in progress: it is while `last_started` is above
/// `last_completed`.
#[derive(Debug, Default)]
pub(super) struct EpochConfirmation {
    /// Number of the newest confirmation started.
    last_started: u64,
    /// Number of the newest confirmation that a majority has answered.
    last_completed: u64,
    /// Voters that have answered the newest one.
    confirmed_by: BTreeSet<Identity>,
}

impl EpochConfirmation {
    /// Number of the newest confirmation started; 0 before the first.
    pub(super) fn last_started(&self) -> u64 {
        self.last_started
    }

    /// Whether a majority has answered this confirmation or a later one.
    pub(super) fn is_completed(&self, sequence: u64) -> bool {
        self.last_completed >= sequence
    }

    /// Starts the next confirmation, unless one is in progress or the given one has been started. Returns whether one
    /// was started.
    pub(super) fn start(&mut self, sequence: u64) -> bool {
        if self.last_started >= sequence || self.in_progress().is_some() {
            return false;
        }
        self.last_started += 1;
        self.confirmed_by.clear();
        true
    }

    /// Number of the confirmation in progress.
    pub(super) fn in_progress(&self) -> Option<u64> {
        (self.last_started > self.last_completed).then_some(self.last_started)
    }

    /// Voters that have answered the newest confirmation.
    pub(super) fn confirmed_by(&self) -> &BTreeSet<Identity> {
        &self.confirmed_by
    }

    /// Records a voter's answer; a majority of the voters completes the confirmation.
    pub(super) fn on_confirmed(&mut self, voter: Identity, sequence: u64, majority: usize) {
        if self.in_progress() != Some(sequence) {
            return;
        }
        self.confirmed_by.insert(voter);
        if self.confirmed_by.len() >= majority {
            self.last_completed = sequence;
        }
    }
}
