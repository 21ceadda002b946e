//! Host of the decision module of one mixer: it keeps the accepted multigets and carries out
//! decisions. The caller provides the clock, the timer and the transport.

use std::collections::HashMap;

use anyhow::{Context, Result, ensure};
use lockusher_policy::interface::*;
use lockusher_policy::policy::{Admission, Policy, Polling, Retries, Selector};

use crate::settings::Settings;

/// Receives the actions of the host, in order.
pub trait ActionSink {
    /// Sends a part; `command.part` is its index, and the number of its attempts so far is the
    /// index of this one.
    fn send(&mut self, multiget: &Multiget, command: &SendCommand);
    /// Cancels an attempt.
    fn cancel(&mut self, part: &PartId, nth: usize);
    /// Gives a reply; it is the final one if `multiget.ended` is set.
    fn reply(&mut self, multiget: &Multiget, reply: Reply);
    /// Subscribes to discovery.
    fn subscribe(&mut self);
    /// Whether to take an admission trace of the next rejected multiget.
    fn wants_admission_trace(&self) -> bool {
        false
    }
    /// Receives the admission trace of a multiget that was rejected before any part was sent.
    fn record_admission_trace(&mut self, _multiget: &Multiget, _trace: AdmissionTrace) {}
}

/// A new multiget.
pub struct NewMultiget {
    pub id: MultigetId,
    /// Sequence number assigned by the caller; it increases with each multiget.
    pub number: u64,
    pub op_type: OpTypeId,
    pub tenant: Option<TenantId>,
    pub resubmitted: bool,
    pub hint: Option<Span>,
    /// The client's deadline.
    pub deadline: Time,
}

/// A new part of a multiget.
pub struct NewPart {
    pub id: PartId,
    pub shard: Shard,
    pub weight: f64,
    pub hint: Option<Span>,
}

/// How an attempt ended.
pub struct AttemptResult {
    pub part: PartId,
    pub nth: usize,
    pub outcome: Outcome,
    pub elapsed: Span,
    /// No further attempt of the part will be made or awaited.
    pub closed: bool,
}

/// The decision module and the pending multigets of one mixer.
pub struct Host {
    policy: Policy,
    second_steps: Vec<usize>,
    pending: PendingMultigets,
    /// Ids by sequence number, for the parts that follow.
    ids_by_number: HashMap<u64, MultigetId>,
    /// The multiget of each part, and the part's index in it.
    parts: HashMap<PartId, (MultigetId, usize)>,
}

impl Host {
    /// Creates a host; fails if the settings are incomplete or `extra.cells` is 0.
    pub fn start(now: Time, seed: u64, settings: &Settings) -> Result<Self> {
        let op_types = settings.op_types().map_err(anyhow::Error::msg)?;
        let layout = settings.layout();
        ensure!(layout.cells > 0, "extra.cells is 0");
        let tick = Span::from_micros(settings.tick_us);
        let second_steps = op_types.iter().map(|op| op.second_step).collect();
        let locality = (settings.home_zone(), settings.cross_zone_price());
        let selector = Selector::new(
            now,
            layout,
            settings.slow_start(),
            locality,
            (settings.rank, settings.balancers),
        );
        let retries = Retries::new(settings.attempt_limits(), settings.retry_limit());
        let admission = Admission::new(
            now,
            &settings.tenants(),
            settings.over_share_worth,
            settings.value_is_per_work(),
            settings.max_retry_after(),
        );
        let polling = Polling::new(now, settings.poll_interval());
        let policy = Policy::new(
            seed,
            tick,
            op_types,
            (selector, retries, admission, polling),
        );
        let (pending, ids_by_number, parts) =
            (PendingMultigets::new(), HashMap::new(), HashMap::new());
        Ok(Host {
            policy,
            second_steps,
            pending,
            ids_by_number,
            parts,
        })
    }

    /// The accepted multigets that have attempts in flight or no final reply.
    pub fn pending(&self) -> &PendingMultigets {
        &self.pending
    }

    /// Applies an update from discovery or from the fleet's shared state.
    pub fn apply_update(&mut self, now: Time, update: PolicyUpdate) {
        self.policy.apply_update(now, update);
    }

    /// Observations on searchers, for other mixers.
    pub fn observations(&self) -> Vec<SearcherObservation> {
        self.policy.observations()
    }

    /// Units per second spent of the budgets that the fleet shares.
    pub fn budget_usage(&self, now: Time) -> Vec<(Budget, f64)> {
        self.policy.budget_usage(now)
    }

    /// Adds a multiget; its parts must be added before the next `settle`.
    pub fn add_multiget(&mut self, now: Time, new: NewMultiget) {
        self.ids_by_number.insert(new.number, new.id.clone());
        let multiget = Multiget {
            id: new.id.clone(),
            number: new.number,
            op_type: new.op_type,
            tenant: new.tenant,
            resubmitted: new.resubmitted,
            hint: new.hint,
            arrived: now,
            deadline: new.deadline,
            next_check: now,
            parts: Vec::new(),
            first_answer: None,
            ended: false,
        };
        self.pending.insert(new.id, multiget);
    }

