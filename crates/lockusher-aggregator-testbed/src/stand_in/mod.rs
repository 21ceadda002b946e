//! Stand-ins for what a mixer meets, over loopback: searchers, discovery and a client. The mixer itself is the
//! real program. Waits end by what happens; the long time-outs here only keep a failed story from hanging. They
//! panic where they can't go on: a story has failed then.

mod client;
mod discovery;
pub mod http2;
mod searcher;
pub mod system;
mod world;

use std::time::Duration;

pub use client::{Answer, Client, body, head, request, request_of};
pub use discovery::{Discovery, Says};
pub use searcher::{Act, Log, Searcher, Seen, frame, parts};
pub use world::{Mixer, Setup, World, line, settings, until};

pub const LONG: Duration = Duration::from_secs(20);
