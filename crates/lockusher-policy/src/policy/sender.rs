//! The searchers that this mixer sends to: what is known of them all, and which replica serves a part.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::searcher::{MEMORY, Searcher};
use crate::interface::*;
use crate::scoring::score;

/// Keeps a record a searcher and picks the replica of each part.
pub struct Sender {
    layout: Layout,
    pub(super) cold: ColdRule,
    home: Option<Zone>,
    price: f64,
    rank: usize,
    pub(super) mixers: usize,
    pub(super) searchers: BTreeMap<SearcherId, Searcher>,
    pub(super) fleet: Fleet,
    /// Sends that came to nothing: on connections not used for a while, and others.
    pub(super) reaped: Lost,
    pub(super) lost: Lost,
    /// What may be spent of what the whole fleet may, where that is shared.
    pub(super) budgets: Purses,
}

/// Sends that came to nothing: a few prove little, the last thirty do; known for as long as a searcher.
type Lost = Share<15, 1, MEMORY>;

/// What concerns the whole fleet, worked out once an outcome, so that a part costs no more than its holders.
#[derive(Default)]
pub(super) struct Fleet {
    /// By shard modulo cells: the searchers that hold it and are neither draining nor gone.
    holders: Vec<Vec<SearcherId>>,
    /// The middle latency average of those heard from, and how many are warm.
    middle: Option<f64>,
    warm: usize,
    /// By zone, where enough were heard from of late: the latency of the middle one, and of one in four; of
    /// fewer than eight the quickest: with one sound, the path is. Does harm if a zone's machines are unlike.
    zones: BTreeMap<Option<Zone>, (f64, f64)>,
    /// The lowest of the latter.
    quickest: f64,
    /// About the least that a part of usual weight takes: its work without waiting.
    pub(super) work: f64,
    /// Parts of usual weight that a warm searcher returns here, over bursts; and the rate when one last did.
    rate: Rate<3>,
    last_rate: f64,
}

/// Where a part may go and what it is expected to take there; if nowhere, when a cold replica may be asked.
pub(super) type Pick = Result<(SearcherId, f64), Option<Span>>;

impl Sender {
    pub fn new(now: Time, layout: Layout, cold: ColdRule, (home, price): Site, of: Rank) -> Self {
        let (rank, mixers) = (of.0, of.1.max(1));
        let (searchers, fleet, budgets) = Default::default();
        let (reaped, lost) = (Share::new(now), Share::new(now));
        Sender { layout, cold, home, price, rank, mixers, searchers, fleet, reaped, lost, budgets }
    }

    /// The searchers in service.
    pub(super) fn up(&self) -> impl Iterator<Item = &Searcher> {
        self.searchers.values().filter(|s| s.is_up())
    }

    pub(super) fn news(&mut self, now: Time, list: Vec<Listed>, complete: bool) {
        let named: BTreeSet<&SearcherId> = list.iter().map(|line| &line.id).collect();
        for (_, missing) in self.searchers.iter_mut().filter(|(id, _)| complete && !named.contains(id)) {
            missing.listed.state = SearcherState::Gone;
        }
        for line in list {
            let entry = self.searchers.entry(line.id.clone());
            let searcher = entry.or_insert_with(|| Searcher::new(now, line.clone()));
            let start = line.up_since.max(searcher.listed.up_since);
            if start > searcher.listed.up_since {
                // A restart under the same id: what was learned was of another process.
                (searcher.cold_since, searcher.down_since, searcher.told) = (start, None, None);
                (searcher.latency, searcher.good) = (None, 1.0);
                (searcher.told_at, searcher.sent_at) = (now, None);
            }
            searcher.listed = Listed { up_since: start, ..line };
        }
        self.searchers.retain(|_, s| s.listed.state != SearcherState::Gone || !s.out.is_empty());
        let mut holders = vec![Vec::new(); self.layout.cells];
        for Listed { id, cell, .. } in self.up().map(|s| &s.listed) {
            self.layout.shards_of(*cell).for_each(|shard| holders[shard].push(id.clone()));
        }
        self.fleet.holders = holders;
        self.survey(now);
    }

