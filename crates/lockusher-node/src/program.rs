//! Does what the command line asks for.
//!
//! Called by `main`. Exit codes: 0 in order, 1 if a role can't start or fails, 2 for a wrong command line or faulty files.

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

/// Exit code for a wrong command line or faulty files.
const FAULTY: u8 = 2;

/// Why a role could not be run, or has ended otherwise than by a planned stop.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// There are no settings, or faulty ones.
    #[display("{_0}")]
    Settings(SettingsError),
    /// Signals can't be handled, or there is no runtime: the machine is out of descriptors or memory.
    #[display("cannot start: {_0}")]
    System(io::Error),
    /// The process logs already.
    #[display("cannot log: {_0}")]
    Logging(SetLoggerError),
    /// The role failed.
    #[display("{_0}")]
    Role(RoleError),
}

/// Runs the program with its arguments, without the program's name.
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
            ExitCode::from(FAULTY)
        }
    }
}

/// Prints a text. If nobody reads it any more, that is no reason to fail.
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
                return ExitCode::from(FAULTY);
            }
        }
    }
    let mut report = Report {
        good: io::stdout(),
        faults: io::stderr(),
    };
    match check(&files, &mut report) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(FAULTY),
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
            let faulty = matches!(error, StartError::Settings(SettingsError::Faulty { .. }));
            if faulty {
                ExitCode::from(FAULTY)
            } else {
                ExitCode::FAILURE
            }
        }
    }
}

/// Reports an error in the log, or on standard error while there is no log.
fn report_error(role: Role, error: &StartError) {
    if log::log_enabled!(log::Level::Error) {
        log::error!("{error}");
    } else {
        eprintln!("{PROGRAM} {}: {error}", role.name);
    }
}

/// Runs a role until it ends. Signals are handled first: one may come at any time.
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
