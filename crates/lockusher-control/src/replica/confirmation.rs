//! Confirmation by a majority that the head's epoch is the newest. Reads and refusals wait for it.
//!
//! Works like Raft's ReadIndex (Ongaro, dissertation, section 6.4): if a majority confirms the epoch after a request
//! has arrived, no newer head had committed anything before the request arrived. A request therefore waits for a
//! confirmation that starts after its arrival. Invariant: a voter that has accepted a successor view no longer confirms
//! the epoch.

use std::net::SocketAddrV4;

use super::bug_injection::bug_injected;
use super::state_machine::Replica;
use crate::message::MessageBody;
use crate::view::Identity;

impl Replica {
    /// Sequence number of the confirmation that a request arriving now has to wait for.
    pub(super) fn next_confirmation(&self) -> u64 {
        let last_started = self
            .head
            .as_ref()
            .map_or(0, |head| head.confirmation.last_started());
        if bug_injected!(self.bug_injection, StaleConfirmationUsed) {
            last_started.max(1)
        } else {
            last_started + 1
        }
    }

    /// Whether a majority has answered this confirmation or a later one.
    pub(super) fn is_epoch_confirmed(&self, sequence: u64) -> bool {
        self.head
            .as_ref()
            .is_some_and(|head| head.confirmation.is_completed(sequence))
    }

    /// Starts the confirmation with this sequence number, unless it has been started or an earlier one is in progress.
    pub(super) fn request_confirmation(&mut self, sequence: u64) {
        let Some(head) = &mut self.head else { return };
        if head.confirmation.start(sequence) {
            self.send_confirm_epoch();
        }
    }

    /// Sends `ConfirmEpoch` to the voters that haven't answered the confirmation in progress.
    pub(super) fn send_confirm_epoch(&mut self) {
        let Some(head) = &self.head else { return };
        if let Some(sequence) = head.confirmation.in_progress() {
            let responders = head.confirmation.confirmed_by().clone();
            self.send_to_voters_except(&responders, MessageBody::ConfirmEpoch { sequence });
        }
    }

    /// Answers the head's `ConfirmEpoch`. A voter that has accepted a successor view can't confirm that the epoch is
    /// the newest.
    pub(super) fn on_confirm_epoch(&mut self, from: SocketAddrV4, sender: Identity, sequence: u64) {
        let from_head = self.is_view_head(sender);
        let no_successor_accepted = self.acceptor.accepted.is_none()
            || bug_injected!(self.bug_injection, ConfirmAfterAccepting);
        if from_head && self.is_voter() && no_successor_accepted {
            let (position, history_digest) = (
                self.durable_state.position,
                self.durable_state.state.history_digest(),
            );
            self.send(
                from,
                MessageBody::EpochConfirmed {
                    sequence,
                    position,
                    history_digest,
                },
            );
        }
    }

    /// Records a voter's answer to the confirmation.
    pub(super) fn on_epoch_confirmed(&mut self, sender: Identity, sequence: u64) {
        let Some(view) = &self.view else { return };
        let (is_voter, majority) = (view.is_voter(sender), view.majority());
        let Some(head) = &mut self.head else { return };
        if is_voter {
            head.confirmation.on_confirmed(sender, sequence, majority);
        }
    }
}
