//! A simulated host: by default three searchers in one zone that hold every shard, and a virtual clock that
//! jumps from event to event.

use std::collections::BTreeMap;

use lockusher_policy::interface::*;
use lockusher_policy::policy::{Admission, Policy, Polling, Retries, Selector};

pub const fn ms(ms: u64) -> Span {
    Span::from_millis(ms)
}

/// Configuration of the host; by default one operation type whose answers need all parts.
pub struct HostConfig {
    pub idempotency: Idempotency,
    pub late_value: f64,
    pub min_share: f64,
    pub second_step: usize,
    pub max_attempts: usize,
    pub may_hedge: bool,
    pub retry_limit: Option<RetryLimit>,
    pub retry_after: Option<Span>,
    pub poll_interval: Option<Span>,
    pub value_is_per_work: bool,
    pub rank: usize,
    pub mixers: usize,
    pub slow_start: SlowStart,
    /// Start time of the host.
    pub started_at: Time,
    pub seed: u64,
    pub searchers: &'static [&'static str],
    pub zone_size: usize,
}

impl Default for HostConfig {
    fn default() -> Self {
        HostConfig {
            idempotency: Idempotency::Retriable,
            late_value: 0.0,
            min_share: 1.0,
            second_step: 0,
            max_attempts: 3,
            may_hedge: true,
            retry_limit: None,
            retry_after: Some(ms(2_000)),
            poll_interval: None,
            value_is_per_work: false,
            rank: 0,
            mixers: 1,
            slow_start: SlowStart {
                initial_capacity: 0.2,
                ramp: ms(10_000),
                overload_multiple: 2.0,
                overload_window: ms(1_000),
            },
            started_at: Time::from_micros(1_000_000_000),
            seed: 7,
            searchers: &["a", "b", "c"],
            zone_size: 3,
        }
    }
}

/// Handle of a multiget requested from the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mg(usize);

struct FakeSearcher {
    latency: Span,
    outcome: Option<Outcome>,
    received_at: Vec<Time>,
    /// Connections idle for longer than `idle_timeout` are dropped silently; `last_used` is the last use of
    /// one.
    idle_timeout: Option<Span>,
    last_used: Option<Time>,
    opened: usize,
}

pub struct Host {
    now: Time,
    policy: Policy,
    /// Whether an admission trace is taken before each decision, as a mixer with traces enabled does.
    pub traces_admission: bool,
    second_step: usize,
    pending: PendingMultigets,
    ids: Vec<MultigetId>,
    replies: BTreeMap<MultigetId, Vec<Reply>>,
    fakes: BTreeMap<String, FakeSearcher>,
    unanswered_shard: Option<Shard>,
    /// Attempts in flight: time of the outcome, multiget, part, attempt, and outcome.
    scheduled_outcomes: Vec<(Time, MultigetId, usize, usize, Outcome)>,
    wake_at: Option<Time>,
    discovery_calls: usize,
    cancelled: Vec<MultigetId>,
    max_in_flight: BTreeMap<MultigetId, usize>,
    trace: Vec<String>,
    zone_size: usize,
}

pub fn part(shard: usize, weight: f64) -> Part {
    Part {
        id: PartId::new(&format!("part of shard {shard}")),
        shard: Shard(shard),
        weight,
        hint: None,
        second_step: false,
        attempts: Vec::new(),
        returned: false,
        closed: false,
    }
}

fn entry(id: &str, state: SearcherState, up_since: Option<Time>, zone_size: usize) -> SearcherEntry {
    let number = usize::from(id.as_bytes()[0] - b'a');
    let (cell, zone) = (Cell(number), Some(Zone(number / zone_size)));
    SearcherEntry { id: SearcherId::new(id), cell, zone, state, up_since, rating: 1.0 }
}

