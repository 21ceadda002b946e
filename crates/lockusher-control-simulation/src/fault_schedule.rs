//! Faults drawn at random, within what the deployment must bear.

use std::collections::BTreeSet;

use derive_more::Display;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{cluster::World, disk::Room};
use lockusher_control::{Millis, view_change::MAX_VOTERS};

/// Longest time that a killed process is down.
const DOWN: std::ops::Range<Millis> = 50..3000;
/// Return after all were killed.
const QUICK_RETURN: std::ops::Range<Millis> = 20..1000;
const FREEZE: std::ops::Range<Millis> = 100..3000;
const STALL: std::ops::Range<Millis> = 100..4000;
/// Longest sync of a slow disk.
const SLOW_SYNC: std::ops::Range<Millis> = 20..900;
/// The first start is left in peace until all have found each other: before, an empty disk is a lost one.
const FIRST_FAULT: Millis = 1000;
/// A machine is away for so long at most, and comes back with what it knew.
const LONG_ABSENCE: std::ops::Range<Millis> = 5_000..30_000;

/// A fault, or the end of some.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum FaultKind {
    #[display("a process is killed")]
    KillOne,
    #[display("all processes are killed")]
    KillAll,
    #[display("a process freezes")]
    FreezeOne,
    #[display("a link is cut")]
    CutOne,
    #[display("the machines are cut in two")]
    CutInTwo,
    #[display("all links are joined")]
    Heal,
    #[display("a disk stalls")]
    StallDisk,
    #[display("a disk fills up")]
    FillDisk,
    #[display("a disk turns slow")]
    SlowDisk,
    #[display("all disks work as usual")]
    FreeDisks,
    #[display("messages are lost, doubled and held up")]
    DisturbNetwork,
    #[display("disks are lost")]
    WipeSome,
    #[display("disks are lost while all processes are killed")]
    WipeSomeAndKillAll,
    #[display("a machine is replaced")]
    ReplaceOne,
    #[display("a process is stopped")]
    StopOne,
    #[display("a machine that was replaced returns")]
    ReturnOfRemoved,
    #[display("a machine is away for long")]
    LongAbsence,
    #[display("disks are lost one after another")]
    LoseInARow,
    #[display("a minority misses changes, then the others are lost or go dark")]
    LeaveBehind,
    #[display("a node is struck in the middle of a step of the protocol")]
    Ambush,
}

