//! The engine: steps of the batch, handles and deadlines. Admission and changes of stage have modules of
//! their own.

use std::collections::{BTreeMap, VecDeque};

use super::job::{Job, Phase};
use super::memory::KvMemory;
use super::types::{
    EngineParameters, HandleId, JobKey, MICROS_PER_MS, Micros, Output, Part, Rejection, Report,
    Stage, Submission,
};

/// How many times slower, and in how many times smaller pieces, a decode searcher reads prompts.
const DECODE_READS_SLOWER: u64 = 2;
const DECODE_PIECES_SMALLER: u64 = 4;

/// A step of the batch under way.
#[derive(Clone, Debug)]
struct Step {
    ends: Micros,
    /// Prompt tokens read in this step, by request.
    reading: Vec<(JobKey, u64)>,
    /// Requests that make a token in this step.
    decoding: Vec<JobKey>,
}

/// KV cache held for a decode searcher.
#[derive(Clone, Debug)]
pub(super) struct Handle {
    parts: Vec<Part>,
    lapses: Micros,
}

/// A change of stage under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Switch {
    pub(super) to: Stage,
    /// Known once the running requests have ended.
    pub(super) done: Option<Micros>,
}

/// One searcher's engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub(super) parameters: EngineParameters,
    pub(super) stage: Stage,
    pub(super) memory: KvMemory,
    pub(super) jobs: BTreeMap<JobKey, Job>,
    pub(super) handles: BTreeMap<HandleId, Handle>,
    step: Option<Step>,
    pub(super) switch: Option<Switch>,
    pub(super) link_free: Micros,
    pub(super) orders_taken: u64,
    next_key: u64,
    pub(super) next_admission: u64,
    next_handle: u64,
    /// Transfers take this many times as long; for faults.
    pub(super) link_slow_down: u64,
    /// Steps take this many times as long; for faults.
    slow_down: u64,
    /// Times at which something happened since the last call of `advance`.
    pub(super) outputs: VecDeque<Output>,
}

