//! The engine: steps of the batch, prompt handles and deadlines. Admission and stage changes are in modules of
//! their own.

use std::collections::{BTreeMap, VecDeque};

use super::job::{Job, Phase};
use super::memory::KvMemory;
use super::types::{
    EngineParameters, HandleId, JobKey, MICROS_PER_MS, Micros, Output, Part, Rejection, Report,
    Stage, Submission,
};

/// How many times longer a decode searcher takes to prefill than a prefill searcher.
const DECODE_PREFILL_SLOWDOWN: u64 = 2;
/// How many times smaller the prefill chunks of a decode searcher are.
const DECODE_CHUNK_DIVISOR: u64 = 4;

/// The step of the batch in progress.
#[derive(Clone, Debug)]
struct Step {
    ends_at: Micros,
    /// Prompt tokens prefilled in this step, by request.
    prefill: Vec<(JobKey, u64)>,
    /// Requests that generate a token in this step.
    decoding: Vec<JobKey>,
}

/// KV cache of a prompt, held until a decode searcher fetches it or it expires.
#[derive(Clone, Debug)]
pub(super) struct Handle {
    parts: Vec<Part>,
    expires_at: Micros,
}

/// A stage change in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct StageSwitch {
    pub(super) target: Stage,
    /// `None` while requests are still running.
    pub(super) completes_at: Option<Micros>,
}

/// The inference engine of one searcher.
#[derive(Clone, Debug)]
pub struct Engine {
    pub(super) parameters: EngineParameters,
    pub(super) stage: Stage,
    pub(super) memory: KvMemory,
    pub(super) jobs: BTreeMap<JobKey, Job>,
    pub(super) handles: BTreeMap<HandleId, Handle>,
    step: Option<Step>,
    pub(super) switch: Option<StageSwitch>,
    pub(super) link_free_at: Micros,
    pub(super) accepted_orders: u64,
    next_key: u64,
    pub(super) next_admission: u64,
    next_handle: u64,
    /// Factor on the duration of KV transfers, for fault injection.
    pub(super) link_slow_down: u64,
    /// Factor on the duration of steps, for fault injection.
    slow_down: u64,
    /// Outputs since the last call of `advance`.
    pub(super) outputs: VecDeque<Output>,
}

impl Engine {
    /// Creates an idle engine in `stage`.
    pub fn new(parameters: EngineParameters, stage: Stage) -> Engine {
        let memory = KvMemory::new(parameters.cache_tokens, parameters.block_tokens);
        Engine {
            parameters,
            stage,
            memory,
            jobs: BTreeMap::new(),
            handles: BTreeMap::new(),
            step: None,
            switch: None,
            link_free_at: 0,
            accepted_orders: 0,
            next_key: 0,
            next_admission: 0,
            next_handle: 0,
            link_slow_down: 1,
            slow_down: 1,
            outputs: VecDeque::new(),
        }
    }

    /// Accepts a request at time `now`, or returns why it is rejected.
    pub fn submit(&mut self, now: Micros, submission: Submission) -> Result<JobKey, Rejection> {
        self.run_until(now);
        self.check_admissible(now, &submission)?;
        let phase = match &submission.transfer {
            Some(transfer) => Phase::Fetching {
                until: self.reserve_link(now, transfer)?,
            },
            None => Phase::Waiting,
        };
        let key = JobKey(self.next_key);
        self.next_key += 1;
        self.jobs.insert(key, Job::new(key, submission, phase));
        self.begin_step(now);
        Ok(key)
    }

    /// Drops a request whose caller has disconnected.
    pub fn cancel(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.remove(&key) {
            self.release_memory(&job);
        }
    }

    /// Removes a handle and returns its parts; `None` when it has expired, was freed or was taken before.
    pub fn take_handle(&mut self, now: Micros, handle: HandleId) -> Option<Vec<Part>> {
        self.run_until(now);
        let handle = self.handles.remove(&handle)?;
        self.memory.release(&handle.parts);
        Some(handle.parts)
    }

    /// Expires all handles at once, for fault injection.
    pub fn expire_all_handles(&mut self) {
        for (_, handle) in std::mem::take(&mut self.handles) {
            self.memory.release(&handle.parts);
        }
    }

    /// Makes every later KV transfer `factor` times as long, for fault injection.
    pub fn set_link_slow_down(&mut self, factor: u64) {
        self.link_slow_down = factor.max(1);
    }

