//! `lockusher-router-testbed`: starts a whole fleet on the loopback for demos, load runs and soaks, and reports on
//! them.

mod command_line;
mod soak_commands;

use std::path::Path;
use std::process::ExitCode;

use command_line::{CommandError, USAGE, options, plan};
use getopts::Matches;
use lockusher_router_testbed::decisions::{read_trace, table};
use lockusher_router_testbed::demo::{Outcome, run_demo};
use lockusher_router_testbed::report::page;
use lockusher_router_testbed::run_file::{Run, RunFileError};
use soak_commands::{restarts, soak};

/// Exit code if a rule was violated or a process exited unexpectedly.
const EXIT_VIOLATION: u8 = 1;
/// Exit code if nothing could be measured.
const EXIT_NOT_MEASURED: u8 = 2;

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
