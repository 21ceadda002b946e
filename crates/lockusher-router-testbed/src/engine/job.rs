//! One request inside the engine.

use super::types::{JobKey, Micros, Submission};

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its KV cache is on the way until then.
    Fetching { until: Micros },
    /// Waits for a slot and memory.
    Waiting,
    /// So many tokens of its prompt are still to be read.
    Reading { left: u64 },
    /// Makes a token in each step.
    Decoding,
}

/// A request and what the engine holds for it.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub key: JobKey,
    pub submission: Submission,
    pub phase: Phase,
    /// Tokens made so far, those made elsewhere included.
    pub made: u64,
    /// Blocks that belong to it alone.
    pub private_blocks: u64,
    /// Whether its first token here was made: from then on it has run.
    pub begun: bool,
    /// Whether its prompt came as KV cache and needn't be read.
    pub fetched: bool,
    /// When the engine began to read its prompt or make its tokens; orders the newest among equals.
    pub admitted: u64,
}

impl Job {
    pub fn new(key: JobKey, submission: Submission, phase: Phase) -> Job {
        let fetched = submission.transfer.is_some();
        let made = submission.tokens_already_made;
        Job {
            key,
            submission,
            phase,
            made,
            private_blocks: 0,
            begun: false,
            fetched,
            admitted: 0,
        }
    }

    /// Whether it holds a slot.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Reading { .. } | Phase::Decoding)
    }

    /// Tokens of its prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.submission.prompt.iter().map(|part| part.tokens).sum()
    }

    /// Whether all its tokens were made.
    pub fn is_complete(&self) -> bool {
        self.made >= self.submission.tokens_out
    }

    /// More urgent first, then in the order of arrival.
    pub fn rank(&self) -> (u8, JobKey) {
        (self.submission.priority, self.key)
    }
}
