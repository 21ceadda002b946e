//! All decisions of a mixer: which replica serves each part, how long to wait, when to retry, when to reply,
//! what to reject under overload, and when to call discovery. Each submodule covers one concern.
//!
//! Create a [`Policy`], feed it updates on the searchers with [`Policy::apply_update`], then call
//! [`Policy::decide`] for the next actions of a multiget, [`Policy::outcome`] after each attempt, and
//! [`Policy::schedule`] for the multigets that are due. The host keeps the timers and the multigets and
//! carries out each [`Decision`]. The types are in `interface.rs`; `docs/design.md` gives the reasons.

mod admission;
mod latency_target;
mod retries;
mod searcher;
mod selector;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::searcher::Searcher;
pub use self::{admission::Admission, retries::Retries, selector::Selector};
use crate::interface::*;
use crate::scoring::blend;

/// When to call discovery, where the list has to be requested.
pub struct Polling {
    interval: Option<Span>,
    next: Option<Time>,
    failures: i32,
}

impl Polling {
    /// If the list has to be requested, the first call is immediate: a mixer that starts has an old list.
    pub fn new(now: Time, interval: Option<Span>) -> Self {
        Polling { interval, next: interval.map(|_| now), failures: 0 }
    }

    /// Retries with jitter and backoff, capped far below the time after which the list counts as known.
    fn retry_after_failure(&mut self, now: Time, rng: &mut ChaCha8Rng) {
        let Some(interval) = self.interval else { return };
        // The first retry comes after about the duration of a call.
        let backoff = (0.4 * 2f64.powi(self.failures)).min(interval.as_secs() / 4.0);
        self.failures += 1;
        self.next = Some(now + Span::from_secs(backoff * rng.random_range(0.5..1.5)));
    }
}

/// Over the last hundred samples: stable while a single searcher is slow, yet it follows daily load changes.
type Average = Mean<100>;

/// An operation type, and this mixer's statistics of its multigets.
struct OpTypeState {
    op: OpType,
    /// Latency and work hint of the parts of each step, so that unequal parts can share one average.
    averages: [(Average, Average); 2],
    /// Timeout that most clients set, which is that of a first try, and its number of votes.
    first_timeout: (Span, i32),
}

/// The decision module of one mixer.
pub struct Policy {
    tick: Span,
    rng: ChaCha8Rng,
    ops: Vec<OpTypeState>,
    /// Latency of all parts.
    all: Average,
    /// Mean latency of parts of usual work, and its mean deviation.
    mean: Average,
    deviation: Average,
    selector: Selector,
    retries: Retries,
    admission: Admission,
    discovery: Polling,
}

impl Policy {
    pub fn new(
        seed: u64,
        tick: Span,
        ops: Vec<OpType>,
        deps: (Selector, Retries, Admission, Polling),
    ) -> Self {
        let (selector, retries, admission, discovery) = deps;
        let (rng, mean) = (ChaCha8Rng::seed_from_u64(seed), Average::default());
        let state = |op| OpTypeState { op, averages: [(mean, mean); 2], first_timeout: (Span::ZERO, 0) };
        let ops = ops.into_iter().map(state).collect();
        Policy { tick, rng, ops, all: mean, mean, deviation: mean, selector, retries, admission, discovery }
    }

    /// Applies an update from discovery or from the fleet's shared state.
    pub fn apply_update(&mut self, now: Time, update: PolicyUpdate) {
        match update {
            PolicyUpdate::Changes(list) => self.selector.apply_list(now, list, false),
            PolicyUpdate::All(list) | PolicyUpdate::Cached(list) => self.selector.apply_list(now, list, true),
            PolicyUpdate::Failed => return self.discovery.retry_after_failure(now, &mut self.rng),
            PolicyUpdate::Mixers(mixers) => return self.selector.mixers = mixers.max(1),
            PolicyUpdate::Health(reports) => return self.selector.apply_agreed_health(reports),
            PolicyUpdate::WarmStart(known) => return self.selector.apply_warm_start(now, known),
            PolicyUpdate::QuotaShares(shares) => return self.selector.budgets.set(now, &shares),
        }
        self.discovery.failures = 0;
    }

    /// Units per second that this mixer spends of the shared budgets.
    pub fn budget_usage(&self, now: Time) -> Vec<(Budget, f64)> {
        self.selector.budgets.spent(now)
    }

    /// Observations on searchers, for other mixers.
    pub fn observations(&self) -> Vec<SearcherObservation> {
        let observations = self.selector.all_up().map(|s| {
            let &Searcher {
                latency,
                success_ratio,
                last_outcome_at,
                down_since,
                cold_since,
                ref entry,
                ref in_flight,
                ..
            } = s;
            let silent_since = in_flight.iter().map(|a| a.0).min().filter(|since| *since > last_outcome_at);
            let (id, started_at) = (entry.id.clone(), entry.up_since);
            SearcherObservation {
                id,
                started_at,
                latency,
                success_ratio,
                last_outcome_at,
                silent_since,
                down_since,
                cold_since,
            }
        });
        observations.filter(|o| o.latency.is_some() || o.silent_since.is_some()).collect()
    }

