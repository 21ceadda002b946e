//! Stale votes: removed machines that remain voters because nodes can't distinguish them from unreachable ones.
//!
//! Nodes see no difference between a removed voter and one that is only unreachable. With one of each, the successor of the
//! removed voter may replace the unreachable one, and no rule can prevent that. Let there be `2 f + 1` voters, of which `f`
//! losses are tolerated, one voter removed and another unreachable, so that `2 f` nodes run, including the successor. The
//! voters agreed on are the same whichever of the two was removed. With `r` of the running nodes and both unreachable ones
//! as voters, `f` more lost disks leave `r - f + 1` of `r + 2` voters; with one of the two, which is the removed one,
//! `r - f` of `r + 1`; with neither, `r - f` of `r`. A majority would require `r >= 2 f + 1`, `2 f + 2` and `2 f + 1`, but
//! only `2 f` run. The rules for operating a deployment agree: an unreachable machine counts as lost, and so it does for
//! `catchUpS` after its return. With more than `2 f + 1` machines there are spare votes: the removed machine stops being a
//! voter once it has been unreachable for long enough.
//!
//! The order of departure from the chain distinguishes the two. A machine therefore counts as `looks_removed` only if it was
//! unhealthy before a view had been agreed on that contains it in the chain but not the removed machine.

use std::collections::BTreeSet;

use lockusher_control::Identity;

use crate::{cluster::Cluster, replacement::Replacement};

impl Cluster {
    /// Records that a machine was removed permanently and that another one is to replace it.
    pub(crate) fn record_replacement(&mut self, removed: usize, successor: usize) {
        self.replacements.push(Replacement {
            removed,
            successor,
            seen_after_departure: BTreeSet::new(),
        });
    }

    /// Updates which machines can't be distinguished from removed ones, given those that are unhealthy now.
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
        // After a machine's return to the chain, a removed one can remain a voter only in place of its own successor.
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

    /// Upper bound for the removed machines that remain voters while an unreachable machine was replaced instead. A removed
    /// machine whose successor hasn't caught up isn't included: it counts as a lost disk already.
    pub(crate) fn stale_votes(&self) -> usize {
        let candidates = self.present().into_iter();
        let candidates = candidates.filter(|number| self.nodes[*number].looks_removed);
        let replaced = self
            .replacements
            .iter()
            .filter(|replacement| !self.nodes[replacement.successor].disk_lost);
        candidates.count().min(replaced.count())
    }

    /// Whether the removed machine has returned, or its successor has caught up and it is no longer a voter.
    fn is_complete(&self, replacement: &Replacement) -> bool {
        let is_voter = |identity: Identity| {
            let view = self.invariants.newest_view();
            view.is_some_and(|view| view.is_voter(identity))
        };
        let votes = self.identity_of(replacement.removed).is_some_and(is_voter);
        let is_back = !self.nodes[replacement.removed].removed;
        is_back || (!votes && !self.nodes[replacement.successor].disk_lost)
    }

    /// Machines in the newest view's chain, including removed ones.
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

    /// Identity on a machine's disk.
    fn identity_of(&self, number: usize) -> Option<Identity> {
        self.nodes[number].disk.contents()?.identity()
    }
}
