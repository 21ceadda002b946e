//! Admission control: rejects new multigets under overload and enforces the tenants' quotas.

use super::Policy;
use crate::interface::*;

/// Priorities of multigets relative to each other, and the tenants that exceed their quota.
pub struct Admission {
    /// For each tenant: its quota per second over all mixers, its tokens here, and when these were updated.
    quotas: Vec<(f64, f64, Time)>,
    /// Factor on the priority of tenants over their quota.
    over_quota: f64,
    /// `OpType::value` is per unit of work instead of per multiget.
    per_work: bool,
    /// The longest retry delay that clients observe; `None` if they are not given one.
    pub(super) retry_after: Option<Span>,
    /// Mean priority over the last fifty multigets.
    mean: Mean<50>,
    /// Admitted multigets that missed their latency target; decays fast, so that admission resumes soon.
    pub(super) missed: FailureRatio<30, 3, RECENT_S>,
    /// First tries that missed it: while these are few, retries are few as well.
    pub(super) missed_first: FailureRatio<30, 3, 3>,
}

/// Half-life in seconds of misses, and of the latency of idle replicas since their last outcome.
pub(super) const RECENT_S: u32 = 3;

/// Minimum bucket size in multigets: with a local quota below one per second, the first is not over quota.
const MIN_TOKENS: f64 = 2.0;

impl Admission {
    pub fn new(now: Time, tenants: &[Tenant], over: f64, per_work: bool, retry_after: Option<Span>) -> Self {
        let quotas = tenants.iter().map(|t| (t.quota_per_s, MIN_TOKENS, now)).collect();
        let (mean, missed, missed_first) = (Mean::default(), FailureRatio::new(now), FailureRatio::new(now));
        Admission { quotas, over_quota: over, per_work, retry_after, mean, missed, missed_first }
    }

    pub(super) fn record(
        &mut self,
        now: Time,
        mg: &Multiget,
        priority: f64,
        mixers: usize,
        fleet: &mut TokenBuckets,
    ) {
        self.mean.record(priority);
        let Some(tenant) = mg.tenant else { return };
        let Some((quota, tokens, updated_at)) = self.quotas.get_mut(tenant.0) else { return };
        // The bucket holds several seconds (5) of the quota.
        let share = fleet.record_arrival(now, Budget::Tenant(tenant));
        let quota = share.unwrap_or(*quota / mixers.max(1) as f64);
        let (gained, max_tokens) = (now.since(*updated_at).as_secs() * quota, (quota * 5.0).max(MIN_TOKENS));
        (*tokens, *updated_at) = (((*tokens + gained).min(max_tokens) - 1.0).max(-max_tokens), now);
    }

    /// Fraction of the time left that a multiget may plan to use: less if its priority is below the mean.
    fn time_share(&self, priority: f64) -> f64 {
        const MIN_SHARE: f64 = 0.5; // Multigets of low priority are rejected earlier, but not starved.
        (priority / self.mean.value.max(1e-9)).sqrt().clamp(MIN_SHARE, 1.0)
    }
}

impl Policy {
    /// Value per unit of work, reduced for a tenant over its quota.
    pub(super) fn priority(&self, mg: &Multiget) -> f64 {
        let quota = mg.tenant.and_then(|t| self.admission.quotas.get(t.0));
        let scale =
            if quota.is_some_and(|(_, tokens, _)| *tokens < 0.0) { self.admission.over_quota } else { 1.0 };
        let work: f64 = mg.parts.iter().map(|p| self.part_work(mg.op_type, p)).sum();
        self.op(mg).value * scale / if self.admission.per_work { 1.0 } else { work.max(0.1) }
    }

    /// Under overload, rejects a multiget that cannot be answered in time before any work is spent on it,
    /// lowest value per work first. An idle replica is worth an attempt, which corrects stale averages,
    /// unless many admitted multigets missed their latency target: then recent averages are right.
    pub(super) fn must_reject(&mut self, now: Time, mg: &Multiget) -> bool {
        // The slowest of four takes about 1.5 times as long as one; the ratio grows with the logarithm.
        let slowest_ratio = 1.0 + 0.36 * (mg.current_step().count().max(1) as f64).ln();
        let (idle_weight, time_left) = self.limits(now, mg);
        let (target, mut weight_in_time) = (self.op(mg).latency_target, 1e-6);
        for (_, p) in mg.current_step() {
            let pick = self.selector.pick(now, p, target, &mut self.rng);
            let time = pick.map_or(0.0, |(id, expected)| {
                // Old latencies of idle replicas count less: else nothing would be sent, and nothing learned.
                let s = &self.selector.searchers[&id];
                let weight = if s.in_flight.is_empty() {
                    idle_weight * decay(RECENT_S, now.since(s.last_outcome_at))
                } else {
                    1.0
                };
                (expected + self.extra_work(mg.op_type, p)) * weight
            });
            weight_in_time += if time * slowest_ratio > time_left { 0.0 } else { p.weight };
        }
        weight_in_time < self.op(mg).min_share.min(self.op(mg).complete_share)
    }

    /// Inputs of `must_reject`, for a trace. Draws from a copy of the random generator: no side effects.
    pub fn admission_trace(&self, now: Time, mg: &Multiget) -> AdmissionTrace {
        let (target, rng) = (self.op(mg).latency_target, &mut self.rng.clone());
        let seen = |(id, est): (SearcherId, f64)| {
            let s = &self.selector.searchers[&id];
            (id, est, s.in_flight.is_empty(), now.since(s.last_outcome_at).as_secs(), s.averages(now, est).1)
        };
        let picks =
            mg.current_step().map(|(_, p)| self.selector.pick(now, p, target, rng).ok().map(seen)).collect();
        let ((idle_weight, time_left), unserved) =
            (self.limits(now, mg), self.admission.missed_first.value(now));
        AdmissionTrace { idle_weight, time_left, unserved, peers: self.selector.median(target), picks }
    }

    /// Weight of an idle replica's latency in admission, and the seconds that this multiget may plan to use.
    fn limits(&self, now: Time, mg: &Multiget) -> (f64, f64) {
        // Once a third of the admitted multigets miss their target, idle replicas count like any other.
        let idle_weight = (self.admission.missed.value(now) * 3.0).min(1.0);
        (idle_weight, self.target_end(mg).since(now).as_secs() * self.admission.time_share(self.priority(mg)))
    }
}
