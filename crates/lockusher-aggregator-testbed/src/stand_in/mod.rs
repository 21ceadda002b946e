//! Stand-ins for the peers of a mixer, over loopback: searchers, discovery and a client. The mixer itself is the real
//! program. Waits end on events; the long timeouts only keep a failed test from hanging. The stand-ins panic where they
//! cannot continue, which fails the test.

mod client;
mod discovery;
pub mod http2;
mod searcher;
pub mod system;
mod world;

use std::time::Duration;

pub use client::{Answer, Client, body, head, request, request_of};
pub use discovery::{Discovery, DiscoveryBehavior};
pub use searcher::{Log, PartAction, PartRequest, Searcher, frame, parts};
pub use world::{Mixer, Setup, World, line, settings, until};

/// The timeout of waits, which only a failed test reaches.
pub const LONG: Duration = Duration::from_secs(20);
