//! Soak tests of planned work: processes are stopped by SIGTERM and restarted, settings are reloaded and the
//! configuration changes, in series that overlap, while clients go on using their open connections until the process at
//! the other end has exited.
//!
//! Nothing fails unplanned in these runs, so that every request that a process has read must be answered. Unlike in the
//! other soaks the rule LOST is checked, with the exceptions that the rules page makes ([`lost`]).

mod clients;
pub mod lost;
mod operators;
mod schedule;

use std::collections::BTreeMap;
use std::time::Duration;

pub use schedule::{RestartSchedule, draw_restarts};

use super::executor::Executor;
use super::{SoakError, Stop};
use crate::checker::{Rule, Violation};
use crate::fleet::Role;
use crate::record::ArrivalLog;
use crate::request::{RequestRecord, TryRecord};
use crate::world::{World, WorldPlan};
use clients::Clients;
use lost::{LostBounds, SettledRequest};
use operators::Operators;

/// Length of the load.
const LENGTH: Duration = Duration::from_secs(22);
/// How long the operator retries reading the configuration at the end.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(15);
/// A request that is sent later than this after SIGTERM counts as late.
const LATE_AFTER: Duration = Duration::from_secs(3);

/// The result of one run.
#[derive(Clone, Debug)]
pub struct RestartResult {
    /// The schedule that was run.
    pub schedule: RestartSchedule,
    /// Number of tries.
    pub tries: usize,
    /// Number of tries with a complete 2xx response.
    pub served: usize,
    /// Number of tries that were sent to a proxy after its SIGTERM.
    pub to_stopping: usize,
    /// Number of these that were sent later than 3 s after it.
    pub late: usize,
    /// Number of processes that were stopped.
    pub stops: usize,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
    /// Other failures: requests of operators that were lost, configurations, unexpected exits.
    pub failures: Vec<String>,
    /// The directory with the processes' logs, if it was kept.
    pub logs: Option<std::path::PathBuf>,
}

impl RestartResult {
    /// Whether there were neither violations nor failures.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.failures.is_empty()
    }
}

/// Runs one soak; `base` has what the schedule doesn't determine.
pub fn run(base: &WorldPlan, schedule: &RestartSchedule) -> Result<RestartResult, SoakError> {
    let plan = schedule.world(base);
    let mut world = World::start(&plan)?;
    let grace = Duration::from_secs(plan.bounds.grace_s);
    let clients = Clients::start(&world, schedule);
    let operators = Operators::start(&world);
    let mut executor = Executor::new(&mut world, 0.0, grace);
    executor.run_steps(&schedule.steps, LENGTH)?;
    let stops = executor.stops();
    let (_, configuration_result, mut failures) = executor.end();
    let tries = clients.finish();
    failures.extend(operators.finish());
    failures.extend(configuration_result.check_read_back(&world.operator, READ_BACK_TIMEOUT));
    let mut violations = other_violations(&world, &tries);
    let bounds = LostBounds::new(&plan.bounds);
    violations.extend(lost_violations(&world, &tries, &stops, bounds));
    let passed = failures.is_empty() && violations.is_empty();
    let sent_after = |delay: Duration| {
        let is_later = |record: &&TryRecord| {
            time_since_stop(&world, record, &stops, bounds).is_some_and(|since| since > delay)
        };
        tries.iter().filter(is_later).count()
    };
    Ok(RestartResult {
        schedule: schedule.clone(),
        tries: tries.len(),
        served: tries.iter().filter(|record| record.is_success()).count(),
        to_stopping: sent_after(Duration::ZERO),
        late: sent_after(LATE_AFTER),
        stops: stops.len(),
        violations,
        failures,
        logs: (!passed).then(|| world.fleet.keep_directory()),
    })
}

/// Violations of the rules that hold whatever is being restarted, except LOST.
fn other_violations(world: &World, tries: &[TryRecord]) -> Vec<Violation> {
    let records: Vec<RequestRecord> = tries
        .iter()
        .map(|record| RequestRecord {
            spec: record.spec.clone(),
            due: record.sent,
            ended: record.ended,
            tries: vec![record.clone()],
        })
        .collect();
    let mut violations = world.check(&records).violations;
    let checked_elsewhere = [Rule::Drain, Rule::Config, Rule::Lost];
    violations.retain(|violation| !checked_elsewhere.contains(&violation.rule));
    violations
}

fn lost_violations(
    world: &World,
    tries: &[TryRecord],
    stops: &[Stop],
    bounds: LostBounds,
) -> Vec<Violation> {
    let arrivals = arrivals_by_request(world.arrival_log());
    let none = Vec::new();
    let violation = |record: &TryRecord| {
        let request = SettledRequest {
            record,
            arrivals: arrivals.get(&record.request_id).unwrap_or(&none),
            stops: &stops_of(world, record, stops),
        };
        let detail = lost::check(&request, bounds)?;
        Some(Violation {
            rule: Rule::Lost,
            request_id: record.request_id.clone(),
            detail,
        })
    };
    tries.iter().filter_map(violation).collect()
}

fn arrivals_by_request(log: &ArrivalLog) -> BTreeMap<String, Vec<crate::record::Arrival>> {
    let mut by_request: BTreeMap<String, Vec<crate::record::Arrival>> = BTreeMap::new();
    for arrival in log.snapshot() {
        by_request
            .entry(arrival.request_id.clone())
            .or_default()
            .push(arrival);
    }
    by_request
}

/// The times at which the proxy of a try was sent SIGTERM.
fn stops_of(world: &World, record: &TryRecord, stops: &[Stop]) -> Vec<crate::engine::Micros> {
    let fronts = world.fleet.mixers();
    let is_its_proxy = |stop: &&Stop| {
        stop.process.role == Role::Proxy && fronts[stop.process.machine].front == record.front
    };
    stops
        .iter()
        .filter(is_its_proxy)
        .map(|stop| stop.at)
        .collect()
}

/// How long after the SIGTERM of its proxy a try was sent; `None` if the proxy wasn't stopping.
fn time_since_stop(
    world: &World,
    record: &TryRecord,
    stops: &[Stop],
    bounds: LostBounds,
) -> Option<Duration> {
    let written = record.written?;
    let since = |at| Duration::from_micros(written - at);
    stops_of(world, record, stops)
        .into_iter()
        .filter(|at| *at < written)
        .map(since)
        .find(|since| *since < bounds.grace)
}
