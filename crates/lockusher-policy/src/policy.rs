//! Every decision of a mixer: which replica serves each part, how long to wait, when to send again, when
//! to reply, what to push back, and when to ask discovery. The submodules hold one concern each.
//!
//! Build a [`Policy`], tell it [`Policy::news`] of the searchers, then ask [`Policy::place`], where to send a
//! multiget (or not yet, or never); [`Policy::outcome`], what to do after an outcome; [`Policy::wait`], how
//! long to wait and whose turn it is. The host keeps timers and multigets and carries out the [`Advice`]. The
//! values are in `interface.rs`; reasons: `docs/design.md`.

mod budgets;
mod gate;
mod retries;
mod searcher;
mod sender;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::searcher::Searcher;
pub use self::{gate::Gate, retries::Further, sender::Sender};
use crate::interface::*;
use crate::scoring::blend;

/// When to ask discovery, where it must be asked.
pub struct Asking {
    every: Option<Span>,
    next: Option<Time>,
    failures: i32,
}

impl Asking {
    /// Where the list must be asked for, it is asked for at once: a mixer that starts has an old one.
    pub fn new(now: Time, every: Option<Span>) -> Self {
        Asking { every, next: every.map(|_| now), failures: 0 }
    }

    /// Asks again with spread and back-off, yet far within the time after which silence counts as told.
    fn refused(&mut self, now: Time, rng: &mut ChaCha8Rng) {
        let Some(every) = self.every else { return };
        // First after about as long as a call takes.
        let back_off = (0.4 * 2f64.powi(self.failures)).min(every.as_secs() / 4.0);
        self.failures += 1;
        self.next = Some(now + Span::from_secs(back_off * rng.random_range(0.5..1.5)));
    }
}

/// Over the last hundred samples: holds through one searcher's trouble, yet follows a day.
type Average = Mean<100>;

/// An op type and what was seen of it.
struct Kind {
    op: OpType,
    /// Latency and hint of parts of each step, so that unlike work can share one average.
    usual: [(Average, Average); 2],
    /// The time that most clients are given: a first try's. With how many votes.
    first_try: (Span, i32),
}

pub struct Policy {
    tick: Span,
    rng: ChaCha8Rng,
    kinds: Vec<Kind>,
    all: Average,
    /// Of parts of usual weight: mean latency and its deviation.
    mean: Average,
    deviation: Average,
    sender: Sender,
    further: Further,
    gate: Gate,
    asking: Asking,
}

impl Policy {
    pub fn new(seed: u64, tick: Span, op_types: Vec<OpType>, parts: (Sender, Further, Gate, Asking)) -> Self {
        let (sender, further, gate, asking) = parts;
        let (rng, mean) = (ChaCha8Rng::seed_from_u64(seed), Average::default());
        let kind = |op| Kind { op, usual: [(mean, mean); 2], first_try: (Span::ZERO, 0) };
        let kinds = op_types.into_iter().map(kind).collect();
        Policy { tick, rng, kinds, all: mean, mean, deviation: mean, sender, further, gate, asking }
    }

    /// Discovery told something.
    pub fn news(&mut self, now: Time, news: News) {
        match news {
            News::Changes(list) => self.sender.news(now, list, false),
            News::All(list) | News::Remembered(list) => self.sender.news(now, list, true),
            News::Refused => return self.asking.refused(now, &mut self.rng),
            News::Mixers(mixers) => return self.sender.mixers = mixers.max(1),
            News::Judged(judged) => return self.sender.judged(judged),
            News::Remembers(known) => return self.sender.remembers(now, known),
            News::Portions(portions) => return self.sender.budgets.set(now, &portions),
        }
        self.asking.failures = 0;
    }

    /// What this mixer spends of the budgets that the fleet may share, a second.
    pub fn spends(&self, now: Time) -> Vec<(Budget, f64)> {
        self.sender.budgets.spent(now)
    }

    /// What was seen of searchers, for other mixers.
    pub fn seen(&self) -> Vec<Glimpse> {
        let seen = self.sender.up().map(|s| {
            let &Searcher { latency, good, heard, down_since, cold_since, ref listed, ref out, .. } = s;
            let silent_since = out.iter().map(|out| out.0).min().filter(|since| *since > heard);
            let (id, life) = (listed.id.clone(), listed.up_since);
            Glimpse { id, life, latency, good, heard, silent_since, down_since, cold_since }
        });
        seen.filter(|seen| seen.latency.is_some() || seen.silent_since.is_some()).collect()
    }

    /// Whose turn it is, in what order, and how long to wait for the next.
    pub fn wait(&mut self, now: Time, in_hand: &InHand) -> Wait {
        let open = || in_hand.values().filter(|m| !m.ended);
        let mut turn: Vec<&Multiget> = open().filter(|m| m.due <= now).collect();
        turn.sort_by(|a, b| self.worth(b).total_cmp(&self.worth(a)).then(a.number.cmp(&b.number)));
        let turn = turn.into_iter().map(|m| m.id.clone()).collect();
        let ask = self.asking.next.take_if(|at| *at <= now).map(|_| Ask::Subscribe);
        let next = open().map(|m| m.due).filter(|&due| due > now).chain(self.asking.next).min();
        Wait { turn, ask, next: next.map(|at| at.since(now)) }
    }

