//! Confirmation that the head's epoch is the newest: refusals and reads wait for it.
//!
//! The idea is that of Raft's read index (Ongaro, dissertation, section 6.4): a majority that confirms the epoch after a
//! request came shows that no newer head had committed anything by then. A request waits for a confirmation that starts after
//! its arrival. Invariant: a voter that has accepted a successor view confirms no more.

use std::net::SocketAddrV4;

use super::bug_injection::bug_injected;
use super::state_machine::Replica;
use crate::message::MessageBody;
use crate::view::Identity;

impl Replica {
    /// The sequence number of the confirmation that a request which comes now has to wait for.
    pub(super) fn next_confirmation(&self) -> u64 {
        let last_started = self
            .head
            .as_ref()
            .map_or(0, |head| head.confirmation.last_started());
        if bug_injected!(self.bug_injection, EarlierRoundCounts) {
            last_started.max(1)
        } else {
            last_started + 1
        }
    }

    /// Whether a majority has answered this confirmation.
    pub(super) fn is_epoch_confirmed(&self, sequence: u64) -> bool {
        self.head
            .as_ref()
            .is_some_and(|head| head.confirmation.is_completed(sequence))
    }

    /// Starts the confirmation with this sequence number, unless an earlier one is in progress or it has been started.
    pub(super) fn request_confirmation(&mut self, sequence: u64) {
        let Some(head) = &mut self.head else { return };
        if head.confirmation.start(sequence) {
            self.send_confirm_epoch();
        }
    }

    /// Asks the voters that haven't answered the confirmation in progress.
    pub(super) fn send_confirm_epoch(&mut self) {
        let Some(head) = &self.head else { return };
        if let Some(sequence) = head.confirmation.in_progress() {
            let responders = head.confirmation.confirmed_by().clone();
            self.send_to_voters_except(&responders, MessageBody::ConfirmEpoch { sequence });
        }
    }

    /// A voter that accepted a successor doesn't know any more that this epoch is the newest.
    pub(super) fn on_confirm_epoch(&mut self, from: SocketAddrV4, sender: Identity, sequence: u64) {
        let from_head = self.is_view_head(sender);
        let newest = self.acceptor.accepted.is_none()
            || bug_injected!(self.bug_injection, ConfirmAfterAccepting);
        if from_head && self.is_voter() && newest {
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

    /// A voter answers the confirmation.
    pub(super) fn on_epoch_confirmed(&mut self, sender: Identity, sequence: u64) {
        let Some(view) = &self.view else { return };
        let (is_voter, majority) = (view.is_voter(sender), view.majority());
        let Some(head) = &mut self.head else { return };
        if is_voter {
            head.confirmation.on_confirmed(sender, sequence, majority);
        }
    }
}