impl Engine {
    /// An idle engine that plays `stage`.
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
            link_free: 0,
            orders_taken: 0,
            next_key: 0,
            next_admission: 0,
            next_handle: 0,
            link_slow_down: 1,
            slow_down: 1,
            outputs: VecDeque::new(),
        }
    }

    /// Takes a request at time `now`, or says why it doesn't.
    pub fn submit(&mut self, now: Micros, submission: Submission) -> Result<JobKey, Rejection> {
        self.play_until(now);
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

    /// Drops a request whose caller has gone.
    pub fn cancel(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.remove(&key) {
            self.release_memory(&job);
        }
    }

    /// Takes held KV cache away; `None` when it lapsed, was freed or was taken before.
    pub fn take_handle(&mut self, now: Micros, handle: HandleId) -> Option<Vec<Part>> {
        self.play_until(now);
        let held = self.handles.remove(&handle)?;
        self.memory.release(&held.parts);
        Some(held.parts)
    }

    /// Lets all handles lapse at once; for faults.
    pub fn lapse_all_handles(&mut self) {
        for (_, held) in std::mem::take(&mut self.handles) {
            self.memory.release(&held.parts);
        }
    }

    /// Makes every later transfer `factor` times as long; for faults.
    pub fn set_link_slow_down(&mut self, factor: u64) {
        self.link_slow_down = factor.max(1);
    }

    /// Makes every later step `factor` times as long.
    pub fn set_slow_down(&mut self, factor: u64) {
        self.slow_down = factor.max(1);
    }

    /// When [`Engine::advance`] has something to do next; `None` while it is idle.
    pub fn next_event_at(&self) -> Option<Micros> {
        let step = self.step.as_ref().map(|step| step.ends);
        let switch = self.switch.and_then(|switch| switch.done);
        let lapse = self.handles.values().map(|handle| handle.lapses).min();
        let fetch = self.jobs.values().filter_map(|job| match job.phase {
            Phase::Fetching { until } => Some(until),
            _ => None,
        });
        let deadline = self.jobs.values().map(|job| job.submission.deadline).min();
        [step, switch, lapse, fetch.min(), deadline]
            .into_iter()
            .flatten()
            .min()
    }

    /// Plays everything up to `now` and returns what happened, in order.
    pub fn advance(&mut self, now: Micros) -> Vec<Output> {
        self.play_until(now);
        self.outputs.drain(..).collect()
    }

    /// The engine's state as a report tells it.
    pub fn report(&self) -> Report {
        let running = self.jobs.values().filter(|job| job.is_running()).count();
        Report {
            stage: self.stage,
            busy: self.switch.is_some(),
            sequence: self.orders_taken,
            waiting: self.jobs.len() - running,
            running,
            cache_used: self.memory.used_tokens(),
            cache_total: self.memory.total_tokens(),
            prompt_handles: self.handles.len(),
        }
    }

    /// Whether a part's KV cache is kept here.
    pub fn holds_part(&self, id: u64) -> bool {
        self.memory.holds(id)
    }

    pub(super) fn play_until(&mut self, now: Micros) {
        while let Some(at) = self.next_event_at().filter(|at| *at <= now) {
            self.play(at);
        }
    }

    fn play(&mut self, at: Micros) {
        self.lapse_handles(at);
        self.end_fetches(at);
        if self.step.as_ref().is_some_and(|step| step.ends <= at) {
            self.end_step(at);
        }
        self.cease_at_deadline(at);
        self.settle_switch(at);
        self.begin_step(at);
    }

    fn end_fetches(&mut self, at: Micros) {
        for job in self.jobs.values_mut() {
            if matches!(job.phase, Phase::Fetching { until } if until <= at) {
                job.phase = Phase::Waiting;
            }
        }
    }

    fn lapse_handles(&mut self, at: Micros) {
        let lapsed: Vec<HandleId> = self
            .handles
            .iter()
            .filter(|(_, held)| held.lapses <= at)
            .map(|(handle, _)| *handle)
            .collect();
        for handle in lapsed {
            if let Some(held) = self.handles.remove(&handle) {
                self.memory.release(&held.parts);
            }
        }
    }

    fn cease_at_deadline(&mut self, at: Micros) {
        let due: Vec<JobKey> = self
            .jobs
            .values()
            .filter(|job| job.submission.deadline <= at)
            .map(|job| job.key)
            .collect();
        for key in due {
            let Some(job) = self.jobs.remove(&key) else {
                continue;
            };
            self.release_memory(&job);
            self.outputs.push_back(match job.begun {
                true => Output::Abandoned { job: key, at },
                false => Output::Rejected {
                    job: key,
                    why: Rejection::DeadlineInQueue,
                    at,
                },
            });
        }
    }

    /// Starts the next step, if there is work and none is under way.
    fn begin_step(&mut self, now: Micros) {
        if self.step.is_some() {
            return;
        }
        self.admit(now);
        let reading = self.plan_reading();
        let decoding: Vec<JobKey> = self
            .jobs
            .values()
            .filter(|job| job.phase == Phase::Decoding)
            .map(|job| job.key)
            .collect();
        if reading.is_empty() && decoding.is_empty() {
            return;
        }
        let read_tokens: u64 = reading.iter().map(|(_, tokens)| tokens).sum();
        let read = read_tokens * MICROS_PER_MS * self.reads_slower()
            / self.parameters.prefill_tokens_per_ms;
        let decode = self.parameters.step_per_request * decoding.len() as u64;
        let length = (self.parameters.step + read + decode) * self.slow_down;
        self.step = Some(Step {
            ends: now + length,
            reading,
            decoding,
        });
    }

    fn reads_slower(&self) -> u64 {
        match self.stage {
            Stage::Prefill => 1,
            Stage::Decode => DECODE_READS_SLOWER,
        }
    }

    fn piece_tokens(&self) -> u64 {
        match self.stage {
            Stage::Prefill => self.parameters.piece_tokens,
            Stage::Decode => self.parameters.piece_tokens / DECODE_PIECES_SMALLER,
        }
    }

    /// Shares one piece among the requests whose prompts are being read, the most urgent first.
    fn plan_reading(&self) -> Vec<(JobKey, u64)> {
        let mut readers: Vec<&Job> = self
            .jobs
            .values()
            .filter(|job| matches!(job.phase, Phase::Reading { .. }))
            .collect();
        readers.sort_by_key(|job| job.rank());
        let mut budget = self.piece_tokens();
        let mut reading = Vec::new();
        for job in readers {
            let Phase::Reading { left } = job.phase else {
                continue;
            };
            let tokens = left.min(budget);
            if tokens > 0 || left == 0 {
                reading.push((job.key, tokens));
            }
            budget -= tokens;
        }
        reading
    }

    fn end_step(&mut self, at: Micros) {
        let Some(step) = self.step.take() else { return };
        for key in step.decoding {
            self.make_token(key, at);
        }
        for (key, tokens) in step.reading {
            self.read_tokens(key, tokens, at);
        }
    }

    fn read_tokens(&mut self, key: JobKey, tokens: u64, at: Micros) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let Phase::Reading { left } = job.phase else {
            return;
        };
        job.phase = Phase::Reading {
            left: left - tokens,
        };
        if left > tokens {
            return;
        }
        let prompt = job.submission.prompt.clone();
        self.memory.mark_read(&prompt);
        if self.stage == Stage::Prefill {
            self.hold_prompt(key, prompt, at);
            return;
        }
        job.phase = Phase::Decoding;
        self.make_token(key, at);
    }

    /// The prompt was read: its parts go from the request to a handle.
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
                lapses: at + self.parameters.handle_hold,
            },
        );
        self.outputs.push_back(Output::Prefilled {
            job: key,
            handle,
            tokens: job.prompt_tokens(),
            at,
        });
    }

    fn make_token(&mut self, key: JobKey, at: Micros) {
        if !self.make_room_for_token(key, at) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.begun = true;
        job.made += 1;
        let made = job.made;
        self.outputs.push_back(Output::Token { job: key, made, at });
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

    /// Gets the block that one more token needs; others are preempted for it, or the request itself is.
    fn make_room_for_token(&mut self, key: JobKey, at: Micros) -> bool {
        loop {
            let Some(job) = self.jobs.get_mut(&key) else {
                return false;
            };
            if job.phase != Phase::Decoding {
                return false;
            }
            let wanted = self
                .memory
                .blocks_of(job.made + 1)
                .saturating_sub(job.private_blocks);
            if self.memory.take_private(wanted).is_ok() {
                job.private_blocks += wanted;
                return true;
            }
            let Some(victim) = self.newest_of_least_urgent() else {
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
