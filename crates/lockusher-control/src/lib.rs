//! Replicated control state: agreed view, chain replication, storage, leases.
//!
//! [`Replica`] is the pure state machine of one control node. It has no I/O, no clock and no threads: a shell feeds
//! it [`Event`]s together with the steady time, and carries out the [`Effect`]s it returns. The protocol is
//! described in `docs/system.md`, section "Control state".

pub mod attempt;
pub mod document;
pub mod durable;
mod failure_detector;
mod holding;
pub mod message;
pub mod order_lease;
pub mod planner;
pub mod replica;
pub mod serve;
pub mod shell;
#[cfg(feature = "simulation")]
pub mod simulation;
pub mod stage_planner;
pub mod state;
mod timing;
pub mod view;
mod vote_log;
pub mod votes;

pub use document::{Digest, Document};
pub use durable::{DurableRecord, Position};
pub use message::{Envelope, EnvelopeError, Message, PROTOCOL};
pub use replica::{
    Counters, DiskComparison, Effect, Event, Mistake, PersistTicket, Replica, ReplicaSetup, Reply, Request,
    RequestTicket,
};
pub use state::ReplicatedState;
pub use view::{Identity, Member, View};

/// Milliseconds of the host's steady clock.
pub type Millis = u64;
