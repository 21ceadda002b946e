//! The program of the fleet: command line, logging, signals and the start of a role.
//!
//! What the roles do is in the packages `lockusher-control`, `lockusher-agent` and `lockusher-proxy`; [`roles`] starts
//! them. [`program::run`] is the entry: it parses the [`command_line`] and either prints, runs [`check`], or installs the
//! [`signals`], loads the [settings file](lockusher_config::settings_file), starts [`logging`] and runs a [`role`] on a runtime of one thread. A process
//! may run two roles side by side ([`composition`]).

pub mod check;
pub mod command_line;
pub mod composition;
pub mod logging;
pub mod program;
pub mod role;
pub mod roles;
pub mod signals;
