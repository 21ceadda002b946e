//! Stage changes between prefill and decode.

use super::batch::{Engine, StageSwitch};
use super::types::{JobKey, Micros, OrderResponse, Output, Rejection, Stage};

impl Engine {
    /// Starts a stage change: started requests finish, all others are rejected.
    ///
    /// `if_sequence` makes the order conditional on the number of orders accepted so far.
    pub fn order_stage(
        &mut self,
        now: Micros,
        target: Stage,
        if_sequence: Option<u64>,
    ) -> OrderResponse {
        self.run_until(now);
        if if_sequence.is_some_and(|expected| expected != self.accepted_orders) {
            return OrderResponse::Conflict;
        }
        if let Some(switch) = self.switch {
            return if switch.target == target {
                OrderResponse::AlreadyInStage
            } else {
                OrderResponse::Conflict
            };
        }
        if self.stage == target {
            return OrderResponse::AlreadyInStage;
        }
        self.accepted_orders += 1;
        self.switch = Some(StageSwitch {
            target,
            completes_at: None,
        });
        self.reject_not_started(now);
        self.advance_stage_switch(now);
        OrderResponse::Accepted
    }

    /// Rejects every request that has not generated a token.
    fn reject_not_started(&mut self, at: Micros) {
        let not_started: Vec<JobKey> = self
            .jobs
            .values()
            .filter(|job| !job.has_started)
            .map(|job| job.key)
            .collect();
        for key in not_started {
            if let Some(job) = self.jobs.remove(&key) {
                self.release_memory(&job);
                self.outputs.push_back(Output::Rejected {
                    job: key,
                    reason: Rejection::Busy,
                    at,
                });
            }
        }
    }

    /// Starts the timer of a stage change once no request is left, and completes the change when it expires.
    pub(super) fn advance_stage_switch(&mut self, at: Micros) {
        let Some(switch) = self.switch else { return };
        match switch.completes_at {
            None if self.jobs.is_empty() => {
                let completes_at = Some(at + self.parameters.stage_switch_duration);
                self.switch = Some(StageSwitch {
                    completes_at,
                    ..switch
                });
            }
            Some(completes_at) if completes_at <= at => {
                self.stage = switch.target;
                self.switch = None;
            }
            _ => {}
        }
    }
}
