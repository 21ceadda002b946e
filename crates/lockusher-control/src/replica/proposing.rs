//! This node as the proposer of the next view: start of a proposal, its phases, retransmission and backoff.
//!
//! The phases are sealing, joining (see `joining`), prepare and accept. A proposal that exceeds the timeout of a phase
//! is abandoned and retried after a random backoff, so that competing proposers don't block one another.

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
    /// Drives the proposal in progress, or starts one if a view change is due and this node's delay has passed.
    pub(super) fn consider_view_change(&mut self) {
        if self.proposal.is_some() {
            self.drive_proposal();
            return;
        }
        let can_propose =
            self.is_established_in_view() && self.is_voter() && self.has_reachable_quorum();
        if !can_propose || self.now < self.backoff_until {
            return;
        }
        let Some(due) = self.due_view_change() else {
            self.change_due_since = None;
            return;
        };
        let due_since = *self.change_due_since.get_or_insert(self.now);
        if self.now - due_since >= due.delay {
            self.start_proposal(due.change);
        }
    }

    /// Starts a proposal with a number above all seen so far.
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
        let majority = if bug_injected!(self.bug_injection, InstallAfterOneAcceptance) {
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
            "{now} {address}: proposes {change:?} with proposal number {}",
            proposal_number.counter
        );
        self.proposal = Some(ViewProposal {
            proposer,
            change,
            phase: Phase::Sealing,
            phase_started_at: self.now,
            last_sent_at: self.now,
        });
        if needs_joining && !bug_injected!(self.bug_injection, JoinersNotSentState) {
            self.seal_epoch();
            self.start_joining_once_sealed();
        } else {
            self.enter_phase(Phase::Preparing);
        }
    }

    /// Enters a phase and sends its messages.
    pub(super) fn enter_phase(&mut self, phase: Phase) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        proposal.phase = phase;
        proposal.phase_started_at = self.now;
        self.send_phase_messages();
    }

    /// Sends the messages of the current phase to the nodes that haven't responded.
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

    /// Handles a prepare response; with a majority the accept phase starts.
    pub(super) fn on_prepare_response(
        &mut self,
        sender: Identity,
        proposal_number: ProposalNumber,
        accepted: Option<AcceptedView>,
    ) {
        if !self.accepts_votes_from(sender) {
            return;
        }
        let reported = altered_by_bug!(self.bug_injection, altered_accepted_view, accepted);
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let is_preparing = proposal.phase == Phase::Preparing;
        if is_preparing
            && proposal
                .proposer
                .on_prepare_response(sender, proposal_number, reported)
        {
            self.enter_phase(Phase::Accepting);
        }
    }

    /// Handles an accept response; with a majority the view is agreed on.
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

    /// Whether the sender's responses count: it is a voter of the newest view.
    fn accepts_votes_from(&self, sender: Identity) -> bool {
        let is_voter = self.view.as_ref().is_some_and(|view| view.is_voter(sender));
        is_voter || bug_injected!(self.bug_injection, NonVotersCount)
    }

    /// Handles a rejection by an acceptor that has promised a higher number.
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

    /// Retransmits the messages of the current phase, and abandons the proposal at the phase timeout.
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

    /// Records the joiners that didn't respond, so that they aren't asked again before the retry delay has passed.
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

    /// Abandons the proposal; the next one starts after a random backoff.
    fn abandon_proposal(&mut self) {
        log::debug!("{} {}: abandons its proposal", self.now, self.setup.address);
        self.proposal = None;
        let backoff = self.random.random_range(
            self.timing.retransmit_interval / 4..=self.timing.retransmit_interval * 3 / 2,
        );
        self.backoff_until = self.now + backoff;
    }
}
