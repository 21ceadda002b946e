//! Faults and measurements by name, for scenarios.

use crate::{
    cluster::{ACKNOWLEDGE_MS, Cluster, address},
    disk::DiskSpace,
    node::Node,
    operator::Change,
};
use lockusher_control::{Event, Millis, Replica, Reply, Request};

/// Time that a process is left after it was told to stop.
const STOP_MS: Millis = 300;

impl Cluster {
    /// Virtual time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Kills a process, which starts again after `downtime`. A loss of power is the same here: of what wasn't synced,
    /// any number of writes may remain.
    pub fn crash(&mut self, number: usize, downtime: Millis) {
        log::debug!("{}: crash of machine {number} for {downtime} ms", self.now);
        let node = &mut self.nodes[number];
        node.disk.interrupt(&mut self.random);
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
        node.disk.wipe();
        node.first_start = false;
        node.disk_lost = true;
        node.disk_born = now;
    }

    /// The configuration on this machine's disk is another one from now on. Whether it held one.
    pub fn corrupt_disk(&mut self, number: usize) -> bool {
        log::debug!("{}: disk of machine {number} corrupted", self.now);
        self.nodes[number].disk.corrupt()
    }

    /// The replica of a machine, if it runs.
    pub fn replica(&self, number: usize) -> Option<&Replica> {
        self.nodes[number].replica.as_ref()
    }

    /// Removes a machine for good.
    pub fn remove(&mut self, number: usize) {
        log::debug!("{}: machine {number} removed", self.now);
        self.crash(number, 0);
        self.outcome.wipes += 1;
        self.nodes[number].removed = true;
        self.nodes[number].start_at = None;
    }

    /// Adds an empty machine at a new address, which starts after this time. Its number.
    pub fn add(&mut self, delay: Millis) -> usize {
        log::debug!("{}: machine {} added in {delay} ms", self.now, self.nodes.len());
        let number = self.nodes.len();
        self.nodes.push(Node::new(address(number), false, self.now + delay));
        number
    }

    /// Announces the end of a process and gives it time to hand over.
    pub fn stop(&mut self, number: usize) {
        self.event(number, Event::Stop);
        self.advance(self.now + STOP_MS);
    }

    /// A process doesn't run for a while.
    pub fn freeze(&mut self, number: usize, duration: Millis) {
        log::debug!("{}: machine {number} frozen for {duration} ms", self.now);
        self.nodes[number].frozen_until = self.now + duration;
    }

    /// Messages of one machine to another are lost from now on.
    pub fn partition_link(&mut self, from: usize, to: usize) {
        let (from, to) = (self.nodes[from].address, self.nodes[to].address);
        log::debug!("{}: link partitioned from {from} to {to}", self.now);
        self.network.partition_link(from, to);
    }

    /// Ends all trouble of the network.
    pub fn heal_network(&mut self) {
        log::debug!("{}: network healed", self.now);
        self.network.heal();
    }

    /// Nothing is synced for a while.
    pub fn stall_disk(&mut self, number: usize, duration: Millis) {
        log::debug!("{}: disk of machine {number} stalled for {duration} ms", self.now);
        self.nodes[number].disk.stalled_until = self.now + duration;
    }

    /// The disk refuses writes from now on: all, or all but votes.
    pub fn fill_disk(&mut self, number: usize, space: DiskSpace) {
        log::debug!("{}: disk of machine {number} full", self.now);
        self.nodes[number].disk.space = space;
    }

    /// Each sync takes up to this time from now on.
    pub fn slow_disk(&mut self, number: usize, max_sync: Millis) {
        log::debug!("{}: syncs of machine {number} take up to {max_sync} ms", self.now);
        self.nodes[number].disk.max_sync = max_sync;
    }

    /// All disks work as usual again.
    pub fn recover_disks(&mut self) {
        let now = self.now;
        self.nodes.iter_mut().for_each(|node| node.disk.recover(now));
    }

    /// All machines work, and all that are down start.
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

    /// The machine that is head, if exactly one calls itself so in the newest epoch.
    pub fn head(&self) -> Option<usize> {
        let heads = (0..self.nodes.len())
            .filter(|number| self.nodes[*number].replica.as_ref().is_some_and(|replica| replica.is_head()));
        heads.max_by_key(|number| self.epoch_of(*number))
    }

    fn epoch_of(&self, number: usize) -> u64 {
        let view = self.nodes[number].replica.as_ref().and_then(|replica| replica.view());
        view.map_or(0, |view| view.epoch)
    }

    /// The machines of the newest view's chain, head first.
    pub fn chain(&self) -> Vec<usize> {
        let newest = (0..self.nodes.len()).max_by_key(|number| self.epoch_of(*number));
        let view = newest.and_then(|number| self.nodes[number].replica.as_ref()?.view());
        let addresses =
            view.into_iter().flat_map(|view| view.chain.iter().filter_map(|member| view.address_of(*member)));
        addresses.filter_map(|address| self.nodes.iter().position(|node| node.address == address)).collect()
    }

    /// Number of voters of the newest view.
    pub fn voters(&self) -> usize {
        let views = self.nodes.iter().filter_map(|node| node.replica.as_ref()?.view());
        views.max_by_key(|view| view.epoch).map_or(0, |view| view.voters.len())
    }

    /// Whether this machine is in the newest view's chain and knows that it is up to date.
    pub fn is_member(&self, number: usize) -> bool {
        let newest = (0..self.nodes.len()).map(|number| self.epoch_of(number)).max();
        newest == Some(self.epoch_of(number))
            && self.nodes[number].replica.as_ref().is_some_and(|replica| replica.is_clean())
    }

    /// Runs until the condition holds; the time it took, or `None` after `limit`.
    pub fn run_until(&mut self, limit: Millis, condition: impl Fn(&Self) -> bool) -> Option<Millis> {
        let since = self.now;
        while !condition(self) {
            if self.now - since >= limit {
                return None;
            }
            self.advance(self.now + 5);
        }
        Some(self.now - since)
    }

    /// Runs until every machine that isn't removed is an up-to-date member of the chain.
    pub fn run_until_all_members(&mut self, limit: Millis) -> Option<Millis> {
        self.run_until(limit, |cluster| {
            (0..cluster.nodes.len()).all(|number| cluster.nodes[number].removed || cluster.is_member(number))
        })
    }

    /// One operator writes, with retries at any machine; the time until it was acknowledged.
    pub fn write(&mut self) -> Option<Millis> {
        let since = self.now;
        self.write_until_acknowledged(ACKNOWLEDGE_MS).map(|_| self.now - since)
    }

    /// Asks one machine to read; its answer within a second, if any.
    pub fn read_at(&mut self, number: usize) -> Option<Reply> {
        self.request(number, Request::Read)
    }

    /// The newest version that was committed; 0 before the first.
    pub fn version(&self) -> u64 {
        self.model.newest_version()
    }

    /// The changes acknowledged to the one operator of [`Cluster::write`], as they would be sent again.
    pub fn acknowledged_changes(&self) -> Vec<Request> {
        self.operators[0].acknowledged.iter().map(Change::request).collect()
    }

    /// Broken promises so far.
    pub fn violations(&self) -> &[String] {
        &self.model.violations
    }

    /// Messages sent so far.
    pub fn messages(&self) -> u64 {
        self.network.sent
    }

    /// Bytes sent so far.
    pub fn bytes(&self) -> u64 {
        self.network.bytes
    }
}
