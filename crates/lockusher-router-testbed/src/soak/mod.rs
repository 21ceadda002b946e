//! Soak tests: a whole deployment under load with overlapping disturbances, followed by an outage of every process and
//! its recovery.
//!
//! The processes run in real time; clients reuse their connections until the process at the other end has exited. The
//! protocol rules are checked over the whole run; the recovery rule is checked separately, around the final outage.

mod disturbance;
mod executor;
mod recovery;
pub mod restarts;
mod scenario;
mod schedule;
mod writer;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::{Display, Error, From};

pub use disturbance::Disturbance;
pub use executor::Stop;
pub use recovery::{Recovery, RecoveryTimes, Served};
pub use scenario::{SCENARIOS, Scenario, scenario};
pub use schedule::{FinalOutage, OutageKind, Schedule, Step, draw_schedule};

use crate::checker::{Rule, Violation};
use crate::deployment::request_mix;
use crate::engine::Micros;
use crate::figures::Figures;
use crate::fleet::FleetError;
use crate::load::LoadPlan;
use crate::record::ArrivalOutcome;
use crate::request::{RequestRecord, TryOutcome};
use crate::wait::WaitTimeout;
use crate::world::{World, WorldError, WorldPlan};
use executor::Executor;

/// The load continues for this long after the recovery bound has passed.
pub(crate) const POST_RECOVERY_TRAFFIC: Duration = Duration::from_secs(6);
/// Share of the requests in the final window that must be served.
const MIN_SERVED_SHARE: f64 = 0.9;
/// The last part of the load, checked against [`MIN_SERVED_SHARE`].
const FINAL_WINDOW: Duration = Duration::from_secs(3);
/// How long the operator retries reading the configuration at the end.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a soak could not be run.
#[derive(Debug, Display, Error, From)]
pub enum SoakError {
    #[display("{_0}")]
    World(WorldError),
    #[display("{_0}")]
    Fleet(FleetError),
    #[display("{_0}")]
    Wait(WaitTimeout),
    #[display("{_0}")]
    Io(std::io::Error),
}

/// Parameters of a soak.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Size and bounds of the deployment.
    pub world: WorldPlan,
    /// Requests per second, all kinds together.
    pub rate_per_second: f64,
    /// Start of the final outage in a randomly drawn soak.
    pub outage_at: Duration,
    /// Number of disturbance series in a randomly drawn soak.
    pub series: usize,
}

/// The result of a soak.
#[derive(Clone, Debug)]
pub struct SoakResult {
    /// The schedule that was run.
    pub schedule: Schedule,
    /// Counts and latencies by kind of request.
    pub figures: Figures,
    /// Service before and after the final outage.
    pub recovery: Recovery,
    /// Violations of the protocol rules.
    pub violations: Vec<Violation>,
    /// Other failures: service or configuration not restored, unexpected process exits.
    pub failures: Vec<String>,
    /// The directory with the processes' logs, if it was kept.
    pub logs: Option<std::path::PathBuf>,
}

impl SoakResult {
    /// Whether there were neither violations nor failures.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.failures.is_empty()
    }
}

/// Runs one soak.
pub fn run(plan: &SoakPlan, schedule: &Schedule) -> Result<SoakResult, SoakError> {
    let bound = Duration::from_secs(plan.world.bounds.recovery_s);
    let length = schedule.restored_at() + bound + POST_RECOVERY_TRAFFIC;
    let mut world = World::start(&plan.world)?;
    let load = world.load(&load_plan(plan, &world, schedule.seed, length));
    let grace = Duration::from_secs(plan.world.bounds.grace_s);
    let mut executor = Executor::new(&mut world, plan.rate_per_second, grace);
    let outage = executor.run(schedule, length)?;
    let (burst_records, configuration_result, unexpected_exits) = executor.end();
    let records = load.finish();
    let times = RecoveryTimes {
        outage_at: outage.outage_at,
        restored_at: outage.restored_at,
        bound,
    };
    let recovery = Recovery::of(&records, times);
    let mut failures = recovery_failures(&records, times);
    failures.extend(final_service_failure(&world, &records));
    failures.extend(unexpected_exits);
    failures.extend(configuration_result.check_read_back(&world.operator, READ_BACK_TIMEOUT));
    let records: Vec<RequestRecord> = records.into_iter().chain(burst_records).collect();
    let violations = violations(&world, &records);
    let passed = failures.is_empty() && violations.is_empty();
    let logs = (!passed).then(|| world.fleet.keep_directory());
    Ok(SoakResult {
        schedule: schedule.clone(),
        figures: Figures::of(&records),
        recovery,
        violations,
        failures,
        logs,
    })
}

