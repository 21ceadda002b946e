//! Exhaustive state-space search of the agreement on one view: three voters, two proposers with one attempt each, one
//! lost disk.
//!
//! Messages to voters may be lost, duplicated, delayed and reordered: a sent message stays deliverable forever, and its
//! delivery is never forced. A response arrives at once or never; a later arrival leads to no further state, since a
//! proposer only collects responses and its next request may be delayed arbitrarily. Voters run the replica's own code
//! ([`AcceptorState`], [`Proposer`]); after each message their state is restored from their records.

use std::{
    collections::{BTreeSet, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
};

use lockusher_control::{
    Identity, View,
    acceptor::AcceptorState,
    message::{AcceptedView, ProposalNumber},
    proposer::Proposer,
};

const EPOCH: u64 = 1;
const VOTERS: usize = 3;
const MAJORITY: usize = 2;
/// Attempts in the order of their counters, with the proposer that uses them.
const ATTEMPTS: [(u64, usize); 2] = [(1, 0), (2, 1)];

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Voter {
    acceptor: AcceptorState,
    disk_lost: bool,
}

#[derive(Clone, Debug, Default, Hash)]
struct State {
    voters: [Voter; VOTERS],
    /// The newest attempt of each proposer.
    attempts: [Option<Proposer>; 2],
    /// Which of [`ATTEMPTS`] have started.
    started: [bool; ATTEMPTS.len()],
    /// Views sent to voters for acceptance.
    proposed: BTreeSet<(ProposalNumber, usize)>,
    /// Voters that ever accepted under a proposal number. Not visible to any voter.
    acceptances: BTreeSet<(ProposalNumber, usize)>,
    /// Views that a proposer considers agreed on.
    agreed: BTreeSet<usize>,
}

/// What a voter that lost its disk does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AfterDiskLoss {
    /// It takes no part under its former identity.
    DoesNotVote,
    /// It votes as if it had never voted: the injected bug.
    VotesAgain,
}

fn proposal_number(attempt: usize) -> ProposalNumber {
    let (counter, proposer) = ATTEMPTS[attempt];
    ProposalNumber {
        counter,
        proposer: proposer as u64,
    }
}

fn identity(voter: usize) -> Identity {
    Identity(voter as u64)
}

/// The view that a proposer prefers. Its chain identifies it.
fn preferred_view(proposer: usize) -> View {
    View {
        epoch: EPOCH + 1,
        voters: Vec::new(),
        chain: vec![identity(proposer)],
    }
}

fn proposer_of(view: &View) -> usize {
    view.chain[0].0 as usize
}

impl State {
    /// All states reachable in one step.
    fn successors(&self, after_disk_loss: AfterDiskLoss) -> Vec<State> {
        let mut states = Vec::new();
        for attempt in 0..ATTEMPTS.len() {
            states.extend(self.start_attempt(attempt));
            for voter in 0..VOTERS {
                states.extend(
                    self.prepare(attempt, voter, after_disk_loss)
                        .into_iter()
                        .flatten(),
                );
            }
        }
        for (proposal_number, view) in &self.proposed {
            for voter in 0..VOTERS {
                states.extend(
                    self.accept(*proposal_number, *view, voter, after_disk_loss)
                        .into_iter()
                        .flatten(),
                );
            }
        }
        if self.voters.iter().all(|voter| !voter.disk_lost) {
            states.extend((0..VOTERS).map(|voter| self.lose_disk(voter)));
        }
        states
    }

    fn start_attempt(&self, attempt: usize) -> Option<State> {
        let (_, proposer) = ATTEMPTS[attempt];
        let earlier =
            (0..attempt).all(|earlier| ATTEMPTS[earlier].1 != proposer || self.started[earlier]);
        if self.started[attempt] || !earlier {
            return None;
        }
        let mut next = self.clone();
        next.started[attempt] = true;
        next.attempts[proposer] = Some(Proposer::new(
            proposal_number(attempt),
            preferred_view(proposer),
            MAJORITY,
        ));
        Some(next)
    }

    fn may_vote(&self, voter: usize, after_disk_loss: AfterDiskLoss) -> bool {
        !self.voters[voter].disk_lost || after_disk_loss == AfterDiskLoss::VotesAgain
    }

    /// Restores the voter's state from its records, as after a restart.
    fn restart(&mut self, voter: usize) {
        let mut restored = AcceptorState::default();
        self.voters[voter]
            .acceptor
            .records(EPOCH)
            .iter()
            .for_each(|record| restored.recover(record));
        assert_eq!(restored, self.voters[voter].acceptor);
        self.voters[voter].acceptor = restored;
    }

