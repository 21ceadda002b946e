//! Changes of stage.

use super::batch::{Engine, Switch};
use super::types::{JobKey, Micros, OrderAnswer, Output, Rejection, Stage};

impl Engine {
    /// Changes the stage: what runs may finish, what has not begun is rejected.
    pub fn order_stage(&mut self, now: Micros, to: Stage, if_sequence: Option<u64>) -> OrderAnswer {
        self.play_until(now);
        if if_sequence.is_some_and(|expected| expected != self.orders_taken) {
            return OrderAnswer::Conflict;
        }
        if let Some(switch) = self.switch {
            return if switch.to == to {
                OrderAnswer::AlreadyHolds
            } else {
                OrderAnswer::Conflict
            };
        }
        if self.stage == to {
            return OrderAnswer::AlreadyHolds;
        }
        self.orders_taken += 1;
        self.switch = Some(Switch { to, done: None });
        self.reject_not_begun(now);
        self.settle_switch(now);
        OrderAnswer::Accepted
    }

    fn reject_not_begun(&mut self, at: Micros) {
        let rejected: Vec<JobKey> = self
            .jobs
            .values()
            .filter(|job| !job.begun)
            .map(|job| job.key)
            .collect();
        for key in rejected {
            if let Some(job) = self.jobs.remove(&key) {
                self.release_memory(&job);
                self.outputs.push_back(Output::Rejected {
                    job: key,
                    why: Rejection::Busy,
                    at,
                });
            }
        }
    }

    /// Starts the change of stage once nothing runs, and ends it when its time is over.
    pub(super) fn settle_switch(&mut self, at: Micros) {
        let Some(switch) = self.switch else { return };
        match switch.done {
            None if self.jobs.is_empty() => {
                let done = Some(at + self.parameters.role_switch);
                self.switch = Some(Switch { done, ..switch });
            }
            Some(done) if done <= at => {
                self.stage = switch.to;
                self.switch = None;
            }
            _ => {}
        }
    }
}
