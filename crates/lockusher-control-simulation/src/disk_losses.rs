//! Losses of disks, limited to as many as a deployment must tolerate at the same time.
//!
//! Only lost disks are counted; any number of machines may be down, frozen or isolated in addition. A lost disk counts until
//! its machine or successor has been healthy for the time to catch up while a healthy majority of the voters could update
//! it. Stale votes of removed machines (see [`stale_votes`](crate::stale_votes)) count where they would cost the majority.

use std::{collections::BTreeSet, ops::Range};

use lockusher_control::{Millis, view_change::MAX_VOTERS};
use rand::RngExt;

use crate::cluster::{CATCH_UP_MS, Cluster};

/// Downtime of a machine that loses its disk, and delay until a replacement starts.
const SHORT_DOWNTIME_MS: Range<Millis> = 20..1000;
/// Limit of the machines in a run, so that their addresses stay distinct.
const MAX_MACHINES: usize = 60;

/// Interval at which health is checked and operators call during a fault.
const STEP_MS: Range<Millis> = 5..60;
/// Interval at which health is checked while operators make no calls.
const HEALTH_INTERVAL_MS: Millis = 10;
/// Interval at which health is checked and operators call while most processes are down.
const ALL_DOWN_STEP_MS: Range<Millis> = 20..120;
/// How long a minority is partitioned from the other machines.
const PARTITION_MS: Range<Millis> = 500..4000;
/// Time from the first fault in a zone until the whole zone is lost.
const ZONE_FAILURE_DELAY_MS: Range<Millis> = 0..1500;
/// Downtime of the machines of a lost zone, and of the majority after the partition of a minority.
const LONG_DOWNTIME_MS: Range<Millis> = 1000..8000;

/// Criterion by which the machine that loses its disk is picked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Target {
    Any,
    Head,
    Tail,
    NewestDisk,
    OldestDisk,
}

impl Cluster {
    /// Records which machines are unhealthy now, and which have been healthy for the time to catch up.
    pub(crate) fn update_node_health(&mut self) {
        let now = self.now;
        let lossy = self.network.loss > 0 || self.network.delayed > 0;
        let mut unhealthy = BTreeSet::new();
        for number in 0..self.nodes.len() {
            let node = &self.nodes[number];
            let is_healthy = node.runs(now)
                && node.disk.is_healthy(now)
                && !self.network.is_disturbed(node.address);
            if !is_healthy && !node.removed {
                unhealthy.insert(number);
            }
            if !is_healthy || lossy {
                self.nodes[number].unhealthy_at = now;
            }
        }
        if !self.has_healthy_majority() {
            self.majority_unhealthy_at = now;
        }
        for number in 0..self.nodes.len() {
            let unhealthy_at = self.nodes[number]
                .unhealthy_at
                .max(self.majority_unhealthy_at);
            if now - unhealthy_at >= CATCH_UP_MS {
                self.nodes[number].disk_lost = false;
            }
        }
        self.update_looks_removed(&unhealthy);
    }

    /// Whether a majority of the newest view's voters are healthy and have their disks.
    fn has_healthy_majority(&self) -> bool {
        let Some(view) = self.invariants.newest_view() else {
            return false;
        };
        let healthy = self
            .nodes
            .iter()
            .filter(|node| !node.removed && node.unhealthy_at != self.now);
        let voters = healthy.filter_map(|node| node.disk.contents()?.identity());
        voters.filter(|identity| view.is_voter(*identity)).count() >= view.majority()
    }

    /// Number of machines that may lose their disks now.
    pub(crate) fn disk_losses_allowed(&self) -> usize {
        let lost = self
            .present()
            .into_iter()
            .filter(|number| self.nodes[*number].disk_lost);
        let tolerable_losses = (self.options.replicas.saturating_sub(1) / 2)
            .saturating_sub(self.stale_votes())
            .min(self.tolerated_losses());
        tolerable_losses.saturating_sub(lost.count())
    }

