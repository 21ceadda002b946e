//! Individual faults and their ends, as used by scenarios and by the schedule of a run.

use lockusher_control::{Event, Millis, Replica};

use crate::{
    cluster::{Cluster, address},
    disk::DiskSpace,
    node::Node,
};

/// Time for a process to hand over its role after a graceful shutdown begins.
const STOP_MS: Millis = 300;

/// Longest time that a process waits for the handover to complete.
const MAX_HANDOVER_MS: Millis = 2000;

impl Cluster {
    /// Kills a process, which restarts after `downtime`. This also models a power loss: some of the writes in flight may
    /// survive, see [`SurvivingWrites`](crate::SurvivingWrites).
    pub fn crash(&mut self, number: usize, downtime: Millis) {
        log::debug!("{}: crash of machine {number} for {downtime} ms", self.now);
        let node = &mut self.nodes[number];
        node.disk
            .interrupt(self.options.surviving_writes, &mut self.random);
        node.replica = None;
        node.adopted_epoch = 0;
        node.frozen_until = 0;
        node.start_at = Some(self.now + downtime);
        node.unhealthy_at = self.now;
    }

    /// Loses the disk of a machine whose process was killed.
    pub fn lose_disk(&mut self, number: usize) {
        log::debug!("{}: disk of machine {number} lost", self.now);
        self.outcome.disk_losses += 1;
        let now = self.now;
        let node = &mut self.nodes[number];
        node.disk.erase();
        node.first_start = false;
        node.disk_lost = true;
        node.disk_created_at = now;
    }

    /// Replaces the configuration on this machine's disk by another one without a checksum error. Returns whether there was
    /// one.
    pub fn corrupt_disk(&mut self, number: usize) -> bool {
        log::debug!("{}: disk of machine {number} corrupted", self.now);
        self.nodes[number].disk.corrupt()
    }

    /// Removes a machine permanently.
    pub fn remove_machine(&mut self, number: usize) {
        log::debug!("{}: machine {number} removed", self.now);
        self.crash(number, 0);
        self.outcome.disk_losses += 1;
        self.nodes[number].removed = true;
        self.nodes[number].start_at = None;
    }

    /// Adds a machine with an empty disk at a new address, which starts after `delay`. Returns its number.
    pub fn add_machine(&mut self, delay: Millis) -> usize {
        log::debug!(
            "{}: machine {} added in {delay} ms",
            self.now,
            self.nodes.len()
        );
        let number = self.nodes.len();
        self.nodes
            .push(Node::new(address(number), false, self.now + delay));
        number
    }

    /// Begins the graceful shutdown of a process and gives it time to hand over its role.
    pub fn stop(&mut self, number: usize) {
        self.handle_event(number, Event::Stop);
        self.advance(self.now + STOP_MS);
        if self.options.loses_zones() {
            // The process waits until it has left the chain and a spare node, if there is one, has replaced it as a voter.
            self.run_until(MAX_HANDOVER_MS - STOP_MS, |cluster| {
                let replica = cluster.replica(number);
                replica.is_none_or(Replica::has_handed_over)
            });
        }
    }

    /// Freezes a process: it takes no events for this time.
    pub fn freeze(&mut self, number: usize, duration: Millis) {
        log::debug!("{}: machine {number} frozen for {duration} ms", self.now);
        self.nodes[number].frozen_until = self.now + duration;
    }

    /// Loses all messages from one machine to another until the network heals.
    pub fn partition_link(&mut self, from: usize, to: usize) {
        let (from, to) = (self.nodes[from].address, self.nodes[to].address);
        log::debug!("{}: link partitioned from {from} to {to}", self.now);
        self.network.partition_link(from, to);
    }

    /// Ends all partitions, losses, duplicates and delays of the network.
    pub fn heal_network(&mut self) {
        log::debug!("{}: network healed", self.now);
        self.network.heal();
    }

    /// Stalls a disk: no write completes for this time.
    pub fn stall_disk(&mut self, number: usize, duration: Millis) {
        log::debug!(
            "{}: disk of machine {number} stalled for {duration} ms",
            self.now
        );
        self.nodes[number].disk.stalled_until = self.now + duration;
    }

    /// Reduces the free space of a disk until it recovers.
    pub fn fill_disk(&mut self, number: usize, space: DiskSpace) {
        log::debug!("{}: disk of machine {number} refuses writes", self.now);
        self.nodes[number].disk.space = space;
    }

    /// Slows a disk down until it recovers: each sync takes up to this time.
    pub fn slow_disk(&mut self, number: usize, max_sync: Millis) {
        log::debug!(
            "{}: syncs of machine {number} take up to {max_sync} ms",
            self.now
        );
        self.nodes[number].disk.max_sync = max_sync;
    }

    /// Ends stalls, slow syncs and lack of space of all disks.
    pub fn recover_disks(&mut self) {
        let now = self.now;
        self.nodes
            .iter_mut()
            .for_each(|node| node.disk.recover(now));
    }

    /// Ends all faults and starts all processes that are down, except those of removed machines.
    pub fn end_faults(&mut self) {
        log::debug!("{}: all faults end", self.now);
        self.network.heal();
        self.targeted_fault = None;
        self.recover_disks();
        let now = self.now;
        for node in &mut self.nodes {
            node.frozen_until = node.frozen_until.min(now);
            if !node.removed && node.replica.is_none() {
                node.start_at = Some(now + 1);
            }
        }
    }
}
