//! A simple model of a searcher's inference engine: batch steps, chunked prefill, an LRU prefix cache, prompt
//! handles, preemption and stage changes.
//!
//! The model has no I/O and no clock: time is virtual, in microseconds, and passed in by the caller. The caller
//! calls [`Engine::advance`] with the current time, handles the [`Output`]s and calls again no later than
//! [`Engine::next_event_at`]. The model follows the sections "Requests" and "Prefill and decode" of the protocol
//! page.

mod admission;
mod batch;
mod job;
mod memory;
mod stages;
mod types;

pub use batch::Engine;
pub use memory::{KvMemory, OutOfMemory};
pub use types::{
    Distance, EngineParameters, HandleId, JobKey, KvTransfer, MICROS_PER_MS, Micros, NO_DEADLINE,
    OrderResponse, Output, Part, Rejection, Report, Stage, Submission,
};
