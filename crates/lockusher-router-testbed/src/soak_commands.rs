//! The commands `soak` and `restarts`: many runs with consecutive seeds, several at a time.

use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use getopts::Matches;
use lockusher_router_testbed::soak::restarts::{
    RestartSchedule, draw_restarts, run as run_restarts,
};
use lockusher_router_testbed::soak::{
    SCENARIOS, Schedule, SoakPlan, draw_schedule, run as run_soak, scenario,
};
use lockusher_router_testbed::world::WorldPlan;

use crate::EXIT_VIOLATION;
use crate::command_line::{CommandError, plan, value};

/// Runs soaks: drawn ones, or the scenarios that the options name.
pub fn soak(matches: &Matches) -> Result<ExitCode, CommandError> {
    const COUNT: &str = "a whole number";
    let demo = plan(matches, true, 20)?;
    let outage_s: u64 = value(matches, "closing", COUNT, 14)?;
    let plan = SoakPlan {
        world: demo.world,
        rate_per_second: demo.rate_per_second,
        outage_at: Duration::from_secs(outage_s),
        series: value(matches, "series", COUNT, 6)?,
    };
    let runs: u64 = value(matches, "runs", COUNT, 10)?;
    let jobs: usize = value(matches, "jobs", COUNT, 2)?;
    let schedules = schedules(matches, &plan, demo.seed, runs)?;
    Ok(run_all(&schedules, jobs, |(name, schedule)| {
        print_soak_run(&plan, name, schedule)
    }))
}

/// Runs restart soaks with consecutive seeds.
pub fn restarts(matches: &Matches) -> Result<ExitCode, CommandError> {
    const COUNT: &str = "a whole number";
    let base = plan(matches, false, 20)?;
    let runs: u64 = value(matches, "runs", COUNT, 10)?;
    let jobs: usize = value(matches, "jobs", COUNT, 2)?;
    let schedules: Vec<RestartSchedule> =
        (base.seed..base.seed + runs).map(draw_restarts).collect();
    Ok(run_all(&schedules, jobs, |schedule| {
        print_restart_run(&base.world, schedule)
    }))
}

/// Runs all items, `jobs` at a time, prints how many haven't passed, and returns the exit code.
fn run_all<T: Sync>(items: &[T], jobs: usize, run: impl Fn(&T) -> bool + Sync) -> ExitCode {
    let next = AtomicUsize::new(0);
    let failed = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                while let Some(item) = items.get(next.fetch_add(1, Ordering::SeqCst)) {
                    failed.fetch_add(usize::from(!run(item)), Ordering::SeqCst);
                }
            });
        }
    });
    let failed = failed.load(Ordering::SeqCst);
    println!("runs={} bad={failed}", items.len());
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_VIOLATION)
    }
}

/// The schedules to run, with their scenario's name, or `drawn` for random ones.
fn schedules(
    matches: &Matches,
    plan: &SoakPlan,
    seed: u64,
    runs: u64,
) -> Result<Vec<(&'static str, Schedule)>, CommandError> {
    let Some(name) = matches.opt_str("scenario") else {
        let random_schedules = (seed..seed + runs)
            .map(|seed| ("drawn", draw_schedule(seed, plan.series, plan.outage_at)));
        return Ok(random_schedules.collect());
    };
    if name == "all" {
        let all = SCENARIOS.iter();
        return Ok(all
            .map(|scenario| (scenario.name, scenario.schedule(seed)))
            .collect());
    }
    match scenario(&name) {
        Some(scenario) => Ok((seed..seed + runs)
            .map(|seed| (scenario.name, scenario.schedule(seed)))
            .collect()),
        None => Err(CommandError::Value {
            option: "scenario",
            value: name,
            expected: "the name of a scenario, or all",
        }),
    }
}

/// Runs one soak and prints its result in one piece, since several run concurrently.
fn print_soak_run(plan: &SoakPlan, name: &str, schedule: &Schedule) -> bool {
    let result = match run_soak(plan, schedule) {
        Ok(result) => result,
        Err(error) => {
            println!("{name} {schedule}\n  not run: {error}");
            return false;
        }
    };
    let total = result.figures.total();
    let mut text = format!(
        "{name} {schedule}\n  requests={} served={}; {}",
        total.requests, total.served, result.recovery
    );
    let violations = result
        .violations
        .iter()
        .map(|violation| format!("\n  violation: {violation}"));
    let failures = result
        .failures
        .iter()
        .map(|failure| format!("\n  failure: {failure}"));
    text.extend(violations.chain(failures));
    if let Some(logs) = &result.logs {
        text.push_str(&format!("\n  logs: {}", logs.display()));
    }
    println!("{text}");
    result.passed()
}

/// Runs one restart soak and prints its result in one piece, since several run concurrently.
fn print_restart_run(base: &WorldPlan, schedule: &RestartSchedule) -> bool {
    let result = match run_restarts(base, schedule) {
        Ok(result) => result,
        Err(error) => {
            println!("{schedule}\n  not run: {error}");
            return false;
        }
    };
    let mut text = format!(
        "{schedule}\n  tries={} served={} to_stopping={} late={} stops={}",
        result.tries, result.served, result.to_stopping, result.late, result.stops
    );
    for violation in &result.violations {
        text.push_str(&format!("\n  violation: {violation}"));
    }
    for failure in &result.failures {
        text.push_str(&format!("\n  failure: {failure}"));
    }
    if let Some(logs) = &result.logs {
        text.push_str(&format!("\n  logs: {}", logs.display()));
    }
    println!("{text}");
    result.passed()
}
