//! Inputs and outputs of the engine model.

/// A virtual time or duration, in microseconds.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MICROS_PER_MS: Micros = 1000;

/// Deadline of a request without a time limit.
pub const NO_DEADLINE: Micros = Micros::MAX;

/// The stage of inference that a searcher serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Prefills prompts and holds their KV cache for a decode searcher.
    Prefill,
    /// Generates tokens; also prefills prompts, at half the speed and in chunks a quarter as large.
    Decode,
}

impl Stage {
    /// The name on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Prefill => "prefill",
            Stage::Decode => "decode",
        }
    }
}

/// A part of a prompt; requests whose prompts start with the same parts share their KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    pub id: u64,
    pub tokens: u64,
}

/// Parameters of one engine.
#[derive(Clone, Debug)]
pub struct EngineParameters {
    /// Maximum number of requests in the batch.
    pub slots: usize,
    /// Maximum number of requests waiting for a slot; more are rejected.
    pub queue_limit: usize,
    /// Capacity of the KV cache in tokens.
    pub cache_tokens: u64,
    /// Tokens in one block, the unit in which KV cache is allocated.
    pub block_tokens: u64,
    /// Size of one token in the KV cache, in bytes.
    pub cache_token_bytes: u64,
    /// Base duration of a step of the batch.
    pub step: Micros,
    /// Duration that each decoding request adds to a step.
    pub step_per_request: Micros,
    /// Prefill speed of a prefill searcher, in tokens per millisecond.
    pub prefill_tokens_per_ms: u64,
    /// Maximum number of prompt tokens that a prefill searcher processes in one step.
    pub prefill_chunk_tokens: u64,
    /// Bandwidth of the link for KV transfers, in megabits per second.
    pub link_mbps: f64,
    /// How long the KV cache of a prefilled prompt is held for a decode searcher.
    pub handle_ttl: Micros,
    /// How long a stage change takes once the running requests have ended.
    pub stage_switch_duration: Micros,
    /// Longest wait of a KV transfer for the link; requests that would wait longer are rejected.
    pub max_link_wait: Micros,
}

/// Network distance between the searcher that prefilled a prompt and the one that fetches its KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    SameZone,
    OtherZone,
    OtherRegion,
}

impl Distance {
    /// Factor on the duration of a KV transfer, relative to one within a zone.
    pub fn factor(self) -> u64 {
        match self {
            Distance::SameZone => 1,
            Distance::OtherZone => 2,
            Distance::OtherRegion => 10,
        }
    }
}

/// KV cache to transfer from another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvTransfer {
    pub parts: Vec<Part>,
    pub distance: Distance,
}

/// A request as submitted to the engine.
#[derive(Clone, Debug)]
pub struct Submission {
    /// If true, only prefill the prompt and hold its KV cache; if false, generate tokens.
    pub prefill_only: bool,
    /// The parts of the prompt, in order.
    pub prompt: Vec<Part>,
    /// Tokens to generate, including those already generated elsewhere.
    pub tokens_out: u64,
    /// Tokens that the client already has (`Last-Event-Id`): they are prefilled like a prompt, not generated.
    pub tokens_already_generated: u64,
    /// 0 is the most urgent.
    pub priority: u8,
    /// When the engine stops working on it.
    pub deadline: Micros,
    /// KV cache to transfer before the request waits for a slot.
    pub transfer: Option<KvTransfer>,
}

/// Identifies a request within one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobKey(pub u64);

/// Identifies the held KV cache of a prompt within one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HandleId(pub u64);

/// Why a request is not executed here; the response carries `Not-Executed`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The queue is full, or the request exceeds the KV cache.
    Full,
    /// The searcher serves the other stage.
    WrongStage,
    /// A stage change is in progress.
    Busy,
    /// The KV transfer would wait too long for the link.
    LinkBusy,
    /// The deadline passed before the request started.
    DeadlineInQueue,
}

/// An event of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Tokens up to and including number `tokens_generated` exist; from the first one on the request counts as
    /// executed.
    Token {
        job: JobKey,
        tokens_generated: u64,
        at: Micros,
    },
    /// All tokens are generated.
    Finished { job: JobKey, at: Micros },
    /// The prompt is prefilled, and its KV cache is held under `handle`.
    Prefilled {
        job: JobKey,
        handle: HandleId,
        tokens: u64,
        at: Micros,
    },
    /// It lost its slot and memory to another request and will repeat its prefill.
    Preempted { job: JobKey, at: Micros },
    /// It was not executed and never will be.
    Rejected {
        job: JobKey,
        reason: Rejection,
        at: Micros,
    },
    /// The deadline passed after it had started; it was dropped.
    DeadlineExceeded { job: JobKey, at: Micros },
}

/// The response to an order that changes the stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// 202: the stage change has started.
    Accepted,
    /// 200: the stage is already current or being changed to.
    AlreadyInStage,
    /// 409: another stage change is in progress, or the sequence differs.
    Conflict,
}

/// The engine's state, as in `GET /api/report`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    pub stage: Stage,
    pub busy: bool,
    /// Number of orders accepted.
    pub sequence: u64,
    pub waiting: usize,
    pub running: usize,
    /// Size in tokens of the KV cache that can't be evicted.
    pub cache_used: u64,
    pub cache_total: u64,
    pub prompt_handles: usize,
}
