//! The command line: what is to be done, and the help.
//!
//! Called by the program with its arguments; pure, without I/O.

use std::path::PathBuf;

use derive_more::{Display, Error, From};
use getopts::{Matches, Options};
use log::LevelFilter;

use crate::role::{Role, RoleOptions};

/// The program's name, as help and messages show it.
pub const PROGRAM: &str = "lockusher-node";

/// The command that checks files.
pub const CHECK: &str = "check";

/// The roles that take [`STAGE_ORDERS`]: a control node may run in both.
const ROLES_WITH_CONTROL_NODE: [&str; 2] = ["control", "agent"];
const STAGE_ORDERS: &str = "stage-orders";

const DEFAULT_LEVEL: LevelFilter = LevelFilter::Info;

/// What the command line asks for.
#[derive(Debug)]
pub enum Command {
    /// Print this text.
    Print(String),
    /// Run a role.
    Run {
        /// The role.
        role: Role,
        /// Up to which level it logs.
        level: LevelFilter,
        /// Options of the role.
        options: RoleOptions,
    },
    /// Check files.
    Check(FilesToCheck),
}

/// The files that `check` is to read.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct FilesToCheck {
    /// Settings files of nodes.
    pub settings: Vec<PathBuf>,
    /// Routing configurations.
    pub configurations: Vec<PathBuf>,
}

impl FilesToCheck {
    /// Whether no file is named.
    pub fn is_empty(&self) -> bool {
        self.settings.is_empty() && self.configurations.is_empty()
    }
}

/// What is wrong with a command line. The same again is as wrong.
#[derive(Debug, Display, Error, From)]
pub enum CommandLineError {
    /// Nothing says what to do.
    #[display("no command")]
    NoCommand,
    /// No role and no other command has this name.
    #[display("unknown command {_0:?}")]
    #[from(ignore)]
    UnknownCommand(#[error(not(source))] String),
    /// An argument that isn't an option.
    #[display("unexpected argument {_0:?}")]
    #[from(ignore)]
    UnexpectedArgument(#[error(not(source))] String),
    /// The value of `--log`.
    #[display("unknown log level {_0:?}: expected off, error, warn, info, debug or trace")]
    #[from(ignore)]
    UnknownLevel(#[error(not(source))] String),
    /// The value of `--stage-orders`.
    #[display("unknown value {_0:?} of --stage-orders: expected on or off")]
    #[from(ignore)]
    UnknownStageOrders(#[error(not(source))] String),
    /// An option is unknown, lacks its value, or is given twice.
    #[display("{_0}")]
    Options(getopts::Fail),
}

/// Parses the arguments, without the program's name.
///
/// # Errors
///
/// [`CommandLineError`] with the first fault.
pub fn parse(roles: &[Role], arguments: &[String]) -> Result<Command, CommandLineError> {
    let Some((first, rest)) = arguments.split_first() else {
        return Err(CommandLineError::NoCommand);
    };
    if first.starts_with('-') {
        return parse_program(roles, arguments);
    }
    if first == CHECK {
        return parse_check(rest);
    }
    match roles.iter().find(|role| role.name == first) {
        Some(role) => parse_role(*role, rest),
        None => Err(CommandLineError::UnknownCommand(first.clone())),
    }
}

fn parse_program(roles: &[Role], arguments: &[String]) -> Result<Command, CommandLineError> {
    let mut options = with_help();
    options.optflag("V", "version", "print the version and exit");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        return Ok(Command::Print(program_help(roles, &options)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Print(format!(
            "{PROGRAM} {}\n",
            env!("CARGO_PKG_VERSION")
        )));
    }
    Err(CommandLineError::NoCommand)
}

fn parse_role(role: Role, arguments: &[String]) -> Result<Command, CommandLineError> {
    let mut options = with_help();
    options.optopt(
        "",
        "log",
        "log up to this level: off, error, warn, info (default), debug, trace",
        "LEVEL",
    );
    let has_stage_orders = ROLES_WITH_CONTROL_NODE.contains(&role.name);
    if has_stage_orders {
        options.optopt(
            "",
            STAGE_ORDERS,
            "let searchers change their stage with the load: on (default), off",
            "WHETHER",
        );
    }
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        let brief = format!(
            "{summary}.\n\nUsage: {PROGRAM} {name} [OPTION]...\n\n\
             The settings are read from the file that LOCKUSHER_NODE_FILE names.\n\
             SIGTERM stops the role in order; SIGHUP says that the settings file has changed.",
            summary = role.summary,
            name = role.name,
        );
        return Ok(Command::Print(options.usage(&brief)));
    }
    refuse_arguments(&matches)?;
    let mut role_options = RoleOptions::default();
    if has_stage_orders {
        role_options.stage_orders = stage_orders(&matches)?;
    }
    Ok(Command::Run {
        role,
        level: level(&matches)?,
        options: role_options,
    })
}

fn stage_orders(matches: &Matches) -> Result<bool, CommandLineError> {
    match matches.opt_str(STAGE_ORDERS).as_deref() {
        None | Some("on") => Ok(true),
        Some("off") => Ok(false),
        Some(other) => Err(CommandLineError::UnknownStageOrders(other.to_owned())),
    }
}

fn level(matches: &Matches) -> Result<LevelFilter, CommandLineError> {
    match matches.opt_str("log") {
        Some(name) => name
            .parse()
            .map_err(|_| CommandLineError::UnknownLevel(name)),
        None => Ok(DEFAULT_LEVEL),
    }
}

fn parse_check(arguments: &[String]) -> Result<Command, CommandLineError> {
    let mut options = with_help();
    options.optmulti(
        "",
        "settings",
        "a node's settings file; may be repeated",
        "FILE",
    );
    options.optmulti(
        "",
        "configuration",
        "a routing configuration, JSON; may be repeated",
        "FILE",
    );
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        let brief = format!(
            "Read files as the roles would, and print all of their faults.\n\n\
             Usage: {PROGRAM} {CHECK} [--settings FILE]... [--configuration FILE]...\n\n\
             Without files, the settings file that LOCKUSHER_NODE_FILE names is checked.\n\
             Exits with 0 if all files are good, and with 2 if there is a fault."
        );
        return Ok(Command::Print(options.usage(&brief)));
    }
    refuse_arguments(&matches)?;
    Ok(Command::Check(FilesToCheck {
        settings: paths(&matches, "settings"),
        configurations: paths(&matches, "configuration"),
    }))
}

fn paths(matches: &Matches, option: &str) -> Vec<PathBuf> {
    matches
        .opt_strs(option)
        .into_iter()
        .map(PathBuf::from)
        .collect()
}

fn refuse_arguments(matches: &Matches) -> Result<(), CommandLineError> {
    match matches.free.first() {
        Some(argument) => Err(CommandLineError::UnexpectedArgument(argument.clone())),
        None => Ok(()),
    }
}

fn with_help() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help and exit");
    options
}

fn program_help(roles: &[Role], options: &Options) -> String {
    let mut brief = format!(
        "A node of the lockusher fleet.\n\nUsage: {PROGRAM} COMMAND [OPTION]...\n\nCommands:\n"
    );
    for role in roles {
        brief += &format!("    {:<10}{}\n", role.name, role.summary);
    }
    brief += &format!("    {CHECK:<10}Read files and print all of their faults\n");
    brief += &format!("\n'{PROGRAM} COMMAND --help' describes a command.");
    options.usage(&brief)
}
