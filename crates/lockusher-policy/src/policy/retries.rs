//! Retries: when a part is sent, retried or cancelled, and the retry budget.

use super::Policy;
use crate::interface::*;

/// Retry budget: as many retries as recent ones succeeded, within a sliding-window limit if one is set.
pub struct Retries {
    pub(super) limits: AttemptLimits,
    window: Option<RetryLimit>,
    tokens: f64,
    /// EWMA of the fraction of retries that brought their part's answer.
    pub(super) success_ratio: f64,
    arrivals: Vec<Time>,
    sent: Vec<Time>,
}

impl Retries {
    pub fn new(limits: AttemptLimits, window: Option<RetryLimit>) -> Self {
        // Initial tokens, so that a mixer that has just started can handle a failure.
        Retries { limits, window, tokens: 5.0, success_ratio: 0.5, arrivals: Vec::new(), sent: Vec::new() }
    }

    pub(super) fn record_parts(&mut self, now: Time, parts: usize) {
        // Even if no retry succeeds, a few are made to detect when they help again. The bucket holds at least
        // half of the parts of a multiget, so that the failure of several searchers is handled at once.
        const MIN_RATE: f64 = 0.03;
        let max_tokens = (parts as f64 / 2.0).max(20.0);
        self.tokens = (self.tokens + parts as f64 * (MIN_RATE + self.success_ratio)).min(max_tokens);
        let counted = if self.window.is_some() { parts + 1 } else { 0 };
        self.arrivals.extend(std::iter::repeat_n(now, counted));
    }

    /// Whether the own retry budget and the fleet's allow a retry.
    fn allows(&mut self, now: Time, fleet: &TokenBuckets) -> bool {
        let within_limit = self.window.is_none_or(|RetryLimit { base, ratio, window }| {
            // At the exact edge of the window, retries count and arrivals do not.
            self.sent.retain(|&at| now.since(at) <= window);
            self.arrivals.retain(|&at| now.since(at) < window);
            self.sent.len() as f64 + 1.0 <= base + ratio * self.arrivals.len() as f64
        });
        within_limit && self.tokens >= 1.0 && fleet.has(now, Budget::Retries)
    }

    fn record_retry(&mut self, now: Time, fleet: &mut TokenBuckets) {
        self.tokens -= 1.0;
        self.sent.extend(self.window.map(|_| now));
        fleet.spend(now, Budget::Retries);
    }
}

impl Policy {
    /// Whether the part may still be answered: an attempt is in flight, or a replica can answer in time.
    pub(super) fn may_be_answered(&self, now: Time, mg: &Multiget, part: &Part) -> bool {
        let in_flight = part.attempts.iter().any(|s| s.outcome.is_none());
        let has_holder = || self.selector.holders(part.shard).next().is_some();
        !part.closed
            && (in_flight || (self.may_send(now, mg, part) && has_holder() && self.in_time(now, mg, part)))
    }

    /// Whether an attempt sent now may be answered before the answer loses its value.
    fn in_time(&self, now: Time, mg: &Multiget, part: &Part) -> bool {
        let min_s =
            self.selector.median(self.op(mg).latency_target) * 0.5 + self.extra_work(mg.op_type, part);
        self.usable_until(mg).since(now) >= Span::from_secs(min_s)
    }

    /// Whether the limits and the idempotency of the part allow another attempt.
    fn may_send(&self, now: Time, mg: &Multiget, part: &Part) -> bool {
        if part.returned || part.closed || part.attempts.len() >= self.retries.limits.max_attempts {
            return false;
        }
        let Some(first) = part.first_possibly_executed() else { return true };
        match self.op(mg).idempotency {
            Idempotency::Retriable => true,
            Idempotency::Deduped(window) => now.since(first.sent_at) + self.reply_margin() < window,
            Idempotency::NonRetriable => false,
        }
    }