    /// Adds a part; ignored if its multiget is no longer pending.
    pub fn add_part(&mut self, now: Time, number: u64, part: NewPart) {
        let Some(id) = self.ids_by_number.get(&number) else {
            return;
        };
        let Some(multiget) = self.pending.get_mut(id) else {
            return;
        };
        multiget.next_check = now;
        self.parts
            .insert(part.id.clone(), (id.clone(), multiget.parts.len()));
        multiget.parts.push(Part {
            id: part.id,
            shard: part.shard,
            weight: part.weight,
            hint: part.hint,
            second_step: multiget.first_answer.is_some(),
            attempts: Vec::new(),
            returned: false,
            closed: false,
        });
    }

    /// Records how an attempt ended, once; returns whether its answer is used.
    pub fn record_outcome(
        &mut self,
        now: Time,
        result: &AttemptResult,
        sink: &mut impl ActionSink,
    ) -> Result<bool> {
        let Some((id, index)) = self.parts.get(&result.part).cloned() else {
            return Ok(false);
        };
        let Some(multiget) = self.pending.get_mut(&id) else {
            return Ok(false);
        };
        let part = &mut multiget.parts[index];
        let attempt = (part.attempts.get_mut(result.nth)).with_context(|| {
            format!(
                "{}: attempt {} was never sent",
                result.part.as_str(),
                result.nth
            )
        })?;
        if attempt.outcome.is_some() {
            return Ok(false);
        }
        attempt.outcome = Some(result.outcome);
        let too_late = part.returned || part.closed || multiget.ended;
        let accepted = result.outcome == Outcome::Returned && !too_late;
        part.returned |= accepted;
        part.closed |= result.closed;
        let decision = self
            .policy
            .outcome(now, multiget, index, result.nth, result.elapsed);
        self.carry_out(now, &id, decision, sink);
        self.drop_if_finished(&id);
        Ok(accepted)
    }

    /// The client is gone: nothing more is sent for its multiget, and no reply is given.
    pub fn client_left(&mut self, id: &MultigetId) {
        if let Some(multiget) = self.pending.get_mut(id) {
            multiget.ended = true;
            self.drop_if_finished(id);
        }
    }

    /// Expires all pending multigets.
    pub fn expire_all(&mut self, now: Time) {
        for multiget in self.pending.values_mut() {
            (multiget.deadline, multiget.next_check) = (now, now);
        }
    }

    /// Runs the work that is due; returns the longest delay until the next call.
    pub fn run_due(&mut self, now: Time, sink: &mut impl ActionSink) -> Option<Span> {
        let schedule = self.policy.schedule(now, &self.pending);
        if let Some(DiscoveryCall::Subscribe) = schedule.discovery {
            sink.subscribe();
        }
        for id in &schedule.due {
            if let Some(multiget) = self.pending.get(id) {
                let decision = self.policy.decide(now, multiget);
                self.carry_out(now, id, decision, sink);
                self.drop_if_finished(id);
            }
        }
        self.policy.schedule(now, &self.pending).next_call
    }

    /// Carries out a decision through `sink`.
    fn carry_out(
        &mut self,
        now: Time,
        id: &MultigetId,
        decision: Decision,
        sink: &mut impl ActionSink,
    ) {
        let Some(multiget) = self.pending.get_mut(id) else {
            return;
        };
        if let Some(delay) = decision.recheck_after {
            multiget.next_check = now + delay;
        }
        for (index, nth) in decision.cancel {
            sink.cancel(&multiget.parts[index].id, nth);
        }
        for command in decision.commands {
            sink.send(multiget, &command);
            multiget.parts[command.part].attempts.push(Attempt {
                to: command.to,
                sent_at: now,
                outcome: None,
            });
        }
        let Some(reply) = decision.reply else { return };
        if let Reply::Answered { complete } = reply {
            let second_step = self.second_steps[multiget.op_type.0] > 0;
            multiget.ended = !second_step || multiget.first_answer.is_some();
            multiget.first_answer.get_or_insert(complete);
        } else {
            multiget.ended = true;
        }
        let fresh = multiget.parts.iter().all(|part| part.attempts.is_empty());
        if matches!(reply, Reply::PushedBack { .. }) && fresh && sink.wants_admission_trace() {
            sink.record_admission_trace(multiget, self.policy.admission_trace(now, multiget));
        }
        sink.reply(multiget, reply);
    }

    /// A finished multiget stays pending until its last attempt has ended, so that each outcome
    /// finds its attempt.
    fn drop_if_finished(&mut self, id: &MultigetId) {
        let finished = |m: &Multiget| {
            let mut attempts = m.parts.iter().flat_map(|p| &p.attempts);
            m.ended && attempts.all(|a| a.outcome.is_some())
        };
        if !self.pending.get(id).is_some_and(finished) {
            return;
        }
        if let Some(multiget) = self.pending.remove(id) {
            self.ids_by_number.remove(&multiget.number);
            for part in &multiget.parts {
                self.parts.remove(&part.id);
            }
        }
    }
}
