//! The command `check`: validates files and prints all of their faults.
//!
//! It uses the parsers of the roles, so that a file that it reports as good is one that they accept.

use std::fmt::Display;
use std::fs;
use std::io::{self, Write};
use std::path::Path;

use lockusher_config::configuration::Configuration;
use lockusher_config::fault::Faults;
use lockusher_config::settings::{AgentControlMode, NodeSettings};

use crate::command_line::FilesToCheck;

/// The outputs of the report: one line per valid file on `valid`, one line per fault on `faults`.
#[derive(Debug)]
pub struct Report<V, F> {
    /// Output for valid files.
    pub valid: V,
    /// Output for faults.
    pub faults: F,
}

/// Validates all files; returns whether all are valid.
///
/// # Errors
///
/// If the report can't be written. A file that can't be read is reported as a fault.
pub fn check<V: Write, F: Write>(
    files: &FilesToCheck,
    report: &mut Report<V, F>,
) -> io::Result<bool> {
    let mut all_valid = true;
    for file in &files.settings {
        all_valid &= report.write_outcome(file, check_settings(file))?;
    }
    for file in &files.configurations {
        all_valid &= report.write_outcome(file, check_configuration(file))?;
    }
    Ok(all_valid)
}

/// Result of the validation of a file.
enum Outcome {
    /// Valid, with a short description of the content.
    Valid(String),
    Unreadable(io::Error),
    Faulty(Faults),
}

fn check_settings(file: &Path) -> Outcome {
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return Outcome::Unreadable(error),
    };
    match NodeSettings::parse(&text) {
        Ok(settings) => Outcome::Valid(describe_settings(&settings)),
        Err(faults) => Outcome::Faulty(faults),
    }
}

/// Describes what the settings imply for the machine.
fn describe_settings(settings: &NodeSettings) -> String {
    let node = &settings.node;
    let control_plane = match settings.agent_control_mode() {
        AgentControlMode::ControlNode => ", the role agent also runs a control node",
        AgentControlMode::Redirect => ", the role agent redirects operators to a control node",
        AgentControlMode::None => "",
    };
    let mut description = format!("settings of node {node}{control_plane}");
    if settings.counts_for_quorum && settings.data_directory.is_none() {
        description.push_str(", counts for the quorum but has no dataDirectory");
    }
    for unreachable in settings.unreachable_tolerance() {
        description.push_str(&format!(", but {unreachable}"));
    }
    description
}

fn check_configuration(file: &Path) -> Outcome {
    let body = match fs::read(file) {
        Ok(body) => body,
        Err(error) => return Outcome::Unreadable(error),
    };
    match Configuration::parse(&body) {
        Ok(configuration) => Outcome::Valid(format!(
            "configuration {} with {} routes and {} services",
            configuration.version,
            configuration.routes.len(),
            configuration.services.len()
        )),
        Err(faults) => Outcome::Faulty(faults),
    }
}

impl<V: Write, F: Write> Report<V, F> {
    /// Writes the outcome of one file; returns whether the file is valid.
    fn write_outcome(&mut self, file: &Path, outcome: Outcome) -> io::Result<bool> {
        match outcome {
            Outcome::Valid(description) => {
                writeln!(self.valid, "{}: good: {description}", file.display())?;
                return Ok(true);
            }
            Outcome::Unreadable(error) => {
                self.write_fault(file, format_args!("cannot be read: {error}"))?;
            }
            Outcome::Faulty(faults) => self.write_faults(file, &faults)?,
        }
        Ok(false)
    }

    fn write_faults(&mut self, file: &Path, faults: &Faults) -> io::Result<()> {
        for fault in faults.iter() {
            self.write_fault(file, fault)?;
        }
        let omitted = faults.count() - faults.iter().count();
        if omitted > 0 {
            self.write_fault(file, format_args!("and {omitted} more faults"))?;
        }
        Ok(())
    }

    fn write_fault(&mut self, file: &Path, fault: impl Display) -> io::Result<()> {
        writeln!(self.faults, "{}: {fault}", file.display())
    }
}
