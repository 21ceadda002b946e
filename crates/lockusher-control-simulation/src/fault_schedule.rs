//! Which fault a step of a run begins or ends: drawn from the seed, without a look at the cluster.

use derive_more::Display;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How often steps are faults, in percent; each run draws one.
const FAULT_PERCENTS: [u32; 4] = [1, 3, 6, 12];
/// Faults are drawn by a number below this one, see [`FaultKind::from_draw`].
const FAULT_DRAWS: u32 = 218;

/// Draws the faults of a run.
#[derive(Clone, Copy, Debug)]
pub struct FaultSchedule {
    seed: u64,
    /// How often a step is a fault or its end.
    fault_percent: u32,
}

/// What is drawn for one step.
#[derive(Debug)]
pub struct DrawnFault {
    /// The fault that begins or ends; none if the step is without.
    pub kind: Option<FaultKind>,
    /// Draws everything else about the fault.
    pub random: ChaCha8Rng,
}

impl FaultSchedule {
    /// The schedule of the run with this seed; its frequency of faults is drawn from the run's own generator.
    pub fn new(seed: u64, random: &mut ChaCha8Rng) -> Self {
        let fault_percent = FAULT_PERCENTS[random.random_range(0..FAULT_PERCENTS.len())];
        Self {
            seed,
            fault_percent,
        }
    }

    /// The fault of a step. It depends on the seed and the step alone, so that a fault that is left out of a run doesn't
    /// change the others.
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

/// A fault, or the end of some.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum FaultKind {
    /// One process is killed and starts again.
    #[display("a process is killed")]
    Crash,
    /// All processes are killed at once and start again soon.
    #[display("all processes are killed")]
    CrashAll,
    /// One process doesn't run for a while.
    #[display("a process freezes")]
    Freeze,
    /// One link is partitioned, one way or both.
    #[display("a link is cut")]
    PartitionLink,
    /// The machines are partitioned in two groups, one way or both.
    #[display("the machines are cut in two")]
    Partition,
    /// All partitions and all degradation of the network end.
    #[display("all links are joined")]
    HealNetwork,
    /// One disk syncs nothing for a while.
    #[display("a disk stalls")]
    StallDisk,
    /// One disk refuses writes.
    #[display("a disk fills up")]
    FillDisk,
    /// One disk syncs slowly.
    #[display("a disk turns slow")]
    SlowDisk,
    /// All disks work as usual.
    #[display("all disks work as usual")]
    RecoverDisks,
    /// Messages are lost, duplicated and delayed.
    #[display("messages are lost, doubled and held up")]
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
    /// One process is stopped as planned and starts again.
    #[display("a process is stopped")]
    StopGracefully,
    /// A machine that was removed returns with its disk.
    #[display("a machine that was replaced returns")]
    RestoreRemovedMachine,
    /// One machine is isolated, frozen or stalled for many seconds.
    #[display("a machine is away for long")]
    LongOutage,
    /// Disks are lost one after another, each as soon as the loss before is over.
    #[display("disks are lost one after another")]
    LoseDisksInSequence,
    /// A minority misses changes; then one of the others loses its disk and the rest are killed.
    #[display("a minority misses changes, then the others are lost or go dark")]
    LoseDiskBehindPartition,
    /// A targeted fault is armed.
    #[display("a node is struck in the middle of a step of the protocol")]
    TargetedFault,
    /// An entry of a head that seems unreachable arrives at a member right after that has sealed the epoch.
    #[display("an entry crosses a seal")]
    EntryAfterSeal,
    /// A process is restarted while a request that it forwarded waits at the head.
    #[display("a process is restarted while its request waits")]
    RestartForwarder,
    /// A zone is lost with all its machines. Nothing in a run without zones.
    #[display("a zone is lost")]
    LoseZone,
}

impl FaultKind {
    /// The kind that a number below [`FAULT_DRAWS`] stands for, by frequency; none for some.
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

/// A fault of a run, by the step at which it began.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("step {step}: {kind}")]
pub struct FaultStep {
    /// Number of the step, from 0 on.
    pub step: usize,
    /// What began or ended.
    pub kind: FaultKind,
}
