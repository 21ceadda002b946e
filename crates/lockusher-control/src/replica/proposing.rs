//! This node as the proposer of the next view: when it starts a proposal, its phases, retransmission and back-off.
//!
//! The phases are sealing, joining (see `joining`), prepare and accept. A proposal that makes no progress within the timeout
//! of a phase is abandoned and started anew after a random back-off, so that competing proposers don't block one another.

use rand::RngExt;

use super::bug_injection::{altered_by_bug, bug_injected};
use super::state_machine::Replica;
use super::view_proposal::{MAX_PHASE_TIMEOUT_FACTOR, Phase, ViewProposal};
use crate::message::MessageBody;
use crate::proposal::{AcceptedView, ProposalNumber};
use crate::proposer::Proposer;
use crate::view::{Identity, View};
use crate::view_change::ViewChange;

impl Replica {
    /// Proposes a view if one is due and it falls to this node.
    pub(super) fn consider_view_change(&mut self) {
        if self.proposal.is_some() {
            self.drive_proposal();
            return;
        }
        let able = self.is_established_in_view() && self.is_voter() && self.has_reachable_quorum();
        if !able || self.now < self.back_off_until {
            return;
        }
        let Some(due) = self.due_view_change() else {
            self.change_due_since = None;
            return;
        };
        let since = *self.change_due_since.get_or_insert(self.now);
        if self.now - since >= due.delay {
            self.start_proposal(due.change);
        }
    }

    /// Starts a proposal under a number above all that were seen.
    fn start_proposal(&mut self, change: ViewChange) {
        self.counters.proposals += 1;
        self.proposal_attempts += 1;
        self.highest_proposal_counter = self
            .highest_proposal_counter
            .max(self.acceptor.promised.counter)
            + 1;
        let proposal_number = ProposalNumber {
            counter: self.highest_proposal_counter,
            proposer: self.identity.0,
        };
        let majority = self.view.as_ref().map_or(usize::MAX, View::majority);
        let majority = if bug_injected!(self.bug_injection, AdoptAfterOneAcceptance) {
            1
        } else {
            majority
        };
        let proposer = Proposer::new(proposal_number, change.view.clone(), majority);
        let needs_joining = change
            .joiners
            .iter()
            .any(|joiner| !self.sealed_state_holders.contains(&joiner.identity));
        let (now, address) = (self.now, self.setup.address);
        log::debug!(
            "{now} {address}: proposes {change:?} under proposal number {}",
            proposal_number.counter
        );
        self.proposal = Some(ViewProposal {
            proposer,
            change,
            phase: Phase::Sealing,
            phase_started_at: self.now,
            last_sent_at: self.now,
        });
        if needs_joining && !bug_injected!(self.bug_injection, JoinersUnfed) {
            self.seal_epoch();
            self.start_joining_once_sealed();
        } else {
            self.enter_phase(Phase::Preparing);
        }
    }

    /// Goes to a phase and sends its messages.
    pub(super) fn enter_phase(&mut self, phase: Phase) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        proposal.phase = phase;
        proposal.phase_started_at = self.now;
        self.send_phase_messages();
    }

    /// Sends the messages of the present stage to those that haven't responded.
    fn send_phase_messages(&mut self) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        proposal.last_sent_at = self.now;
        let (proposal_number, responders) = (
            proposal.proposer.proposal_number(),
            proposal.proposer.responders(),
        );
        match (proposal.phase, proposal.proposer.proposed().cloned()) {
            (Phase::Sealing, _) => {}
            (Phase::Joining, _) => self.send_join_transfers(),
            (Phase::Preparing, _) => {
                self.send_to_voters_except(&responders, MessageBody::Prepare { proposal_number });
            }
            (Phase::Accepting, Some(view)) => {
                self.send_to_voters_except(
                    &responders,
                    MessageBody::Accept {
                        proposal_number,
                        view,
                    },
                );
            }
            (Phase::Accepting, None) => {}
        }
    }

    /// An acceptor answers the prepare.
    pub(super) fn on_prepare_response(
        &mut self,
        sender: Identity,
        proposal_number: ProposalNumber,
        accepted: Option<AcceptedView>,
    ) {
        if !self.accepts_votes_from(sender) {
            return;
        }
        let reported = altered_by_bug!(self.bug_injection, altered_report, accepted);
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let may_complete = proposal.phase == Phase::Preparing;
        if may_complete
            && proposal
                .proposer
                .on_prepare_response(sender, proposal_number, reported)
        {
            self.enter_phase(Phase::Accepting);
        }
    }

    /// An acceptor has accepted the proposal; with a majority the view is agreed on.
    pub(super) fn on_accept_response(&mut self, sender: Identity, proposal_number: ProposalNumber) {
        if !self.accepts_votes_from(sender) {
            return;
        }
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if let Some(agreed) = proposal
            .proposer
            .on_accept_response(sender, proposal_number)
            .cloned()
        {
            self.install_and_announce(agreed);
        }
    }

    /// Whether this sender's responses count: it votes in the newest view.
    fn accepts_votes_from(&self, sender: Identity) -> bool {
        let is_voter = self.view.as_ref().is_some_and(|view| view.is_voter(sender));
        is_voter || bug_injected!(self.bug_injection, StrangersCount)
    }

    /// An acceptor has promised a higher number.
    pub(super) fn on_proposal_rejected(&mut self, promised: ProposalNumber) {
        self.highest_proposal_counter = self.highest_proposal_counter.max(promised.counter);
        if self
            .proposal
            .as_ref()
            .is_some_and(|proposal| proposal.proposer.proposal_number() < promised)
        {
            self.abandon_proposal();
        }
    }

    /// Repeats messages, and gives up an attempt that gets no further.
    fn drive_proposal(&mut self) {
        let Some(proposal) = &self.proposal else {
            return;
        };
        let allowance = match proposal.phase {
            Phase::Joining => self.state_allowance() * proposal.change.joiners.len() as u64,
            Phase::Sealing | Phase::Preparing | Phase::Accepting => 0,
        };
        let phase_timeout = self.timing.agreement_phase_timeout
            * self.proposal_attempts.clamp(1, MAX_PHASE_TIMEOUT_FACTOR)
            + allowance;
        if self.now - proposal.phase_started_at >= phase_timeout {
            self.record_failed_joins();
            self.abandon_proposal();
        } else if self.now - proposal.last_sent_at >= self.timing.retransmit_interval + allowance {
            self.send_phase_messages();
        }
    }

    /// Joiners that didn't answer aren't asked again for a while.
    fn record_failed_joins(&mut self) {
        let Some(proposal) = &self.proposal else {
            return;
        };
        if proposal.phase != Phase::Joining {
            return;
        }
        for joiner in &proposal.change.joiners {
            if !self.sealed_state_holders.contains(&joiner.identity) {
                self.peers.on_join_failed(joiner.address, self.now);
            }
        }
    }

    /// Ends the attempt; the next one waits for a random back-off.
    fn abandon_proposal(&mut self) {
        log::debug!("{} {}: gives up a proposal", self.now, self.setup.address);
        self.proposal = None;
        let back_off = self.random.random_range(
            self.timing.retransmit_interval / 4..=self.timing.retransmit_interval * 3 / 2,
        );
        self.back_off_until = self.now + back_off;
    }
}
