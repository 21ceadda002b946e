//! Code shared by the programs that embed the decision module: [`host`] keeps the accepted multigets and
//! carries out decisions, [`settings`] reads the settings object, and [`list`] reads and writes lists of
//! searchers. It makes no decisions.

// Lints of the workspace that this package does not satisfy yet; docs/ROADMAP.md lists what remains.
#![allow(missing_docs, clippy::missing_errors_doc, clippy::wildcard_imports)]

pub mod host;
pub mod list;
pub mod settings;