    /// What the fleet's mixers agree on counts where nothing newer was seen here: never against the last
    /// holder of a shard, and not at all if half of the searchers are accused, as then it is those who look.
    pub(super) fn judged(&mut self, mut judged: Vec<Judged>) {
        self.searchers.values_mut().for_each(|s| s.told = None);
        let known = |s: &Searcher, life| s.is_up() && s.listed.up_since == life;
        judged.retain(|j| self.searchers.get(&j.id).is_some_and(|s| known(s, j.life)));
        if judged.iter().filter(|j| j.accuses()).count() * 2 > self.up().count() {
            return;
        }
        judged.sort_by(|a, b| a.good.total_cmp(&b.good).then(b.slower.total_cmp(&a.slower)));
        for said in judged {
            let mut shards = self.layout.shards_of(self.searchers[&said.id].listed.cell);
            let out = |s: &Searcher| s.listed.id == said.id || s.told.as_ref().is_some_and(Judged::accuses);
            let last = said.accuses() && shards.any(|shard| self.holders(Shard(shard)).all(out));
            if let Some(s) = self.searchers.get_mut(&said.id).filter(|_| !last) {
                // It warms up from when they saw it come back, unless something newer is known here.
                s.cold_since = s.cold_since.max(said.cold_since.filter(|since| *since > s.heard));
                s.told = Some(said);
            }
        }
    }

    /// What other mixers held when this one started, for searchers not heard from here in the same life.
    pub(super) fn remembers(&mut self, now: Time, known: Vec<Known>) {
        for Known { id, life, latency, good, at } in known {
            let unheard = |s: &&mut Searcher| s.latency.is_none() && s.listed.up_since == life;
            if let Some(s) = self.searchers.get_mut(&id).filter(unheard) {
                (s.latency, s.good, s.heard) = (Some(latency), good, at);
            }
        }
        self.survey(now);
    }

    /// Works out the fleet's figures anew.
    pub(super) fn survey(&mut self, now: Time) {
        const ENOUGH: usize = 3; // Fewer tell little of a zone.
        self.fleet.warm = self.up().filter(|s| s.capacity(now, &self.cold) >= 1.0).count();
        // Of a fleet replaced all at once none was heard from yet; the old one tells more than a budget.
        let middle = lowest(2, &mut self.up().filter_map(|s| s.latency).collect::<Vec<_>>());
        self.fleet.middle = middle.or(self.fleet.middle);
        let mut zones = BTreeMap::<_, Vec<f64>>::new();
        for s in self.up().filter(|s| now.since(s.heard).as_secs() < f64::from(MEMORY)) {
            zones.entry(s.listed.zone).or_default().extend(s.latency);
        }
        let known = zones.iter_mut().filter(|(_, heard)| heard.len() >= ENOUGH);
        let quick = |heard: &mut Vec<f64>| lowest(if heard.len() < 8 { 8 } else { 4 }, heard);
        self.fleet.zones = known.filter_map(|(z, l)| Some((*z, (lowest(2, l)?, quick(l)?)))).collect();
        self.fleet.quickest = self.fleet.zones.values().map(|zone| zone.1).fold(f64::MAX, f64::min);
    }

    /// The middle latency average of those heard from; with none, half the latency budget. The design says
    /// the mean: one dead searcher's time-outs would then make all others look slow and shut the gate.
    pub(super) fn peers(&self, budget: Span) -> f64 {
        self.fleet.middle.unwrap_or(budget.as_secs() / 2.0)
    }

    /// What a searcher not heard from is taken to be like: those of its zone, else of the fleet.
    pub(super) fn near(&self, s: &Searcher, budget: Span) -> f64 {
        self.fleet.zones.get(&s.listed.zone).map_or(self.peers(budget), |zone| zone.0)
    }

    /// How long after its last send a cold searcher may get its next: all mixers' sends must stay under the
    /// rule's multiple of the capacity that is sure. What one can do when warm is judged from what warm ones
    /// return here, as all mixers' rates add up to at most that; before any did, from one part at a time.
    fn cold_gap(&self, now: Time, searcher: &Searcher, budget: Span) -> Span {
        let capacity = searcher.capacity(now, &self.cold);
        // Where all are cold, as after a release, what warm ones did stays the best that is known.
        let rate = if self.fleet.warm > 0 { self.fleet.rate.per_second(now) } else { self.fleet.last_rate };
        let one_at_a_time = 1.0 / (self.peers(budget) * self.mixers as f64).max(1e-6);
        let allowed = self.cold.fall_multiple * capacity * rate.max(one_at_a_time);
        if capacity < 1.0 { Span::from_secs(1.0 / allowed) } else { Span::ZERO }
    }

