//! A simple, slow model of a service's inference engines: prefill searchers that prefill one prompt after the other and
//! cache it, and decode searchers that fetch KV cache over one link and stream in a batch.

use std::collections::HashMap;

use lockusher_proxy::decision::{Micros, PromptPart};

/// Performance of the modelled searchers.
#[derive(Clone, Copy, Debug)]
pub struct Speeds {
    /// Prompt tokens that a prefill searcher prefills in a millisecond; a decode searcher prefills half as many.
    pub tokens_per_ms: f64,
    /// Fixed duration of a call, in milliseconds.
    pub setup_ms: f64,
    /// Duration of a decode step with an empty batch, and the addition for each request in the batch, in milliseconds.
    pub step_ms: f64,
    pub step_ms_per_request: f64,
    /// Tokens between two events.
    pub stride: f64,
    /// Capacity of the KV cache in tokens.
    pub cache_tokens: u64,
    /// Microseconds to transfer one token within a zone.
    pub transfer_us_per_token: f64,
}

/// One searcher of the model.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// When its accepted prefills end.
    prefill_until: f64,
    /// When its link has transferred all pending KV cache.
    transfer_until: f64,
    /// End times of the streams in its batch.
    streams: Vec<f64>,
    cache: Cache,
    /// Factor on all its durations.
    pub slowness: f64,
}

/// The result of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallResult {
    /// When the response or the first event was sent, in microseconds.
    pub at: f64,
    /// When the stream ended; `at` if there was none.
    pub end: f64,
    /// Tokens that had to be prefilled.
    pub prefilled_tokens: u64,
}

impl CallResult {
    /// The deadline passed in the queue: nothing was prefilled.
    fn expired(deadline: Micros) -> CallResult {
        CallResult {
            at: deadline as f64,
            end: deadline as f64,
            prefilled_tokens: 0,
        }
    }
}

impl Engine {
    /// A searcher with an empty cache.
    pub fn new() -> Self {
        Engine {
            slowness: 1.0,
            ..Engine::default()
        }
    }

    /// Prefills a prompt for another searcher, unless its deadline passes first.
    pub fn prefill(
        &mut self,
        now: Micros,
        prompt: &[PromptPart],
        speeds: &Speeds,
        deadline: Micros,
    ) -> CallResult {
        if self.prefill_until >= deadline as f64 {
            return CallResult::expired(deadline);
        }
        let prefilled_tokens = self.cache.prefill(prompt, speeds.cache_tokens);
        let duration = (speeds.setup_ms + prefilled_tokens as f64 / speeds.tokens_per_ms)
            * 1e3
            * self.slowness;
        self.prefill_until = self.prefill_until.max(now as f64) + duration;
        CallResult {
            at: self.prefill_until,
            end: self.prefill_until,
            prefilled_tokens,
        }
    }

    /// Fetches the KV cache of a prompt, at half the speed from another zone, and streams.
    pub fn decode(
        &mut self,
        now: Micros,
        prompt: &[PromptPart],
        output_tokens: u32,
        speeds: &Speeds,
        is_other_zone: bool,
    ) -> CallResult {
        self.cache.prefill(prompt, speeds.cache_tokens);
        let tokens: u64 = prompt.iter().map(|part| u64::from(part.tokens)).sum();
        let distance_factor = if is_other_zone { 2.0 } else { 1.0 };
        let transfer_time =
            tokens as f64 * speeds.transfer_us_per_token * self.slowness * distance_factor;
        self.transfer_until = self.transfer_until.max(now as f64) + transfer_time;
        self.stream(
            self.transfer_until + speeds.setup_ms * 1e3,
            output_tokens,
            0,
            speeds,
        )
    }

    /// Prefills a prompt in place, at half the speed and slower the fuller the batch is, and streams.
    pub fn prefill_in_place(
        &mut self,
        now: Micros,
        prompt: &[PromptPart],
        output_tokens: u32,
        speeds: &Speeds,
        deadline: Micros,
    ) -> CallResult {
        if self.prefill_until >= deadline as f64 {
            return CallResult::expired(deadline);
        }
        let prefilled_tokens = self.cache.prefill(prompt, speeds.cache_tokens);
        let batch_load =
            self.batch_size_at(now as f64) as f64 * speeds.step_ms_per_request / speeds.step_ms;
        let duration = 2.0 * prefilled_tokens as f64 / speeds.tokens_per_ms
            * 1e3
            * (1.0 + batch_load)
            * self.slowness;
        self.prefill_until = self.prefill_until.max(now as f64) + duration;
        self.stream(self.prefill_until, output_tokens, prefilled_tokens, speeds)
    }

    fn stream(
        &mut self,
        start: f64,
        output_tokens: u32,
        prefilled_tokens: u64,
        speeds: &Speeds,
    ) -> CallResult {
        let batch_size = self.batch_size_at(start);
        // Decode steps take longer while prompts are prefilled in between.
        let prefill_factor = if self.prefill_until > start { 2.0 } else { 1.0 };
        let step = (speeds.step_ms + batch_size as f64 * speeds.step_ms_per_request)
            * 1e3
            * self.slowness
            * prefill_factor;
        let at = start + step * speeds.stride;
        let end = at + step * f64::from(output_tokens);
        self.streams.push(end);
        CallResult {
            at,
            end,
            prefilled_tokens,
        }
    }

    fn batch_size_at(&mut self, at: f64) -> usize {
        self.streams.retain(|end| *end > at);
        self.streams.len()
    }
}

/// The prompt parts that a searcher has cached, with least-recently-used eviction.
#[derive(Clone, Debug, Default)]
struct Cache {
    /// By the ids of all parts of the prefix: tokens of the last part, and last use.
    prefixes: HashMap<Vec<u64>, (u32, u64)>,
    tokens: u64,
    uses: u64,
}

impl Cache {
    /// Prefills a prompt and returns the number of tokens that weren't cached.
    fn prefill(&mut self, prompt: &[PromptPart], capacity: u64) -> u64 {
        self.uses += 1;
        let (mut prefilled_tokens, mut cached_so_far) = (0, true);
        for length in 1..=prompt.len() {
            let prefix: Vec<u64> = prompt[..length].iter().map(|part| part.id).collect();
            let tokens = prompt[length - 1].tokens;
            let previous = self.prefixes.insert(prefix, (tokens, self.uses));
            cached_so_far &= previous.is_some();
            if previous.is_none() {
                self.tokens += u64::from(tokens);
            }
            if !cached_so_far {
                prefilled_tokens += u64::from(tokens);
            }
        }
        self.evict(capacity);
        prefilled_tokens
    }

    fn evict(&mut self, capacity: u64) {
        if self.tokens <= capacity {
            return;
        }
        // Evicts the least recently used prefixes, longest first; a tenth at once, so that sorting is rare.
        let mut eviction_order: Vec<(u64, std::cmp::Reverse<usize>, Vec<u64>)> = Vec::new();
        for (prefix, (_, last_use)) in &self.prefixes {
            eviction_order.push((*last_use, std::cmp::Reverse(prefix.len()), prefix.clone()));
        }
        eviction_order.sort();
        for (_, _, prefix) in eviction_order {
            if self.tokens <= capacity * 9 / 10 {
                break;
            }
            let (tokens, _) = self.prefixes.remove(&prefix).unwrap_or_default();
            self.tokens -= u64::from(tokens);
        }
    }
}
