//! `lockusher-router-testbed`: starts a whole fleet on the loopback for demos, load runs and soaks, and reports on
//! them.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use derive_more::{Display, Error, From};
use getopts::{Matches, Options};
use lockusher_router_testbed::decisions::{TraceError, read_trace, table};
use lockusher_router_testbed::demo::{DemoError, DemoPlan, Outcome, run_demo};
use lockusher_router_testbed::report::{PlotError, page};
use lockusher_router_testbed::run_file::{Run, RunFileError};
use lockusher_router_testbed::soak::restarts::{
    RestartSchedule, draw_restarts, run as run_restarts,
};
use lockusher_router_testbed::soak::{
    SCENARIOS, Schedule, SoakPlan, draw_schedule, run as run_soak, scenario,
};
use lockusher_router_testbed::world::WorldPlan;

/// Exit code if a rule was violated or a process exited unexpectedly.
const EXIT_VIOLATION: u8 = 1;
/// Exit code if nothing could be measured.
const EXIT_NOT_MEASURED: u8 = 2;

/// Why a command failed without a measurement.
#[derive(Debug, Display, Error, From)]
enum CommandError {
    #[display("{_0}")]
    Options(getopts::Fail),
    #[display("--{option}: {value:?} is not {expected}")]
    #[from(ignore)]
    Value {
        option: &'static str,
        value: String,
        expected: &'static str,
    },
    #[display("unknown command {_0:?}: expected demo, load, soak, restarts, report or decisions")]
    #[from(ignore)]
    UnknownCommand(#[error(not(source))] String),
    #[display("{_0}")]
    Demo(DemoError),
    #[display("{_0}")]
    RunFile(RunFileError),
    #[display("{_0}")]
    Plot(PlotError),
    #[display("{path}: {source}")]
    #[from(ignore)]
    Log {
        path: String,
        source: std::io::Error,
    },
    #[display("{path}: {source}")]
    #[from(ignore)]
    Trace { path: String, source: TraceError },
    #[display("decisions: expected one or more proxy logs")]
    NoLogs,
    #[display("report: expected one or more run files")]
    NoRuns,
    #[display("{path}: {source}")]
    #[from(ignore)]
    Page {
        path: String,
        source: std::io::Error,
    },
}

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("lockusher-router-testbed: {error}");
            ExitCode::from(EXIT_NOT_MEASURED)
        }
    }
}

fn run() -> Result<ExitCode, CommandError> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1))?;
    let command = matches.free.first().map(String::as_str);
    if matches.opt_present("help") || command.is_none() {
        println!("{}", options.usage(USAGE));
        return Ok(ExitCode::SUCCESS);
    }
    let outcome = match command {
        Some("demo") => run_demo(&plan(&matches, true, 30)?)?,
        Some("load") => run_demo(&plan(&matches, false, 20)?)?,
        Some("soak") => return soak(&matches),
        Some("restarts") => return restarts(&matches),
        Some("report") => return report(&matches),
        Some("decisions") => return decisions(&matches),
        other => {
            return Err(CommandError::UnknownCommand(
                other.unwrap_or_default().to_owned(),
            ));
        }
    };
    if let Some(path) = matches.opt_str("save") {
        let title = matches.opt_str("title").unwrap_or_else(|| "run".to_owned());
        Run::from_records(&title, &outcome.records).write(Path::new(&path))?;
    }
    Ok(summary(&outcome))
}

const USAGE: &str = "\
Usage: lockusher-router-testbed (demo|load|soak|restarts) [options]\n       lockusher-router-testbed report [--page FILE] RUN...\n       lockusher-router-testbed decisions LOG...

  demo       run a fleet on the loopback under load with a fixed series of disturbances
  load       the same without disturbances, to measure a load at a given rate
  soak       run series of overlapping disturbances, then an outage of every process; keeps the logs of failed runs
  restarts   run series of planned restarts, signals and configuration changes under clients that keep their
             connections; the seed also determines the size of the fleet; keeps the logs of failed runs
  decisions  print a table of where sends wait, from proxy logs at level debug
  report     write a page that compares the figures and plots of saved runs

