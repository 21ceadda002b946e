//! The command line and its commands.

mod check;
mod dump;
mod serve;
mod signals;

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};

use crate::config::{self, Config};
use crate::{logging, operator};

/// Splits multigets into parts and serves them from the searchers that hold their shards. The environment variable
/// LB_CONFIG names the platform's configuration file.
#[derive(Parser)]
#[command(name = "lockusher", version, about)]
struct CommandLine {
    /// The operator's settings file, in protobuf text format.
    #[arg(long, global = true, value_name = "FILE")]
    settings: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve multigets (the default).
    Serve,
    /// Validate settings files, and configuration files (named .json). Exits with 2 if any is invalid.
    Check {
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Inspect the registry that the settings name.
    Registry {
        #[command(subcommand)]
        what: Registry,
    },
}

#[derive(Subcommand)]
enum Registry {
    /// Print the hosts in the registry as a mixer sees them, in the format of discovery.
    Dump {
        /// Timeout in milliseconds.
        #[arg(long, default_value_t = 10_000, value_name = "MS")]
        within_ms: u64,
    },
}

/// Reads the configuration that the environment names.
fn configuration() -> anyhow::Result<Config> {
    config::load(|name| std::env::var(name).ok())
}

/// Runs the program; the first argument is the name of the program.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let CommandLine { settings, command } = match CommandLine::try_parse_from(args) {
        Ok(command_line) => command_line,
        Err(error) => {
            // Help and version are reported as errors as well, with exit code 0.
            let _ = error.print();
            return ExitCode::from(error.exit_code() as u8);
        }
    };
    if let Some(Command::Check { files }) = command {
        return check::check(&files);
    }
    let operator = match operator::load(settings.as_deref()) {
        Ok(operator) => operator,
        Err(error) => {
            logging::init(&operator::OperatorSettings::default());
            tracing::error!("{error:#}");
            return ExitCode::FAILURE;
        }
    };
    logging::init(&operator);
    let system = actix_rt::System::new();
    let result = match command {
        Some(Command::Registry {
            what: Registry::Dump { within_ms },
        }) => system.block_on(dump::dump(operator, Duration::from_millis(within_ms))),
        _ => system.block_on(serve::serve(settings, operator)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