    /// The multigets that are due, in order of priority, and the time until the next one is due.
    pub fn schedule(&mut self, now: Time, pending: &PendingMultigets) -> Schedule {
        let open = || pending.values().filter(|m| !m.ended);
        let mut due: Vec<&Multiget> = open().filter(|m| m.next_check <= now).collect();
        due.sort_by(|a, b| self.priority(b).total_cmp(&self.priority(a)).then(a.number.cmp(&b.number)));
        let due = due.into_iter().map(|m| m.id.clone()).collect();
        let discovery = self.discovery.next.take_if(|at| *at <= now).map(|_| DiscoveryCall::Subscribe);
        let next = open().map(|m| m.next_check).filter(|&at| at > now).chain(self.discovery.next).min();
        Schedule { due, discovery, next_call: next.map(|at| at.since(now)) }
    }

    /// Decides on the next sends or the reply of a multiget.
    pub fn decide(&mut self, now: Time, mg: &Multiget) -> Decision {
        if mg.ended {
            return Decision::default();
        }
        let unsent = mg.parts.iter().all(|p| p.attempts.is_empty());
        if unsent && mg.arrived == now {
            self.record_arrival(now, mg);
        }
        let mut reply = self.final_reply(now, mg);
        if reply.is_none() && unsent && self.must_reject(now, mg) {
            reply = Some(self.give_up(mg));
        }
        let Some(answer) = reply else { return self.send_due_parts(now, mg) };
        let in_time = matches!(answer, Reply::Answered { .. }) && now <= self.target_end(mg);
        let first_try = self.is_first_try(mg);
        let tracked = [
            (!unsent).then_some(&mut self.admission.missed),
            first_try.then_some(&mut self.admission.missed_first),
        ];
        tracked.into_iter().flatten().for_each(|ratio| ratio.record(now, !in_time));
        Decision { reply, ..Decision::default() }
    }

    /// Records an attempt's outcome, which the host has stored in `mg`, and decides what to do next.
    pub fn outcome(&mut self, now: Time, mg: &Multiget, part: usize, nth: usize, elapsed: Span) -> Decision {
        let (op, p) = (mg.op_type, &mg.parts[part]);
        let sent = &p.attempts[nth];
        let outcome = sent.outcome.unwrap_or(Outcome::NotSent);
        let peers = self
            .selector
            .searchers
            .get(&sent.to)
            .map(|s| self.selector.zone_latency(s, self.op(mg).latency_target));
        if let Some((searcher, peers)) = self.selector.searchers.get_mut(&sent.to).zip(peers)
            && let Some((idle, sample)) = searcher.end(now, sent, elapsed, peers)
        {
            let losses = if idle { &mut self.selector.idle_lost } else { &mut self.selector.lost };
            losses.record(now, outcome.is_unanswered() || outcome == Outcome::NoConnection);
            if outcome == Outcome::Returned {
                self.selector.record_answer(now, &sent.to, self.part_work(op, p));
                self.record_latency(op, p, elapsed, sample);
            }
        }
        self.selector.refresh_stats(now);
        if nth > 0 && outcome != Outcome::NotSent {
            let sole = p.attempts.iter().filter(|s| s.outcome == Some(Outcome::Returned)).count() == 1;
            // Averages about the last ten retries.
            blend(&mut self.retries.success_ratio, f64::from(outcome == Outcome::Returned && sole), 0.1);
        }
        self.decide(now, mg)
    }

    fn op(&self, mg: &Multiget) -> &OpType {
        &self.ops[mg.op_type.0].op
    }

    /// Expected work of a part relative to that of a usual part.
    fn part_work(&self, op: OpTypeId, part: &Part) -> f64 {
        let (latency, hint) = &self.ops[op.0].averages[usize::from(part.second_step)];
        let by_op_type = latency.get().map_or(1.0, |l| l / self.all.value);
        let by_hint = part.hint.filter(|_| hint.value > 0.0).map_or(1.0, |h| h.as_secs() / hint.value);
        // Hints are rough and queueing time does not grow with work: at most a few times either way.
        (by_op_type * by_hint).clamp(0.2, 8.0)
    }

    /// Seconds that a part takes beyond a usual part.
    fn extra_work(&self, op: OpTypeId, part: &Part) -> f64 {
        self.selector.stats.min_work * (self.part_work(op, part) - 1.0)
    }

    fn record_latency(&mut self, op: OpTypeId, part: &Part, elapsed: Span, sample: f64) {
        let (latency, hint) = &mut self.ops[op.0].averages[usize::from(part.second_step)];
        latency.record(elapsed.as_secs());
        hint.record(part.hint.map_or(0.0, Span::as_secs));
        self.all.record(elapsed.as_secs());
        // Falls ten times faster than it rises, so it settles near the lower end of the samples.
        let fleet = &mut self.selector.stats;
        let weight = if sample < fleet.min_work { 0.1 } else { 0.01 };
        blend(&mut fleet.min_work, sample, if self.mean.count > 0.0 { weight } else { 1.0 });
        self.deviation.record((sample - self.mean.get().unwrap_or(sample)).abs());
        self.mean.record(sample);
    }

    fn record_arrival(&mut self, now: Time, mg: &Multiget) {
        const MAX_VOTES: i32 = 20; // A change in client timeouts takes effect within this many multigets.
        self.retries.record_parts(now, mg.parts.len());
        self.admission.record(now, mg, self.priority(mg), self.selector.mixers, &mut self.selector.budgets);
        let (timeout, votes) = self.ops[mg.op_type.0].first_timeout;
        self.ops[mg.op_type.0].first_timeout = match self.is_first_try(mg) {
            true => (timeout, (votes + 1).min(MAX_VOTES)),
            false if votes > 0 => (timeout, votes - 1),
            false => (mg.deadline.since(mg.arrived), 1),
        };
    }
}
