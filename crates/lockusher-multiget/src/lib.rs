//! What every program round the decision module shares: [`host`] keeps multigets in hand and carries out
//! advice, [`settings`] reads the settings object, [`list`] the lists of searchers. Nothing here decides.

// Not yet finished by the workspace's lints: docs/ROADMAP.md lists what is left.
#![allow(missing_docs, clippy::missing_errors_doc, clippy::wildcard_imports)]

pub mod host;
pub mod list;
pub mod settings;
