//! A tiny fake host: searchers that hold every shard, three to a zone by default, and a clock that jumps from event to
//! event.

use std::collections::BTreeMap;

use lockusher_policy::interface::*;
use lockusher_policy::policy::{Asking, Further, Gate, Policy, Sender};

pub const fn ms(ms: u64) -> Span {
    Span::from_millis(ms)
}

/// What the host states to the module; by default one op type that needs all its parts.
pub struct Site {
    pub repeat: Repeat,
    pub late_share: f64,
    pub least_share: f64,
    pub second_step: usize,
    pub most_sends: usize,
    pub second_copies: bool,
    pub budget: Option<SendBudget>,
    pub come_back: Option<Span>,
    pub ask_every: Option<Span>,
    pub by_work: bool,
    pub rank: usize,
    pub mixers: usize,
    pub cold: ColdRule,
    /// When it starts.
    pub starts: Time,
    pub seed: u64,
    pub searchers: &'static [&'static str],
    pub in_a_zone: usize,
}

impl Default for Site {
    fn default() -> Self {
        Site {
            repeat: Repeat::Retriable,
            late_share: 0.0,
            least_share: 1.0,
            second_step: 0,
            most_sends: 3,
            second_copies: true,
            budget: None,
            come_back: Some(ms(2_000)),
            ask_every: None,
            by_work: false,
            rank: 0,
            mixers: 1,
            cold: ColdRule { starts_at: 0.2, ramp: ms(10_000), fall_multiple: 2.0, tip_after: ms(1_000) },
            starts: Time::from_micros(1_000_000_000),
            seed: 7,
            searchers: &["a", "b", "c"],
            in_a_zone: 3,
        }
    }
}

/// A multiget asked of the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mg(usize);

struct Fake {
    takes: Span,
    ends: Option<Outcome>,
    got: Vec<Time>,
    /// Connections to it unused for so long are dropped unseen; when the one there is was last used.
    reaps: Option<Span>,
    used: Option<Time>,
    opened: usize,
}

pub struct Host {
    now: Time,
    policy: Policy,
    /// Whether what the gate believes is asked before each turn, as a mixer's trace does.
    pub curious: bool,
    second_step: usize,
    in_hand: InHand,
    ids: Vec<MultigetId>,
    replies: BTreeMap<MultigetId, Vec<Reply>>,
    fakes: BTreeMap<String, Fake>,
    swallowed: Option<Shard>,
    /// Sends that will end: when, of which multiget, part and send, and how.
    ending: Vec<(Time, MultigetId, usize, usize, Outcome)>,
    wake: Option<Time>,
    asks: usize,
    withdrawn: Vec<MultigetId>,
    most_out: BTreeMap<MultigetId, usize>,
    trace: Vec<String>,
    in_a_zone: usize,
}

pub fn part(shard: usize, weight: f64) -> Part {
    Part {
        id: PartId::new(&format!("part of shard {shard}")),
        shard: Shard(shard),
        weight,
        hint: None,
        second_step: false,
        sends: Vec::new(),
        returned: false,
        closed: false,
    }
}

fn line(id: &str, state: SearcherState, up_since: Option<Time>, in_a_zone: usize) -> Listed {
    let number = usize::from(id.as_bytes()[0] - b'a');
    let (cell, zone) = (Cell(number), Some(Zone(number / in_a_zone)));
    Listed { id: SearcherId::new(id), cell, zone, state, up_since, rating: 1.0 }
}

impl Host {
    pub fn new(site: Site) -> Self {
        let now = site.starts;
        let op_type = OpType {
            latency_budget: ms(1_500),
            budget_stretch: 0.0,
            route_timeout: ms(3_000),
            importance: 1.0,
            late_share: site.late_share,
            repeat: site.repeat,
            need: 1.0,
            least_share: site.least_share,
            partial_pays: 0.9,
            second_step: site.second_step,
        };
        let limits =
            PartLimits { most_sends: site.most_sends, second_copies: site.second_copies, may_withdraw: true };
        let policy = Policy::new(
            site.seed,
            ms(5),
            vec![op_type],
            (
                Sender::new(
                    now,
                    Layout { cells: 3, in_a_row: 3 },
                    site.cold,
                    (None, 0.0),
                    (site.rank, site.mixers),
                ),
                Further::new(limits, site.budget),
                Gate::new(now, &[], 1.0, site.by_work, site.come_back),
                Asking::new(now, site.ask_every),
            ),
        );
        let fake = |id: &&str| {
            let ends = Some(Outcome::Returned);
            let fake = Fake { takes: ms(100), ends, got: Vec::new(), reaps: None, used: None, opened: 0 };
            ((*id).to_owned(), fake)
        };
        let mut host = Host {
            now,
            policy,
            curious: false,
            second_step: site.second_step,
            in_hand: InHand::new(),
            ids: Vec::new(),
            replies: BTreeMap::new(),
            fakes: site.searchers.iter().map(fake).collect(),
            swallowed: None,
            ending: Vec::new(),
            wake: None,
            asks: 0,
            withdrawn: Vec::new(),
            most_out: BTreeMap::new(),
            trace: Vec::new(),
            in_a_zone: site.in_a_zone,
        };
        host.only(site.searchers);
        host
    }

