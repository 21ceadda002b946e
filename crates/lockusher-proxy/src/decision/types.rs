//! The values that all modules of the decisions share: time, identities, purposes and outcomes of sends.

/// A moment on a steady clock, in microseconds since any fixed start.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MICROS_PER_MS: u64 = 1_000;

/// Names a searcher within its service.
pub type SearcherId = u32;

/// One part of a prompt, as named in `Prompt-Prefix`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identity of its text: the same part has the same id in all prompts.
    pub id: u64,
    /// Tokens of the part.
    pub tokens: u32,
}

/// What a send is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// The whole request at one searcher. At a service with stages its decode searcher reads the prompt itself.
    Whole,
    /// Only the prompt is read; the searcher holds the KV cache for a decode searcher.
    Prefill,
    /// A decode searcher fetches the KV cache that a prefill searcher holds, then streams.
    Decode,
}

/// What became of a send. Each send ends with exactly one outcome other than `FirstEvent`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendOutcome {
    /// The first event of a stream came (interim).
    FirstEvent,
    /// The whole answer came.
    Answered,
    /// The searcher said that it hasn't run the request (`Not-Executed` with 429 or 503).
    Rejected,
    /// The address belongs to another searcher or stage (421); nothing ran.
    Misdirected,
    /// No connection came up; nothing was sent.
    Unreachable,
    /// An error of its own, a reset, a broken or odd answer: it may have run.
    Failed,
    /// Silent until the request's time was up.
    TimedOut,
    /// Given up on this side for reasons that say nothing of the searcher (the client left).
    Cancelled,
}
