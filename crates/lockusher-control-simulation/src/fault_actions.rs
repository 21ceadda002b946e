//! Faults by name, and the end of them: for scenarios, and for what a run's schedule draws.

use lockusher_control::{Event, Millis, Replica};

use crate::{
    cluster::{Cluster, address},
    disk::DiskSpace,
    node::Node,
};

/// Time that a process has to hand over after it was announced that it stops.
const STOP_MS: Millis = 300;

/// The most that a process waits until it has handed over.
const MAX_HANDOVER_MS: Millis = 2000;

impl Cluster {
    /// Kills a process, which starts again after `downtime`. A loss of power is the same here: of what wasn't synced,
    /// any number of writes may remain.
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

    /// The disk of a process that was killed is lost.
    pub fn lose_disk(&mut self, number: usize) {
        log::debug!("{}: disk of machine {number} lost", self.now);
        self.outcome.wipes += 1;
        let now = self.now;
        let node = &mut self.nodes[number];
        node.disk.erase();
        node.first_start = false;
        node.disk_lost = true;
        node.disk_created_at = now;
    }

    /// Replaces the configuration on this machine's disk by another one, which no checksum shows. Whether it held one.
    pub fn corrupt_disk(&mut self, number: usize) -> bool {
        log::debug!("{}: disk of machine {number} corrupted", self.now);
        self.nodes[number].disk.corrupt()
    }

    /// Removes a machine for good.
    pub fn remove_machine(&mut self, number: usize) {
        log::debug!("{}: machine {number} removed", self.now);
        self.crash(number, 0);
        self.outcome.wipes += 1;
        self.nodes[number].removed = true;
        self.nodes[number].start_at = None;
    }

    /// Adds an empty machine at a new address, which starts after this time. Its number.
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

    /// Announces the end of a process and gives it time to hand over.
    pub fn stop(&mut self, number: usize) {
        self.handle_event(number, Event::Stop);
        self.advance(self.now + STOP_MS);
        if self.options.loses_zones() {
            // The process waits until a node of its zone has taken its place.
            self.run_until(MAX_HANDOVER_MS - STOP_MS, |cluster| {
                let replica = cluster.replica(number);
                replica.is_none_or(Replica::has_handed_over)
            });
        }
    }

    /// A process doesn't run for a while.
    pub fn freeze(&mut self, number: usize, duration: Millis) {
        log::debug!("{}: machine {number} frozen for {duration} ms", self.now);
        self.nodes[number].frozen_until = self.now + duration;
    }

    /// Loses the messages of one machine to another from now on.
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

    /// Nothing is synced for a while.
    pub fn stall_disk(&mut self, number: usize, duration: Millis) {
        log::debug!(
            "{}: disk of machine {number} stalled for {duration} ms",
            self.now
        );
        self.nodes[number].disk.stalled_until = self.now + duration;
    }

    /// Lets a disk refuse writes from now on, according to its free space.
    pub fn fill_disk(&mut self, number: usize, space: DiskSpace) {
        log::debug!("{}: disk of machine {number} full", self.now);
        self.nodes[number].disk.space = space;
    }

    /// Each sync takes up to this time from now on.
    pub fn slow_disk(&mut self, number: usize, max_sync: Millis) {
        log::debug!(
            "{}: syncs of machine {number} take up to {max_sync} ms",
            self.now
        );
        self.nodes[number].disk.max_sync = max_sync;
    }

    /// Lets all disks work as normal again.
    pub fn recover_disks(&mut self) {
        let now = self.now;
        self.nodes
            .iter_mut()
            .for_each(|node| node.disk.recover(now));
    }

    /// Ends all faults: every machine works, and all that are down start.
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
