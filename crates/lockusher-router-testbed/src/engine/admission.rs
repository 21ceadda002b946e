//! Admission control: which requests are accepted, in which order they get a slot and memory, and which running
//! requests are preempted for them.

use super::batch::Engine;
use super::job::Phase;
use super::types::{JobKey, KvTransfer, Micros, Output, Rejection, Stage, Submission};

/// Bits in a byte; bits divided by a rate in megabits per second give microseconds.
const BITS_PER_BYTE: u64 = 8;

impl Engine {
    /// Checks whether a request can be accepted now; the error is the reason for its rejection.
    pub(crate) fn check_admissible(
        &self,
        now: Micros,
        submission: &Submission,
    ) -> Result<(), Rejection> {
        if self.switch.is_some() {
            return Err(Rejection::Busy);
        }
        if submission.prefill_only != (self.stage == Stage::Prefill) {
            return Err(Rejection::WrongStage);
        }
        if submission.deadline <= now {
            return Err(Rejection::DeadlineInQueue);
        }
        let capacity = self.parameters.slots + self.parameters.queue_limit;
        let private_tokens = if submission.prefill_only {
            0
        } else {
            submission.tokens_out
        };
        if self.jobs.len() >= capacity || !self.memory.can_fit(&submission.prompt, private_tokens) {
            return Err(Rejection::Full);
        }
        Ok(())
    }

    /// Queues a KV transfer on the link behind earlier ones and returns when it ends.
    pub(super) fn reserve_link(
        &mut self,
        now: Micros,
        transfer: &KvTransfer,
    ) -> Result<Micros, Rejection> {
        let starts_at = self.link_free_at.max(now);
        if starts_at - now > self.parameters.max_link_wait {
            return Err(Rejection::LinkBusy);
        }
        let tokens: u64 = transfer.parts.iter().map(|part| part.tokens).sum();
        let bits = tokens * self.parameters.cache_token_bytes * BITS_PER_BYTE;
        let duration = (bits as f64 / self.parameters.link_mbps).ceil() as Micros;
        self.link_free_at = starts_at + duration * transfer.distance.factor() * self.link_slow_down;
        Ok(self.link_free_at)
    }

    /// Admits waiting requests in order of priority, then of arrival, and preempts less urgent ones for them.
    pub(super) fn admit(&mut self, now: Micros) {
        loop {
            let waiting = self.jobs.values().filter(|job| job.phase == Phase::Waiting);
            let Some(next) = waiting
                .min_by_key(|job| job.scheduling_key())
                .map(|job| job.key)
            else {
                return;
            };
            while !self.try_admit(next) {
                let Some(victim) = self.preemptible_for(next) else {
                    return;
                };
                self.preempt(victim, now);
            }
        }
    }

    /// Returns the running request to preempt for `key`; `None` unless it is less urgent than `key`.
    pub(super) fn preemptible_for(&self, key: JobKey) -> Option<JobKey> {
        let priority = self.jobs.get(&key)?.submission.priority;
        let victim = self.preemption_candidate()?;
        (self.jobs[&victim].submission.priority > priority).then_some(victim)
    }

    /// Gives a request a slot and memory; `false` when either is lacking.
    pub(super) fn try_admit(&mut self, key: JobKey) -> bool {
        let running = self.jobs.values().filter(|job| job.is_running()).count();
        let Some(job) = self.jobs.get_mut(&key) else {
            return false;
        };
        if running >= self.parameters.slots {
            return false;
        }
        let prompt = job.submission.prompt.clone();
        let cached_tokens = self.memory.cached_prefix_tokens(&prompt);
        let private_blocks = self.memory.blocks_for(job.tokens_generated);
        if self.memory.acquire(&prompt).is_err() {
            return false;
        }
        if self.memory.allocate_private(private_blocks).is_err() {
            self.memory.release(&prompt);
            return false;
        }
        job.private_blocks = private_blocks;
        job.admission_order = self.next_admission;
        self.next_admission += 1;
        let remaining = if job.prompt_fetched {
            job.tokens_generated
        } else {
            job.prompt_tokens() - cached_tokens + job.tokens_generated
        };
        job.phase = Phase::Prefilling { remaining };
        if job.prompt_fetched && remaining == 0 {
            self.memory.mark_prefilled(&prompt);
            job.phase = Phase::Decoding;
        }
        true
    }

    /// Returns the running request that is preempted first: the newest of the least urgent.
    pub(super) fn preemption_candidate(&self) -> Option<JobKey> {
        let running = self.jobs.values().filter(|job| job.is_running());
        running
            .max_by_key(|job| (job.submission.priority, job.admission_order))
            .map(|job| job.key)
    }

    /// Takes slot and memory from a running request, which waits again and repeats its prefill.
    pub(super) fn preempt(&mut self, key: JobKey, at: Micros) {
        let Some(job) = self.jobs.get(&key).cloned() else {
            return;
        };
        self.release_memory(&job);
        if let Some(job) = self.jobs.get_mut(&key) {
            job.phase = Phase::Waiting;
            job.private_blocks = 0;
            job.prompt_fetched = false;
        }
        self.outputs.push_back(Output::Preempted { job: key, at });
    }
}
