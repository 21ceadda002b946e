//! Faults drawn at random, within what the deployment must bear.

use std::collections::BTreeSet;

use derive_more::Display;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{cluster::Cluster, disk::DiskSpace};
use lockusher_control::{Millis, view_change::MAX_VOTERS};

/// Longest time that a killed process is down.
const DOWNTIME_MS: std::ops::Range<Millis> = 50..3000;
/// Return after all were killed.
const SHORT_DOWNTIME_MS: std::ops::Range<Millis> = 20..1000;
const FREEZE_MS: std::ops::Range<Millis> = 100..3000;
const DISK_STALL_MS: std::ops::Range<Millis> = 100..4000;
/// Longest sync of a slow disk.
const SLOW_SYNC_MS: std::ops::Range<Millis> = 20..900;
/// The first start is left in peace until all have found each other: before, an empty disk is a lost one.
const FIRST_FAULT_AT_MS: Millis = 1000;
/// A machine is away for so long at most, and comes back with what it knew.
const LONG_OUTAGE_MS: std::ops::Range<Millis> = 5_000..30_000;

/// A fault, or the end of some.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum FaultKind {
    #[display("a process is killed")]
    Crash,
    #[display("all processes are killed")]
    CrashAll,
    #[display("a process freezes")]
    Freeze,
    #[display("a link is cut")]
    PartitionLink,
    #[display("the machines are cut in two")]
    Partition,
    #[display("all links are joined")]
    HealNetwork,
    #[display("a disk stalls")]
    StallDisk,
    #[display("a disk fills up")]
    FillDisk,
    #[display("a disk turns slow")]
    SlowDisk,
    #[display("all disks work as usual")]
    RecoverDisks,
    #[display("messages are lost, doubled and held up")]
    DegradeNetwork,
    #[display("disks are lost")]
    LoseDisks,
    #[display("disks are lost while all processes are killed")]
    LoseDisksAndCrashAll,
    #[display("a machine is replaced")]
    ReplaceMachine,
    #[display("a process is stopped")]
    StopGracefully,
    #[display("a machine that was replaced returns")]
    RestoreRemovedMachine,
    #[display("a machine is away for long")]
    LongOutage,
    #[display("disks are lost one after another")]
    LoseDisksInSequence,
    #[display("a minority misses changes, then the others are lost or go dark")]
    LoseDiskBehindPartition,
    #[display("a node is struck in the middle of a step of the protocol")]
    TargetedFault,
}

impl FaultKind {
    /// The kind that a number below 200 stands for, by frequency; none for the last ones.
    fn drawn(number: u32) -> Option<FaultKind> {
        let kind = match number {
            0..24 => FaultKind::Crash,
            24..34 => FaultKind::CrashAll,
            34..46 => FaultKind::Freeze,
            46..66 => FaultKind::PartitionLink,
            66..76 => FaultKind::Partition,
            76..100 => FaultKind::HealNetwork,
            100..112 => FaultKind::StallDisk,
            112..120 => FaultKind::FillDisk,
            120..128 => FaultKind::SlowDisk,
            128..136 => FaultKind::RecoverDisks,
            136..150 => FaultKind::DegradeNetwork,
            150..158 => FaultKind::LoseDisks,
            158..164 => FaultKind::LoseDisksAndCrashAll,
            164..170 => FaultKind::ReplaceMachine,
            170..176 => FaultKind::StopGracefully,
            176..180 => FaultKind::RestoreRemovedMachine,
            180..182 => FaultKind::LongOutage,
            182..184 => FaultKind::LoseDisksInSequence,
            184..186 => FaultKind::LoseDiskBehindPartition,
            186..198 => FaultKind::TargetedFault,
            _ => return None,
        };
        Some(kind)
    }
}

/// A fault of a run, by the step at which it began.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("step {step}: {kind}")]
pub struct FaultStep {
    pub step: usize,
    pub kind: FaultKind,
}

impl Cluster {
    /// Perhaps begins or ends a fault. What is drawn depends on the seed and the step alone, so that a fault that is left
    /// out of a run doesn't change the others.
    pub(crate) fn step_faults(&mut self, step: usize, left_out: &BTreeSet<usize>) {
        self.update_node_health();
        if self.now < FIRST_FAULT_AT_MS {
            return;
        }
        self.fault_random = ChaCha8Rng::seed_from_u64(self.options.seed);
        self.fault_random.set_stream(step as u64 + 1);
        let is_due = self.fault_random.random_ratio(self.fault_percent, 100);
        let drawn = FaultKind::drawn(self.fault_random.random_range(0..200));
        let Some(kind) = drawn.filter(|_| is_due && !left_out.contains(&step)) else { return };
        self.outcome.faults.push(FaultStep { step, kind });
        self.begin_fault(kind);
    }

    fn begin_fault(&mut self, kind: FaultKind) {
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
        }
    }

    pub(crate) fn present(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|number| !self.nodes[*number].removed).collect()
    }

    pub(crate) fn pick_machine(&mut self) -> usize {
        let present = self.present();
        present[self.fault_random.random_range(0..present.len())]
    }

    fn crash_for(&mut self, number: usize, downtime: std::ops::Range<Millis>) {
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
        let sides: Vec<bool> = self.nodes.iter().map(|_| self.fault_random.random_ratio(1, 2)).collect();
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

    /// Nothing passes between these machines and those.
    pub(crate) fn partition_groups(&mut self, some: &[usize], others: &[usize]) {
        for first in some {
            for second in others {
                self.partition_link(*first, *second);
                self.partition_link(*second, *first);
            }
        }
    }

    /// Nothing passes between a machine and all others.
    pub(crate) fn isolate(&mut self, number: usize) {
        let others: Vec<usize> = (0..self.nodes.len()).filter(|other| *other != number).collect();
        self.partition_groups(&[number], &others);
    }

    /// A machine hears nothing, isn't heard, or both; or it is frozen, or its disk stalls; for many seconds, while the
    /// operators go on and reach it.
    fn cause_long_outage(&mut self) {
        let number = if self.fault_random.random_ratio(1, 2) { self.head() } else { None };
        let number = number.unwrap_or_else(|| self.pick_machine());
        let duration = self.fault_random.random_range(LONG_OUTAGE_MS);
        let others: Vec<usize> = (0..self.nodes.len()).filter(|other| *other != number).collect();
        match self.fault_random.random_range(0..5) {
            0 => self.isolate(number),
            1 => others.iter().for_each(|other| self.partition_link(*other, number)),
            2 => others.iter().for_each(|other| self.partition_link(number, *other)),
            3 => self.freeze(number, duration),
            _ => self.stall_disk(number, duration),
        }
        let until = self.now + duration;
        while self.now < until {
            self.step_during_fault(20..200);
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
        let space = if self.fault_random.random_ratio(1, 2) { DiskSpace::VotesOnly } else { DiskSpace::Full };
        self.fill_disk(number, space);
    }

    fn degrade_network(&mut self) {
        self.network.loss = self.fault_random.random_range(0..20);
        self.network.duplicated = self.fault_random.random_range(0..20);
        self.network.delayed = self.fault_random.random_range(0..15);
    }
}