impl Host {
    pub fn new(config: HostConfig) -> Self {
        let now = config.started_at;
        let op_type = OpType {
            latency_target: ms(1_500),
            target_stretch: 0.0,
            route_timeout: ms(3_000),
            value: 1.0,
            late_value: config.late_value,
            idempotency: config.idempotency,
            complete_share: 1.0,
            min_share: config.min_share,
            partial_value: 0.9,
            second_step: config.second_step,
        };
        let limits = AttemptLimits {
            max_attempts: config.max_attempts,
            may_hedge: config.may_hedge,
            may_cancel: true,
        };
        let policy = Policy::new(
            config.seed,
            ms(5),
            vec![op_type],
            (
                Selector::new(
                    now,
                    Layout { cells: 3, cells_per_shard: 3 },
                    config.slow_start,
                    (None, 0.0),
                    (config.rank, config.mixers),
                ),
                Retries::new(limits, config.retry_limit),
                Admission::new(now, &[], 1.0, config.value_is_per_work, config.retry_after),
                Polling::new(now, config.poll_interval),
            ),
        );
        let fake = |id: &&str| {
            let outcome = Some(Outcome::Returned);
            let fake = FakeSearcher {
                latency: ms(100),
                outcome,
                received_at: Vec::new(),
                idle_timeout: None,
                last_used: None,
                opened: 0,
            };
            ((*id).to_owned(), fake)
        };
        let mut host = Host {
            now,
            policy,
            traces_admission: false,
            second_step: config.second_step,
            pending: PendingMultigets::new(),
            ids: Vec::new(),
            replies: BTreeMap::new(),
            fakes: config.searchers.iter().map(fake).collect(),
            unanswered_shard: None,
            scheduled_outcomes: Vec::new(),
            wake_at: None,
            discovery_calls: 0,
            cancelled: Vec::new(),
            max_in_flight: BTreeMap::new(),
            trace: Vec::new(),
            zone_size: config.zone_size,
        };
        host.list_exactly(config.searchers);
        host
    }

    pub fn set_latency(&mut self, id: &str, latency: Span) {
        self.fake(id).latency = latency;
    }

    pub fn set_outcome(&mut self, id: &str, outcome: Outcome) {
        self.fake(id).outcome = Some(outcome);
    }

    pub fn drop_parts(&mut self, id: &str) {
        self.fake(id).outcome = None;
    }

    /// A middlebox in front of all searchers drops connections that are idle for longer than `timeout`.
    pub fn set_idle_timeout(&mut self, timeout: Option<Span>) {
        self.fakes.values_mut().for_each(|f| f.idle_timeout = timeout);
    }

    pub fn connections_opened(&self) -> usize {
        self.fakes.values().map(|f| f.opened).sum()
    }

    pub fn drop_all_parts(&mut self) {
        self.fakes.values_mut().for_each(|f| f.outcome = None);
    }

    pub fn drop_parts_of_shard(&mut self, shard: usize) {
        self.unanswered_shard = Some(Shard(shard));
    }

    fn fake(&mut self, id: &str) -> &mut FakeSearcher {
        self.fakes.get_mut(id).expect("a known searcher")
    }

    pub fn list_state(&mut self, id: &str, state: SearcherState) {
        self.policy
            .apply_update(self.now, PolicyUpdate::Changes(vec![entry(id, state, None, self.zone_size)]));
        self.settle();
    }

    pub fn list_restart(&mut self, id: &str) {
        self.list_start(id, self.now);
    }

    /// The list reports that the searcher started at `at`.
    pub fn list_start(&mut self, id: &str, at: Time) {
        let entry = entry(id, SearcherState::Up, Some(at), self.zone_size);
        self.policy.apply_update(self.now, PolicyUpdate::Changes(vec![entry]));
        self.settle();
    }

    pub fn list_exactly(&mut self, ids: &[&str]) {
        let list = ids.iter().map(|id| entry(id, SearcherState::Up, None, self.zone_size)).collect();
        self.policy.apply_update(self.now, PolicyUpdate::All(list));
        self.settle();
    }

    /// The fleet's mixers report the health of these searchers: (id, fraction of successful attempts, latency
    /// as a multiple of its peers', age of the report).
    pub fn report_health(&mut self, judged: &[(&str, f64, f64, Span)]) {
        let judged = judged.iter().map(|(id, success_ratio, latency_ratio, ago)| AgreedHealth {
            id: SearcherId::new(id),
            started_at: None,
            success_ratio: *success_ratio,
            latency_ratio: *latency_ratio,
            cold_since: None,
            at: self.now - *ago,
        });
        self.policy.apply_update(self.now, PolicyUpdate::Health(judged.collect()));
    }

    /// Other mixers had observed these latencies when this mixer started.
    pub fn warm_start(&mut self, known: &[(&str, f64)]) {
        let known = known.iter().map(|(id, latency)| WarmStartEntry {
            id: SearcherId::new(id),
            started_at: None,
            latency: *latency,
            success_ratio: 1.0,
            at: self.now,
        });
        self.policy.apply_update(self.now, PolicyUpdate::WarmStart(known.collect()));
    }

    /// Sets this mixer's share of a fleet budget, in units per second.
    pub fn set_share(&mut self, budget: Budget, own: f64) {
        let share = QuotaShare { own, lent: 0.0, until: Time::default() };
        self.policy.apply_update(self.now, PolicyUpdate::QuotaShares(vec![(budget, share)]));
    }

    pub fn fail_discovery(&mut self) {
        self.policy.apply_update(self.now, PolicyUpdate::Failed);
        self.settle();
    }

    pub fn request(&mut self, name: &str, shards: &[usize]) -> Mg {
        self.request_with(name, shards, ms(3_000), None)
    }