    /// Where to send this multiget, or not yet, or never.
    pub fn place(&mut self, now: Time, mg: &Multiget) -> Advice {
        if mg.ended {
            return Advice::default();
        }
        let fresh = mg.parts.iter().all(|p| p.sends.is_empty());
        if fresh && mg.arrived == now {
            self.take(now, mg);
        }
        let mut reply = self.reply(now, mg);
        if reply.is_none() && fresh && self.must_reject(now, mg) {
            reply = Some(self.give_up(mg));
        }
        let Some(answer) = reply else { return self.send_parts(now, mg) };
        let in_time = matches!(answer, Reply::Answered { .. }) && now <= self.budget_end(mg);
        let first = self.like_first(mg);
        let noted = [(!fresh).then_some(&mut self.gate.missed), first.then_some(&mut self.gate.unserved)];
        noted.into_iter().flatten().for_each(|share| share.note(now, !in_time));
        Advice { reply, ..Advice::default() }
    }

    /// What to do after this outcome of a send; the host has noted it in the multiget.
    pub fn outcome(&mut self, now: Time, mg: &Multiget, part: usize, nth: usize, elapsed: Span) -> Advice {
        let (op, p) = (mg.op_type, &mg.parts[part]);
        let send = &p.sends[nth];
        let outcome = send.outcome.unwrap_or(Outcome::Moot);
        let peers =
            self.sender.searchers.get(&send.to).map(|s| self.sender.near(s, self.op(mg).latency_budget));
        if let Some((searcher, peers)) = self.sender.searchers.get_mut(&send.to).zip(peers)
            && let Some((unused, sample)) = searcher.ended(now, send, elapsed, peers)
        {
            let fate = if unused { &mut self.sender.reaped } else { &mut self.sender.lost };
            fate.note(now, outcome.came_to_nothing() || outcome == Outcome::NoConnection);
            if outcome == Outcome::Returned {
                self.sender.returned(now, &send.to, self.weight(op, p));
                self.learn(op, p, elapsed, sample);
            }
        }
        self.sender.survey(now);
        if nth > 0 && outcome != Outcome::Moot {
            let first = p.sends.iter().filter(|s| s.outcome == Some(Outcome::Returned)).count() == 1;
            // About the last ten further sends.
            blend(&mut self.further.helped, f64::from(outcome == Outcome::Returned && first), 0.1);
        }
        self.place(now, mg)
    }

    fn op(&self, mg: &Multiget) -> &OpType {
        &self.kinds[mg.op_type.0].op
    }

    /// A part's expected work against that of a usual part.
    fn weight(&self, op: OpTypeId, part: &Part) -> f64 {
        let (latency, hint) = &self.kinds[op.0].usual[usize::from(part.second_step)];
        let by_kind = latency.known().map_or(1.0, |l| l / self.all.value);
        let by_hint = part.hint.filter(|_| hint.value > 0.0).map_or(1.0, |h| h.as_secs() / hint.value);
        // Hints are rough and waiting does not grow with work: no more than a few times either way.
        (by_kind * by_hint).clamp(0.2, 8.0)
    }

    /// What a part takes beyond a usual one, in seconds.
    fn extra(&self, op: OpTypeId, part: &Part) -> f64 {
        self.sender.fleet.work * (self.weight(op, part) - 1.0)
    }

    fn learn(&mut self, op: OpTypeId, part: &Part, elapsed: Span, sample: f64) {
        let (latency, hint) = &mut self.kinds[op.0].usual[usize::from(part.second_step)];
        latency.feed(elapsed.as_secs());
        hint.feed(part.hint.map_or(0.0, Span::as_secs));
        self.all.feed(elapsed.as_secs());
        // Falls tenfold as readily as it rises, so it settles near the low end.
        let fleet = &mut self.sender.fleet;
        let by = if sample < fleet.work { 0.1 } else { 0.01 };
        blend(&mut fleet.work, sample, if self.mean.count > 0.0 { by } else { 1.0 });
        self.deviation.feed((sample - self.mean.known().unwrap_or(sample)).abs());
        self.mean.feed(sample);
    }

    /// Notes a multiget that has just been taken.
    fn take(&mut self, now: Time, mg: &Multiget) {
        const VOTES: i32 = 20; // At most: a change of habit shows within as many multigets.
        self.further.took(now, mg.parts.len());
        self.gate.took(now, mg, self.worth(mg), self.sender.mixers, &mut self.sender.budgets);
        let (usual, votes) = self.kinds[mg.op_type.0].first_try;
        self.kinds[mg.op_type.0].first_try = match self.like_first(mg) {
            true => (usual, (votes + 1).min(VOTES)),
            false if votes > 0 => (usual, votes - 1),
            false => (mg.ends.since(mg.arrived), 1),
        };
    }
}
