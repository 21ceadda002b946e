//! A plain model of a searcher's inference engine: batch, steps, prefill in pieces, KV cache with least
//! recently used parts, prompt handles, preemption and changes of stage.
//!
//! Time is virtual, in microseconds, and passed in by the caller; there is no I/O. Drive it so: call
//! [`Engine::advance`] with the present time, act on its [`Output`]s, then call again no later than
//! [`Engine::next_event_at`]. The model follows the word of the protocol page: "Requests" and
//! "Prefill and decode".

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
    OrderAnswer, Output, Part, Rejection, Report, Stage, Submission,
};