fn load_plan(plan: &SoakPlan, world: &World, seed: u64, length: Duration) -> LoadPlan {
    LoadPlan {
        kinds: request_mix(&world.configuration, plan.rate_per_second),
        length,
        workers: (plan.rate_per_second * 3.0) as usize,
        seed,
        max_idle: Duration::from_millis(world.configuration.limits.idle_timeout_ms * 4 / 5),
    }
}

/// Violations of the protocol rules, except of rules that apply only to connected machines: the final outage
/// disconnects all machines.
fn violations(world: &World, records: &[RequestRecord]) -> Vec<Violation> {
    let require_connectivity = [Rule::Drain, Rule::Config, Rule::Lost];
    let mut violations_found = world.check(records).violations;
    violations_found.retain(|violation| !require_connectivity.contains(&violation.rule));
    violations_found
}

/// Violations of the recovery rule, checked over all requests and for each route.
fn recovery_failures(records: &[RequestRecord], times: RecoveryTimes) -> Vec<String> {
    let routes: BTreeSet<&str> = records
        .iter()
        .map(|record| record.spec.route.as_str())
        .collect();
    let of_route = |route: &str| {
        let of_route = records.iter().filter(|record| record.spec.route == route);
        Recovery::of(&of_route.cloned().collect::<Vec<_>>(), times)
    };
    let all = ("all routes", Recovery::of(records, times));
    let by_route = routes.into_iter().map(|route| (route, of_route(route)));
    [all]
        .into_iter()
        .chain(by_route)
        .filter(|(_, recovery)| recovery.is_violated())
        .map(|(route, recovery)| format!("RECOVER, {route}: {recovery}"))
        .collect()
}

/// A failure if too few of the requests in the final window were served.
fn final_service_failure(world: &World, records: &[RequestRecord]) -> Option<String> {
    let last = records.iter().map(|record| record.due).max()?;
    let from = last.saturating_sub(FINAL_WINDOW.as_micros() as u64);
    let total = Served::of(records, |due| due >= from);
    let share = total.served as f64 / total.requests.max(1) as f64;
    let unserved = records
        .iter()
        .filter(|record| record.due >= from && !record.is_served());
    (share < MIN_SERVED_SHARE).then(|| {
        let (outcomes, rejected) = (count_outcomes(unserved), rejections_since(world, from));
        format!(
            "served share of the final requests is {share:.2}: {outcomes}; rejected by searchers: {rejected}"
        )
    })
}

/// Counts the requests that searchers rejected since `from`, by searcher and status.
fn rejections_since(world: &World, from: Micros) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for arrival in world
        .arrival_log()
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
    format_counts(&counts)
}

/// Counts requests by kind, final outcome and mixer.
fn count_outcomes<'a>(unserved: impl Iterator<Item = &'a RequestRecord>) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for record in unserved {
        let Some(last) = record.tries.last() else {
            continue;
        };
        let outcome = match &last.outcome {
            TryOutcome::Complete(seen) => seen.status.to_string(),
            TryOutcome::NoConnection => "no connection".to_owned(),
            TryOutcome::Failed { cause, .. } => format!("{cause:?}"),
        };
        *counts
            .entry(format!(
                "{} {outcome} at {}",
                record.spec.kind,
                last.front.ip()
            ))
            .or_default() += 1;
    }
    format_counts(&counts)
}

/// Formats counts as a comma-separated list.
fn format_counts(counts: &BTreeMap<String, usize>) -> String {
    let parts: Vec<String> = counts
        .iter()
        .map(|(what, count)| format!("{count} x {what}"))
        .collect();
    parts.join(", ")
}
