//! The gate: admission of new multigets under overload, and the tenants' shares.

use super::Policy;
use crate::interface::*;

/// What multigets are worth against each other, and which tenants exceed their share.
pub struct Gate {
    /// For each tenant: its share a second at all mixers, its room within it here, and as of when.
    quotas: Vec<(f64, f64, Time)>,
    over_share: f64,
    /// Importance is counted by unit of work, not by multiget.
    by_work: bool,
    /// The longest time to come back that clients keep to, if they are told one.
    pub(super) come_back: Option<Span>,
    /// Importance asked for by unit of work, over the last fifty multigets.
    density: Mean<50>,
    /// Multigets let in that missed their latency budget; halves soon, so that a shut gate opens again.
    pub(super) missed: Share<30, 3, FADES>,
    /// First tries not answered within it: where there are few, so are later ones.
    pub(super) unserved: Share<30, 3, 3>,
}

/// The gate's memory halves in so many seconds: of misses, and of what idle replicas took when last heard.
pub(super) const FADES: u32 = 3;

/// A tenant's least room in multigets: the first is not over a share that is under one a second here.
const LEAST_ROOM: f64 = 2.0;

impl Gate {
    pub fn new(now: Time, tenants: &[Tenant], over: f64, by_work: bool, come_back: Option<Span>) -> Self {
        let quotas = tenants.iter().map(|t| (t.quota_per_s, LEAST_ROOM, now)).collect();
        let (density, missed, unserved) = (Mean::default(), Share::new(now), Share::new(now));
        Gate { quotas, over_share: over, by_work, come_back, density, missed, unserved }
    }

    pub(super) fn took(&mut self, now: Time, mg: &Multiget, worth: f64, mixers: usize, budgets: &mut Purses) {
        self.density.feed(worth);
        let Some(tenant) = mg.tenant else { return };
        let Some((share, room, at)) = self.quotas.get_mut(tenant.0) else { return };
        // Some seconds of a share may come at once.
        let own = budgets.comes(now, Budget::Tenant(tenant));
        let share = own.unwrap_or(*share / mixers.max(1) as f64);
        let (gained, most) = (now.since(*at).as_secs() * share, (share * 5.0).max(LEAST_ROOM));
        (*room, *at) = (((*room + gained).min(most) - 1.0).max(-most), now);
    }

    /// The part of the time left that it may plan to use: less where it is worth less than most.
    fn room(&self, worth: f64) -> f64 {
        const LEAST: f64 = 0.5; // The gate sorts, it does not starve.
        (worth / self.density.value.max(1e-9)).sqrt().clamp(LEAST, 1.0)
    }
}

impl Policy {
    /// Importance by unit of work; what exceeds its tenant's share is worth little.
    pub(super) fn worth(&self, mg: &Multiget) -> f64 {
        let quota = mg.tenant.and_then(|t| self.gate.quotas.get(t.0));
        let share = if quota.is_some_and(|(_, room, _)| *room < 0.0) { self.gate.over_share } else { 1.0 };
        let work: f64 = mg.parts.iter().map(|p| self.weight(mg.op_type, p)).sum();
        self.op(mg).importance * share / if self.gate.by_work { 1.0 } else { work.max(0.1) }
    }

    /// Under overload, what cannot be answered in time is pushed back before work is wasted on it, the least
    /// worth for its work first. A replica with nothing of ours out is worth a try, to find stale averages
    /// out, unless many that were let in missed their latency budget: then averages are right while fresh.
    pub(super) fn must_reject(&mut self, now: Time, mg: &Multiget) -> bool {
        // The slowest of four takes half as much again as one; it grows with the logarithm of their number.
        let slowest = 1.0 + 0.36 * (mg.step().count().max(1) as f64).ln();
        let (pass, left) = self.allowance(now, mg);
        let (budget, mut in_time) = (self.op(mg).latency_budget, 1e-6);
        for (_, p) in mg.step() {
            let picked = self.sender.pick(now, p, budget, &mut self.rng);
            let takes = picked.map_or(0.0, |(id, expected)| {
                // What an idle one did long ago is not known now: else nothing is sent, so nothing is learnt.
                let s = &self.sender.searchers[&id];
                let counts = if s.out.is_empty() { pass * half_in(FADES, now.since(s.heard)) } else { 1.0 };
                (expected + self.extra(mg.op_type, p)) * counts
            });
            in_time += if takes * slowest > left { 0.0 } else { p.weight };
        }
        in_time < self.op(mg).least_share.min(self.op(mg).need)
    }

    /// What `must_reject` saw of this multiget, for a trace; on a copy of the random numbers: nothing changes.
    pub fn believed(&self, now: Time, mg: &Multiget) -> Belief {
        let (budget, rng) = (self.op(mg).latency_budget, &mut self.rng.clone());
        let seen = |(id, expected): (SearcherId, f64)| {
            let s = &self.sender.searchers[&id];
            (id, expected, s.out.is_empty(), now.since(s.heard).as_secs(), s.learned(now, expected).1)
        };
        let picks = mg.step().map(|(_, p)| self.sender.pick(now, p, budget, rng).ok().map(seen)).collect();
        let ((pass, left), unserved) = (self.allowance(now, mg), self.gate.unserved.value(now));
        Belief { pass, left, unserved, peers: self.sender.peers(budget), picks }
    }

    /// How much an idle replica counts in the gate, and the seconds that this multiget may plan to use.
    fn allowance(&self, now: Time, mg: &Multiget) -> (f64, f64) {
        // With a third of those let in missing their budget, an idle replica counts like any other.
        let pass = (self.gate.missed.value(now) * 3.0).min(1.0);
        (pass, self.budget_end(mg).since(now).as_secs() * self.gate.room(self.worth(mg)))
    }
}
