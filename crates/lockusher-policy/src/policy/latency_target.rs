//! The latency target of a multiget: how much time it has, and the reply that it gets by then.

use super::Policy;
use crate::interface::*;

impl Policy {
    /// Time for the reply to reach the client: input is handled once per tick, and a network hop follows.
    pub(super) fn reply_margin(&self) -> Span {
        self.tick.times(3.0) + Span::from_millis(5)
    }

    /// Whether the client set the timeout that first tries have.
    pub(super) fn is_first_try(&self, mg: &Multiget) -> bool {
        let (usual, _) = self.ops[mg.op_type.0].first_timeout;
        let given = mg.deadline.since(mg.arrived);
        given.saturating_sub(usual).max(usual.saturating_sub(given)) < Span::from_millis(20)
    }

    /// When the latency target passes for the client. A retry with an unusual timeout has what is left of the
    /// route timeout, so its first try began that much earlier. If most first tries are answered in time, it
    /// is taken for a first try with a short timeout. Misjudges retries if other mixers reject many.
    pub(super) fn target_end(&self, mg: &Multiget) -> Time {
        let op = self.op(mg);
        let extra_time = mg.hint.map_or(Span::ZERO, |h| h.times(op.target_stretch));
        let target = (op.latency_target + extra_time).min(op.route_timeout);
        let p_retry =
            if self.is_first_try(mg) { 0.0 } else { self.admission.missed_first.value(mg.arrived) * 3.0 };
        let elapsed = op.route_timeout.saturating_sub(mg.deadline.since(mg.arrived)).times(p_retry.min(1.0));
        (mg.arrived + target - elapsed).min(mg.deadline) - self.reply_margin()
    }

    /// An answer after this time has no value.
    pub(super) fn usable_until(&self, mg: &Multiget) -> Time {
        if self.op(mg).late_value > 0.0 { mg.deadline - self.reply_margin() } else { self.target_end(mg) }
    }

    /// When a partial answer is given instead of waiting further.
    pub(super) fn partial_from(&self, mg: &Multiget) -> Time {
        let op = self.op(mg);
        let end = self.target_end(mg);
        if op.second_step == 0 || mg.first_answer.is_some() {
            return end;
        }
        // The slowest of a few parts takes about this multiple of the mean latency. The second-step parts
        // answered so far are the fast ones, so their mean may be too low: under long queues, the others wait
        // like any part. The mean of all parts is therefore the least that is assumed.
        const SLOWEST_OF_FEW: f64 = 2.5;
        let usual = self.ops[mg.op_type.0].averages[1].0.get().unwrap_or(op.latency_target.as_secs() / 8.0);
        let needed = Span::from_secs(usual.max(self.mean.value) * SLOWEST_OF_FEW);
        end - needed.min(op.latency_target.times(0.5))
    }

    /// The final reply, if it is due.
    pub(super) fn final_reply(&self, now: Time, mg: &Multiget) -> Option<Reply> {
        const SLACK: f64 = 1e-6; // Tolerance for rounding errors in sums of weights.
        let (op, first) = (self.op(mg), mg.first_answer);
        let (mut got, mut possible, mut missing) = (0.0, 0.0, 0);
        for (_, p) in mg.current_step() {
            got += if p.returned { p.weight } else { 0.0 };
            missing += usize::from(!p.returned);
            possible += if p.returned || self.may_be_answered(now, mg, p) { p.weight } else { 0.0 };
        }
        let no_parts = missing == 0 && got == 0.0; // The parts of a second step are added a little later.
        if !no_parts && (missing == 0 || (first.is_none() && got + SLACK >= op.complete_share)) {
            return Some(Reply::Answered { complete: first.unwrap_or(true) });
        }
        let partial = op.min_share < op.complete_share;
        let least = if first.is_some() && !partial { 1.0 } else { op.min_share };
        if partial && got > 0.0 && got + SLACK >= least && (now >= self.partial_from(mg) || possible <= got) {
            return Some(Reply::Answered { complete: false });
        }
        (now >= self.usable_until(mg) || (!no_parts && possible + SLACK < least)).then(|| self.give_up(mg))
    }

    /// Rejects with a retry time if a retry is known to be harmless; otherwise fails.
    pub(super) fn give_up(&self, mg: &Multiget) -> Reply {
        let may_have_executed = mg.parts.iter().any(|p| p.first_possibly_executed().is_some());
        if self.op(mg).idempotency != Idempotency::Retriable && may_have_executed {
            return Reply::Failed;
        }
        // The time in which about two more rounds of work are done.
        let rounds = Span::from_secs(self.selector.median(self.op(mg).latency_target) * 2.0);
        Reply::PushedBack { retry_after: self.admission.retry_after.map(|longest| rounds.min(longest)) }
    }
}
