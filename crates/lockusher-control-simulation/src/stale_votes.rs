//! Machines that were removed for good, and those that nodes can't tell from them.
//!
//! A removed voter and one that is only unreachable look alike. If both are, the successor of the removed one may take the
//! place of the other, and no rule prevents that. Let `2 f + 1` machines vote, `f` losses be borne, one voter be removed and
//! another unreachable, so that `2 f` nodes run, the successor included. Whatever voters are agreed on, they are the same
//! whichever of the two was removed. With `r` of the running nodes and both unreachable ones as voters, `f` more lost disks
//! leave `r - f + 1` of `r + 2` voters; with one of the two, and that one removed, `r - f` of `r + 1`; with none, `r - f` of
//! `r`. A majority would take `r >= 2 f + 1`, `2 f + 2` and `2 f + 1`, but `2 f` run. The deployment's rules say so, too: an
//! unreachable machine counts as lost, and for `catchUpS` after its return. With more machines than `2 f + 1` votes are to
//! spare: the removed machine's vote is dropped as soon as it has been unreachable for long.
//!
//! The order in which the two left the chain tells them apart. So a machine counts as mistakable only if it was unhealthy
//! while a removed one's departure from the chain wasn't agreed on yet with that machine in the chain.

use std::collections::BTreeSet;

use lockusher_control::Identity;

use crate::{cluster::Cluster, replacement::Replacement};

impl Cluster {
    /// Remembers that one machine was removed for good and that another is to take its place.
    pub(crate) fn record_replacement(&mut self, removed: usize, successor: usize) {
        self.replacements.push(Replacement {
            removed,
            successor,
            seen_after_departure: BTreeSet::new(),
        });
    }

    /// Updates which machines can't be told from removed ones, given those that are unhealthy now.
    pub(crate) fn update_looks_removed(&mut self, unhealthy: &BTreeSet<usize>) {
        if self.replacements.is_empty() {
            return;
        }
        let in_chain = self.machines_in_chain();
        let mut replacements = std::mem::take(&mut self.replacements);
        replacements.retain(|replacement| !self.is_complete(replacement));
        for replacement in &mut replacements {
            if !in_chain.contains(&replacement.removed) {
                replacement.seen_after_departure.extend(&in_chain);
            }
            for number in unhealthy.difference(&replacement.seen_after_departure) {
                self.nodes[*number].looks_removed = true;
            }
        }
        // Once a machine is back in a chain, a vote of a removed one may be left only in its own successor's place.
        let is_pending = |replacement: &Replacement| {
            !in_chain.contains(&replacement.removed) && self.nodes[replacement.successor].disk_lost
        };
        if replacements.iter().all(is_pending) {
            for number in in_chain.difference(unhealthy) {
                self.nodes[*number].looks_removed = false;
            }
        }
        self.replacements = replacements;
    }

    /// How many votes of removed machines may be left in the place of machines that were mistaken for them. Until its
    /// successor has caught up, a removed machine counts as lost already.
    pub(crate) fn stale_votes(&self) -> usize {
        let candidates = self.present().into_iter();
        let candidates = candidates.filter(|number| self.nodes[*number].looks_removed);
        let replaced = self
            .replacements
            .iter()
            .filter(|replacement| !self.nodes[replacement.successor].disk_lost);
        candidates.count().min(replaced.count())
    }

    /// Whether the removed machine is back, or its successor has caught up and its vote is gone.
    fn is_complete(&self, replacement: &Replacement) -> bool {
        let is_voter = |identity: Identity| {
            let view = self.invariants.newest_view();
            view.is_some_and(|view| view.is_voter(identity))
        };
        let votes = self.identity_of(replacement.removed).is_some_and(is_voter);
        let is_back = !self.nodes[replacement.removed].removed;
        is_back || (!votes && !self.nodes[replacement.successor].disk_lost)
    }

    /// Machines of the newest view's chain, also those that were removed.
    fn machines_in_chain(&self) -> BTreeSet<usize> {
        let Some(view) = self.invariants.newest_view() else {
            return BTreeSet::new();
        };
        let is_member = |number: &usize| {
            let identity = self.identity_of(*number);
            identity.is_some_and(|identity| view.in_chain(identity))
        };
        (0..self.nodes.len()).filter(is_member).collect()
    }

    fn identity_of(&self, number: usize) -> Option<Identity> {
        self.nodes[number].disk.contents()?.identity()
    }
}