    /// Seconds after which a part of usual work is retried. Duplicating a part that is only slightly late
    /// costs more than it gains, so the threshold is high; it is lower if the searcher has been silent since.
    fn retry_delay(&self, peers: f64, last: Option<&Attempt>) -> f64 {
        let alive =
            last.and_then(|s| self.selector.searchers.get(&s.to).map(|to| to.last_outcome_at > s.sent_at));
        // Higher if the first attempt has to be given up for the second.
        let deviations = if self.retries.limits.may_hedge { 10.0 } else { 15.0 };
        let margin = deviations * self.deviation.value * if alive == Some(true) { 1.0 } else { 2.0 / 3.0 };
        if self.mean.count < 10.0 { peers * 3.0 } else { self.mean.value + margin }
    }

    /// Sends or retries the parts that are due, and cancels the attempts that these replace.
    pub(super) fn send_due_parts(&mut self, now: Time, mg: &Multiget) -> Decision {
        let mut decision = Decision::default();
        let (op, target) = (mg.op_type, self.op(mg).latency_target);
        let peers = self.selector.median(target);
        let AttemptLimits { may_hedge, may_cancel, .. } = self.retries.limits;
        let (partial_from, end) = (self.partial_from(mg), self.usable_until(mg));
        // Detects middleboxes that drop idle connections: attempts on these fail far more often than others,
        // so the searchers are not at fault. A false positive costs handshakes.
        let no_idle = self.selector.idle_lost.value(now) > (2.0 * self.selector.lost.value(now)).max(0.2);
        let mut wake_at = if now < partial_from { partial_from } else { end };
        for (index, p) in mg.current_step().filter(|(_, p)| !p.returned && !p.closed) {
            let extra = self.extra_work(op, p);
            let last = p.attempts.last().filter(|s| s.outcome.is_none());
            let delay = Span::from_secs(self.retry_delay(peers, last) + extra).max(self.tick);
            let open: Vec<usize> =
                (0..p.attempts.len()).filter(|&i| p.attempts[i].outcome.is_none()).collect();
            if let Some(due) = open.last().map(|&i| p.attempts[i].sent_at + delay).filter(|&due| due > now) {
                wake_at = wake_at.min(due);
                continue;
            }
            if !self.may_send(now, mg, p) || !self.in_time(now, mg, p) {
                continue;
            }
            let is_retry = !p.attempts.is_empty();
            let pick = self.selector.pick(now, p, target, &mut self.rng);
            let allowed = |_: &_| !is_retry || self.retries.allows(now, &self.selector.budgets);
            let Some((to, _)) = pick.as_ref().ok().filter(allowed) else {
                let retry_in = pick.err().flatten().unwrap_or(Span::from_secs(peers * 0.5));
                wake_at = wake_at.min(now + retry_in.max(self.tick));
                continue;
            };
            let retry_at = |last: &Attempt| last.sent_at + Span::from_secs(peers * p.attempts.len() as f64);
            let previous = p.attempts.iter().rev().find(|s| s.to == *to);
            if !open.is_empty() {
                let cancelled = open.iter().filter(|_| may_cancel && !may_hedge && previous.is_none());
                decision.cancel.extend(cancelled.map(|&nth| (index, nth)));
                if previous.is_some() || !may_hedge {
                    continue;
                }
            } else if let Some(at) = previous.map(retry_at).filter(|&at| at > now) {
                // All available replicas have failed this part: give them some time first.
                wake_at = wake_at.min(at.max(now + self.tick));
                continue;
            }
            if is_retry {
                self.retries.record_retry(now, &mut self.selector.budgets);
            }
            if self.selector.searchers.get(to).is_some_and(|s| s.capacity(now, &self.selector.warmup) < 1.0) {
                self.selector.budgets.spend(now, Budget::Cold);
            }
            let fresh_connection =
                self.selector.searchers.get_mut(to).is_some_and(|s| s.begin(now, extra, is_retry || no_idle));
            let time_left = end.since(now);
            let timeout = if may_hedge || may_cancel { time_left } else { delay.min(time_left) };
            wake_at = wake_at.min(now + delay);
            decision.commands.push(SendCommand { part: index, to: to.clone(), timeout, fresh_connection });
        }
        decision.recheck_after = Some(wake_at.since(now).max(self.tick));
        decision
    }
}
