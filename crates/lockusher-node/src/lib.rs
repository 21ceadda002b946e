//! The program `lockusher-node`: command line, logging, signals and the start of a role.
//!
//! The roles are implemented by the packages `lockusher-control`, `lockusher-agent` and `lockusher-proxy`; [`roles`]
//! starts them. The entry point is [`program::run`]: it parses the [`command_line`] and either prints a text, runs
//! [`check`], or installs the handlers of [`signals`], loads the [settings file](lockusher_config::settings_file),
//! starts [`logging`] and runs a [`role`] on a single-threaded runtime. A process may run two roles ([`composition`]).

pub mod check;
pub mod command_line;
pub mod composition;
pub mod logging;
pub mod program;
pub mod role;
pub mod roles;
pub mod signals;