    /// Notes a part that came back. It counts by how many are warm as it does: many may leave at once, and
    /// what all of them returned is not what the few that stay can do.
    pub(super) fn returned(&mut self, now: Time, from: &SearcherId, weight: f64) {
        let warm = |s: &Searcher| s.is_up() && s.capacity(now, &self.cold) >= 1.0;
        if self.fleet.warm > 0 && self.searchers.get(from).is_some_and(warm) {
            self.fleet.rate.add(now, weight / self.fleet.warm as f64);
            self.fleet.last_rate = self.fleet.rate.per_second(now);
        }
    }

    /// How much longer a cold searcher gets nothing: the gap since the last send; before the first one this
    /// mixer's part of the gap, as all are told at once, and one part each would be too much from many. The
    /// mixers' turns are spread over the gap by their rank, and begin elsewhere for each searcher.
    fn turn_in(&self, now: Time, searcher: &Searcher, gap: Span) -> Span {
        let Some(sent) = searcher.sent_at else {
            let fnv = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(16_777_619);
            let hash = searcher.listed.id.as_str().bytes().fold(2_166_136_261, fnv);
            let begins = f64::from(hash) / f64::from(u32::MAX);
            let turn = (begins + (self.rank as f64 + 0.5) / self.mixers as f64).fract();
            return gap.times(turn).saturating_sub(now.since(searcher.told_at));
        };
        gap.saturating_sub(now.since(sent))
    }

    pub(super) fn holders(&self, shard: Shard) -> impl Iterator<Item = &Searcher> {
        let ids = self.fleet.holders.get(shard.0 % self.layout.cells);
        ids.into_iter().flatten().map(|id| &self.searchers[id])
    }

    /// The replica with the lowest [`score`], but while there is another it passes over those sent this part.
    pub(super) fn pick(&self, now: Time, part: &Part, budget: Span, rng: &mut ChaCha8Rng) -> Pick {
        /// Times its price in latency budgets: no crossing among idle ones, yet a sound one beats a slow one.
        const CROSSING: f64 = 20.0;
        type Entry<'a> = (bool, f64, u32, &'a SearcherId, f64);
        let mut best: Option<Entry> = None;
        let mut soonest: Option<Span> = None;
        for s in self.holders(part.shard) {
            let gap = self.cold_gap(now, s, budget);
            let turn_in = self.turn_in(now, s, gap);
            if turn_in > Span::ZERO || (gap > Span::ZERO && !self.budgets.has(now, Budget::Cold)) {
                soonest = soonest.into_iter().chain([turn_in]).min();
                continue;
            }
            let peers = self.near(s, budget);
            let (_, good, queue) = s.learned(now, peers);
            let expected = s.expected(now, peers, self.fleet.work, &self.cold);
            // Full queues leave some quick: if even these take three times what they do elsewhere, it is the
            // way there, and counts like eight more own parts: a second own part elsewhere weighs eight times,
            // so parts would go on that way. Does harm if a whole zone is merely weak.
            let zone = self.fleet.zones.get(&s.listed.zone);
            let slow = zone.is_some_and(|zone| zone.1 > 3.0 * self.fleet.quickest);
            let own = s.out.len() as f64;
            // `score` adds one for the part itself, which is counted before the eight: sums round the same.
            let (own, queue) = if slow { (own + queue + 1.0 + 8.0 - 1.0, 0.0) } else { (own, queue) };
            let far = s.listed.zone.is_some() && s.listed.zone != self.home;
            let crossing = if far { CROSSING * self.price * budget.as_secs() } else { 0.0 };
            // One that fails fast looks quick and empty; a part has few sends, so failures weigh twice.
            let failing = good.max(0.05).powi(2);
            let score = score(own, queue, expected + crossing) / failing;
            let sent = part.sends.iter().any(|send| send.to == s.listed.id);
            let entry = (sent, score, rng.random::<u32>(), &s.listed.id, expected / failing);
            let order = |a: &Entry, b: &Entry| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2));
            best = best.into_iter().chain([entry]).min_by(order);
        }
        best.map(|(_, _, _, id, expected)| (id.clone(), expected)).ok_or(soonest)
    }
}
