//! Values that go into and come out of the engine model.

/// Virtual time or a span of it, in microseconds.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MICROS_PER_MS: Micros = 1000;

/// The deadline of a request that never gives up.
pub const NO_DEADLINE: Micros = Micros::MAX;

/// What a searcher does for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Reads prompts and holds their KV cache for a decode searcher.
    Prefill,
    /// Makes tokens; reads prompts too, at half the pace and in pieces a quarter as large.
    Decode,
}

impl Stage {
    /// The word on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Prefill => "prefill",
            Stage::Decode => "decode",
        }
    }
}

/// One part of a prompt: requests that name the same part share its KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    pub id: u64,
    pub tokens: u64,
}

/// The figures of one engine.
#[derive(Clone, Debug)]
pub struct EngineParameters {
    /// Requests that run at once in the batch.
    pub slots: usize,
    /// Requests that wait for a slot before more are rejected.
    pub queue_limit: usize,
    /// Tokens that the KV cache holds.
    pub cache_tokens: u64,
    /// Tokens in one block of memory; memory is given by whole blocks.
    pub block_tokens: u64,
    /// Bytes of one token in the KV cache.
    pub cache_token_bytes: u64,
    /// Shortest step of the batch.
    pub step: Micros,
    /// What each request that makes a token adds to a step.
    pub step_per_request: Micros,
    /// Prompt tokens that a prefill searcher reads in a millisecond.
    pub prefill_tokens_per_ms: u64,
    /// Prompt tokens that a prefill searcher reads in one step at most.
    pub piece_tokens: u64,
    /// Rate of the link over which KV cache is fetched, in megabits a second.
    pub link_mbps: f64,
    /// How long the KV cache of a prefilled prompt is held.
    pub handle_hold: Micros,
    /// How long a change of stage takes once the running requests have ended.
    pub role_switch: Micros,
    /// The longest that a fetch may wait for the link before it is refused.
    pub longest_link_wait: Micros,
}

/// The link between the searcher that read a prompt and the one that fetches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    SameZone,
    OtherZone,
    OtherRegion,
}

impl Distance {
    /// How many times longer a fetch takes than within a zone.
    pub fn factor(self) -> u64 {
        match self {
            Distance::SameZone => 1,
            Distance::OtherZone => 2,
            Distance::OtherRegion => 10,
        }
    }
}

/// KV cache taken from another engine by its handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvTransfer {
    pub parts: Vec<Part>,
    pub distance: Distance,
}

/// A request as the engine takes it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// `None` means: make tokens. `Some(Prefill)` means: read the prompt and hold its KV cache.
    pub prefill_only: bool,
    /// The parts of the prompt, in order.
    pub prompt: Vec<Part>,
    /// Tokens to make, those already made elsewhere included.
    pub tokens_out: u64,
    /// Tokens that the client already has (`Last-Event-Id`): they are read like a prompt, not made.
    pub tokens_already_made: u64,
    /// 0 is the most urgent.
    pub priority: u8,
    /// When the engine ceases work on it.
    pub deadline: Micros,
    /// KV cache to fetch before the request waits for a slot.
    pub transfer: Option<KvTransfer>,
}

/// Names a request within one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobKey(pub u64);

/// Names held KV cache within one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HandleId(pub u64);

/// Why a request doesn't run here; each stands for an answer with `Not-Executed`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The queue is full, or the request is larger than the memory.
    Full,
    /// The searcher plays the other stage.
    WrongStage,
    /// A change of stage is in progress.
    Busy,
    /// The link is taken for too long.
    LinkBusy,
    /// The deadline passed before it began.
    DeadlineInQueue,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Tokens up to and including `made` now exist; with the first one the request has begun to run.
    Token { job: JobKey, made: u64, at: Micros },
    /// All tokens were made.
    Finished { job: JobKey, at: Micros },
    /// The prompt was read and is held.
    Prefilled {
        job: JobKey,
        handle: HandleId,
        tokens: u64,
        at: Micros,
    },
    /// It gave way to a more urgent request and will be read anew.
    Preempted { job: JobKey, at: Micros },
    /// It did not run and never will.
    Rejected {
        job: JobKey,
        why: Rejection,
        at: Micros,
    },
    /// The deadline passed after it had begun; work ceased.
    Abandoned { job: JobKey, at: Micros },
}

/// The answer to an order that changes the stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// 202: it is being done.
    Accepted,
    /// 200: it already holds.
    AlreadyHolds,
    /// 409: another order is in progress, or the sequence differs.
    Conflict,
}

/// What the engine tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    pub stage: Stage,
    pub busy: bool,
    /// Orders taken.
    pub sequence: u64,
    pub waiting: usize,
    pub running: usize,
    /// Tokens of memory that cannot give way.
    pub cache_used: u64,
    pub cache_total: u64,
    pub prompt_handles: usize,
}
