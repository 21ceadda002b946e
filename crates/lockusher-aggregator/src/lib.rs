//! The mixer on sockets, by layers: [`transport`] moves bytes, [`protocol`] turns them into typed values and
//! back, [`routing`] owns the decision module; the program's own concerns are [`program`], [`config`],
//! [`operator`], [`clock`] and [`logging`].

// Not yet finished by the workspace's lints: docs/ROADMAP.md lists what is left.
#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::wildcard_imports
)]

pub mod clock;
pub mod config;
pub mod logging;
pub mod operator;
pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
