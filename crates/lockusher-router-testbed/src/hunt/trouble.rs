//! Troubles, and days drawn from them.

use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{CALM_END, HuntPlan};
use crate::searcher::Fault;

/// Troubles begin this long after the traffic.
const FIRST_TROUBLE: Duration = Duration::from_secs(1);

/// A trouble, or planned work. Numbers name machines and searchers, taken modulo how many there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    KillProxy(usize),
    KillAgent(usize),
    KillControl(usize),
    KillAllControl,
    FreezeProxy(usize),
    FreezeAgent(usize),
    FreezeControl(usize),
    LoseDisk(usize),
    RollProxies,
    ChangeConfiguration,
    ConfigurationStorm,
    RacingChanges,
    InvalidConfiguration,
    LostAcknowledgements,
    CrashSearcher(usize),
    ReleaseSearcher(usize),
    SlowSearcher(usize),
    SlowLinks,
    LapsingHandles,
    FaultyRuns(Fault),
    FaultyPrefills(Fault),
    PlatformDown,
    Burst,
}

impl Trouble {
    /// Whether machines of the fleet are out of touch for a while.
    pub fn disturbs_machines(self) -> bool {
        use Trouble::*;
        matches!(
            self,
            KillProxy(_)
                | KillAgent(_)
                | KillControl(_)
                | KillAllControl
                | FreezeProxy(_)
                | FreezeAgent(_)
                | FreezeControl(_)
                | LoseDisk(_)
        )
    }
}

/// A trouble and when it begins, counted from the start of the traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    pub at: Duration,
    pub trouble: Trouble,
}

/// A day: its seed and its troubles in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Day {
    pub seed: u64,
    pub steps: Vec<Step>,
}

impl fmt::Display for Day {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}:", self.seed)?;
        for step in &self.steps {
            write!(f, " {:.1}s {:?}", step.at.as_secs_f64(), step.trouble)?;
        }
        Ok(())
    }
}

/// Draws the day of a seed: the same seed gives the same day.
pub fn draw_day(plan: &HuntPlan, seed: u64) -> Day {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let last = plan.length.saturating_sub(CALM_END).max(FIRST_TROUBLE * 2);
    let mut steps: Vec<Step> = (0..plan.troubles)
        .map(|_| Step {
            at: Duration::from_secs_f64(
                chance.random_range(FIRST_TROUBLE.as_secs_f64()..last.as_secs_f64()),
            ),
            trouble: draw_allowed(plan, &mut chance),
        })
        .collect();
    steps.sort_by_key(|step| step.at);
    Day { seed, steps }
}

fn draw_allowed(plan: &HuntPlan, chance: &mut ChaCha8Rng) -> Trouble {
    loop {
        let trouble = draw_trouble(chance);
        if plan.disturbs_machines || !trouble.disturbs_machines() {
            return trouble;
        }
    }
}

fn draw_trouble(chance: &mut ChaCha8Rng) -> Trouble {
    const KINDS: u32 = 23;
    let number = chance.random_range(0..16);
    match chance.random_range(0..KINDS) {
        0 => Trouble::KillProxy(number),
        1 => Trouble::KillAgent(number),
        2 => Trouble::KillControl(number),
        3 => Trouble::KillAllControl,
        4 => Trouble::FreezeProxy(number),
        5 => Trouble::FreezeAgent(number),
        6 => Trouble::FreezeControl(number),
        7 => Trouble::LoseDisk(number),
        8 => Trouble::RollProxies,
        9 => Trouble::ChangeConfiguration,
        10 => Trouble::ConfigurationStorm,
        11 => Trouble::RacingChanges,
        12 => Trouble::InvalidConfiguration,
        13 => Trouble::LostAcknowledgements,
        14 => Trouble::CrashSearcher(number),
        15 => Trouble::ReleaseSearcher(number),
        16 => Trouble::SlowSearcher(number),
        17 => Trouble::SlowLinks,
        18 => Trouble::LapsingHandles,
        19 => Trouble::FaultyRuns(draw_fault(chance)),
        20 => Trouble::FaultyPrefills(draw_fault(chance)),
        21 => Trouble::PlatformDown,
        _ => Trouble::Burst,
    }
}

fn draw_fault(chance: &mut ChaCha8Rng) -> Fault {
    let faults = [
        Fault::ResetAfterRequest,
        Fault::ResetBeforeFirstEvent,
        Fault::ResetMidEvent {
            whole_events: chance.random_range(0..3),
        },
        Fault::WrongIdentifier,
        Fault::ExtraBytes,
        Fault::Silence,
        Fault::Reject { status: 503 },
        Fault::Reject { status: 429 },
        Fault::Reject { status: 421 },
    ];
    faults[chance.random_range(0..faults.len())]
}
