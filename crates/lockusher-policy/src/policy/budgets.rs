//! The latency budget of a multiget: how long it has, and the answer that it gets by then.

use super::Policy;
use crate::interface::*;

impl Policy {
    /// Time for the reply to reach the client: what comes in is handled once a tick, and a hop follows.
    pub(super) fn margin(&self) -> Span {
        self.tick.times(3.0) + Span::from_millis(5)
    }

    /// Whether the client gave it as long as first tries get.
    pub(super) fn like_first(&self, mg: &Multiget) -> bool {
        let (usual, _) = self.kinds[mg.op_type.0].first_try;
        let given = mg.ends.since(mg.arrived);
        given.saturating_sub(usual).max(usual.saturating_sub(given)) < Span::from_millis(20)
    }

    /// When the client sees its latency budget pass. A later try given other than the usual time is given
    /// what is left of the route timeout: so long ago its first began. Where most first tries are answered in
    /// time, it is a first one, of a client that gives less. Does harm if others turn many away.
    pub(super) fn budget_end(&self, mg: &Multiget) -> Time {
        let op = self.op(mg);
        let stretch = mg.hint.map_or(Span::ZERO, |h| h.times(op.budget_stretch));
        let budget = (op.latency_budget + stretch).min(op.route_timeout);
        let later = if self.like_first(mg) { 0.0 } else { self.gate.unserved.value(mg.arrived) * 3.0 };
        let gone = op.route_timeout.saturating_sub(mg.ends.since(mg.arrived)).times(later.min(1.0));
        (mg.arrived + budget - gone).min(mg.ends) - self.margin()
    }

    /// After this an answer earns nothing.
    pub(super) fn useful_end(&self, mg: &Multiget) -> Time {
        if self.op(mg).late_share > 0.0 { mg.ends - self.margin() } else { self.budget_end(mg) }
    }

    /// When an answer that is not whole is given rather than waited on.
    pub(super) fn partial_from(&self, mg: &Multiget) -> Time {
        let op = self.op(mg);
        let end = self.budget_end(mg);
        if op.second_step == 0 || mg.first_answer.is_some() {
            return end;
        }
        // The slowest of a few parts takes about this many times the mean. Second steps that come in are the
        // quick ones; where queues are long, the rest wait like any part.
        const SLOWEST_OF_FEW: f64 = 2.5;
        let usual = self.kinds[mg.op_type.0].usual[1].0.known().unwrap_or(op.latency_budget.as_secs() / 8.0);
        let takes = Span::from_secs(usual.max(self.mean.value) * SLOWEST_OF_FEW);
        end - takes.min(op.latency_budget.times(0.5))
    }

    /// The final answer, if it is time for one.
    pub(super) fn reply(&self, now: Time, mg: &Multiget) -> Option<Reply> {
        const SHORT: f64 = 1e-6; // Sums of weights may come up a little short.
        let (op, first) = (self.op(mg), mg.first_answer);
        let (mut have, mut may, mut missing) = (0.0, 0.0, 0);
        for (_, p) in mg.step() {
            have += if p.returned { p.weight } else { 0.0 };
            missing += usize::from(!p.returned);
            may += if p.returned || self.may_return(now, mg, p) { p.weight } else { 0.0 };
        }
        let none = missing == 0 && have == 0.0; // The parts of a second step come a little later.
        if !none && (missing == 0 || (first.is_none() && have + SHORT >= op.need)) {
            return Some(Reply::Answered { whole: first.unwrap_or(true) });
        }
        let partial = op.least_share < op.need;
        let least = if first.is_some() && !partial { 1.0 } else { op.least_share };
        if partial && have > 0.0 && have + SHORT >= least && (now >= self.partial_from(mg) || may <= have) {
            return Some(Reply::Answered { whole: false });
        }
        (now >= self.useful_end(mg) || (!none && may + SHORT < least)).then(|| self.give_up(mg))
    }

    /// Pushes back where a new try is surely harmless, with a time to come back; else it fails.
    pub(super) fn give_up(&self, mg: &Multiget) -> Reply {
        let may_have_run = mg.parts.iter().any(|p| p.first_that_may_have_run().is_some());
        if self.op(mg).repeat != Repeat::Retriable && may_have_run {
            return Reply::Failed;
        }
        // By then about two more rounds of work have been done.
        let rounds = Span::from_secs(self.sender.peers(self.op(mg).latency_budget) * 2.0);
        Reply::PushedBack { come_back_in: self.gate.come_back.map(|longest| rounds.min(longest)) }
    }
}
