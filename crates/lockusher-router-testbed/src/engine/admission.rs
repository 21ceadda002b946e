//! Admission: what is taken, in which order it gets a slot and memory, and what gives way for it.

use super::batch::Engine;
use super::job::Phase;
use super::types::{JobKey, KvTransfer, Micros, Output, Rejection, Stage, Submission};

/// Bits in a byte: with rates in megabits a second, bits over the rate are microseconds.
const BITS_PER_BYTE: u64 = 8;

impl Engine {
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
        let places = self.parameters.slots + self.parameters.queue_limit;
        let private = if submission.prefill_only {
            0
        } else {
            submission.tokens_out
        };
        if self.jobs.len() >= places || !self.memory.could_hold(&submission.prompt, private) {
            return Err(Rejection::Full);
        }
        Ok(())
    }

    /// Puts a fetch behind those before it on the link and returns when it ends.
    pub(super) fn reserve_link(
        &mut self,
        now: Micros,
        transfer: &KvTransfer,
    ) -> Result<Micros, Rejection> {
        let begins = self.link_free.max(now);
        if begins - now > self.parameters.longest_link_wait {
            return Err(Rejection::LinkBusy);
        }
        let tokens: u64 = transfer.parts.iter().map(|part| part.tokens).sum();
        let bits = tokens * self.parameters.cache_token_bytes * BITS_PER_BYTE;
        let micros = (bits as f64 / self.parameters.link_mbps).ceil() as Micros;
        self.link_free = begins + micros * transfer.distance.factor() * self.link_slow_down;
        Ok(self.link_free)
    }

    /// Gives slots and memory to waiting requests, the most urgent first.
    pub(super) fn admit(&mut self, now: Micros) {
        loop {
            let waiting = self.jobs.values().filter(|job| job.phase == Phase::Waiting);
            let Some(next) = waiting.min_by_key(|job| job.rank()).map(|job| job.key) else {
                return;
            };
            while !self.try_admit(next) {
                let Some(victim) = self.victim_for(next) else {
                    return;
                };
                self.preempt(victim, now);
            }
        }
    }

    /// A running request that is less urgent than `key` and may be preempted for it.
    pub(super) fn victim_for(&self, key: JobKey) -> Option<JobKey> {
        let urgent = self.jobs.get(&key)?.submission.priority;
        let victim = self.newest_of_least_urgent()?;
        (self.jobs[&victim].submission.priority > urgent).then_some(victim)
    }

    pub(super) fn try_admit(&mut self, key: JobKey) -> bool {
        let running = self.jobs.values().filter(|job| job.is_running()).count();
        let Some(job) = self.jobs.get_mut(&key) else {
            return false;
        };
        if running >= self.parameters.slots {
            return false;
        }
        let prompt = job.submission.prompt.clone();
        let kept = self.memory.kept_tokens(&prompt);
        let private_blocks = self.memory.blocks_of(job.made);
        if self.memory.take(&prompt).is_err() {
            return false;
        }
        if self.memory.take_private(private_blocks).is_err() {
            self.memory.release(&prompt);
            return false;
        }
        job.private_blocks = private_blocks;
        job.admitted = self.next_admission;
        self.next_admission += 1;
        let left = if job.fetched {
            job.made
        } else {
            job.prompt_tokens() - kept + job.made
        };
        job.phase = Phase::Reading { left };
        if job.fetched && left == 0 {
            self.memory.mark_read(&prompt);
            job.phase = Phase::Decoding;
        }
        true
    }

    /// The running request that gives way when memory runs out.
    pub(super) fn newest_of_least_urgent(&self) -> Option<JobKey> {
        let running = self.jobs.values().filter(|job| job.is_running());
        running
            .max_by_key(|job| (job.submission.priority, job.admitted))
            .map(|job| job.key)
    }

    /// Takes slot and memory from a running request; it waits again and is read anew.
    pub(super) fn preempt(&mut self, key: JobKey, at: Micros) {
        let Some(job) = self.jobs.get(&key).cloned() else {
            return;
        };
        self.release_memory(&job);
        if let Some(job) = self.jobs.get_mut(&key) {
            job.phase = Phase::Waiting;
            job.private_blocks = 0;
            job.fetched = false;
        }
        self.outputs.push_back(Output::Preempted { job: key, at });
    }
}