    pub fn speed(&mut self, id: &str, takes: Span) {
        self.fake(id).takes = takes;
    }

    pub fn fails(&mut self, id: &str, outcome: Outcome) {
        self.fake(id).ends = Some(outcome);
    }

    pub fn swallows(&mut self, id: &str) {
        self.fake(id).ends = None;
    }

    /// A box before all searchers drops connections that are unused for so long.
    pub fn reaps_after(&mut self, unused: Option<Span>) {
        self.fakes.values_mut().for_each(|f| f.reaps = unused);
    }

    pub fn opened(&self) -> usize {
        self.fakes.values().map(|f| f.opened).sum()
    }

    pub fn swallows_all(&mut self) {
        self.fakes.values_mut().for_each(|f| f.ends = None);
    }

    pub fn swallows_shard(&mut self, shard: usize) {
        self.swallowed = Some(Shard(shard));
    }

    fn fake(&mut self, id: &str) -> &mut Fake {
        self.fakes.get_mut(id).expect("a known searcher")
    }

    pub fn listed(&mut self, id: &str, state: SearcherState) {
        self.policy.news(self.now, News::Changes(vec![line(id, state, None, self.in_a_zone)]));
        self.settle();
    }

    pub fn restarted(&mut self, id: &str) {
        self.started(id, self.now);
    }

    /// The list tells that it started at that time.
    pub fn started(&mut self, id: &str, at: Time) {
        let line = line(id, SearcherState::Up, Some(at), self.in_a_zone);
        self.policy.news(self.now, News::Changes(vec![line]));
        self.settle();
    }

    pub fn only(&mut self, ids: &[&str]) {
        let list = ids.iter().map(|id| line(id, SearcherState::Up, None, self.in_a_zone)).collect();
        self.policy.news(self.now, News::All(list));
        self.settle();
    }

    /// The fleet's mixers agree on these searchers: share of good sends, latency as a multiple of its peers', seen so
    /// long ago.
    pub fn judged(&mut self, judged: &[(&str, f64, f64, Span)]) {
        let judged = judged.iter().map(|(id, good, slower, ago)| Judged {
            id: SearcherId::new(id),
            life: None,
            good: *good,
            slower: *slower,
            cold_since: None,
            at: self.now - *ago,
        });
        self.policy.news(self.now, News::Judged(judged.collect()));
    }

    /// Others held these latencies of searchers when this mixer started.
    pub fn remembers(&mut self, known: &[(&str, f64)]) {
        let known = known.iter().map(|(id, latency)| Known {
            id: SearcherId::new(id),
            life: None,
            latency: *latency,
            good: 1.0,
            at: self.now,
        });
        self.policy.news(self.now, News::Remembers(known.collect()));
    }

    /// This mixer's part of a budget of the fleet, a second.
    pub fn may(&mut self, budget: Budget, own: f64) {
        let portion = Portion { own, lent: 0.0, until: Time::default() };
        self.policy.news(self.now, News::Portions(vec![(budget, portion)]));
    }

    pub fn refuse_discovery(&mut self) {
        self.policy.news(self.now, News::Refused);
        self.settle();
    }

    pub fn ask(&mut self, name: &str, shards: &[usize]) -> Mg {
        self.take(name, shards, ms(3_000), None)
    }

    pub fn take(&mut self, name: &str, shards: &[usize], time: Span, hint: Option<Span>) -> Mg {
        let mg = self.hold(name, shards, time, hint);
        self.settle();
        mg
    }

