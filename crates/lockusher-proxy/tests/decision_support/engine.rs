//! A plain, slow model of a service's inference engines: prefill searchers that read one prompt after the
//! other and keep what they read, decode searchers that fetch over one link and stream in a batch.

use std::collections::HashMap;

use lockusher_proxy::decision::{Micros, PromptPart};

/// What the searchers of the model can do.
#[derive(Clone, Copy, Debug)]
pub struct Speeds {
    /// Prompt tokens that a prefill searcher reads in a millisecond; a decode searcher reads half as many.
    pub tokens_per_ms: f64,
    /// Fixed part of a call, in milliseconds.
    pub setup_ms: f64,
    /// A step of the batch with nothing else in it, and what each request in it adds, in milliseconds.
    pub step_ms: f64,
    pub step_ms_per_request: f64,
    /// Tokens between two events.
    pub stride: f64,
    /// Tokens that the KV cache holds.
    pub cache_tokens: u64,
    /// Microseconds to move one token within a zone.
    pub move_us_per_token: f64,
}

/// One searcher of the model.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Until when it reads the prompts that it took.
    reads_until: f64,
    /// Until when its link moves what it fetches.
    moves_until: f64,
    /// Ends of the streams in its batch.
    streams: Vec<f64>,
    cache: Cache,
    /// Factor on all its times.
    pub slowness: f64,
}

/// What a call did.
#[derive(Clone, Copy, Debug)]
pub struct Done {
    /// When the answer or the first event came, in microseconds.
    pub at: f64,
    /// When the stream ended; `at` where there is none.
    pub end: f64,
    /// Tokens that had to be read.
    pub read: u64,
}

impl Done {
    /// The deadline passed in the queue: nothing was read.
    fn too_late(deadline: Micros) -> Done {
        Done {
            at: deadline as f64,
            end: deadline as f64,
            read: 0,
        }
    }
}

impl Engine {
    /// A searcher with nothing in its cache.
    pub fn new() -> Self {
        Engine {
            slowness: 1.0,
            ..Engine::default()
        }
    }

    /// Reads a prompt for another searcher, unless its deadline passes first.
    pub fn prefill(
        &mut self,
        now: Micros,
        prompt: &[PromptPart],
        speeds: &Speeds,
        deadline: Micros,
    ) -> Done {
        if self.reads_until >= deadline as f64 {
            return Done::too_late(deadline);
        }
        let read = self.cache.read(prompt, speeds.cache_tokens);
        let takes = (speeds.setup_ms + read as f64 / speeds.tokens_per_ms) * 1e3 * self.slowness;
        self.reads_until = self.reads_until.max(now as f64) + takes;
        Done {
            at: self.reads_until,
            end: self.reads_until,
            read,
        }
    }

    /// Fetches a prompt that was read elsewhere, twice as slowly from another zone, and streams.
    pub fn decode(
        &mut self,
        now: Micros,
        prompt: &[PromptPart],
        out: u32,
        speeds: &Speeds,
        far: bool,
    ) -> Done {
        self.cache.read(prompt, speeds.cache_tokens);
        let tokens: u64 = prompt.iter().map(|part| u64::from(part.tokens)).sum();
        let distance = if far { 2.0 } else { 1.0 };
        let moves = tokens as f64 * speeds.move_us_per_token * self.slowness * distance;
        self.moves_until = self.moves_until.max(now as f64) + moves;
        self.stream(self.moves_until + speeds.setup_ms * 1e3, out, 0, speeds)
    }

    /// Reads a prompt in place, at half the pace and slower the fuller the batch is, and streams.
    pub fn whole(
        &mut self,
        now: Micros,
        prompt: &[PromptPart],
        out: u32,
        speeds: &Speeds,
        deadline: Micros,
    ) -> Done {
        if self.reads_until >= deadline as f64 {
            return Done::too_late(deadline);
        }
        let read = self.cache.read(prompt, speeds.cache_tokens);
        let full = self.running(now as f64) as f64 * speeds.step_ms_per_request / speeds.step_ms;
        let takes = 2.0 * read as f64 / speeds.tokens_per_ms * 1e3 * (1.0 + full) * self.slowness;
        self.reads_until = self.reads_until.max(now as f64) + takes;
        self.stream(self.reads_until, out, read, speeds)
    }

    fn stream(&mut self, from: f64, out: u32, read: u64, speeds: &Speeds) -> Done {
        let running = self.running(from);
        // A step is stretched while prompts are read between the tokens.
        let busy = if self.reads_until > from { 2.0 } else { 1.0 };
        let step = (speeds.step_ms + running as f64 * speeds.step_ms_per_request)
            * 1e3
            * self.slowness
            * busy;
        let at = from + step * speeds.stride;
        let end = at + step * f64::from(out);
        self.streams.push(end);
        Done { at, end, read }
    }

    fn running(&mut self, at: f64) -> usize {
        self.streams.retain(|end| *end > at);
        self.streams.len()
    }
}

/// Parts of prompts that a searcher keeps; those used least recently give way.
#[derive(Clone, Debug, Default)]
struct Cache {
    /// By the ids from the first part on: tokens and last use.
    kept: HashMap<Vec<u64>, (u32, u64)>,
    tokens: u64,
    uses: u64,
}

impl Cache {
    /// Reads a prompt: the tokens that weren't kept.
    fn read(&mut self, prompt: &[PromptPart], capacity: u64) -> u64 {
        self.uses += 1;
        let (mut read, mut kept_so_far) = (0, true);
        for length in 1..=prompt.len() {
            let chain: Vec<u64> = prompt[..length].iter().map(|part| part.id).collect();
            let tokens = prompt[length - 1].tokens;
            let known = self.kept.insert(chain, (tokens, self.uses));
            kept_so_far &= known.is_some();
            if known.is_none() {
                self.tokens += u64::from(tokens);
            }
            if !kept_so_far {
                read += u64::from(tokens);
            }
        }
        self.give_way(capacity);
        read
    }

    fn give_way(&mut self, capacity: u64) {
        if self.tokens <= capacity {
            return;
        }
        // The longest chains of the oldest use go first; a tenth at once, to sort seldom.
        let mut oldest: Vec<(u64, std::cmp::Reverse<usize>, Vec<u64>)> = Vec::new();
        for (chain, (_, used)) in &self.kept {
            oldest.push((*used, std::cmp::Reverse(chain.len()), chain.clone()));
        }
        oldest.sort();
        for (_, _, chain) in oldest {
            if self.tokens <= capacity * 9 / 10 {
                break;
            }
            let (tokens, _) = self.kept.remove(&chain).unwrap_or_default();
            self.tokens -= u64::from(tokens);
        }
    }
}
