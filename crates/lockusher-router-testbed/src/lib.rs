//! Stand-ins for the environment of the fleet (searchers, platform list, operator, clients), a checker of the rules on
//! what they observed, and a runner that starts `lockusher-node` processes on the loopback.
//!
//! Everything here is test tooling: blocking sockets and plain threads, one task per module. The engine model
//! ([`engine`]) does no I/O, reads no clock and can also be driven in virtual time.

// Exempt from these workspace lints for now: docs/ROADMAP.md lists what is left.
#![allow(missing_docs, clippy::missing_errors_doc)]

pub mod checker;
pub mod client;
pub mod configuration;
pub mod decisions;
pub mod demo;
pub mod deployment;
pub mod engine;
pub mod entry;
mod event_stream;
pub mod figures;
pub mod fleet;
pub mod framing;
pub mod http;
pub mod kv_network;
pub mod link;
pub mod load;
mod model_http;
pub mod model_searcher;
pub mod operator;
pub mod plain_searcher;
pub mod platform;
pub mod record;
pub mod report;
pub mod request;
pub mod run_file;
pub mod searcher;
pub mod server;
pub mod soak;
mod submission;
pub mod wait;
pub mod world;
