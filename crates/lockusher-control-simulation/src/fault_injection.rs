//! Applies the faults of a run's schedule to machines and with durations that are drawn at random.
//!
//! `disk_losses` handles losses of disks, of which a deployment tolerates only a limited number at the same time. All other
//! faults may occur in any number.

use std::{collections::BTreeSet, ops::Range};

use lockusher_control::{Effect, Millis, view_change::MAX_VOTERS};
use rand::RngExt;

use crate::{
    cluster::Cluster,
    disk::DiskSpace,
    fault_schedule::{FaultKind, FaultStep},
    targeted_faults::{FaultAction, TargetedFault},
};

/// No fault occurs during the first start, until the nodes have found each other: until then an empty disk counts as lost.
const FIRST_FAULT_AT_MS: Millis = 1000;
/// Virtual time between two steps.
const STEP_MS: Range<Millis> = 5..60;
/// The same during a long outage.
const LONG_OUTAGE_STEP_MS: Range<Millis> = 20..200;
/// Downtime of a killed process.
const DOWNTIME_MS: Range<Millis> = 50..3000;
/// The same after all processes were killed or after a graceful shutdown.
const SHORT_DOWNTIME_MS: Range<Millis> = 20..1000;
/// Duration of a freeze.
const FREEZE_MS: Range<Millis> = 100..3000;
/// Duration of a disk stall.
const DISK_STALL_MS: Range<Millis> = 100..4000;
/// Range of the longest sync of a slow disk.
const SLOW_SYNC_MS: Range<Millis> = 20..900;
/// Duration of a long outage, after which the machine returns with its state.
const LONG_OUTAGE_MS: Range<Millis> = 5_000..30_000;
/// Share of messages that a degraded network loses, in percent; also the range of the share that it duplicates.
const DEGRADED_LOSS_PERCENT: Range<u32> = 0..20;
/// Share of messages that a degraded network delays for long, in percent.
const DEGRADED_DELAY_PERCENT: Range<u32> = 0..15;

impl Cluster {
    /// Simulates steps under faults and calls until the first violation. The faults of `omitted_steps` are omitted.
    pub fn run_under_faults(&mut self, steps: usize, omitted_steps: &BTreeSet<usize>) {
        for step in 0..steps {
            if !self.violations.is_empty() {
                return;
            }
            self.step_faults(step, omitted_steps);
            self.step_operators();
            let interval = self.random.random_range(STEP_MS);
            self.advance(self.now + interval);
        }
    }

    /// Applies the fault of a step, if it has one.
    fn step_faults(&mut self, step: usize, omitted_steps: &BTreeSet<usize>) {
        self.update_node_health();
        if self.now < FIRST_FAULT_AT_MS {
            return;
        }
        let drawn = self.fault_schedule.draw(step);
        self.fault_random = drawn.random;
        let Some(kind) = drawn.kind.filter(|_| !omitted_steps.contains(&step)) else {
            return;
        };
        self.outcome.faults.push(FaultStep { step, kind });
        self.apply_fault(kind);
    }

