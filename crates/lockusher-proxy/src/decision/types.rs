//! Types that all modules of the decisions share: time, identifiers, purposes and outcomes of sends.

/// A time on a monotonic clock, in microseconds since an arbitrary start.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MICROS_PER_MS: u64 = 1_000;

/// Identifies a searcher within its service.
pub type SearcherId = u32;

/// One part of a prompt, as listed in the `Prompt-Prefix` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identifier of its text: the same part has the same id in all prompts.
    pub id: u64,
    /// Tokens of the part.
    pub tokens: u32,
}

/// What a searcher is to do with a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// Prefill and decode at one searcher. In a service with stages, a decode searcher prefills the prompt in place.
    Whole,
    /// Prefill only; the searcher holds the KV cache for a decode searcher.
    Prefill,
    /// Decode only: the searcher fetches the KV cache from a prefill searcher, then streams.
    Decode,
}

/// The outcome of a send. Each send ends with exactly one outcome other than `FirstEvent`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendOutcome {
    /// The first event of a stream was received; the send continues.
    FirstEvent,
    /// The complete response was received.
    Answered,
    /// The searcher reported that it hasn't run the request (`Not-Executed` with 429 or 503).
    Rejected,
    /// The address belongs to another searcher or stage (421); nothing was run.
    Misdirected,
    /// The connection failed; nothing was sent.
    Unreachable,
    /// A server error, a reset, or an incomplete or invalid response; the request may have run.
    Failed,
    /// No response until the request's deadline.
    TimedOut,
    /// Cancelled by this proxy for reasons unrelated to the searcher, such as a client disconnect.
    Cancelled,
}
