//! Faults that bring about a crossing of two messages, or of a message and a restart, which random faults seldom do.
//!
//! Each one takes some seconds of a run, in which it sets the scene, and leaves the cluster to the next steps.

use std::ops::Range;

use lockusher_control::{Identity, Millis, Request};
use rand::RngExt;

use crate::cluster::Cluster;

/// How long members are down that leave the chain: long enough to be suspected and left out.
const EXCLUSION_DOWNTIME_MS: Millis = 1600;
/// From their return until the head's messages are kept back: not long enough to join again.
const RETURN_DELAY_MS: Range<Millis> = 50..250;
/// How long the head's messages are kept back at most.
const CONGESTION_LIMIT_MS: Millis = 4000;
/// How long after the seal they arrive.
const DELAY_AFTER_SEAL_MS: Range<Millis> = 0..20;
/// How long a process is down that is restarted at once.
const RESTART_MS: Millis = 1;
/// From the start of a process until it has found the head.
const START_DELAY_MS: Range<Millis> = 30..150;
/// How long a forwarded request takes to the head.
const FORWARD_DELAY_MS: Range<Millis> = 13..40;
/// How long the disk of another member keeps a write waiting.
const STALL_DURATION_MS: Millis = 400;

impl Cluster {
    /// The chain is left with a bare majority, and those outside of it come back. Then all that the head sends is kept back,
    /// also an entry, until a member that suspects it has sealed the epoch and handed over its state to joiners.
    pub(crate) fn deliver_entry_after_seal(&mut self) {
        let (chain, majority) = (self.chain(), self.voters() / 2 + 1);
        let Some(head) = self.head() else { return };
        if chain.len() < 2 || chain.len() < majority || self.present().len() <= majority {
            return;
        }
        for number in &chain[majority.max(2)..] {
            if !self.nodes[*number].removed {
                self.crash(*number, EXCLUSION_DOWNTIME_MS);
            }
        }
        let return_delay = self.fault_random.random_range(RETURN_DELAY_MS);
        self.wait(EXCLUSION_DOWNTIME_MS + return_delay);
        if self.head() != Some(head) {
            return;
        }
        self.network.hold_messages_of(self.nodes[head].address);
        self.send_change_to(head, 0);
        let until = self.now + CONGESTION_LIMIT_MS;
        while !self.has_other_member_transferred_seal(head) && self.now < until {
            self.wait(1);
        }
        let delay_after_seal = self.fault_random.random_range(DELAY_AFTER_SEAL_MS);
        self.wait(delay_after_seal);
        self.network.release_held_messages(self.now);
    }

    /// Whether another machine than the head has handed over its sealed state in the newest epoch.
    fn has_other_member_transferred_seal(&self, head: usize) -> bool {
        let Some(view) = self.invariants.newest_view() else {
            return false;
        };
        let head = self.nodes[head].replica.as_ref();
        let head = head.map(lockusher_control::Replica::identity);
        let mut others = view.chain.iter().filter(|member| Some(**member) != head);
        others.any(|member: &Identity| self.invariants.has_handed_over(*member, view.epoch))
    }

    /// A process is restarted, forwards a change as its first request, is restarted again while the change waits at the
    /// head, and forwards a read as the first request of its next incarnation.
    pub(crate) fn restart_forwarder(&mut self) {
        let Some(head) = self.head() else { return };
        let forwarder = self.pick_machine();
        let is_other = |number: &usize| *number != head && *number != forwarder;
        let Some(slow_member) = self.chain().into_iter().rfind(is_other) else {
            return;
        };
        if forwarder == head {
            return;
        }
        self.crash(forwarder, RESTART_MS);
        let start_delay = self.fault_random.random_range(START_DELAY_MS);
        self.wait(start_delay);
        self.stall_disk(slow_member, STALL_DURATION_MS);
        if !self.nodes[forwarder].runs(self.now) {
            return;
        }
        self.send_change_to(forwarder, 0);
        let forward_delay = self.fault_random.random_range(FORWARD_DELAY_MS);
        self.wait(forward_delay);
        self.crash(forwarder, RESTART_MS);
        self.wait(2 * RESTART_MS);
        if !self.nodes[forwarder].runs(self.now) {
            return;
        }
        self.abandon_call(1);
        self.call_node(forwarder, 1, Request::Read, None);
        self.wait(STALL_DURATION_MS);
    }
}
