//! Stand-ins, scripted and on loopback, and what is measured with them. Nothing here is shipped.

// Not yet finished by the workspace's lints: docs/ROADMAP.md lists what is left.
#![allow(missing_docs, clippy::missing_errors_doc, clippy::too_many_lines)]

pub mod chain;
pub mod chain_injected_bugs;
pub mod check;
pub mod demo;
pub mod fleet;
pub mod http2;
pub mod large;
pub mod mixers;
pub mod registry;
pub mod soak;
pub mod stand_in;
pub mod standstill;