    /// Delivers a prepare to a voter. Returns the states in which its response is lost and in which it arrives.
    fn prepare(
        &self,
        attempt: usize,
        voter: usize,
        after_disk_loss: AfterDiskLoss,
    ) -> Option<[State; 2]> {
        if !self.started[attempt] || !self.may_vote(voter, after_disk_loss) {
            return None;
        }
        let (mut response_lost, proposal_number) = (self.clone(), proposal_number(attempt));
        response_lost.voters[voter]
            .acceptor
            .prepare(proposal_number)
            .ok()?;
        response_lost.restart(voter);
        let mut response_received = response_lost.clone();
        let accepted: Option<AcceptedView> = response_lost.voters[voter].acceptor.accepted.clone();
        if let Some(attempt) = response_received.attempt_of(proposal_number)
            && attempt.on_prepare_response(identity(voter), proposal_number, accepted)
        {
            let view = attempt
                .proposed()
                .map(|view| (proposal_number, proposer_of(view)));
            response_received.proposed.extend(view);
        }
        Some([response_lost, response_received])
    }

    /// Delivers an accept to a voter. Returns the states in which its response is lost and in which it arrives.
    fn accept(
        &self,
        proposal_number: ProposalNumber,
        view: usize,
        voter: usize,
        after_disk_loss: AfterDiskLoss,
    ) -> Option<[State; 2]> {
        if !self.may_vote(voter, after_disk_loss) {
            return None;
        }
        let mut response_lost = self.clone();
        response_lost.voters[voter]
            .acceptor
            .accept(proposal_number, preferred_view(view))
            .ok()?;
        response_lost.restart(voter);
        response_lost.acceptances.insert((proposal_number, voter));
        let mut response_received = response_lost.clone();
        if let Some(attempt) = response_received.attempt_of(proposal_number) {
            let agreed = attempt
                .on_accept_response(identity(voter), proposal_number)
                .map(proposer_of);
            response_received.agreed.extend(agreed);
        }
        Some([response_lost, response_received])
    }

    /// The newest attempt of the proposal number's proposer, which ignores responses to an older one.
    fn attempt_of(&mut self, proposal_number: ProposalNumber) -> Option<&mut Proposer> {
        self.attempts[proposal_number.proposer as usize].as_mut()
    }

    fn lose_disk(&self, voter: usize) -> State {
        let mut next = self.clone();
        next.voters[voter] = Voter {
            acceptor: AcceptorState::default(),
            disk_lost: true,
        };
        next
    }

    /// Views that a majority has accepted under one proposal number.
    fn chosen(&self) -> BTreeSet<usize> {
        let chosen = self
            .proposed
            .iter()
            .filter(|(proposal_number, _)| self.acceptances(*proposal_number) >= MAJORITY);
        chosen.map(|(_, view)| *view).collect()
    }

    fn acceptances(&self, searched: ProposalNumber) -> usize {
        self.acceptances
            .iter()
            .filter(|(proposal_number, _)| *proposal_number == searched)
            .count()
    }

    /// Voters that would confirm to a head that its epoch is the newest they know.
    fn confirming(&self) -> usize {
        let confirms = |voter: &&Voter| !voter.disk_lost && voter.acceptor.accepted.is_none();
        self.voters.iter().filter(confirms).count()
    }

    fn broken_invariant(&self) -> Option<&'static str> {
        let chosen = self.chosen();
        if chosen.len() > 1 || self.agreed.len() > 1 {
            Some("two views follow one epoch")
        } else if !self.agreed.is_subset(&chosen) {
            Some("a proposer adopts a view that no majority has accepted")
        } else if !chosen.is_empty() && self.confirming() >= MAJORITY {
            Some("a majority confirms an epoch that has a successor")
        } else {
            None
        }
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Result of a search.
#[derive(Debug, Default)]
struct Search {
    states: usize,
    /// States in which a view is chosen.
    with_chosen_view: usize,
    violation: Option<&'static str>,
}

/// Visits every state, or stops at the first broken invariant.
fn search(after_disk_loss: AfterDiskLoss) -> Search {
    let mut visited = HashSet::new();
    let mut unvisited = vec![State::default()];
    let mut found = Search::default();
    while let Some(state) = unvisited.pop() {
        found.states += 1;
        found.with_chosen_view += usize::from(!state.chosen().is_empty());
        found.violation = state.broken_invariant();
        if found.violation.is_some() {
            return found;
        }
        let is_new = |next: &State| visited.insert(next.fingerprint());
        unvisited.extend(state.successors(after_disk_loss).into_iter().filter(is_new));
    }
    found
}

#[test]
fn no_order_of_messages_losses_and_one_lost_disk_leads_to_two_views() {
    let found = search(AfterDiskLoss::DoesNotVote);
    println!("{found:?}");
    assert_eq!(found.violation, None);
    assert!(found.with_chosen_view > 0, "{found:?}");
}

#[test]
fn a_voter_that_votes_again_after_it_lost_its_disk_is_detected() {
    assert!(search(AfterDiskLoss::VotesAgain).violation.is_some());
}
