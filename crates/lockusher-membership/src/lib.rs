//! The view of the fleet that mixers keep among themselves, based on SWIM and Lifeguard. `core` makes all decisions,
//! without I/O, clock or hidden randomness: the same inputs produce the same bytes. `io` runs it over one UDP socket in
//! the mixer's own thread. `docs/design/membership.md` names the publications and describes the differences from them.

// Lints of the workspace that this package does not satisfy yet; docs/ROADMAP.md lists what remains.
#![allow(missing_docs, clippy::missing_errors_doc)]

pub mod core;
pub mod io;
pub mod shared;

/// Messages on the wire, generated from `proto/fleet.proto`.
#[allow(missing_docs, clippy::all)]
pub mod proto {
    include!(concat!(env!("OUT_DIR"), "/lockusher.fleet.rs"));
}
