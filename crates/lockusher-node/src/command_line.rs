//! Parses the command line, and renders the help. Does no I/O.

use std::path::PathBuf;

use derive_more::{Display, Error, From};
use getopts::{Matches, Options};
use log::LevelFilter;

use crate::role::{Role, RoleOptions};

/// The program's name in the help and in messages.
pub const PROGRAM: &str = "lockusher-node";

/// The command that validates files.
pub const CHECK: &str = "check";

/// The roles that accept [`STAGE_ORDERS`]: both may run a control node.
const ROLES_WITH_CONTROL_NODE: [&str; 2] = ["control", "agent"];
/// The option that enables or disables stage changes.
const STAGE_ORDERS: &str = "stage-orders";

/// Log level without `--log`.
const DEFAULT_LEVEL: LevelFilter = LevelFilter::Info;

/// The command that the command line specifies.
#[derive(Debug)]
pub enum Command {
    /// Print this text.
    Print(String),
    /// Run a role.
    Run {
        /// The role.
        role: Role,
        /// Maximum level of log lines.
        level: LevelFilter,
        /// Options of the role.
        options: RoleOptions,
    },
    /// Validate files.
    Check(FilesToCheck),
}

/// The files that `check` validates.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct FilesToCheck {
    /// Settings files of nodes.
    pub settings: Vec<PathBuf>,
    /// Routing configurations.
    pub configurations: Vec<PathBuf>,
}

impl FilesToCheck {
    /// Whether there are no files.
    pub fn is_empty(&self) -> bool {
        self.settings.is_empty() && self.configurations.is_empty()
    }
}

/// Why a command line is invalid. A retry with the same arguments fails as well.
#[derive(Debug, Display, Error, From)]
pub enum CommandLineError {
    /// There is no command.
    #[display("no command")]
    NoCommand,
    /// There is no role and no other command of this name.
    #[display("unknown command {_0:?}")]
    #[from(ignore)]
    UnknownCommand(#[error(not(source))] String),
    /// An argument that isn't an option; commands take only options.
    #[display("unexpected argument {_0:?}")]
    #[from(ignore)]
    UnexpectedArgument(#[error(not(source))] String),
    /// The value of `--log` isn't a log level.
    #[display("unknown log level {_0:?}: expected off, error, warn, info, debug or trace")]
    #[from(ignore)]
    UnknownLevel(#[error(not(source))] String),
    /// The value of `--stage-orders` is neither `on` nor `off`.
    #[display("unknown value {_0:?} of --stage-orders: expected on or off")]
    #[from(ignore)]
    UnknownStageOrders(#[error(not(source))] String),
    /// An option is unknown, lacks its value, or is given twice.
    #[display("{_0}")]
    Options(getopts::Fail),
}

/// Parses the arguments, which don't include the program's name.
///
/// # Errors
///
/// [`CommandLineError`] for the first invalid argument.
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
    let mut options = help_option();
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
    let mut options = help_option();
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
            "change the stages of searchers according to the load: on (default), off",
            "WHETHER",
        );
    }
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        let brief = format!(
            "{summary}.\n\nUsage: {PROGRAM} {name} [OPTION]...\n\n\
             The settings are read from the file that LOCKUSHER_NODE_FILE names.\n\
             SIGTERM shuts the role down gracefully; SIGHUP reloads the settings file.",
            summary = role.summary,
            name = role.name,
        );
        return Ok(Command::Print(options.usage(&brief)));
    }
    reject_arguments(&matches)?;
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
    let mut options = help_option();
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
            "Validate files as the roles would, and print all of their faults.\n\n\
             Usage: {PROGRAM} {CHECK} [--settings FILE]... [--configuration FILE]...\n\n\
             Without files, the settings file that LOCKUSHER_NODE_FILE names is checked.\n\
             Exits with 0 if all files are valid, and with 2 if there is a fault."
        );
        return Ok(Command::Print(options.usage(&brief)));
    }
    reject_arguments(&matches)?;
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

fn reject_arguments(matches: &Matches) -> Result<(), CommandLineError> {
    match matches.free.first() {
        Some(argument) => Err(CommandLineError::UnexpectedArgument(argument.clone())),
        None => Ok(()),
    }
}

fn help_option() -> Options {
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
    brief += &format!("    {CHECK:<10}Validate files and print all of their faults\n");
    brief += &format!("\n'{PROGRAM} COMMAND --help' describes a command.");
    options.usage(&brief)
}
