//! Which view change is due, from what this node observes of the others, and whose turn it is to propose it.
//!
//! Collects the context for `view_change::plan_view_change`. Ranks among the healthy voters, which all of them compute
//! alike, make it unlikely that two propose at once.

use std::collections::BTreeSet;

use super::bug_injection::{altered_by_bug, bug_injected};
use super::state_machine::Replica;
use crate::message::Health;
use crate::time::Millis;
use crate::view::{Identity, Member, View};
use crate::view_change;
use crate::view_change::{JoinCandidate, ViewChange, ViewChangeContext};

/// A view change that is due.
pub(super) struct DueViewChange {
    /// What to propose.
    pub(super) change: ViewChange,
    /// How long it is left to voters of a lower rank first.
    pub(super) delay: Millis,
}

impl Replica {
    /// What to propose, and how long to leave it to others first. An agreement that may have been left unfinished
    /// is completed by anybody in time; else the first voter in good health decides.
    pub(super) fn due_view_change(&self) -> Option<DueViewChange> {
        let proposer_rank = self.proposer_rank()?;
        let change = self.plan_view_change();
        let unfinished = self.acceptor.accepted.as_ref();
        if let Some(accepted) = unfinished {
            let unchanged = ViewChange {
                view: accepted.view.clone(),
                joiners: Vec::new(),
            };
            let delay = self.timing.takeover_stagger * (proposer_rank + 1);
            return Some(DueViewChange {
                change: change.unwrap_or(unchanged),
                delay,
            });
        }
        match change {
            Some(change) if proposer_rank == 0 => Some(DueViewChange { change, delay: 0 }),
            Some(change) if self.acceptor.sealed => Some(DueViewChange {
                change,
                delay: self.timing.takeover_stagger * proposer_rank,
            }),
            _ => None,
        }
    }

    /// How many voters in good health come before this one, in the order of the chain.
    fn proposer_rank(&self) -> Option<u64> {
        let view = self.view.as_ref()?;
        if self.health() != Health::Good {
            return None;
        }
        let others = view
            .voters
            .iter()
            .map(|voter| voter.identity)
            .filter(|voter| !view.in_chain(*voter));
        let order = view.chain.iter().copied().chain(others);
        let before = order.take_while(|voter| *voter != self.identity);
        Some(before.filter(|voter| self.is_replicable(*voter)).count() as u64)
    }

    /// Whether a voter can replicate, as seen from here.
    fn is_replicable(&self, voter: Identity) -> bool {
        if voter == self.identity {
            return self.health() == Health::Good;
        }
        let Some(address) = self.view.as_ref().and_then(|view| view.address_of(voter)) else {
            return false;
        };
        let healthy = self
            .peers
            .at(address)
            .is_none_or(|peer| peer.health == Health::Good);
        healthy
            && self
                .peers
                .is_reachable(address, voter, &self.timing, self.now)
            && !self.is_lagging(voter)
    }

    /// The view that should follow by what this node observes.
    fn plan_view_change(&self) -> Option<ViewChange> {
        let view = self.view.as_ref()?;
        let healthy_members: BTreeSet<Identity> = view
            .chain
            .iter()
            .copied()
            .filter(|member| self.is_replicable(*member))
            .collect();
        let unreachable = self.unreachable_voters(view);
        let shutting_down = self.shutting_down_voters(view);
        let removable = self.removable_voters(view, &shutting_down, &unreachable);
        let replaceable = self.replaceable_voters(shutting_down, unreachable);
        let minimum_voters = self.minimum_voters();
        let context = ViewChangeContext {
            view,
            own_identity: self.identity,
            healthy_members,
            join_candidates: self.join_candidates(view),
            unreachable: replaceable,
            removable,
            epoch_change_required: self.epoch_change_required,
            sealed: self.acceptor.sealed,
            may_add_members: self.may_add_members(),
            spread: self.voter_spread(),
            minimum_voters: if bug_injected!(self.bug_injection, VotersBelowMinimum) {
                1
            } else {
                minimum_voters
            },
        };
        let change = view_change::plan_view_change(&context);
        altered_by_bug!(self.bug_injection, altered_view_change, change, &context)
    }