    /// Makes every later step `factor` times as long, for fault injection.
    pub fn set_slow_down(&mut self, factor: u64) {
        self.slow_down = factor.max(1);
    }

    /// When [`Engine::advance`] next has an event to process; `None` while the engine is idle.
    pub fn next_event_at(&self) -> Option<Micros> {
        let step = self.step.as_ref().map(|step| step.ends_at);
        let switch = self.switch.and_then(|switch| switch.completes_at);
        let handle_expiry = self.handles.values().map(|handle| handle.expires_at).min();
        let transfer_end = self.jobs.values().filter_map(|job| match job.phase {
            Phase::Fetching { until } => Some(until),
            _ => None,
        });
        let deadline = self.jobs.values().map(|job| job.submission.deadline).min();
        [step, switch, handle_expiry, transfer_end.min(), deadline]
            .into_iter()
            .flatten()
            .min()
    }

    /// Processes all events up to `now` and returns the outputs in order.
    pub fn advance(&mut self, now: Micros) -> Vec<Output> {
        self.run_until(now);
        self.outputs.drain(..).collect()
    }

    /// The engine's state for `GET /api/report`.
    pub fn report(&self) -> Report {
        let running = self.jobs.values().filter(|job| job.is_running()).count();
        Report {
            stage: self.stage,
            busy: self.switch.is_some(),
            sequence: self.accepted_orders,
            waiting: self.jobs.len() - running,
            running,
            cache_used: self.memory.used_tokens(),
            cache_total: self.memory.total_tokens(),
            prompt_handles: self.handles.len(),
        }
    }

    /// Whether the KV cache holds a prefilled prompt part.
    pub fn caches_part(&self, id: u64) -> bool {
        self.memory.contains(id)
    }

    pub(super) fn run_until(&mut self, now: Micros) {
        while let Some(at) = self.next_event_at().filter(|at| *at <= now) {
            self.process_events_at(at);
        }
    }

    fn process_events_at(&mut self, at: Micros) {
        self.expire_handles(at);
        self.end_fetches(at);
        if self.step.as_ref().is_some_and(|step| step.ends_at <= at) {
            self.end_step(at);
        }
        self.expire_deadlines(at);
        self.advance_stage_switch(at);
        self.begin_step(at);
    }

    fn end_fetches(&mut self, at: Micros) {
        for job in self.jobs.values_mut() {
            if matches!(job.phase, Phase::Fetching { until } if until <= at) {
                job.phase = Phase::Waiting;
            }
        }
    }

    fn expire_handles(&mut self, at: Micros) {
        let expired: Vec<HandleId> = self
            .handles
            .iter()
            .filter(|(_, handle)| handle.expires_at <= at)
            .map(|(handle, _)| *handle)
            .collect();
        for handle in expired {
            if let Some(handle) = self.handles.remove(&handle) {
                self.memory.release(&handle.parts);
            }
        }
    }

    fn expire_deadlines(&mut self, at: Micros) {
        let expired: Vec<JobKey> = self
            .jobs
            .values()
            .filter(|job| job.submission.deadline <= at)
            .map(|job| job.key)
            .collect();
        for key in expired {
            let Some(job) = self.jobs.remove(&key) else {
                continue;
            };
            self.release_memory(&job);
            self.outputs.push_back(match job.has_started {
                true => Output::DeadlineExceeded { job: key, at },
                false => Output::Rejected {
                    job: key,
                    reason: Rejection::DeadlineInQueue,
                    at,
                },
            });
        }
    }

    /// Starts the next step, if there is work and no step is in progress.
    fn begin_step(&mut self, now: Micros) {
        if self.step.is_some() {
            return;
        }
        self.admit(now);
        let prefill = self.plan_prefill();
        let decoding: Vec<JobKey> = self
            .jobs
            .values()
            .filter(|job| job.phase == Phase::Decoding)
            .map(|job| job.key)
            .collect();
        if prefill.is_empty() && decoding.is_empty() {
            return;
        }
        let prefill_tokens: u64 = prefill.iter().map(|(_, tokens)| tokens).sum();
        let prefill_time = prefill_tokens * MICROS_PER_MS * self.prefill_slowdown()
            / self.parameters.prefill_tokens_per_ms;
        let decode_time = self.parameters.step_per_request * decoding.len() as u64;
        let duration = (self.parameters.step + prefill_time + decode_time) * self.slow_down;
        self.step = Some(Step {
            ends_at: now + duration,
            prefill,
            decoding,
        });
    }

