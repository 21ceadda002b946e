//! Carries out the faults that a run's schedule draws, on machines and with durations drawn at random.
//!
//! Losses of disks are the business of `disk_losses`, since a deployment bears only so many of them at once. Every other
//! fault may come in any number.

use std::{collections::BTreeSet, ops::Range};

use lockusher_control::{Effect, Millis, view_change::MAX_VOTERS};
use rand::RngExt;

use crate::{
    cluster::Cluster,
    disk::DiskSpace,
    fault_schedule::{FaultKind, FaultStep},
    targeted_faults::{FaultAction, TargetedFault},
};

/// The first start is left in peace until all have found each other: before, an empty disk is a lost one.
const FIRST_FAULT_AT_MS: Millis = 1000;
/// How long the operators and the network go on between two steps.
const STEP_MS: Range<Millis> = 5..60;
/// The same during a long outage.
const LONG_OUTAGE_STEP_MS: Range<Millis> = 20..200;
/// How long a killed process is down.
const DOWNTIME_MS: Range<Millis> = 50..3000;
/// The same after all were killed, or after a planned stop.
const SHORT_DOWNTIME_MS: Range<Millis> = 20..1000;
/// How long a process is frozen.
const FREEZE_MS: Range<Millis> = 100..3000;
/// How long a disk syncs nothing.
const DISK_STALL_MS: Range<Millis> = 100..4000;
/// Longest sync of a slow disk.
const SLOW_SYNC_MS: Range<Millis> = 20..900;
/// How long a machine is away in a long outage; it comes back with what it knew.
const LONG_OUTAGE_MS: Range<Millis> = 5_000..30_000;
/// Messages that a degraded network loses, in percent; and as many that it duplicates.
const DEGRADED_LOSS_PERCENT: Range<u32> = 0..20;
/// Messages that a degraded network delays for long, in percent.
const DEGRADED_DELAY_PERCENT: Range<u32> = 0..15;

impl Cluster {
    /// Steps under faults and calls; the faults of some steps are left out.
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

    /// Begins or ends the fault of a step, if it has one.
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

    pub(crate) fn present(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|number| !self.nodes[*number].removed)
            .collect()
    }

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

    /// A machine that was removed and replaced comes back with its disk, and stays.
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
    pub(crate) fn partition_groups(&mut self, some: &[usize], others: &[usize]) {
        for first in some {
            for second in others {
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

    /// A machine receives nothing, or sends nothing, or both; or it is frozen, or its disk stalls; for many seconds, while
    /// the operators go on and reach it.
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

    /// Arms a targeted fault in place of the one that may be armed.
    fn arm_targeted_fault(&mut self) {
        self.targeted_fault = Some(TargetedFault::draw(&mut self.fault_random));
    }

    /// What the armed fault does to the node that is about to carry these effects out, if it is triggered by them.
    pub(crate) fn trigger_targeted_fault(&mut self, effects: &[Effect]) -> Option<FaultAction> {
        let action = self.targeted_fault.as_mut()?.trigger(effects)?;
        self.targeted_fault = None;
        Some(action)
    }

    /// Carries a targeted fault out on the node that triggered it. Its effects have been carried out, unless it crashes
    /// before.
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
