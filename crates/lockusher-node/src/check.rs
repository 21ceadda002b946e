//! `check`: reads files as the roles would, and prints all of their faults.
//!
//! Called by the program for the command of this name. It parses with the parsers of the roles, so that what it calls good
//! is what they accept.

use std::fmt::Display;
use std::fs;
use std::io::{self, Write};
use std::path::Path;

use lockusher_config::configuration::Configuration;
use lockusher_config::fault::Faults;
use lockusher_config::settings::{EdgeControl, NodeSettings};

use crate::command_line::FilesToCheck;

/// Where the outcome is written: good files on `good`, one line for each fault on `faults`.
#[derive(Debug)]
pub struct Report<G, F> {
    /// For files that are good.
    pub good: G,
    /// For faults.
    pub faults: F,
}

/// Checks all files; returns whether all are good.
///
/// # Errors
///
/// If the report can't be written. A file that can't be read is a fault of the file.
pub fn check<G: Write, F: Write>(
    files: &FilesToCheck,
    report: &mut Report<G, F>,
) -> io::Result<bool> {
    let mut all_good = true;
    for file in &files.settings {
        all_good &= report.write_finding(file, check_settings(file))?;
    }
    for file in &files.configurations {
        all_good &= report.write_finding(file, check_configuration(file))?;
    }
    Ok(all_good)
}

/// What a file is found to be.
enum Finding {
    /// With a short description of what it holds.
    Good(String),
    Unreadable(io::Error),
    Faulty(Faults),
}

fn check_settings(file: &Path) -> Finding {
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return Finding::Unreadable(error),
    };
    match NodeSettings::parse(&text) {
        Ok(settings) => Finding::Good(describe_settings(&settings)),
        Err(faults) => Finding::Faulty(faults),
    }
}

/// What the settings make of the machine.
fn describe_settings(settings: &NodeSettings) -> String {
    let node = &settings.node;
    let with_agent = match settings.edge_control() {
        EdgeControl::ControlNode => ", a control node: in the role agent beside the agent",
        EdgeControl::Redirect => ", the role agent sends operators on to a control node",
        EdgeControl::None => "",
    };
    let mut description = format!("settings of node {node}{with_agent}");
    if settings.counts_for_quorum && settings.data_directory.is_none() {
        description.push_str(", counts for the quorum but has no dataDirectory");
    }
    for unreachable in settings.unreachable_tolerance() {
        description.push_str(&format!(", but {unreachable}"));
    }
    description
}

fn check_configuration(file: &Path) -> Finding {
    let body = match fs::read(file) {
        Ok(body) => body,
        Err(error) => return Finding::Unreadable(error),
    };
    match Configuration::parse(&body) {
        Ok(configuration) => Finding::Good(format!(
            "configuration {} with {} routes and {} services",
            configuration.version,
            configuration.routes.len(),
            configuration.services.len()
        )),
        Err(faults) => Finding::Faulty(faults),
    }
}

impl<G: Write, F: Write> Report<G, F> {
    /// Writes what was found of one file; returns whether it is good.
    fn write_finding(&mut self, file: &Path, finding: Finding) -> io::Result<bool> {
        match finding {
            Finding::Good(description) => {
                writeln!(self.good, "{}: good: {description}", file.display())?;
                return Ok(true);
            }
            Finding::Unreadable(error) => {
                self.fault(file, format_args!("cannot be read: {error}"))?;
            }
            Finding::Faulty(faults) => self.faults(file, &faults)?,
        }
        Ok(false)
    }

    fn faults(&mut self, file: &Path, faults: &Faults) -> io::Result<()> {
        for fault in faults.iter() {
            self.fault(file, fault)?;
        }
        let omitted = faults.count() - faults.iter().count();
        if omitted > 0 {
            self.fault(file, format_args!("and {omitted} more faults"))?;
        }
        Ok(())
    }

    fn fault(&mut self, file: &Path, fault: impl Display) -> io::Result<()> {
        writeln!(self.faults, "{}: {fault}", file.display())
    }
}
