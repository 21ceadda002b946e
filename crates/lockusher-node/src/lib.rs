//! The program of the fleet: command line, logging, signals and the start of a role. What the roles do is in the
//! crates `lockusher-control`, `lockusher-agent` and `lockusher-proxy`; `roles` starts them.

// Not yet finished by the workspace's lints: docs/ROADMAP.md lists what is left.
#![allow(missing_docs, clippy::missing_errors_doc)]

pub mod check;
pub mod command_line;
pub mod composition;
pub mod logging;
pub mod program;
pub mod role;
pub mod roles;
pub mod settings_file;
pub mod signals;