    pub fn request_with(&mut self, name: &str, shards: &[usize], timeout: Span, hint: Option<Span>) -> Mg {
        let mg = self.add_multiget(name, shards, timeout, hint);
        self.settle();
        mg
    }

    fn add_multiget(&mut self, name: &str, shards: &[usize], timeout: Span, hint: Option<Span>) -> Mg {
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
            deadline: self.now + timeout,
            next_check: self.now,
            parts: shards.iter().map(|&s| Part { hint, ..part(s, weight) }).collect(),
            first_answer: None,
            ended: false,
        };
        self.pending.insert(id.clone(), multiget);
        self.ids.push(id);
        Mg(self.ids.len() - 1)
    }

    pub fn add_second_step(&mut self, mg: Mg, parts: &[Part]) {
        let multiget = self.pending.get_mut(&self.ids[mg.0]).expect("a pending multiget");
        multiget.parts.extend(parts.iter().map(|p| Part { second_step: true, ..p.clone() }));
        multiget.next_check = self.now;
        self.settle();
    }

    /// Serves multigets one after the other, slightly more slowly than a healthy searcher works.
    pub fn serve(&mut self, count: usize, shards: &[usize]) {
        self.serve_hinted(count, shards, None);
    }

    pub fn serve_hinted(&mut self, count: usize, shards: &[usize], hint: Option<Span>) {
        for _ in 0..count {
            self.request_with(&format!("served {}", self.ids.len()), shards, ms(3_000), hint);
            self.advance(ms(130));
        }
    }

    pub fn serve_with_gaps(&mut self, count: usize, gap: Span, shards: &[usize]) {
        for _ in 0..count {
            self.request(&format!("served {}", self.ids.len()), shards);
            self.advance(gap);
        }
    }

    /// The order in which multigets that arrive at the same time are due.
    pub fn due_order(&mut self, requests: &[(&str, &[usize])]) -> Vec<String> {
        for (name, shards) in requests {
            self.add_multiget(name, shards, ms(3_000), None);
        }
        let schedule = self.policy.schedule(self.now, &self.pending);
        schedule.due.iter().map(|id| id.as_str().to_owned()).collect()
    }

    pub fn advance(&mut self, span: Span) {
        let until = self.now + span;
        loop {
            let outcomes = self.scheduled_outcomes.iter().map(|e| e.0).min();
            let next = outcomes.into_iter().chain(self.wake_at).min().filter(|&at| at <= until);
            let Some(at) = next else { break };
            self.now = self.now.max(at);
            self.wake_at = self.wake_at.filter(|&wake_at| wake_at > self.now);
            while let Some(index) = self.scheduled_outcomes.iter().position(|e| e.0 <= self.now) {
                let (_, id, part, nth, outcome) = self.scheduled_outcomes.remove(index);
                self.record_outcome(&id, part, nth, outcome);
            }
            self.settle();
        }
        self.now = until;
    }

    pub fn end_last_attempt(&mut self, mg: Mg, part: usize, outcome: Outcome) {
        let id = self.ids[mg.0].clone();
        let last = self.pending[&id].parts[part].attempts.len() - 1;
        self.scheduled_outcomes.retain(|e| (&e.1, e.2, e.3) != (&id, part, last));
        self.record_outcome(&id, part, last, outcome);
        self.settle();
    }

    fn record_outcome(&mut self, id: &MultigetId, part: usize, nth: usize, outcome: Outcome) {
        let multiget = self.pending.get_mut(id).expect("a pending multiget");
        let p = &mut multiget.parts[part];
        p.attempts[nth].outcome = Some(outcome);
        p.returned |= outcome == Outcome::Returned && !multiget.ended;
        p.closed |= p.returned;
        let elapsed = self.now.since(p.attempts[nth].sent_at);
        let decision = self.policy.outcome(self.now, multiget, part, nth, elapsed);
        self.carry_out(id, decision);
    }

    fn settle(&mut self) {
        let schedule = self.policy.schedule(self.now, &self.pending);
        self.discovery_calls += usize::from(schedule.discovery.is_some());
        for id in &schedule.due {
            if self.traces_admission {
                // Taking a trace must not change any decision.
                std::hint::black_box(self.policy.admission_trace(self.now, &self.pending[id]));
            }
            let decision = self.policy.decide(self.now, &self.pending[id]);
            self.carry_out(id, decision);
        }
        self.wake_at = self.policy.schedule(self.now, &self.pending).next_call.map(|delay| self.now + delay);
    }

    fn carry_out(&mut self, id: &MultigetId, decision: Decision) {
        self.trace.push(format!("{:?} {id:?} {decision:?}", self.now));
        let multiget = self.pending.get_mut(id).expect("a pending multiget");
        if let Some(delay) = decision.recheck_after {
            multiget.next_check = self.now + delay;
        }
        for (part, nth) in decision.cancel {
            self.cancelled.push(id.clone());
            let scheduled = self.scheduled_outcomes.iter_mut().find(|e| (&e.1, e.2, e.3) == (id, part, nth));
            let scheduled = scheduled.expect("an attempt in flight");
            (scheduled.0, scheduled.4) = (self.now, Outcome::Cancelled);
        }
        for SendCommand { part, to, timeout, fresh_connection } in decision.commands {
            assert!(!multiget.ended, "an attempt after the final reply");
            let p = &mut multiget.parts[part];
            let fake = self.fakes.get_mut(to.as_str()).expect("a known searcher");
            fake.received_at.push(self.now);
            let idle = fake.last_used.replace(self.now).map(|at| self.now.since(at));
            let dropped = !fresh_connection
                && fake.idle_timeout.zip(idle).is_some_and(|(timeout, idle)| idle > timeout);
            fake.opened += usize::from(fresh_connection);
            let answer = fake
                .outcome
                .filter(|_| !dropped && self.unanswered_shard != Some(p.shard) && fake.latency < timeout);
            let (elapsed, outcome) = answer.map_or((timeout, Outcome::TimedOut), |o| (fake.latency, o));
            self.scheduled_outcomes.push((self.now + elapsed, id.clone(), part, p.attempts.len(), outcome));
            p.attempts.push(Attempt { to, sent_at: self.now, outcome: None });
            let in_flight = p.attempts.iter().filter(|s| s.outcome.is_none()).count();
            let max = self.max_in_flight.entry(id.clone()).or_default();
            *max = in_flight.max(*max);
        }
        if let Some(reply) = decision.reply {
            assert!(!multiget.ended, "a second final reply");
            assert!(self.now <= multiget.deadline, "a reply after the client's deadline");
            let first_of_two = self.second_step > 0 && multiget.first_answer.is_none();
            multiget.ended = !(first_of_two && matches!(reply, Reply::Answered { .. }));
            if let Reply::Answered { complete } = reply {
                multiget.first_answer.get_or_insert(complete);
            }
            self.replies.entry(id.clone()).or_default().push(reply);
        }
    }

    pub fn reply(&self, mg: Mg) -> Option<Reply> {
        self.replies.get(&self.ids[mg.0])?.last().copied()
    }

    pub fn reply_count(&self, mg: Mg) -> usize {
        self.replies.get(&self.ids[mg.0]).map_or(0, Vec::len)
    }

    /// Number of attempts of each part.
    pub fn attempts(&self, mg: Mg) -> Vec<usize> {
        self.pending[&self.ids[mg.0]].parts.iter().map(|p| p.attempts.len()).collect()
    }

    pub fn first_searcher(&self, mg: Mg, part: usize) -> String {
        self.pending[&self.ids[mg.0]].parts[part].attempts[0].to.as_str().to_owned()
    }

    pub fn reset_counts(&mut self) {
        self.fakes.values_mut().for_each(|f| f.received_at.clear());
    }

    /// When the searcher received parts.
    pub fn received_at(&self, id: &str) -> Vec<Time> {
        self.fakes[id].received_at.clone()
    }

    pub fn received(&self, id: &str) -> usize {
        self.fakes[id].received_at.len()
    }

    pub fn gaps_between_parts(&self, id: &str) -> Vec<Span> {
        self.fakes[id].received_at.windows(2).map(|w| w[1].since(w[0])).collect()
    }

    pub fn retries(&self) -> usize {
        let parts = self.pending.values().flat_map(|m| &m.parts);
        parts.map(|p| p.attempts.len().saturating_sub(1)).sum()
    }

    pub fn pushed_back(&self) -> usize {
        let is_pushed_back = |r: &&Reply| matches!(r, Reply::PushedBack { .. });
        self.replies.values().flatten().filter(is_pushed_back).count()
    }

    pub fn unanswered(&self) -> usize {
        let answered = |r: &Reply| matches!(r, Reply::Answered { .. });
        self.replies.values().filter(|replies| !replies.iter().any(answered)).count()
    }

    pub fn cancelled(&self, mg: Mg) -> usize {
        self.cancelled.iter().filter(|id| **id == self.ids[mg.0]).count()
    }

    pub fn max_in_flight(&self, mg: Mg) -> usize {
        self.max_in_flight.get(&self.ids[mg.0]).copied().unwrap_or(0)
    }

    pub fn discovery_calls(&self) -> usize {
        self.discovery_calls
    }

    pub fn trace(self) -> Vec<String> {
        self.trace
    }
}
