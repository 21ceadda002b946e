//! Faults that cause a race between two messages, or between a message and a restart, which random faults rarely do.
//!
//! Each one takes some seconds of virtual time.

use std::ops::Range;

use lockusher_control::{Identity, Millis, Request};
use rand::RngExt;

use crate::cluster::Cluster;

/// Downtime of members that are to leave the chain: long enough to be suspected and excluded.
const EXCLUSION_DOWNTIME_MS: Millis = 1600;
/// Time from their restart until the head's messages are held: too short to join again.
const RETURN_DELAY_MS: Range<Millis> = 50..250;
/// Longest time for which the head's messages are held.
const MAX_HOLD_MS: Millis = 4000;
/// Time from the seal until they arrive.
const DELAY_AFTER_SEAL_MS: Range<Millis> = 0..20;
/// Downtime of a process that is restarted immediately.
const RESTART_MS: Millis = 1;
/// Time in which a started process finds the head.
const START_DELAY_MS: Range<Millis> = 30..150;
/// Time in which a forwarded request reaches the head.
const FORWARD_DELAY_MS: Range<Millis> = 13..40;
/// How long the disk of another member stalls, so that the change stays pending at the head.
const STALL_DURATION_MS: Millis = 400;

impl Cluster {
    /// Reduces the chain to a bare majority and restarts the excluded members. Then holds all messages of the head,
    /// including an entry, until a member that suspects the head has sealed the epoch and transferred its state to joiners.
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
        let until = self.now + MAX_HOLD_MS;
        while !self.has_other_member_transferred_state(head) && self.now < until {
            self.wait(1);
        }
        let delay_after_seal = self.fault_random.random_range(DELAY_AFTER_SEAL_MS);
        self.wait(delay_after_seal);
        self.network.release_held_messages(self.now);
    }

    /// Whether a member other than the head has transferred its sealed state of the newest epoch.
    fn has_other_member_transferred_state(&self, head: usize) -> bool {
        let Some(view) = self.invariants.newest_view() else {
            return false;
        };
        let head = self.nodes[head].replica.as_ref();
        let head = head.map(lockusher_control::Replica::identity);
        let mut others = view.chain.iter().filter(|member| Some(**member) != head);
        others.any(|member: &Identity| self.invariants.has_transferred_state(*member, view.epoch))
    }

    /// Restarts a process, lets it forward a change as its first request, restarts it again while the change is pending at
    /// the head, and lets it forward a read as the first request of its next incarnation.
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
