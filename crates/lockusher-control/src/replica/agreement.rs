//! Agreement on the next view: the voter's answers and the proposer's attempts.

use std::{collections::BTreeSet, net::SocketAddrV4};

use rand::RngExt;

use super::{
    Replica,
    bug_injection::{altered_by_bug, bug_injected},
};
use crate::{
    DurableRecord, Identity, Millis, Position, View,
    acceptor_log::AfterAcceptorWrite,
    durable_state::payload_for,
    message::{AcceptedView, Health, MessageBody, ProposalNumber, Transfer, TransferPurpose},
    proposer::Proposer,
    view::Member,
    view_change::{self, JoinCandidate, ViewChange, ViewChangeContext},
};

/// The time for a stage grows with the attempts, up to so many times the usual one: disks may be slow.
const MAX_PHASE_TIMEOUT_FACTOR: u64 = 3;

/// An attempt of this node to have a view agreed on.
#[derive(Debug)]
pub(super) struct ViewProposal {
    proposer: Proposer,
    change: ViewChange,
    phase: Phase,
    phase_started_at: Millis,
    last_sent_at: Millis,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The seal, or a write of the state begun before it, isn't durable yet.
    Sealing,
    /// Joiners are given the sealed state.
    Joining,
    /// The voters are asked for promises.
    Preparing,
    /// The voters are asked to accept a view.
    Accepting,
}

impl Replica {
    // Voter

    pub(super) fn on_prepare(&mut self, from: SocketAddrV4, proposal_number: ProposalNumber) {
        if !self.acts_as_acceptor() {
            return;
        }
        self.highest_proposal_counter = self.highest_proposal_counter.max(proposal_number.counter);
        let is_new = proposal_number > self.acceptor.promised;
        if let Err(promised) = self.acceptor.prepare(proposal_number)
            && !bug_injected!(self.bug_injection, LowerBallotAccepted)
        {
            self.send(from, MessageBody::ProposalRejected { promised });
            return;
        }
        if is_new {
            let epoch = self.epoch();
            self.persist_acceptor_records(
                vec![DurableRecord::Promise { epoch, proposal_number }],
                Vec::new(),
            );
        }
        let accepted = self.acceptor.accepted.clone();
        self.send_after_acceptor_writes(from, MessageBody::PrepareResponse { proposal_number, accepted });
    }

    pub(super) fn on_accept(&mut self, from: SocketAddrV4, proposal_number: ProposalNumber, view: View) {
        let epoch = self.epoch();
        if !self.acts_as_acceptor() || view.epoch != epoch + 1 {
            return;
        }
        let is_new = self
            .acceptor
            .accepted
            .as_ref()
            .is_none_or(|accepted| accepted.proposal_number != proposal_number);
        if bug_injected!(self.bug_injection, LowerBallotAccepted) {
            self.acceptor.promised = proposal_number;
        }
        if let Err(promised) = self.acceptor.accept(proposal_number, view.clone()) {
            self.send(from, MessageBody::ProposalRejected { promised });
            return;
        }
        if is_new {
            self.persist_acceptor_records(
                vec![DurableRecord::Accept { epoch, proposal_number, view }],
                Vec::new(),
            );
        }
        self.send_after_acceptor_writes(from, MessageBody::AcceptResponse { proposal_number });
    }

    fn acts_as_acceptor(&self) -> bool {
        self.is_voter() || (bug_injected!(self.bug_injection, StrangersCount) && self.view.is_some())
    }