impl FaultKind {
    /// The kind that a number below 200 stands for, by frequency; none for the last ones.
    fn drawn(number: u32) -> Option<FaultKind> {
        let kind = match number {
            0..24 => FaultKind::KillOne,
            24..34 => FaultKind::KillAll,
            34..46 => FaultKind::FreezeOne,
            46..66 => FaultKind::CutOne,
            66..76 => FaultKind::CutInTwo,
            76..100 => FaultKind::Heal,
            100..112 => FaultKind::StallDisk,
            112..120 => FaultKind::FillDisk,
            120..128 => FaultKind::SlowDisk,
            128..136 => FaultKind::FreeDisks,
            136..150 => FaultKind::DisturbNetwork,
            150..158 => FaultKind::WipeSome,
            158..164 => FaultKind::WipeSomeAndKillAll,
            164..170 => FaultKind::ReplaceOne,
            170..176 => FaultKind::StopOne,
            176..180 => FaultKind::ReturnOfRemoved,
            180..182 => FaultKind::LongAbsence,
            182..184 => FaultKind::LoseInARow,
            184..186 => FaultKind::LeaveBehind,
            186..198 => FaultKind::Ambush,
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

impl World {
    /// Perhaps begins or ends a fault. What is drawn depends on the seed and the step alone, so that a fault that is left
    /// out of a run doesn't change the others.
    pub(crate) fn step_faults(&mut self, step: usize, left_out: &BTreeSet<usize>) {
        self.note_trouble();
        if self.now < FIRST_FAULT {
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
            FaultKind::KillOne => self.kill_one(),
            FaultKind::KillAll => self.kill_all(),
            FaultKind::FreezeOne => self.freeze_one(),
            FaultKind::CutOne => self.cut_one(),
            FaultKind::CutInTwo => self.cut_in_two(),
            FaultKind::Heal => self.heal(),
            FaultKind::StallDisk => self.stall_one_disk(),
            FaultKind::FillDisk => self.fill_one_disk(),
            FaultKind::SlowDisk => self.slow_one_disk(),
            FaultKind::FreeDisks => self.free_disks(),
            FaultKind::DisturbNetwork => self.disturb_network(),
            FaultKind::WipeSome => self.wipe_some(false),
            FaultKind::WipeSomeAndKillAll => self.wipe_some(true),
            FaultKind::ReplaceOne => self.replace_one(),
            FaultKind::StopOne => self.stop_one(),
            FaultKind::ReturnOfRemoved => self.return_of_removed(),
            FaultKind::LongAbsence => self.be_away_for_long(),
            FaultKind::LoseInARow => self.lose_in_a_row(),
            FaultKind::LeaveBehind => self.leave_behind(),
            FaultKind::Ambush => self.lay_ambush(),
        }
    }

    pub(crate) fn present(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|number| !self.nodes[*number].removed).collect()
    }

    pub(crate) fn pick(&mut self) -> usize {
        let present = self.present();
        present[self.fault_random.random_range(0..present.len())]
    }

    fn kill_for(&mut self, number: usize, down: std::ops::Range<Millis>) {
        let down = self.fault_random.random_range(down);
        self.kill(number, down);
    }

    fn kill_one(&mut self) {
        let number = self.pick();
        self.kill_for(number, DOWN);
    }

    pub(crate) fn kill_all(&mut self) {
        for number in self.present() {
            self.kill_for(number, QUICK_RETURN);
        }
    }

    /// A machine that was removed and replaced comes back with its disk, and stays.
    fn return_of_removed(&mut self) {
        if self.present().len() >= MAX_VOTERS {
            return;
        }
        let now = self.now;
        if let Some(node) = self.nodes.iter_mut().find(|node| node.removed) {
            node.removed = false;
            node.start_at = Some(now + 1);
        }
    }

    fn stop_one(&mut self) {
        let number = self.pick();
        self.stop(number);
        self.kill_for(number, QUICK_RETURN);
    }

    fn freeze_one(&mut self) {
        let number = self.pick();
        let time = self.fault_random.random_range(FREEZE);
        self.freeze(number, time);
    }

    fn cut_one(&mut self) {
        let (first, second) = (self.pick(), self.pick());
        if first != second {
            self.cut(first, second);
            if self.fault_random.random_ratio(1, 2) {
                self.cut(second, first);
            }
        }
    }

    fn cut_in_two(&mut self) {
        let one_way = self.fault_random.random_ratio(1, 3);
        let sides: Vec<bool> = self.nodes.iter().map(|_| self.fault_random.random_ratio(1, 2)).collect();
        for first in 0..self.nodes.len() {
            for second in 0..self.nodes.len() {
                if sides[first] && !sides[second] {
                    self.cut(first, second);
                    if !one_way {
                        self.cut(second, first);
                    }
                }
            }
        }
    }

    /// Nothing passes between these machines and those.
    pub(crate) fn cut_apart(&mut self, some: &[usize], others: &[usize]) {
        for first in some {
            for second in others {
                self.cut(*first, *second);
                self.cut(*second, *first);
            }
        }
    }

    /// Nothing passes between a machine and all others.
    pub(crate) fn cut_off(&mut self, number: usize) {
        let others: Vec<usize> = (0..self.nodes.len()).filter(|other| *other != number).collect();
        self.cut_apart(&[number], &others);
    }

    /// A machine hears nothing, isn't heard, or both; or it is frozen, or its disk stalls; for many seconds, while the
    /// operators go on and reach it.
    fn be_away_for_long(&mut self) {
        let number = if self.fault_random.random_ratio(1, 2) { self.head() } else { None };
        let number = number.unwrap_or_else(|| self.pick());
        let time = self.fault_random.random_range(LONG_ABSENCE);
        let others: Vec<usize> = (0..self.nodes.len()).filter(|other| *other != number).collect();
        match self.fault_random.random_range(0..5) {
            0 => self.cut_off(number),
            1 => others.iter().for_each(|other| self.cut(*other, number)),
            2 => others.iter().for_each(|other| self.cut(number, *other)),
            3 => self.freeze(number, time),
            _ => self.stall_disk(number, time),
        }
        let until = self.now + time;
        while self.now < until {
            self.step_in_fault(20..200);
        }
        self.heal();
    }

    fn stall_one_disk(&mut self) {
        let number = self.pick();
        let time = self.fault_random.random_range(STALL);
        self.stall_disk(number, time);
    }

    fn slow_one_disk(&mut self) {
        let number = self.pick();
        let slowest_sync = self.fault_random.random_range(SLOW_SYNC);
        self.slow_disk(number, slowest_sync);
    }

    fn fill_one_disk(&mut self) {
        let number = self.pick();
        let room = if self.fault_random.random_ratio(1, 2) { Room::Little } else { Room::None };
        self.fill_disk(number, room);
    }

    fn disturb_network(&mut self) {
        self.network.loss = self.fault_random.random_range(0..20);
        self.network.doubled = self.fault_random.random_range(0..20);
        self.network.held = self.fault_random.random_range(0..15);
    }
}