Exit code: 0 no rule violated, 1 a rule was violated or a process exited unexpectedly, 2 nothing was measured.";

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "show this help");
    options.optopt(
        "",
        "edges",
        "edge machines, each with a proxy and an agent (2)",
        "N",
    );
    options.optopt(
        "",
        "cores",
        "core machines, each with a control node (3)",
        "N",
    );
    options.optopt(
        "",
        "prefill",
        "searchers that start in the prefill stage (2)",
        "N",
    );
    options.optopt(
        "",
        "decode",
        "searchers that start in the decode stage (3)",
        "N",
    );
    options.optopt("", "plain", "searchers of the plain service (2)", "N");
    options.optopt(
        "",
        "rate",
        "requests per second, all kinds together (30)",
        "R",
    );
    options.optopt(
        "",
        "seconds",
        "length of the load in seconds (30 for demo, 20 for load)",
        "S",
    );
    options.optopt(
        "",
        "seed",
        "seed of the load, or of the first soak run (1)",
        "N",
    );
    options.optopt(
        "",
        "save",
        "save the measurements of a demo or load to this file",
        "FILE",
    );
    options.optopt("", "title", "title of the saved run (run)", "TEXT");
    options.optopt("", "page", "output file of report (report.html)", "FILE");
    options.optopt(
        "",
        "runs",
        "number of soak or restart runs, with consecutive seeds from --seed on (10)",
        "N",
    );
    options.optopt(
        "",
        "series",
        "series of disturbances in a soak run (6)",
        "N",
    );
    options.optopt(
        "",
        "closing",
        "start of the final outage in a soak run, in seconds (14)",
        "S",
    );
    options.optopt(
        "",
        "scenario",
        "run this fixed soak, or all of them in turn, instead of random ones",
        "NAME|all",
    );
    options.optopt("", "jobs", "number of concurrent soak runs (2)", "N");
    options.optopt(
        "",
        "program",
        "the lockusher-node program to run (built from this workspace)",
        "FILE",
    );
    options
}

/// Prints one table for all logs.
fn decisions(matches: &Matches) -> Result<ExitCode, CommandError> {
    let mut sends = Vec::new();
    let paths = &matches.free[1..];
    if paths.is_empty() {
        return Err(CommandError::NoLogs);
    }
    for path in paths {
        let log = std::fs::read(path).map_err(|source| CommandError::Log {
            path: path.clone(),
            source,
        })?;
        let log_sends =
            read_trace(&String::from_utf8_lossy(&log)).map_err(|source| CommandError::Trace {
                path: path.clone(),
                source,
            })?;
        sends.extend(log_sends);
    }
    print!("{}", table(&sends));
    Ok(ExitCode::SUCCESS)
}

fn plan(matches: &Matches, disturbances: bool, seconds: u64) -> Result<DemoPlan, CommandError> {
    const COUNT: &str = "a whole number";
    let world = WorldPlan {
        edges: value(matches, "edges", COUNT, 2)?,
        cores: value(matches, "cores", COUNT, 3)?,
        prefill_searchers: value(matches, "prefill", COUNT, 2)?,
        decode_searchers: value(matches, "decode", COUNT, 3)?,
        plain_searchers: value(matches, "plain", COUNT, 2)?,
        program: matches.opt_str("program").map(PathBuf::from),
        ..WorldPlan::default()
    };
    Ok(DemoPlan {
        world,
        rate_per_second: value(matches, "rate", "a number", 30.0)?,
        seed: value(matches, "seed", COUNT, 1)?,
        disturbances,
        length: Duration::from_secs(value(matches, "seconds", COUNT, seconds)?),
    })
}

fn report(matches: &Matches) -> Result<ExitCode, CommandError> {
    let files = &matches.free[1..];
    if files.is_empty() {
        return Err(CommandError::NoRuns);
    }
    let runs = files
        .iter()
        .map(|file| Run::read(Path::new(file)))
        .collect::<Result<Vec<Run>, RunFileError>>()?;
    let path = matches
        .opt_str("page")
        .unwrap_or_else(|| "report.html".to_owned());
    std::fs::write(&path, page(&runs)?).map_err(|source| CommandError::Page {
        path: path.clone(),
        source,
    })?;
    println!("{path}: {} runs", runs.len());
    Ok(ExitCode::SUCCESS)
}

fn soak(matches: &Matches) -> Result<ExitCode, CommandError> {
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
fn restarts(matches: &Matches) -> Result<ExitCode, CommandError> {
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

fn value<T: FromStr>(
    matches: &Matches,
    option: &'static str,
    expected: &'static str,
    default: T,
) -> Result<T, CommandError> {
    match matches.opt_str(option) {
        None => Ok(default),
        Some(value) => value.parse().map_err(|_| CommandError::Value {
            option,
            value,
            expected,
        }),
    }
}

fn summary(outcome: &Outcome) -> ExitCode {
    println!("\n{}", outcome.figures);
    for violation in &outcome.verdict.violations {
        println!("violation: {violation}");
    }
    for process in &outcome.unexpected_exits {
        println!("unexpected exit: {process}");
    }
    let total = outcome.figures.total();
    println!(
        "requests={} served={} refused={} failed={} broken_rules={} processes_ended={}",
        total.requests,
        total.served,
        total.refused,
        total.failed(),
        outcome.verdict.violations.len(),
        outcome.unexpected_exits.len()
    );
    if outcome.passed() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_VIOLATION)
    }
}
