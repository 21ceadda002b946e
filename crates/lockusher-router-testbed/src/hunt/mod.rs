//! Hunts: days with troubles drawn by chance, played on a whole deployment, to find broken rules.

mod player;
mod trouble;
mod writer;

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::{Display, Error, From};

pub use trouble::{Day, Trouble, draw_day};

use crate::checker::{Rule, Violation};
use crate::deployment::mix;
use crate::engine::Micros;
use crate::figures::Figures;
use crate::fleet::FleetError;
use crate::load::LoadPlan;
use crate::record::ArrivalOutcome;
use crate::request::{RequestRecord, TryOutcome};
use crate::wait::NeverCame;
use crate::world::{World, WorldError, WorldPlan};
use player::Player;

/// The calm end of every day: troubles begin early enough for their effects to be over by then.
pub(crate) const CALM_END: Duration = Duration::from_secs(8);
/// Of the requests in the last part of the calm end, so many must be served.
const RECOVERED_SHARE: f64 = 0.9;
const RECOVERY_WINDOW: Duration = Duration::from_secs(3);
/// How long the operator asks for the configuration at the end of a day.
const READ_BACK_WAIT: Duration = Duration::from_secs(15);

/// Why a day could not be played.
#[derive(Debug, Display, Error, From)]
pub enum HuntError {
    #[display("{_0}")]
    World(WorldError),
    #[display("{_0}")]
    Fleet(FleetError),
    #[display("{_0}")]
    NeverCame(NeverCame),
    #[display("{_0}")]
    Io(std::io::Error),
}

/// How days are played.
#[derive(Clone, Debug)]
pub struct HuntPlan {
    pub world: WorldPlan,
    pub rate_per_second: f64,
    /// Length of a day's traffic.
    pub length: Duration,
    /// Troubles in a day.
    pub troubles: usize,
    /// Whether machines of the fleet are killed and frozen. Without that, the rules that bind machines in touch
    /// only are checked as well.
    pub disturbs_machines: bool,
}

/// What came of a day.
#[derive(Clone, Debug)]
pub struct DayResult {
    pub day: Day,
    pub figures: Figures,
    pub violations: Vec<Violation>,
    /// What went wrong besides: processes that ended, traffic or a configuration that didn't come back.
    pub faults: Vec<String>,
    /// Where the processes' logs are, if they were kept.
    pub logs: Option<std::path::PathBuf>,
}

impl DayResult {
    /// Whether nothing went wrong.
    pub fn is_good(&self) -> bool {
        self.violations.is_empty() && self.faults.is_empty()
    }
}

/// Plays one day.
pub fn play_day(plan: &HuntPlan, day: &Day) -> Result<DayResult, HuntError> {
    let mut world = World::start(&plan.world)?;
    let load = world.load(&load_plan(plan, &world, day.seed));
    let mut player = Player::new(&mut world, plan.rate_per_second);
    player.play(day, plan.length)?;
    let (extra, written) = player.end();
    let mut records = load.finish();
    records.extend(extra);
    let mut faults = world.fleet.ended_by_themselves();
    faults.extend(written.check_read_back(&world.operator, READ_BACK_WAIT));
    faults.extend(check_recovery(&world, &records));
    let violations = violations(&world, day, &records);
    let is_good = faults.is_empty() && violations.is_empty();
    let logs = (!is_good).then(|| world.fleet.keep_folder());
    Ok(DayResult {
        day: day.clone(),
        figures: Figures::of(&records),
        violations,
        faults,
        logs,
    })
}

fn load_plan(plan: &HuntPlan, world: &World, seed: u64) -> LoadPlan {
    LoadPlan {
        kinds: mix(&world.configuration, plan.rate_per_second),
        length: plan.length,
        workers: (plan.rate_per_second * 3.0) as usize,
        seed,
        reuse_within: Duration::from_millis(world.configuration.limits.idle_timeout_ms * 4 / 5),
    }
}

/// The rules that bind only machines in touch don't count on days that trouble the fleet's own machines.
fn violations(world: &World, day: &Day, records: &[RequestRecord]) -> Vec<Violation> {
    let only_in_touch = [Rule::Drain, Rule::Config, Rule::Lost];
    let disturbed = day
        .steps
        .iter()
        .any(|step| step.trouble.disturbs_machines());
    let mut found = world.check(records).violations;
    found.retain(|violation| !(disturbed && only_in_touch.contains(&violation.rule)));
    found
}

fn check_recovery(world: &World, records: &[RequestRecord]) -> Option<String> {
    let last = records.iter().map(|record| record.due).max()?;
    let from = last.saturating_sub(RECOVERY_WINDOW.as_micros() as u64);
    let total = Figures::of(records.iter().filter(|record| record.due >= from)).total();
    let share = total.served as f64 / total.requests.max(1) as f64;
    let unserved = records
        .iter()
        .filter(|record| record.due >= from && !record.is_served());
    (share < RECOVERED_SHARE).then(|| {
        let (ends, rejected) = (ends_of(unserved), rejections_since(world, from));
        format!(
            "only {share:.2} of the requests at the end were served: {ends}; searchers rejected: {rejected}"
        )
    })
}

/// How many requests searchers rejected from a time on, by searcher and status.
fn rejections_since(world: &World, from: Micros) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for arrival in world
        .ledger()
        .snapshot()
        .iter()
        .filter(|arrival| arrival.at >= from)
    {
        if let ArrivalOutcome::Rejected { status } = arrival.outcome {
            let what = if arrival.prefill_only {
                "prefill"
            } else {
                "run"
            };
            *counts
                .entry(format!("{what} {status} at {}", arrival.instance))
                .or_default() += 1;
        }
    }
    counts
        .iter()
        .map(|(end, count)| format!("{count} x {end}"))
        .collect::<Vec<String>>()
        .join(", ")
}

/// How many requests ended how, by kind and mixer.
fn ends_of<'a>(unserved: impl Iterator<Item = &'a RequestRecord>) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for record in unserved {
        let Some(last) = record.tries.last() else {
            continue;
        };
        let end = match &last.outcome {
            TryOutcome::Whole(seen) => seen.status.to_string(),
            TryOutcome::NoConnection => "no connection".to_owned(),
            TryOutcome::Broken { why, .. } => format!("{why:?}"),
        };
        *counts
            .entry(format!("{} {end} at {}", record.spec.kind, last.front.ip()))
            .or_default() += 1;
    }
    counts
        .iter()
        .map(|(end, count)| format!("{count} x {end}"))
        .collect::<Vec<String>>()
        .join(", ")
}
