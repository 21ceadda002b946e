//! Log lines on standard error: `SECONDS LEVEL ROLE NODE MESSAGE`, where SECONDS is the time since the start.
//!
//! Started once by the program, before its role runs. The first line has the time of day of the start, so that the
//! lines of several processes can be ordered.

use std::time::{Instant, SystemTime};

use lockusher_config::settings::NodeSettings;
use log::{LevelFilter, Metadata, SetLoggerError};

/// Maximum level of log lines from other projects' packages.
const DEPENDENCY_LEVEL: LevelFilter = LevelFilter::Warn;

/// Prefix of the targets of the project's log lines.
const PROJECT_TARGET_PREFIX: &str = "lockusher";

/// Installs the logger. To be called once.
///
/// # Errors
///
/// If the process already has a logger.
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
    metadata.target().starts_with(PROJECT_TARGET_PREFIX) || metadata.level() <= DEPENDENCY_LEVEL
}

/// The first log line of a process: time of the start, process identifier, release, and the settings of discovery.
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