    /// Voters that announced their shutdown, before they would count as unreachable, and those unreachable for long. One
    /// that is only restarted is added again; one that is lost must not count when the next disk is lost.
    fn removable_voters(
        &self,
        view: &View,
        shutting_down: &[Identity],
        unreachable: &[Identity],
    ) -> Vec<Identity> {
        let long_unreachable = |voter: &&Identity| {
            self.unreachable_time_of(view, **voter) >= self.timing.voter_removal_timeout
        };
        let unreachable = unreachable.iter().filter(long_unreachable);
        shutting_down.iter().chain(unreachable).copied().collect()
    }

    /// Voters whose place a new node may take. Where voters are spread over failure domains, a successor often can't be
    /// added before the one that leaves; so it takes the place of that one.
    fn replaceable_voters(
        &self,
        shutting_down: Vec<Identity>,
        unreachable: Vec<Identity>,
    ) -> Vec<Identity> {
        if !self.setup.tolerated_domains.any() {
            return unreachable;
        }
        shutting_down.into_iter().chain(unreachable).collect()
    }

    /// Voters that announced their shutdown.
    fn shutting_down_voters(&self, view: &View) -> Vec<Identity> {
        let is_shutting_down = |voter: &&Member| {
            let peer = self
                .peers
                .at(voter.address)
                .filter(|peer| peer.identity == voter.identity);
            peer.is_some_and(|peer| peer.health == Health::ShuttingDown)
                && !bug_injected!(self.bug_injection, DepartedVoterKept)
        };
        let shutting_down = view.voters.iter().filter(is_shutting_down);
        shutting_down.map(|voter| voter.identity).collect()
    }

    /// Whether a node outside of the voters could take the place of one that leaves, where voters are spread over failure
    /// domains.
    pub(super) fn has_spare_node(&self, view: &View) -> bool {
        let candidates = self.join_candidates(view);
        self.setup.tolerated_domains.any()
            && candidates
                .iter()
                .any(|candidate| !view.is_voter(candidate.member.identity))
    }

    /// For how long a voter hasn't been reachable, in milliseconds.
    fn unreachable_time_of(&self, view: &View, voter: Identity) -> Millis {
        let address = view.address_of(voter);
        address.map_or(0, |address| {
            self.peers.unreachable_for(address, voter, self.now)
        })
    }

    /// Voters that can't be reached now, in the order in which a new node takes the place of one: first those outside of
    /// the chain, in the order in which they left it, then members of the chain, the longest unreachable first.
    ///
    /// The order of departure is part of the view. How long a voter has been unreachable is forgotten by a restart, after
    /// which a removed machine and one that will return look alike.
    fn unreachable_voters(&self, view: &View) -> Vec<Identity> {
        let is_reachable = |voter: &&Member| {
            self.peers
                .is_reachable(voter.address, voter.identity, &self.timing, self.now)
        };
        let others = view
            .voters
            .iter()
            .filter(|voter| voter.identity != self.identity);
        let unreachable = others
            .filter(|voter| !is_reachable(voter))
            .map(|voter| voter.identity);
        let (mut members, mut unreachable): (Vec<Identity>, Vec<Identity>) =
            unreachable.partition(|voter| view.in_chain(*voter));
        if bug_injected!(self.bug_injection, LatestDepartureReplaced) {
            unreachable.reverse();
        }
        members.sort_by_key(|voter| std::cmp::Reverse(self.unreachable_time_of(view, *voter)));
        unreachable.extend(members);
        unreachable
    }

    /// Reachable nodes in good health outside of the chain.
    fn join_candidates(&self, view: &View) -> Vec<JoinCandidate> {
        let candidates = self.peers.iter().filter(|(_, peer)| {
            !view.in_chain(peer.identity)
                && peer.epoch == view.epoch
                && peer.may_join(&self.timing, self.now)
        });
        let committed = self.committed_history_digest();
        candidates
            .map(|(address, peer)| JoinCandidate {
                member: Member {
                    identity: peer.identity,
                    address,
                },
                caught_up: committed.is_some() && peer.history_digest == committed,
                has_sealed_state: self.sealed_state_holders.contains(&peer.identity),
            })
            .collect()
    }
}