    fn prefill_slowdown(&self) -> u64 {
        match self.stage {
            Stage::Prefill => 1,
            Stage::Decode => DECODE_PREFILL_SLOWDOWN,
        }
    }

    fn prefill_chunk_tokens(&self) -> u64 {
        match self.stage {
            Stage::Prefill => self.parameters.prefill_chunk_tokens,
            Stage::Decode => self.parameters.prefill_chunk_tokens / DECODE_CHUNK_DIVISOR,
        }
    }

    /// Divides one prefill chunk among the requests in prefill, the most urgent first.
    fn plan_prefill(&self) -> Vec<(JobKey, u64)> {
        let mut prefilling: Vec<&Job> = self
            .jobs
            .values()
            .filter(|job| matches!(job.phase, Phase::Prefilling { .. }))
            .collect();
        prefilling.sort_by_key(|job| job.scheduling_key());
        let mut budget = self.prefill_chunk_tokens();
        let mut prefill = Vec::new();
        for job in prefilling {
            let Phase::Prefilling { remaining } = job.phase else {
                continue;
            };
            let tokens = remaining.min(budget);
            if tokens > 0 || remaining == 0 {
                prefill.push((job.key, tokens));
            }
            budget -= tokens;
        }
        prefill
    }

    fn end_step(&mut self, at: Micros) {
        let Some(step) = self.step.take() else { return };
        for key in step.decoding {
            self.generate_token(key, at);
        }
        for (key, tokens) in step.prefill {
            self.prefill_tokens(key, tokens, at);
        }
    }

    fn prefill_tokens(&mut self, key: JobKey, tokens: u64, at: Micros) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let Phase::Prefilling { remaining } = job.phase else {
            return;
        };
        job.phase = Phase::Prefilling {
            remaining: remaining - tokens,
        };
        if remaining > tokens {
            return;
        }
        let prompt = job.submission.prompt.clone();
        self.memory.mark_prefilled(&prompt);
        if self.stage == Stage::Prefill {
            self.hold_prompt(key, prompt, at);
            return;
        }
        job.phase = Phase::Decoding;
        self.generate_token(key, at);
    }

    /// Ends a prefill: the prompt's parts move from the request to a handle.
    fn hold_prompt(&mut self, key: JobKey, parts: Vec<Part>, at: Micros) {
        let Some(job) = self.jobs.remove(&key) else {
            return;
        };
        let handle = HandleId(self.next_handle);
        self.next_handle += 1;
        self.memory.release_private(job.private_blocks);
        self.handles.insert(
            handle,
            Handle {
                parts,
                expires_at: at + self.parameters.handle_ttl,
            },
        );
        self.outputs.push_back(Output::Prefilled {
            job: key,
            handle,
            tokens: job.prompt_tokens(),
            at,
        });
    }

    fn generate_token(&mut self, key: JobKey, at: Micros) {
        if !self.allocate_token_block(key, at) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.has_started = true;
        job.tokens_generated += 1;
        let tokens_generated = job.tokens_generated;
        self.outputs.push_back(Output::Token {
            job: key,
            tokens_generated,
            at,
        });
        if job.is_complete() {
            self.finish(key, at);
        }
    }

    fn finish(&mut self, key: JobKey, at: Micros) {
        let Some(job) = self.jobs.remove(&key) else {
            return;
        };
        self.release_memory(&job);
        self.outputs.push_back(Output::Finished { job: key, at });
    }

    /// Allocates the block that one more token needs. Preempts requests until it is free; `false` if this one is
    /// preempted itself.
    fn allocate_token_block(&mut self, key: JobKey, at: Micros) -> bool {
        loop {
            let Some(job) = self.jobs.get_mut(&key) else {
                return false;
            };
            if job.phase != Phase::Decoding {
                return false;
            }
            let missing_blocks = self
                .memory
                .blocks_for(job.tokens_generated + 1)
                .saturating_sub(job.private_blocks);
            if self.memory.allocate_private(missing_blocks).is_ok() {
                job.private_blocks += missing_blocks;
                return true;
            }
            let Some(victim) = self.preemption_candidate() else {
                return false;
            };
            self.preempt(victim, at);
        }
    }

    pub(super) fn release_memory(&mut self, job: &Job) {
        if job.is_running() {
            self.memory.release(&job.submission.prompt);
            self.memory.release_private(job.private_blocks);
        }
    }
}
