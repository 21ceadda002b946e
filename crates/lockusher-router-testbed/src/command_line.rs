//! The command line: options, their values, and why a command fails without a measurement.

use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error, From};
use getopts::{Matches, Options};
use lockusher_router_testbed::decisions::TraceError;
use lockusher_router_testbed::demo::{DemoError, DemoPlan};
use lockusher_router_testbed::report::PlotError;
use lockusher_router_testbed::run_file::RunFileError;
use lockusher_router_testbed::world::WorldPlan;

/// Why a command failed without a measurement.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
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

/// The head of the help.
pub const USAGE: &str = "\
Usage: lockusher-router-testbed (demo|load|soak|restarts) [options]\n       lockusher-router-testbed report [--page FILE] RUN...\n       lockusher-router-testbed decisions LOG...

  demo       run a fleet on the loopback under load with a fixed series of disturbances
  load       the same without disturbances, to measure a load at a given rate
  soak       run series of overlapping disturbances, then an outage of every process; keeps the logs of failed runs
  restarts   run series of planned restarts, signals and configuration changes under clients that keep their
             connections; the seed also determines the size of the fleet; keeps the logs of failed runs
  decisions  print a table of where sends wait, from proxy logs at level debug
  report     write a page that compares the figures and plots of saved runs

Exit code: 0 no rule violated, 1 a rule was violated or a process exited unexpectedly, 2 nothing was measured.";

/// All options of all commands.
pub fn options() -> Options {
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

/// The world, load and length that the options give.
pub fn plan(matches: &Matches, disturbances: bool, seconds: u64) -> Result<DemoPlan, CommandError> {
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

/// The value of an option, or its default.
pub fn value<T: FromStr>(
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
