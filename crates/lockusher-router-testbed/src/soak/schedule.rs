//! Schedules of soaks, drawn deterministically from a seed.
//!
//! Disturbances are grouped in series: one kind repeated several times at short intervals. A disturbance doesn't wait
//! for earlier ones to end, so that series overlap with each other and with the final outage.

use std::fmt;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::disturbance::Disturbance;
use crate::fleet::{Role, SeedChoice};
use crate::searcher::Fault;

/// Delay of the earliest disturbance after the start of the load, in seconds.
const FIRST_DISTURBANCE_S: f64 = 2.0;
/// The latest disturbance begins this long before the final outage, in seconds.
const LAST_DISTURBANCE_BEFORE_OUTAGE_S: f64 = 0.1;
/// Interval between the disturbances of a series, in seconds.
const SERIES_GAP_S: std::ops::Range<f64> = 0.1..1.5;
/// Number of disturbances in a series.
const SERIES_LENGTH: std::ops::RangeInclusive<usize> = 1..=5;
/// Duration of the final outage, in seconds.
const OUTAGE_DURATION_S: std::ops::Range<f64> = 0.3..4.0;

/// A disturbance and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time since the start of the load.
    pub at: Duration,
    /// What is disturbed.
    pub disturbance: Disturbance,
}

/// How all processes are taken down at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Every process is killed; connection attempts are answered with resets.
    KillAll,
    /// Every machine stops responding; its processes have ended when it restarts.
    PowerLost,
    /// Like [`OutageKind::PowerLost`], with empty disks on as many control nodes as the fleet tolerates losing.
    DisksLost,
}

/// The outage of all processes at the end of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalOutage {
    /// How the processes are taken down.
    pub kind: OutageKind,
    /// Start of the outage, since the start of the load.
    pub at: Duration,
    /// Time until the machines restart.
    pub duration: Duration,
    /// How long after the restart another socket occupies the port on which each agent serves its proxy.
    pub ports_occupied: Option<Duration>,
}

/// The schedule of one soak.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Seed of the schedule and of the load.
    pub seed: u64,
    /// Disturbances, ordered by start.
    pub steps: Vec<Step>,
    /// The outage at the end.
    pub outage: FinalOutage,
}

impl Schedule {
    /// End of the final outage, when the machines restart.
    pub fn restored_at(&self) -> Duration {
        self.outage.at + self.outage.duration
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "seed {}:", self.seed)?;
        for step in &self.steps {
            let at = step.at.as_secs_f64();
            write!(formatter, " {at:.2}s {:?}", step.disturbance)?;
        }
        let FinalOutage {
            kind, at, duration, ..
        } = self.outage;
        let (at, duration) = (at.as_secs_f64(), duration.as_secs_f64());
        write!(formatter, " {at:.2}s {kind:?} for {duration:.2}s")
    }
}

/// Draws the schedule for a seed; its final outage begins `outage_at` after the start of the load.
pub fn draw_schedule(seed: u64, series: usize, outage_at: Duration) -> Schedule {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let outage = FinalOutage {
        kind: draw_outage_kind(&mut rng),
        at: outage_at,
        duration: Duration::from_secs_f64(rng.random_range(OUTAGE_DURATION_S)),
        ports_occupied: None,
    };
    let mut steps = Vec::new();
    for _ in 0..series {
        steps.extend(draw_series(&mut rng, outage_at));
    }
    // The disks lost in series and in the final outage together must not exceed the tolerated losses.
    let mut remaining_disk_losses = usize::from(outage.kind != OutageKind::DisksLost);
    steps.retain(|step| match step.disturbance {
        Disturbance::LoseDisk(_) if remaining_disk_losses == 0 => false,
        Disturbance::LoseDisk(_) => {
            remaining_disk_losses -= 1;
            true
        }
        _ => true,
    });
    steps.sort_by_key(|step| step.at);
    Schedule {
        seed,
        steps,
        outage,
    }
}

fn draw_outage_kind(rng: &mut ChaCha8Rng) -> OutageKind {
    let faults = [
        OutageKind::KillAll,
        OutageKind::PowerLost,
        OutageKind::DisksLost,
    ];
    *faults.choose(rng).unwrap_or(&OutageKind::KillAll)
}