    /// Unless a disk may be lost now, ends the faults and waits until one may be, while the operators continue. Returns
    /// whether one may be lost.
    pub(crate) fn wait_until_disk_loss_allowed(&mut self) -> bool {
        if self.disk_losses_allowed() > 0 {
            return true;
        }
        self.end_faults();
        let deadline = self.now + 3 * CATCH_UP_MS;
        while self.disk_losses_allowed() == 0 && self.now < deadline {
            self.step_during_fault(STEP_MS);
        }
        self.disk_losses_allowed() > 0
    }

    /// Lets the operators call and time pass while a fault lasts.
    pub(crate) fn step_during_fault(&mut self, interval: Range<Millis>) {
        self.update_node_health();
        self.step_operators();
        let interval = self.fault_random.random_range(interval);
        self.advance(self.now + interval);
    }

    /// Lets time pass without calls of the operators, but with health checks.
    pub(crate) fn wait(&mut self, duration: Millis) {
        let until = self.now + duration;
        while self.now < until {
            self.update_node_health();
            self.advance(until.min(self.now + HEALTH_INTERVAL_MS));
        }
    }

    /// Draws the machine that loses its disk.
    fn pick_target(&mut self) -> usize {
        let target = match self.fault_random.random_range(0..6) {
            0 => Target::Head,
            1 => Target::Tail,
            2 => Target::NewestDisk,
            3 => Target::OldestDisk,
            _ => Target::Any,
        };
        let present = self.present();
        let created_at = |number: &usize| self.nodes[*number].disk_created_at;
        let machine = match target {
            Target::Any => None,
            Target::Head => self.head(),
            Target::Tail => self.chain().last().copied(),
            Target::NewestDisk => present.iter().copied().max_by_key(created_at),
            Target::OldestDisk => present.iter().copied().min_by_key(created_at),
        };
        machine
            .filter(|number| present.contains(number))
            .unwrap_or_else(|| self.pick_machine())
    }

    /// Lets one machine or more, up to the number allowed, lose their disks; with `crash_others` all processes are killed
    /// first.
    pub(crate) fn lose_disks(&mut self, crash_others: bool) {
        if !self.wait_until_disk_loss_allowed() {
            return;
        }
        let count = self
            .fault_random
            .random_range(1..=self.disk_losses_allowed());
        if crash_others {
            self.crash_all();
        }
        for _ in 0..count {
            let number = self.pick_target();
            self.lose_disk_if_allowed(number);
        }
    }

    fn lose_disk_if_allowed(&mut self, number: usize) {
        if self.disk_losses_allowed() == 0 || self.nodes[number].disk_lost {
            return;
        }
        let downtime = self.fault_random.random_range(SHORT_DOWNTIME_MS);
        self.crash(number, downtime);
        self.lose_disk(number);
    }

    /// Removes a machine permanently and adds another one at a new address: after the removal, or before it with a graceful
    /// shutdown of the removed machine.
    pub(crate) fn replace_machine(&mut self) {
        if !self.wait_until_disk_loss_allowed() || self.nodes.len() >= MAX_MACHINES {
            return;
        }
        let number = self.pick_target();
        if self.nodes[number].disk_lost {
            // It counts as one loss already; its removal would be a second one.
            return;
        }
        match self.fault_random.random_range(0..3) {
            0 => self.replace_after_loss(number, false),
            1 => self.replace_after_loss(number, true),
            _ => self.replace_as_planned(number),
        }
    }

    /// Removes the machine first, with a graceful shutdown if `is_graceful`, and then adds its successor.
    fn replace_after_loss(&mut self, number: usize, is_graceful: bool) {
        if is_graceful {
            self.stop(number);
        }
        self.remove_machine(number);
        let after = self.fault_random.random_range(SHORT_DOWNTIME_MS);
        let successor = self.add_machine(after);
        self.nodes[successor].zone = self.nodes[number].zone;
        self.nodes[successor].disk_lost = true;
        self.record_replacement(number, successor);
    }

    /// Adds the new machine and gives it the time to catch up; then removes the old one after a graceful shutdown.
    fn replace_as_planned(&mut self, number: usize) {
        if self.present().len() >= MAX_VOTERS {
            return self.replace_after_loss(number, true);
        }
        self.end_faults();
        let successor = self.add_machine(1);
        self.nodes[successor].zone = self.nodes[number].zone;
        self.nodes[successor].disk_lost = true;
        let deadline = self.now + 3 * CATCH_UP_MS;
        while self.nodes[successor].disk_lost && self.now < deadline {
            self.step_during_fault(STEP_MS);
        }
        let joined = !self.nodes[successor].disk_lost;
        self.stop(number);
        self.remove_machine(number);
        self.nodes[successor].disk_lost = !joined;
        self.record_replacement(number, successor);
    }

