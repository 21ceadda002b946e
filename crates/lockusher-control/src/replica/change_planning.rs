//! Decides which view change is due by this node's observations, and how long this node waits for other proposers.
//!
//! Collects the context for `view_change::plan_view_change`. A proposal is delayed by the voter's rank among the
//! healthy voters. All of them compute the same ranks, so concurrent proposals are unlikely.

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
    /// How long to wait for voters of a lower rank to propose first.
    pub(super) delay: Millis,
}

impl Replica {
    /// The view change to propose, and the delay before this node proposes it. Any healthy voter completes an agreement
    /// that may be unfinished, after a delay by rank. Otherwise the healthy voter of rank 0 proposes at once, and a
    /// sealed voter after a delay by rank.
    pub(super) fn due_view_change(&self) -> Option<DueViewChange> {
        let proposer_rank = self.proposer_rank()?;
        let change = self.plan_view_change();
        let accepted_view = self.acceptor.accepted.as_ref();
        if let Some(accepted) = accepted_view {
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

    /// This node's rank: the number of healthy voters before it, chain members first, in the order of the chain. `None`
    /// if this node isn't healthy.
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
        Some(before.filter(|voter| self.can_replicate(*voter)).count() as u64)
    }

    /// Whether this node considers a voter able to replicate: healthy, reachable and not lagging.
    fn can_replicate(&self, voter: Identity) -> bool {
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

    /// Plans the next view from this node's observations.
    fn plan_view_change(&self) -> Option<ViewChange> {
        let view = self.view.as_ref()?;
        let healthy_members: BTreeSet<Identity> = view
            .chain
            .iter()
            .copied()
            .filter(|member| self.can_replicate(*member))
            .collect();
        let unreachable = self.unreachable_voters(view);
        let shutting_down = self.shutting_down_voters(view);
        let removable = self.removable_voters(view, &shutting_down, &unreachable);
        let replaceable_voters = self.replaceable_voters(shutting_down, unreachable);
        let minimum_voters = self.minimum_voters();
        let context = ViewChangeContext {
            view,
            own_identity: self.identity,
            healthy_members,
            join_candidates: self.join_candidates(view),
            replaceable: replaceable_voters,
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

    /// Voters that may be removed: those that announced their shutdown, without waiting until they are unreachable, and
    /// those unreachable for the removal timeout. A voter that was only restarted is added again later; a lost one must
    /// no longer count towards the quorum when the next disk is lost.
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

    /// Voters that a new node may replace. Where voters are spread over failure domains, a successor often can't be
    /// added while the voter that shuts down is still one, so it may replace that voter directly.
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
                && !bug_injected!(self.bug_injection, DepartedVoterRetained)
        };
        let shutting_down = view.voters.iter().filter(is_shutting_down);
        shutting_down.map(|voter| voter.identity).collect()
    }

    /// Whether a node that isn't a voter could replace one that shuts down, where voters are spread over failure
    /// domains.
    pub(super) fn has_spare_node(&self, view: &View) -> bool {
        let candidates = self.join_candidates(view);
        self.setup.tolerated_domains.any()
            && candidates
                .iter()
                .any(|candidate| !view.is_voter(candidate.member.identity))
    }

    /// How long a voter has been unreachable, in milliseconds.
    fn unreachable_time_of(&self, view: &View, voter: Identity) -> Millis {
        let address = view.address_of(voter);
        address.map_or(0, |address| {
            self.peers.unreachable_for(address, voter, self.now)
        })
    }

    /// Unreachable voters, in the order in which new nodes replace them: first those outside of the chain, in the order
    /// in which they left it, then members of the chain, the longest unreachable first.
    ///
    /// The order of departure is stored in the view. The time that a voter has been unreachable is lost on a restart,
    /// after which a removed machine can't be told from one that will return.
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

    /// Nodes outside of the chain that may join it: reachable for the stability period, healthy and in the same epoch.
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
