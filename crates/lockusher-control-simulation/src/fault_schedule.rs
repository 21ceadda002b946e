//! Schedule of faults: drawn from the seed alone, independently of the state of the cluster.

use derive_more::Display;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Share of steps that begin or end a fault, in percent; each run draws one of these.
const FAULT_PERCENTS: [u32; 4] = [1, 3, 6, 12];
/// Exclusive upper bound of the number that selects a fault, see [`FaultKind::from_draw`].
const FAULT_DRAWS: u32 = 218;

/// Draws the faults of a run.
#[derive(Clone, Copy, Debug)]
pub struct FaultSchedule {
    /// Seed of the run.
    seed: u64,
    /// Share of steps that begin or end a fault, in percent.
    fault_percent: u32,
}

/// The draw of one step.
#[derive(Debug)]
pub struct DrawnFault {
    /// The fault that begins or ends; `None` if the step has none.
    pub kind: Option<FaultKind>,
    /// Generator of all further draws for the fault.
    pub random: ChaCha8Rng,
}

impl FaultSchedule {
    /// Creates the schedule of the run with this seed. The share of faults is drawn from the run's generator.
    pub fn new(seed: u64, random: &mut ChaCha8Rng) -> Self {
        let fault_percent = FAULT_PERCENTS[random.random_range(0..FAULT_PERCENTS.len())];
        Self {
            seed,
            fault_percent,
        }
    }

    /// Draws the fault of a step. It depends only on the seed and the step, so that omitting a fault doesn't change the
    /// others.
    pub fn draw(&self, step: usize) -> DrawnFault {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(step as u64 + 1);
        let is_due = random.random_ratio(self.fault_percent, 100);
        let kind = FaultKind::from_draw(random.random_range(0..FAULT_DRAWS));
        DrawnFault {
            kind: kind.filter(|_| is_due),
            random,
        }
    }
}

/// A fault, or the end of a kind of faults.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum FaultKind {
    /// One process is killed and restarts.
    #[display("a process is killed")]
    Crash,
    /// All processes are killed at the same time and restart soon.
    #[display("all processes are killed")]
    CrashAll,
    /// One process takes no events for a while.
    #[display("a process freezes")]
    Freeze,
    /// One link is partitioned in one direction or both.
    #[display("a link is partitioned")]
    PartitionLink,
    /// The machines are partitioned into two groups, in one direction or both.
    #[display("the machines are partitioned into two groups")]
    Partition,
    /// All partitions and all degradation of the network end.
    #[display("the network heals")]
    HealNetwork,
    /// One disk syncs nothing for a while.
    #[display("a disk stalls")]
    StallDisk,
    /// One disk refuses writes.
    #[display("a disk fills up")]
    FillDisk,
    /// One disk syncs slowly.
    #[display("a disk becomes slow")]
    SlowDisk,
    /// All disks recover from stalls, slow syncs and lack of space.
    #[display("all disks recover")]
    RecoverDisks,
    /// Messages are lost, duplicated and delayed.
    #[display("messages are lost, duplicated and delayed")]
    DegradeNetwork,
    /// Some machines lose their disks.
    #[display("disks are lost")]
    LoseDisks,
    /// Some machines lose their disks while all processes are killed.
    #[display("disks are lost while all processes are killed")]
    LoseDisksAndCrashAll,
    /// One machine is replaced by another one at a new address.
    #[display("a machine is replaced")]
    ReplaceMachine,
    /// One process shuts down gracefully and restarts.
    #[display("a process shuts down gracefully")]
    StopGracefully,
    /// A machine that was removed returns with its disk.
    #[display("a removed machine returns with its disk")]
    RestoreRemovedMachine,
    /// One machine is isolated, frozen or stalled for many seconds.
    #[display("a machine has a long outage")]
    LongOutage,
    /// Disks are lost one after another, each as soon as another loss is tolerable.
    #[display("disks are lost one after another")]
    LoseDisksInSequence,
    /// A minority misses changes; then one of the others loses its disk and the rest are killed.
    #[display(
        "a minority misses changes, then one of the others loses its disk and the rest are killed"
    )]
    LoseDiskBehindPartition,
    /// A targeted fault is armed.
    #[display("a fault is armed for a protocol step")]
    TargetedFault,
    /// An entry of a head that seems unreachable arrives at a member that has just sealed the epoch.
    #[display("an entry arrives after a seal")]
    EntryAfterSeal,
    /// A process is restarted while a request that it forwarded is pending at the head.
    #[display("a process is restarted while its forwarded request is pending")]
    RestartForwarder,
    /// All machines of a zone lose their disks. No effect in a run without zones.
    #[display("a zone is lost")]
    LoseZone,
}

impl FaultKind {
    /// Maps a number below [`FAULT_DRAWS`] to a kind; the width of a range is its weight. A few numbers map to no fault.
    fn from_draw(number: u32) -> Option<FaultKind> {
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
            200..206 => FaultKind::EntryAfterSeal,
            206..212 => FaultKind::RestartForwarder,
            212..218 => FaultKind::LoseZone,
            _ => return None,
        };
        Some(kind)
    }
}

/// A fault of a run, with the step at which it began or ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("step {step}: {kind}")]
pub struct FaultStep {
    /// Number of the step, from 0.
    pub step: usize,
    /// The fault that began or ended.
    pub kind: FaultKind,
}
