//! Retries: when a part is sent, sent again or withdrawn, and the budget for further sends.

use super::Policy;
use crate::interface::*;

/// How often further sends are made: as often as recent ones succeeded, within a budget where one is stated.
pub struct Further {
    pub(super) limits: PartLimits,
    budget: Option<SendBudget>,
    tokens: f64,
    /// EWMA of the share of further sends that brought their part's answer.
    pub(super) helped: f64,
    taken: Vec<Time>,
    made: Vec<Time>,
}

impl Further {
    pub fn new(limits: PartLimits, budget: Option<SendBudget>) -> Self {
        // A few in hand, so that a mixer that has just started can meet a failure.
        Further { limits, budget, tokens: 5.0, helped: 0.5, taken: Vec::new(), made: Vec::new() }
    }

    /// A multiget with so many parts was taken.
    pub(super) fn took(&mut self, now: Time, parts: usize) {
        // Even when none helps, a few are made, to learn when they help again. Some are saved, half the parts
        // of the largest multigets at least, so that some searchers' death is met at once.
        const LEAST: f64 = 0.03;
        let most = (parts as f64 / 2.0).max(20.0);
        self.tokens = (self.tokens + parts as f64 * (LEAST + self.helped)).min(most);
        let counted = if self.budget.is_some() { parts + 1 } else { 0 };
        self.taken.extend(std::iter::repeat_n(now, counted));
    }

    /// Whether the budgets, the own one and the fleet's, allow a further send.
    fn allowed(&mut self, now: Time, fleet: &Purses) -> bool {
        let stated = self.budget.is_none_or(|SendBudget { free, share, window }| {
            // At the very edge of the window, sends made count and requests taken do not.
            self.made.retain(|&at| now.since(at) <= window);
            self.taken.retain(|&at| now.since(at) < window);
            self.made.len() as f64 + 1.0 <= free + share * self.taken.len() as f64
        });
        stated && self.tokens >= 1.0 && fleet.has(now, Budget::Further)
    }

    fn made(&mut self, now: Time, fleet: &mut Purses) {
        self.tokens -= 1.0;
        self.made.extend(self.budget.map(|_| now));
        fleet.spend(now, Budget::Further);
    }
}

impl Policy {
    /// Whether an answer of this part may still come: a send is out, or one more may go to a holder in time.
    pub(super) fn may_return(&self, now: Time, mg: &Multiget, part: &Part) -> bool {
        let out = part.sends.iter().any(|s| s.outcome.is_none());
        let holders = || self.sender.holders(part.shard).next().is_some();
        !part.closed && (out || (self.may_send(now, mg, part) && holders() && self.in_time(now, mg, part)))
    }

    /// Whether a send now has some chance to be back before the answer is worth nothing.
    fn in_time(&self, now: Time, mg: &Multiget, part: &Part) -> bool {
        let least = self.sender.peers(self.op(mg).latency_budget) * 0.5 + self.extra(mg.op_type, part);
        self.useful_end(mg).since(now) >= Span::from_secs(least)
    }

    /// Whether the rules allow another send of this part.
    fn may_send(&self, now: Time, mg: &Multiget, part: &Part) -> bool {
        if part.returned || part.closed || part.sends.len() >= self.further.limits.most_sends {
            return false;
        }
        let Some(ran) = part.first_that_may_have_run() else { return true };
        match self.op(mg).repeat {
            Repeat::Retriable => true,
            Repeat::Deduped(window) => now.since(ran.at) + self.margin() < window,
            Repeat::NonRetriable => false,
        }
    }

    /// How late a part of usual weight is when it is worth another send. A copy of a merely late one costs
    /// more than it brings, so far out, less so if its searcher has been silent since.
    fn retry_delay(&self, peers: f64, last: Option<&Send>) -> f64 {
        let heard = last.and_then(|s| self.sender.searchers.get(&s.to).map(|to| to.heard > s.at));
        // Farther where the first send must be given up for the second.
        let far = if self.further.limits.second_copies { 10.0 } else { 15.0 };
        let far = far * self.deviation.value * if heard == Some(true) { 1.0 } else { 2.0 / 3.0 };
        if self.mean.count < 10.0 { peers * 3.0 } else { self.mean.value + far }
    }

    pub(super) fn send_parts(&mut self, now: Time, mg: &Multiget) -> Advice {
        let mut advice = Advice::default();
        let (op, budget) = (mg.op_type, self.op(mg).latency_budget);
        let peers = self.sender.peers(budget);
        let PartLimits { second_copies, may_withdraw, .. } = self.further.limits;
        let (partial_from, end) = (self.partial_from(mg), self.useful_end(mg));
        // Guards against boxes between that drop unused connections: sends on these come to nothing far more
        // often than others, so it is not the searchers. Costs handshakes if it errs.
        let reaping = self.sender.reaped.value(now) > (2.0 * self.sender.lost.value(now)).max(0.2);
        let mut wake = if now < partial_from { partial_from } else { end };
        for (place, p) in mg.step().filter(|(_, p)| !p.returned && !p.closed) {
            let extra = self.extra(op, p);
            let last = p.sends.last().filter(|s| s.outcome.is_none());
            let late = Span::from_secs(self.retry_delay(peers, last) + extra).max(self.tick);
            let out: Vec<usize> = (0..p.sends.len()).filter(|&i| p.sends[i].outcome.is_none()).collect();
            if let Some(due) = out.last().map(|&last| p.sends[last].at + late).filter(|&due| due > now) {
                wake = wake.min(due);
                continue;
            }
            if !self.may_send(now, mg, p) || !self.in_time(now, mg, p) {
                continue;
            }
            let further = !p.sends.is_empty();
            let pick = self.sender.pick(now, p, budget, &mut self.rng);
            let allowed = |_: &_| !further || self.further.allowed(now, &self.sender.budgets);
            let Some((to, _)) = pick.as_ref().ok().filter(allowed) else {
                let again = pick.err().flatten().unwrap_or(Span::from_secs(peers * 0.5));
                wake = wake.min(now + again.max(self.tick));
                continue;
            };
            let again = |failed: &Send| failed.at + Span::from_secs(peers * p.sends.len() as f64);
            let before = p.sends.iter().rev().find(|s| s.to == *to);
            if !out.is_empty() {
                let given_up = out.iter().filter(|_| may_withdraw && !second_copies && before.is_none());
                advice.withdraw.extend(given_up.map(|&nth| (place, nth)));
                if before.is_some() || !second_copies {
                    continue;
                }
            } else if let Some(again) = before.map(again).filter(|&again| again > now) {
                // Its only replicas have failed it: not again before they have had some time.
                wake = wake.min(again.max(now + self.tick));
                continue;
            }
            if further {
                self.further.made(now, &mut self.sender.budgets);
            }
            if self.sender.searchers.get(to).is_some_and(|s| s.capacity(now, &self.sender.cold) < 1.0) {
                self.sender.budgets.spend(now, Budget::Cold);
            }
            let anew =
                self.sender.searchers.get_mut(to).is_some_and(|s| s.sent(now, extra, further || reaping));
            let left = end.since(now);
            let timeout = if second_copies || may_withdraw { left } else { late.min(left) };
            wake = wake.min(now + late);
            advice.orders.push(Order { part: place, to: to.clone(), timeout, anew });
        }
        advice.again = Some(wake.since(now).max(self.tick));
        advice
    }
}