fn draw_series(rng: &mut ChaCha8Rng, outage_at: Duration) -> Vec<Step> {
    let last_s =
        (outage_at.as_secs_f64() - LAST_DISTURBANCE_BEFORE_OUTAGE_S).max(FIRST_DISTURBANCE_S + 0.1);
    // The maximum of two draws prefers late series, which are more likely to overlap with the final outage.
    let begin_s = rng
        .random_range(FIRST_DISTURBANCE_S..last_s)
        .max(rng.random_range(FIRST_DISTURBANCE_S..last_s));
    let gap_s = rng.random_range(SERIES_GAP_S);
    let first = draw_disturbance(rng);
    let length = if is_not_repeated(first) {
        1
    } else {
        rng.random_range(SERIES_LENGTH)
    };
    let at = |number: usize| begin_s + number as f64 * gap_s;
    (0..length)
        .map(|number| Step {
            at: Duration::from_secs_f64(at(number)),
            disturbance: with_target_offset(first, number),
        })
        .filter(|step| step.at.as_secs_f64() < last_s)
        .collect()
}

/// Whether it is not repeated within a series: it takes long, or a second one has no effect.
fn is_not_repeated(disturbance: Disturbance) -> bool {
    use Disturbance::*;
    matches!(
        disturbance,
        Roll(_) | LoseDisk(_) | RetireDecodeSearchers | Burst | SlowLinks | PlatformDown
    )
}

/// The same disturbance with the index of its machine or searcher increased by `offset`.
fn with_target_offset(first: Disturbance, offset: usize) -> Disturbance {
    use Disturbance::*;
    match first {
        Kill(role, number) => Kill(role, number + offset),
        Freeze(role, number) => Freeze(role, number + offset),
        PartitionEdge(number) => PartitionEdge(number + offset),
        PartitionCore(number) => PartitionCore(number + offset),
        CrashSearcher(number) => CrashSearcher(number + offset),
        ReleaseSearcher(number) => ReleaseSearcher(number + offset),
        SlowSearcher(number) => SlowSearcher(number + offset),
        other => other,
    }
}

fn draw_role(rng: &mut ChaCha8Rng) -> Role {
    let roles = [Role::Proxy, Role::Agent, Role::Control];
    *roles.choose(rng).unwrap_or(&Role::Control)
}

fn draw_seed_choice(rng: &mut ChaCha8Rng) -> SeedChoice {
    let choices = [SeedChoice::Cores, SeedChoice::Mixed, SeedChoice::Edges];
    *choices.choose(rng).unwrap_or(&SeedChoice::Cores)
}

fn draw_disturbance(rng: &mut ChaCha8Rng) -> Disturbance {
    const KINDS: u32 = 28;
    let number = rng.random_range(0..64);
    match rng.random_range(0..KINDS) {
        0..=2 => Disturbance::Kill(draw_role(rng), number),
        3..=5 => Disturbance::KillAll(draw_role(rng)),
        6 | 7 => Disturbance::Freeze(draw_role(rng), number),
        8..=10 => Disturbance::Roll(draw_role(rng)),
        11 => Disturbance::HangUpAll,
        12 => Disturbance::LoseDisk(number),
        13 | 14 => Disturbance::ChangeSeeds(draw_seed_choice(rng)),
        15 => Disturbance::PartitionEdge(number),
        16 => Disturbance::PartitionCore(number),
        17 => Disturbance::ChangeConfiguration,
        18 => Disturbance::ConfigurationStorm,
        19 => Disturbance::RacingChanges,
        20 => Disturbance::LostAcknowledgements,
        21 => Disturbance::CrashSearcher(number),
        22 => Disturbance::ReleaseSearcher(number),
        23 => Disturbance::RetireDecodeSearchers,
        24 => Disturbance::FaultyRuns(draw_fault(rng)),
        25 => Disturbance::FaultyPrefills(draw_fault(rng)),
        26 => Disturbance::PlatformDown,
        _ => draw_minor_disturbance(rng, number),
    }
}

/// Draws a disturbance with no lasting effect on machines and searchers.
fn draw_minor_disturbance(rng: &mut ChaCha8Rng, number: usize) -> Disturbance {
    let kinds = [
        Disturbance::InvalidConfiguration,
        Disturbance::SlowSearcher(number),
        Disturbance::SlowLinks,
        Disturbance::LapsingHandles,
        Disturbance::Burst,
    ];
    *kinds.choose(rng).unwrap_or(&Disturbance::Burst)
}

fn draw_fault(rng: &mut ChaCha8Rng) -> Fault {
    let faults = [
        Fault::ResetAfterRequest,
        Fault::ResetBeforeFirstEvent,
        Fault::ResetMidEvent {
            complete_events: rng.random_range(0..3),
        },
        Fault::WrongIdentifier,
        Fault::ExtraBytes,
        Fault::NoResponse,
        Fault::Reject { status: 503 },
        Fault::Reject { status: 429 },
        Fault::Reject { status: 421 },
    ];
    faults[rng.random_range(0..faults.len())]
}
