//! The view of the fleet that mixers keep among themselves. `core` decides, without I/O, clock or hidden randomness:
//! the same inputs make the same bytes. `io` carries it over one UDP socket in the mixer's own thread. The published
//! roots (SWIM, Lifeguard) and what was changed are in `docs/design/membership.md`.

// Not yet finished by the workspace's lints: docs/ROADMAP.md lists what is left.
#![allow(missing_docs, clippy::missing_errors_doc)]

pub mod core;
pub mod io;
pub mod shared;

/// Messages as they travel, made from `proto/fleet.proto`.
#[allow(missing_docs, clippy::all)]
pub mod proto {
    include!(concat!(env!("OUT_DIR"), "/lockusher.fleet.rs"));
}