    /// Loses a zone: all its machines restart with empty disks. One of them may be killed or shut down shortly before, so
    /// that the loss coincides with a view change. Has no effect unless all machines in other zones become healthy and catch
    /// up.
    pub(crate) fn lose_zone(&mut self) {
        if !self.options.loses_zones() {
            return;
        }
        self.end_faults();
        let zone = self
            .fault_random
            .random_range(0..self.options.zone_sizes.len());
        let deadline = self.now + 3 * CATCH_UP_MS;
        while !self.is_zone_loss_allowed(zone) && self.now < deadline {
            self.step_during_fault(STEP_MS);
        }
        let machines: Vec<usize> = self.machines_of(zone);
        let Some(first) = machines.first().copied() else {
            return;
        };
        if !self.is_zone_loss_allowed(zone) {
            return;
        }
        let until = self.now + self.fault_random.random_range(ZONE_FAILURE_DELAY_MS);
        match self.fault_random.random_range(0..3) {
            0 => self.crash(first, LONG_DOWNTIME_MS.end),
            1 => self.stop(first),
            _ => {}
        }
        while self.now < until {
            self.step_during_fault(STEP_MS);
        }
        let downtime = self.fault_random.random_range(LONG_DOWNTIME_MS);
        for number in machines {
            self.crash(number, downtime);
            self.lose_disk(number);
        }
    }

    /// Machines of a zone that aren't removed.
    fn machines_of(&self, zone: usize) -> Vec<usize> {
        let mut present = self.present();
        present.retain(|number| self.nodes[*number].zone == zone);
        present
    }

    /// Whether all machines in other zones have their disks and have caught up, and no removed machine may still be a voter.
    fn is_zone_loss_allowed(&self, zone: usize) -> bool {
        let elsewhere = self.present().into_iter();
        let mut elsewhere = elsewhere.filter(|number| self.nodes[*number].zone != zone);
        let has_caught_up = |number: usize| {
            let node = &self.nodes[number];
            let since = node.unhealthy_at.max(self.majority_unhealthy_at);
            !node.disk_lost && self.now - since >= CATCH_UP_MS
        };
        elsewhere.all(has_caught_up) && self.replacements.is_empty()
    }

    /// Loses disks one after another, each as soon as another loss is allowed.
    pub(crate) fn lose_disks_in_sequence(&mut self) {
        let count = self.fault_random.random_range(2..=3);
        for _ in 0..count {
            match self.fault_random.random_range(0..4) {
                0 => self.replace_machine(),
                1 => self.lose_disks(true),
                _ => self.lose_disks(false),
            }
        }
    }

    /// Partitions a minority, which misses changes; then one of the others loses its disk, the rest are killed, and the
    /// partition heals.
    pub(crate) fn lose_disk_behind_partition(&mut self) {
        if !self.wait_until_disk_loss_allowed() {
            return;
        }
        let present = self.present();
        let skip = self.fault_random.random_range(0..present.len());
        let rotated: Vec<usize> = present
            .iter()
            .cycle()
            .skip(skip)
            .take(present.len())
            .copied()
            .collect();
        let (minority, others) = rotated.split_at((present.len() - 1) / 2);
        self.partition_groups(minority, others);
        let until = self.now + self.fault_random.random_range(PARTITION_MS);
        while self.now < until {
            self.step_during_fault(STEP_MS);
        }
        let Some((lost, rest)) = others.split_first() else {
            return;
        };
        self.lose_disk_if_allowed(*lost);
        let downtime = self.fault_random.random_range(LONG_DOWNTIME_MS);
        for number in rest {
            self.crash(*number, downtime);
        }
        self.heal_network();
        let until = self.now + downtime;
        while self.now < until {
            self.step_during_fault(ALL_DOWN_STEP_MS);
        }
    }
}