    fn apply_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::Crash => self.crash_one(),
            FaultKind::CrashAll => self.crash_all(),
            FaultKind::Freeze => self.freeze_one(),
            FaultKind::PartitionLink => self.partition_one_link(),
            FaultKind::Partition => self.partition_in_two(),
            FaultKind::HealNetwork => self.heal_network(),
            FaultKind::StallDisk => self.stall_one_disk(),
            FaultKind::FillDisk => self.fill_one_disk(),
            FaultKind::SlowDisk => self.slow_one_disk(),
            FaultKind::RecoverDisks => self.recover_disks(),
            FaultKind::DegradeNetwork => self.degrade_network(),
            FaultKind::LoseDisks => self.lose_disks(false),
            FaultKind::LoseDisksAndCrashAll => self.lose_disks(true),
            FaultKind::ReplaceMachine => self.replace_machine(),
            FaultKind::StopGracefully => self.stop_gracefully(),
            FaultKind::RestoreRemovedMachine => self.restore_removed_machine(),
            FaultKind::LongOutage => self.cause_long_outage(),
            FaultKind::LoseDisksInSequence => self.lose_disks_in_sequence(),
            FaultKind::LoseDiskBehindPartition => self.lose_disk_behind_partition(),
            FaultKind::TargetedFault => self.arm_targeted_fault(),
            FaultKind::EntryAfterSeal => self.deliver_entry_after_seal(),
            FaultKind::RestartForwarder => self.restart_forwarder(),
            FaultKind::LoseZone => self.lose_zone(),
        }
    }

    /// Numbers of the machines that aren't removed.
    pub(crate) fn present(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|number| !self.nodes[*number].removed)
            .collect()
    }

    /// Draws a machine that isn't removed.
    pub(crate) fn pick_machine(&mut self) -> usize {
        let present = self.present();
        present[self.fault_random.random_range(0..present.len())]
    }

    fn crash_for(&mut self, number: usize, downtime: Range<Millis>) {
        let downtime = self.fault_random.random_range(downtime);
        self.crash(number, downtime);
    }

    fn crash_one(&mut self) {
        let number = self.pick_machine();
        self.crash_for(number, DOWNTIME_MS);
    }

    pub(crate) fn crash_all(&mut self) {
        for number in self.present() {
            self.crash_for(number, SHORT_DOWNTIME_MS);
        }
    }

    /// Returns a removed machine with its disk, in addition to its successor.
    fn restore_removed_machine(&mut self) {
        if self.present().len() >= MAX_VOTERS {
            return;
        }
        let now = self.now;
        if let Some(node) = self.nodes.iter_mut().find(|node| node.removed) {
            node.removed = false;
            node.start_at = Some(now + 1);
        }
    }

    fn stop_gracefully(&mut self) {
        let number = self.pick_machine();
        self.stop(number);
        self.crash_for(number, SHORT_DOWNTIME_MS);
    }

    fn freeze_one(&mut self) {
        let number = self.pick_machine();
        let duration = self.fault_random.random_range(FREEZE_MS);
        self.freeze(number, duration);
    }

    fn partition_one_link(&mut self) {
        let (first, second) = (self.pick_machine(), self.pick_machine());
        if first != second {
            self.partition_link(first, second);
            if self.fault_random.random_ratio(1, 2) {
                self.partition_link(second, first);
            }
        }
    }

    fn partition_in_two(&mut self) {
        let one_way = self.fault_random.random_ratio(1, 3);
        let sides: Vec<bool> = self
            .nodes
            .iter()
            .map(|_| self.fault_random.random_ratio(1, 2))
            .collect();
        for first in 0..self.nodes.len() {
            for second in 0..self.nodes.len() {
                if sides[first] && !sides[second] {
                    self.partition_link(first, second);
                    if !one_way {
                        self.partition_link(second, first);
                    }
                }
            }
        }
    }

    /// Partitions two groups of machines from each other.
    pub(crate) fn partition_groups(&mut self, first_group: &[usize], second_group: &[usize]) {
        for first in first_group {
            for second in second_group {
                self.partition_link(*first, *second);
                self.partition_link(*second, *first);
            }
        }
    }

    /// Partitions a machine from all others.
    pub(crate) fn isolate(&mut self, number: usize) {
        let others: Vec<usize> = (0..self.nodes.len())
            .filter(|other| *other != number)
            .collect();
        self.partition_groups(&[number], &others);
    }

    /// Isolates a machine in one direction or both, freezes it or stalls its disk for many seconds, while the operators
    /// continue to call all machines, including this one.
    fn cause_long_outage(&mut self) {
        let number = if self.fault_random.random_ratio(1, 2) {
            self.head()
        } else {
            None
        };
        let number = number.unwrap_or_else(|| self.pick_machine());
        let duration = self.fault_random.random_range(LONG_OUTAGE_MS);
        let others: Vec<usize> = (0..self.nodes.len())
            .filter(|other| *other != number)
            .collect();
        match self.fault_random.random_range(0..5) {
            0 => self.isolate(number),
            1 => others
                .iter()
                .for_each(|other| self.partition_link(*other, number)),
            2 => others
                .iter()
                .for_each(|other| self.partition_link(number, *other)),
            3 => self.freeze(number, duration),
            _ => self.stall_disk(number, duration),
        }
        let until = self.now + duration;
        while self.now < until {
            self.step_during_fault(LONG_OUTAGE_STEP_MS);
        }
        self.heal_network();
    }

    fn stall_one_disk(&mut self) {
        let number = self.pick_machine();
        let duration = self.fault_random.random_range(DISK_STALL_MS);
        self.stall_disk(number, duration);
    }

    fn slow_one_disk(&mut self) {
        let number = self.pick_machine();
        let max_sync = self.fault_random.random_range(SLOW_SYNC_MS);
        self.slow_disk(number, max_sync);
    }

    fn fill_one_disk(&mut self) {
        let number = self.pick_machine();
        let space = if self.fault_random.random_ratio(1, 2) {
            DiskSpace::VotesOnly
        } else {
            DiskSpace::Full
        };
        self.fill_disk(number, space);
    }

    fn degrade_network(&mut self) {
        self.network.loss = self.fault_random.random_range(DEGRADED_LOSS_PERCENT);
        self.network.duplicated = self.fault_random.random_range(DEGRADED_LOSS_PERCENT);
        self.network.delayed = self.fault_random.random_range(DEGRADED_DELAY_PERCENT);
    }

    /// Arms a targeted fault, which replaces one that is already armed.
    fn arm_targeted_fault(&mut self) {
        self.targeted_fault = Some(TargetedFault::draw(&mut self.fault_random));
    }

    /// Returns the action of the armed fault if these effects trigger it; the fault is then no longer armed.
    pub(crate) fn trigger_targeted_fault(&mut self, effects: &[Effect]) -> Option<FaultAction> {
        let action = self.targeted_fault.as_mut()?.trigger(effects)?;
        self.targeted_fault = None;
        Some(action)
    }

    /// Applies a targeted fault to the node that triggered it, after its effects were executed or, for a crash before
    /// sending, instead of that.
    pub(crate) fn apply_fault_action(&mut self, number: usize, fault_action: FaultAction) {
        match fault_action {
            FaultAction::CrashBeforeSend { downtime }
            | FaultAction::CrashAfterSend { downtime } => {
                self.crash(number, downtime);
            }
            FaultAction::Isolate => self.isolate(number),
            FaultAction::Freeze { duration } => self.freeze(number, duration),
        }
    }
}