    // Proposer

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
        let Some((change, wait)) = self.due_view_change() else {
            self.change_due_since = None;
            return;
        };
        let since = *self.change_due_since.get_or_insert(self.now);
        if self.now - since >= wait {
            self.start_proposal(change);
        }
    }

    /// What to propose, and how long to leave it to others first. An agreement that may have been left unfinished
    /// is completed by anybody in time; else the first voter in good health decides.
    fn due_view_change(&self) -> Option<(ViewChange, Millis)> {
        let proposer_rank = self.proposer_rank()?;
        let change = self.plan_view_change();
        let unfinished = self.acceptor.accepted.as_ref();
        if let Some(accepted) = unfinished {
            let unchanged = ViewChange { view: accepted.view.clone(), joiners: Vec::new() };
            return Some((change.unwrap_or(unchanged), self.timing.takeover_stagger * (proposer_rank + 1)));
        }
        match change {
            Some(change) if proposer_rank == 0 => Some((change, 0)),
            Some(change) if self.acceptor.sealed => {
                Some((change, self.timing.takeover_stagger * proposer_rank))
            }
            _ => None,
        }
    }

    /// How many voters in good health come before this one, in the order of the chain.
    fn proposer_rank(&self) -> Option<u64> {
        let view = self.view.as_ref()?;
        if self.health() != Health::Good {
            return None;
        }
        let others = view.voters.iter().map(|voter| voter.identity).filter(|voter| !view.in_chain(*voter));
        let order = view.chain.iter().copied().chain(others);
        let before = order.take_while(|voter| *voter != self.identity);
        Some(before.filter(|voter| self.is_replicable(*voter)).count() as u64)
    }

    /// Whether a voter can replicate, as seen from here.
    pub(super) fn is_replicable(&self, voter: Identity) -> bool {
        if voter == self.identity {
            return self.health() == Health::Good;
        }
        let Some(address) = self.view.as_ref().and_then(|view| view.address_of(voter)) else { return false };
        let healthy = self.peers.at(address).is_none_or(|peer| peer.health == Health::Good);
        healthy && self.peers.is_reachable(address, voter, &self.timing, self.now) && !self.is_lagging(voter)
    }

    fn plan_view_change(&self) -> Option<ViewChange> {
        let view = self.view.as_ref()?;
        let healthy_members: BTreeSet<Identity> =
            view.chain.iter().copied().filter(|member| self.is_replicable(*member)).collect();
        let unreachable = self.unreachable_voters(view);
        let removable = self.removable_voters(view, &unreachable);
        let minimum_voters = self.minimum_voters();
        let context = ViewChangeContext {
            view,
            own_identity: self.identity,
            healthy_members,
            join_candidates: self.join_candidates(view),
            unreachable,
            removable,
            epoch_change_required: self.epoch_change_required,
            sealed: self.acceptor.sealed,
            may_add_members: self.may_add_members(),
            minimum_voters: if bug_injected!(self.bug_injection, VotersBelowMinimum) {
                1
            } else {
                minimum_voters
            },
        };
        altered_by_bug!(
            self.bug_injection,
            altered_view_change,
            view_change::plan_view_change(&context),
            &context
        )
    }

    /// Voters are removed only down to this number.
    pub(super) fn minimum_voters(&self) -> usize {
        2 * self.setup.tolerated_losses as usize + 1
    }

    /// Voters that announced their end, which may come before they would count as silent, and those silent for long. One
    /// that is only restarted is taken back; one that is gone must not count when the next disk is lost.
    fn removable_voters(&self, view: &View, unreachable: &[Identity]) -> Vec<Identity> {
        let is_leaving = |voter: &&Member| {
            let peer = self.peers.at(voter.address).filter(|peer| peer.identity == voter.identity);
            peer.is_some_and(|peer| peer.health == Health::ShuttingDown)
                && !bug_injected!(self.bug_injection, DepartedVoterKept)
        };
        let shutting_down = view.voters.iter().filter(is_leaving).map(|voter| voter.identity);
        let long_unreachable =
            |voter: &&Identity| self.unreachable_time_of(view, **voter) >= self.timing.voter_removal_timeout;
        shutting_down.chain(unreachable.iter().filter(long_unreachable).copied()).collect()
    }

    fn unreachable_time_of(&self, view: &View, voter: Identity) -> Millis {
        let address = view.address_of(voter);
        address.map_or(0, |address| self.peers.unreachable_for(address, voter, self.now))
    }

    fn unreachable_voters(&self, view: &View) -> Vec<Identity> {
        let is_reachable =
            |voter: &&Member| self.peers.is_reachable(voter.address, voter.identity, &self.timing, self.now);
        let others = view.voters.iter().filter(|voter| voter.identity != self.identity);
        let mut unreachable: Vec<Identity> =
            others.filter(|voter| !is_reachable(voter)).map(|voter| voter.identity).collect();
        unreachable.sort_by_key(|voter| std::cmp::Reverse(self.unreachable_time_of(view, *voter)));
        unreachable
    }

    fn join_candidates(&self, view: &View) -> Vec<JoinCandidate> {
        let candidates = self.peers.iter().filter(|(_, peer)| {
            !view.in_chain(peer.identity) && peer.epoch == view.epoch && peer.may_join(&self.timing, self.now)
        });
        let committed = self.committed_history_digest();
        candidates
            .map(|(address, peer)| JoinCandidate {
                member: Member { identity: peer.identity, address },
                caught_up: committed.is_some() && peer.history_digest == committed,
                has_sealed_state: self.sealed_state_holders.contains(&peer.identity),
            })
            .collect()
    }

    fn start_proposal(&mut self, change: ViewChange) {
        self.counters.proposals += 1;
        self.proposal_attempts += 1;
        self.highest_proposal_counter = self.highest_proposal_counter.max(self.acceptor.promised.counter) + 1;
        let proposal_number =
            ProposalNumber { counter: self.highest_proposal_counter, proposer: self.identity.0 };
        let majority = self.view.as_ref().map_or(usize::MAX, View::majority);
        let majority = if bug_injected!(self.bug_injection, AdoptAfterOneAcceptance) { 1 } else { majority };
        let proposer = Proposer::new(proposal_number, change.view.clone(), majority);
        let needs_joining =
            change.joiners.iter().any(|joiner| !self.sealed_state_holders.contains(&joiner.identity));
        let (now, address) = (self.now, self.setup.address);
        log::debug!("{now} {address}: proposes {change:?} under proposal number {}", proposal_number.counter);
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

    fn seal_epoch(&mut self) {
        if self.acceptor.sealed {
            return;
        }
        self.acceptor.sealed = true;
        let epoch = self.epoch();
        self.persist_acceptor_records(
            vec![DurableRecord::Seal { epoch }],
            vec![AfterAcceptorWrite::SealDurable { epoch }],
        );
    }

    /// Goes on once the sealed state can't change any more.
    pub(super) fn start_joining_once_sealed(&mut self) {
        let sealing = self.proposal.as_ref().is_some_and(|proposal| proposal.phase == Phase::Sealing);
        let sealed = self.acceptor.seal_durable || bug_injected!(self.bug_injection, SealNotAwaited);
        if sealing && sealed && self.durable_state.pending.is_none() {
            self.enter_phase(Phase::Joining);
        }
    }

    fn enter_phase(&mut self, phase: Phase) {
        let Some(proposal) = &mut self.proposal else { return };
        proposal.phase = phase;
        proposal.phase_started_at = self.now;
        self.send_phase_messages();
    }

    /// Sends the messages of the present stage to those that haven't responded.
    fn send_phase_messages(&mut self) {
        let Some(proposal) = &mut self.proposal else { return };
        proposal.last_sent_at = self.now;
        let (proposal_number, responders) =
            (proposal.proposer.proposal_number(), proposal.proposer.responders());
        match (proposal.phase, proposal.proposer.proposed().cloned()) {
            (Phase::Sealing, _) => {}
            (Phase::Joining, _) => self.send_join_transfers(),
            (Phase::Preparing, _) => {
                self.send_to_voters_except(&responders, MessageBody::Prepare { proposal_number })
            }
            (Phase::Accepting, Some(view)) => {
                self.send_to_voters_except(&responders, MessageBody::Accept { proposal_number, view });
            }
            (Phase::Accepting, None) => {}
        }
    }

    pub(super) fn send_to_voters_except(&mut self, responders: &BTreeSet<Identity>, body: MessageBody) {
        let voters: Vec<Member> = self.view.iter().flat_map(|view| view.voters.iter().copied()).collect();
        for voter in voters.into_iter().filter(|voter| !responders.contains(&voter.identity)) {
            self.send(voter.address, body.clone());
        }
    }

    fn send_join_transfers(&mut self) {
        let Some(proposal) = &self.proposal else { return };
        let missing = proposal
            .change
            .joiners
            .iter()
            .filter(|joiner| !self.sealed_state_holders.contains(&joiner.identity));
        for address in missing.map(|joiner| joiner.address).collect::<Vec<_>>() {
            let history_digest = self.peers.at(address).and_then(|peer| peer.history_digest);
            self.send_join_transfer(address, history_digest);
        }
    }

    fn send_join_transfer(&mut self, to: SocketAddrV4, history_digest: Option<crate::state::HistoryDigest>) {
        let state = &self.durable_state.state;
        let transfer = Transfer {
            purpose: TransferPurpose::Join,
            position: Position { epoch: self.epoch(), index: Position::SEALED },
            history_digest: state.history_digest(),
            payload: payload_for(state, history_digest),
        };
        self.send(to, MessageBody::Transfer(transfer));
    }

    /// A joiner holds the sealed state, or wants it whole.
    pub(super) fn on_join_response(&mut self, from: SocketAddrV4, joiner: Identity, stored: bool) {
        let sealed = self.acceptor.seal_durable || bug_injected!(self.bug_injection, SealNotAwaited);
        if !sealed || self.durable_state.pending.is_some() {
            return;
        }
        if !stored {
            self.counters.full_snapshots_sent += 1;
            self.send_join_transfer(from, None);
            return;
        }
        self.sealed_state_holders.insert(joiner);
        let Some(proposal) = &self.proposal else { return };
        let complete =
            proposal.change.joiners.iter().all(|joiner| self.sealed_state_holders.contains(&joiner.identity));
        if proposal.phase == Phase::Joining && complete {
            self.enter_phase(Phase::Preparing);
        }
    }

    fn accepts_votes_from(&self, sender: Identity) -> bool {
        let is_voter = self.view.as_ref().is_some_and(|view| view.is_voter(sender));
        is_voter || bug_injected!(self.bug_injection, StrangersCount)
    }

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
        let Some(proposal) = &mut self.proposal else { return };
        let may_complete = proposal.phase == Phase::Preparing;
        if may_complete && proposal.proposer.on_prepare_response(sender, proposal_number, reported) {
            self.enter_phase(Phase::Accepting);
        }
    }

    pub(super) fn on_accept_response(&mut self, sender: Identity, proposal_number: ProposalNumber) {
        if !self.accepts_votes_from(sender) {
            return;
        }
        let Some(proposal) = &mut self.proposal else { return };
        if let Some(agreed) = proposal.proposer.on_accept_response(sender, proposal_number).cloned() {
            self.install_and_announce(agreed);
        }
    }

    /// Adopts a view that was just agreed on and tells everybody.
    fn install_and_announce(&mut self, view: View) {
        let former = self.view.iter().flat_map(|view| view.voters.iter());
        let known = self.peers.iter().map(|(address, _)| address);
        let mut targets: BTreeSet<SocketAddrV4> =
            former.chain(&view.voters).map(|voter| voter.address).chain(known).collect();
        targets.remove(&self.setup.address);
        self.install_view(view.clone());
        for address in targets {
            self.send(address, MessageBody::NewView(view.clone()));
        }
    }

    pub(super) fn on_proposal_rejected(&mut self, promised: ProposalNumber) {
        self.highest_proposal_counter = self.highest_proposal_counter.max(promised.counter);
        if self.proposal.as_ref().is_some_and(|proposal| proposal.proposer.proposal_number() < promised) {
            self.abandon_proposal();
        }
    }

    /// Repeats messages, and gives up an attempt that gets no further.
    fn drive_proposal(&mut self) {
        let Some(proposal) = &self.proposal else { return };
        let phase_timeout =
            self.timing.agreement_phase_timeout * self.proposal_attempts.clamp(1, MAX_PHASE_TIMEOUT_FACTOR);
        if self.now - proposal.phase_started_at >= phase_timeout {
            self.record_failed_joins();
            self.abandon_proposal();
        } else if self.now - proposal.last_sent_at >= self.timing.retransmit_interval {
            self.send_phase_messages();
        }
    }

    fn record_failed_joins(&mut self) {
        let Some(proposal) = &self.proposal else { return };
        if proposal.phase != Phase::Joining {
            return;
        }
        for joiner in &proposal.change.joiners {
            if !self.sealed_state_holders.contains(&joiner.identity) {
                self.peers.on_join_failed(joiner.address, self.now);
            }
        }
    }

    fn abandon_proposal(&mut self) {
        log::debug!("{} {}: gives up a proposal", self.now, self.setup.address);
        self.proposal = None;
        let back_off = self
            .random
            .random_range(self.timing.retransmit_interval / 4..=self.timing.retransmit_interval * 3 / 2);
        self.back_off_until = self.now + back_off;
    }
}