    fn hold(&mut self, name: &str, shards: &[usize], time: Span, hint: Option<Span>) -> Mg {
        let weight = 1.0 / shards.len() as f64;
        let id = MultigetId::new(name);
        let multiget = Multiget {
            id: id.clone(),
            number: self.ids.len() as u64,
            op_type: OpTypeId(0),
            tenant: None,
            resubmitted: false,
            hint: None,
            arrived: self.now,
            ends: self.now + time,
            due: self.now,
            parts: shards.iter().map(|&s| Part { hint, ..part(s, weight) }).collect(),
            first_answer: None,
            ended: false,
        };
        self.in_hand.insert(id.clone(), multiget);
        self.ids.push(id);
        Mg(self.ids.len() - 1)
    }

    pub fn second_step(&mut self, mg: Mg, parts: &[Part]) {
        let multiget = self.in_hand.get_mut(&self.ids[mg.0]).expect("in hand");
        multiget.parts.extend(parts.iter().map(|p| Part { second_step: true, ..p.clone() }));
        multiget.due = self.now;
        self.settle();
    }

    /// Multigets one after the other, a little slower than a sound searcher works.
    pub fn serve(&mut self, count: usize, shards: &[usize]) {
        self.serve_hinted(count, shards, None);
    }

    pub fn serve_hinted(&mut self, count: usize, shards: &[usize], hint: Option<Span>) {
        for _ in 0..count {
            self.take(&format!("served {}", self.ids.len()), shards, ms(3_000), hint);
            self.pass(ms(130));
        }
    }

    pub fn serve_apart(&mut self, count: usize, gap: Span, shards: &[usize]) {
        for _ in 0..count {
            self.ask(&format!("served {}", self.ids.len()), shards);
            self.pass(gap);
        }
    }

    /// In which order multigets that come at once have their turn.
    pub fn turns(&mut self, asked: &[(&str, &[usize])]) -> Vec<String> {
        for (name, shards) in asked {
            self.hold(name, shards, ms(3_000), None);
        }
        let wait = self.policy.wait(self.now, &self.in_hand);
        wait.turn.iter().map(|id| id.as_str().to_owned()).collect()
    }

    pub fn pass(&mut self, span: Span) {
        let until = self.now + span;
        loop {
            let ends = self.ending.iter().map(|e| e.0).min();
            let next = ends.into_iter().chain(self.wake).min().filter(|&at| at <= until);
            let Some(at) = next else { break };
            self.now = self.now.max(at);
            self.wake = self.wake.filter(|&wake| wake > self.now);
            while let Some(place) = self.ending.iter().position(|e| e.0 <= self.now) {
                let (_, id, part, nth, outcome) = self.ending.remove(place);
                self.end(&id, part, nth, outcome);
            }
            self.settle();
        }
        self.now = until;
    }

    pub fn end_last_send(&mut self, mg: Mg, part: usize, outcome: Outcome) {
        let id = self.ids[mg.0].clone();
        let last = self.in_hand[&id].parts[part].sends.len() - 1;
        self.ending.retain(|e| (&e.1, e.2, e.3) != (&id, part, last));
        self.end(&id, part, last, outcome);
        self.settle();
    }

    fn end(&mut self, id: &MultigetId, part: usize, nth: usize, outcome: Outcome) {
        let multiget = self.in_hand.get_mut(id).expect("in hand");
        let p = &mut multiget.parts[part];
        p.sends[nth].outcome = Some(outcome);
        p.returned |= outcome == Outcome::Returned && !multiget.ended;
        p.closed |= p.returned;
        let elapsed = self.now.since(p.sends[nth].at);
        let advice = self.policy.outcome(self.now, multiget, part, nth, elapsed);
        self.follow(id, advice);
    }

    fn settle(&mut self) {
        let wait = self.policy.wait(self.now, &self.in_hand);
        self.asks += usize::from(wait.ask.is_some());
        for id in &wait.turn {
            if self.curious {
                // A trace asks before each turn; it must change nothing.
                std::hint::black_box(self.policy.believed(self.now, &self.in_hand[id]));
            }
            let advice = self.policy.place(self.now, &self.in_hand[id]);
            self.follow(id, advice);
        }
        self.wake = self.policy.wait(self.now, &self.in_hand).next.map(|span| self.now + span);
    }

