//! Log lines on standard error: `SECONDS LEVEL ROLE NODE MESSAGE`, with the time since the start.
//!
//! Started once by the program, before its role runs. The first line gives the time of day of the start, so that the
//! lines of several processes can be put in order.

use std::time::{Instant, SystemTime};

use lockusher_config::settings::NodeSettings;
use log::{LevelFilter, Metadata, SetLoggerError};

/// Of other packages than the project's, only lines up to this level are logged.
const LEVEL_OF_LIBRARIES: LevelFilter = LevelFilter::Warn;

/// Targets of the project's log lines start with this.
const PROJECT: &str = "lockusher";

/// Starts logging. To be called once.
///
/// # Errors
///
/// If the process logs already.
pub fn start(level: LevelFilter, role: &str, node: &str) -> Result<(), SetLoggerError> {
    let start = Instant::now();
    let origin = format!("{role} {node}");
    fern::Dispatch::new()
        .level(level)
        .filter(is_logged)
        .format(move |out, message, record| {
            let seconds = start.elapsed().as_secs_f64();
            out.finish(format_args!(
                "{seconds:.3} {} {origin} {message}",
                record.level()
            ));
        })
        .chain(std::io::stderr())
        .apply()
}

fn is_logged(metadata: &Metadata<'_>) -> bool {
    metadata.target().starts_with(PROJECT) || metadata.level() <= LEVEL_OF_LIBRARIES
}

/// The first line of a process: when it was started, and with which settings it looks for the others.
pub fn start_line(settings: &NodeSettings, now: SystemTime) -> String {
    let seeds: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
    format!(
        "started at {}: process {}, release {}, first start {}, seeds {}",
        humantime::format_rfc3339_millis(now),
        std::process::id(),
        env!("CARGO_PKG_VERSION"),
        settings.first_start,
        seeds.join(" ")
    )
}
