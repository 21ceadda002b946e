//! Executes the command line.
//!
//! Called by `main`. Exit codes: 0 for success, 1 if a role can't start or fails, 2 for an invalid command line or
//! invalid files.

use std::io::{self, Write};
use std::process::ExitCode;
use std::time::SystemTime;

use derive_more::{Display, Error, From};
use lockusher_config::settings_file::{self, SettingsError};
use log::{LevelFilter, SetLoggerError};

use crate::check::{Report, check};
use crate::command_line::{self, Command, FilesToCheck, PROGRAM};
use crate::logging;
use crate::role::{Role, RoleContext, RoleError, RoleOptions};
use crate::signals::Signals;

/// Exit code for an invalid command line or invalid files.
const INVALID_INPUT_EXIT_CODE: u8 = 2;

/// Why a role could not be started, or ended other than by a graceful shutdown.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The settings can't be loaded.
    #[display("{_0}")]
    Settings(SettingsError),
    /// The signal handlers or the runtime can't be set up: file descriptors or memory are exhausted.
    #[display("cannot start: {_0}")]
    System(io::Error),
    /// The process already has a logger.
    #[display("cannot log: {_0}")]
    Logging(SetLoggerError),
    /// The role failed.
    #[display("{_0}")]
    Role(RoleError),
}

/// Runs the program; `arguments` don't include the program's name.
pub fn run(roles: &[Role], arguments: Vec<String>) -> ExitCode {
    match command_line::parse(roles, &arguments) {
        Ok(Command::Print(text)) => print(&text),
        Ok(Command::Check(files)) => check_files(files),
        Ok(Command::Run {
            role,
            level,
            options,
        }) => run_role(role, level, options),
        Err(error) => {
            eprintln!("{PROGRAM}: {error}\nTry '{PROGRAM} --help'.");
            ExitCode::from(INVALID_INPUT_EXIT_CODE)
        }
    }
}

/// Prints a text. Errors are ignored: the reader of a pipe may have closed it.
fn print(text: &str) -> ExitCode {
    let _ = io::stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

fn check_files(mut files: FilesToCheck) -> ExitCode {
    if files.is_empty() {
        match settings_file::settings_file() {
            Ok(file) => files.settings.push(file),
            Err(error) => {
                eprintln!("{PROGRAM}: nothing to check: no file is given, and {error}");
                return ExitCode::from(INVALID_INPUT_EXIT_CODE);
            }
        }
    }
    let mut report = Report {
        valid: io::stdout(),
        faults: io::stderr(),
    };
    match check(&files, &mut report) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(INVALID_INPUT_EXIT_CODE),
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_role(role: Role, level: LevelFilter, options: RoleOptions) -> ExitCode {
    match start_role(role, level, options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report_error(role, &error);
            let has_faults = matches!(error, StartError::Settings(SettingsError::Faulty { .. }));
            if has_faults {
                ExitCode::from(INVALID_INPUT_EXIT_CODE)
            } else {
                ExitCode::FAILURE
            }
        }
    }
}

/// Reports an error in the log, or on standard error if logging isn't started.
fn report_error(role: Role, error: &StartError) {
    if log::log_enabled!(log::Level::Error) {
        log::error!("{error}");
    } else {
        eprintln!("{PROGRAM} {}: {error}", role.name);
    }
}

/// Runs a role until it ends. The signal handlers are installed first: a signal may arrive at any time.
fn start_role(role: Role, level: LevelFilter, options: RoleOptions) -> Result<(), StartError> {
    let signals = Signals::install()?;
    let settings_file = settings_file::settings_file()?;
    let settings = settings_file::load(&settings_file)?;
    logging::start(level, role.name, &settings.node)?;
    log::info!("{}", logging::start_line(&settings, SystemTime::now()));
    let runtime = compio::runtime::Runtime::new()?;
    let context = RoleContext {
        settings,
        settings_file,
        signals,
        options,
    };
    runtime.block_on(async move { (role.run)(context).await })?;
    log::info!("stopped");
    Ok(())
}