    fn follow(&mut self, id: &MultigetId, advice: Advice) {
        self.trace.push(format!("{:?} {id:?} {advice:?}", self.now));
        let multiget = self.in_hand.get_mut(id).expect("in hand");
        if let Some(span) = advice.again {
            multiget.due = self.now + span;
        }
        for (part, nth) in advice.withdraw {
            self.withdrawn.push(id.clone());
            let ends = self.ending.iter_mut().find(|e| (&e.1, e.2, e.3) == (id, part, nth));
            let ends = ends.expect("a send that is out");
            (ends.0, ends.4) = (self.now, Outcome::Withdrawn);
        }
        for Order { part, to, timeout, anew } in advice.orders {
            assert!(!multiget.ended, "a send after the final answer");
            let p = &mut multiget.parts[part];
            let fake = self.fakes.get_mut(to.as_str()).expect("a known searcher");
            fake.got.push(self.now);
            let unused = fake.used.replace(self.now).map(|used| self.now.since(used));
            let dropped = !anew && fake.reaps.zip(unused).is_some_and(|(after, unused)| unused > after);
            fake.opened += usize::from(anew);
            let answer =
                fake.ends.filter(|_| !dropped && self.swallowed != Some(p.shard) && fake.takes < timeout);
            let (takes, outcome) = answer.map_or((timeout, Outcome::TimedOut), |o| (fake.takes, o));
            self.ending.push((self.now + takes, id.clone(), part, p.sends.len(), outcome));
            p.sends.push(Send { to, at: self.now, outcome: None });
            let out = p.sends.iter().filter(|s| s.outcome.is_none()).count();
            let most = self.most_out.entry(id.clone()).or_default();
            *most = out.max(*most);
        }
        if let Some(reply) = advice.reply {
            assert!(!multiget.ended, "a second final answer");
            assert!(self.now <= multiget.ends, "an answer after the client's time");
            let first_of_two = self.second_step > 0 && multiget.first_answer.is_none();
            multiget.ended = !(first_of_two && matches!(reply, Reply::Answered { .. }));
            if let Reply::Answered { whole } = reply {
                multiget.first_answer.get_or_insert(whole);
            }
            self.replies.entry(id.clone()).or_default().push(reply);
        }
    }

    pub fn reply(&self, mg: Mg) -> Option<Reply> {
        self.replies.get(&self.ids[mg.0])?.last().copied()
    }

    pub fn replies(&self, mg: Mg) -> usize {
        self.replies.get(&self.ids[mg.0]).map_or(0, Vec::len)
    }

    /// How often each part was sent.
    pub fn sends(&self, mg: Mg) -> Vec<usize> {
        self.in_hand[&self.ids[mg.0]].parts.iter().map(|p| p.sends.len()).collect()
    }

    pub fn sent_to(&self, mg: Mg, part: usize) -> String {
        self.in_hand[&self.ids[mg.0]].parts[part].sends[0].to.as_str().to_owned()
    }

    pub fn forget_counts(&mut self) {
        self.fakes.values_mut().for_each(|f| f.got.clear());
    }

    /// When it got its parts.
    pub fn times(&self, id: &str) -> Vec<Time> {
        self.fakes[id].got.clone()
    }

    pub fn count(&self, id: &str) -> usize {
        self.fakes[id].got.len()
    }

    pub fn gaps_to(&self, id: &str) -> Vec<Span> {
        self.fakes[id].got.windows(2).map(|w| w[1].since(w[0])).collect()
    }

    pub fn further(&self) -> usize {
        let parts = self.in_hand.values().flat_map(|m| &m.parts);
        parts.map(|p| p.sends.len().saturating_sub(1)).sum()
    }

    pub fn pushed_back(&self) -> usize {
        let pushed = |r: &&Reply| matches!(r, Reply::PushedBack { .. });
        self.replies.values().flatten().filter(pushed).count()
    }

    pub fn unanswered(&self) -> usize {
        let answered = |r: &Reply| matches!(r, Reply::Answered { .. });
        self.replies.values().filter(|replies| !replies.iter().any(answered)).count()
    }

    pub fn withdrawn(&self, mg: Mg) -> usize {
        self.withdrawn.iter().filter(|id| **id == self.ids[mg.0]).count()
    }

    pub fn most_out_at_once(&self, mg: Mg) -> usize {
        self.most_out.get(&self.ids[mg.0]).copied().unwrap_or(0)
    }

    pub fn asks(&self) -> usize {
        self.asks
    }

    pub fn trace(self) -> Vec<String> {
        self.trace
    }
}
