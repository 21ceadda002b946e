//! Replica selection: the searchers of this mixer, their shared statistics, and the choice of a replica.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::searcher::{HALF_LIFE_S, Searcher};
use crate::interface::*;
use crate::scoring::score;

/// Holds the state of all searchers and selects the replica for each part.
pub struct Selector {
    layout: Layout,
    pub(super) warmup: SlowStart,
    zone: Option<Zone>,
    price: f64,
    rank: usize,
    pub(super) mixers: usize,
    pub(super) searchers: BTreeMap<SearcherId, Searcher>,
    pub(super) stats: FleetStats,
    /// Unanswered attempts: on idle connections, and on all others.
    pub(super) idle_lost: LossRatio,
    pub(super) lost: LossRatio,
    /// Token buckets of the budgets that the fleet shares.
    pub(super) budgets: TokenBuckets,
}

/// The newest attempt weighs about 1/15, so the ratio reaches back about thirty attempts, as a few prove
/// little. It decays with the same half-life as a searcher's averages, [`HALF_LIFE_S`].
type LossRatio = FailureRatio<15, 1, HALF_LIFE_S>;

/// Statistics of the whole fleet, updated once per outcome, so that selection only visits a part's holders.
#[derive(Default)]
pub(super) struct FleetStats {
    /// By shard modulo cells: the searchers that hold it and are up.
    holders: Vec<Vec<SearcherId>>,
    /// Median of the searchers' latency averages, and the number of searchers that are warmed up.
    median_latency: Option<f64>,
    warmed: usize,
    /// By zone with enough recent samples: the median latency and the lower quartile, or with fewer than
    /// eight the minimum: one fast searcher proves that the path is fast. Misjudges zones of mixed machines.
    zones: BTreeMap<Option<Zone>, (f64, f64)>,
    /// The lowest quartile of all zones.
    lowest_quartile: f64,
    /// Approximate minimum time of a part of usual work: its work without queueing.
    pub(super) min_work: f64,
    /// Rate at which a warmed-up searcher answers this mixer's parts, in parts of usual work and averaged
    /// over bursts, and its last known value.
    rate: Rate<3>,
    last_rate: f64,
}

/// The selected replica and its expected latency, or else when a searcher in slow start is available.
pub(super) type Pick = Result<(SearcherId, f64), Option<Span>>;

impl Selector {
    pub fn new(now: Time, layout: Layout, warmup: SlowStart, (zone, price): Locality, of: MixerRank) -> Self {
        let (rank, mixers) = (of.0, of.1.max(1));
        let (searchers, stats, budgets) = Default::default();
        let (idle_lost, lost) = (FailureRatio::new(now), FailureRatio::new(now));
        Selector { layout, warmup, zone, price, rank, mixers, searchers, stats, idle_lost, lost, budgets }
    }

    pub(super) fn all_up(&self) -> impl Iterator<Item = &Searcher> {
        self.searchers.values().filter(|s| s.is_up())
    }

    pub(super) fn apply_list(&mut self, now: Time, list: Vec<SearcherEntry>, complete: bool) {
        let named: BTreeSet<&SearcherId> = list.iter().map(|listed| &listed.id).collect();
        for (_, missing) in self.searchers.iter_mut().filter(|(id, _)| complete && !named.contains(id)) {
            missing.entry.state = SearcherState::Gone;
        }
        for listed in list {
            let entry = self.searchers.entry(listed.id.clone());
            let searcher = entry.or_insert_with(|| Searcher::new(now, listed.clone()));
            let started_at = listed.up_since.max(searcher.entry.up_since);
            if started_at > searcher.entry.up_since {
                // Restarted under the same id: earlier observations are of another process.
                (searcher.cold_since, searcher.down_since, searcher.agreed) = (started_at, None, None);
                (searcher.latency, searcher.success_ratio) = (None, 1.0);
                (searcher.listed_at, searcher.sent_at) = (now, None);
            }
            searcher.entry = SearcherEntry { up_since: started_at, ..listed };
        }
        self.searchers.retain(|_, s| s.entry.state != SearcherState::Gone || !s.in_flight.is_empty());
        let mut holders = vec![Vec::new(); self.layout.cells];
        for SearcherEntry { id, cell, .. } in self.all_up().map(|s| &s.entry) {
            self.layout.shards_of(*cell).for_each(|shard| holders[shard].push(id.clone()));
        }
        self.stats.holders = holders;
        self.refresh_stats(now);
    }

    /// Reports agreed by the fleet's mixers apply where this mixer has no newer outcome: never against a
    /// shard's last healthy holder, and not at all if they are against over half of the searchers, as then
    /// the fault is more likely to be with the mixers that report than with so many searchers.
    pub(super) fn apply_agreed_health(&mut self, mut reports: Vec<AgreedHealth>) {
        self.searchers.values_mut().for_each(|s| s.agreed = None);
        let same_start = |s: &Searcher, started_at| s.is_up() && s.entry.up_since == started_at;
        reports.retain(|r| self.searchers.get(&r.id).is_some_and(|s| same_start(s, r.started_at)));
        if reports.iter().filter(|r| r.is_degraded()).count() * 2 > self.all_up().count() {
            return;
        }
        reports.sort_by(|a, b| {
            a.success_ratio.total_cmp(&b.success_ratio).then(b.latency_ratio.total_cmp(&a.latency_ratio))
        });
        for r in reports {
            let mut shards = self.layout.shards_of(self.searchers[&r.id].entry.cell);
            let down =
                |s: &Searcher| s.entry.id == r.id || s.agreed.as_ref().is_some_and(AgreedHealth::is_degraded);
            let last_holder = r.is_degraded() && shards.any(|shard| self.holders(Shard(shard)).all(down));
            if let Some(s) = self.searchers.get_mut(&r.id).filter(|_| !last_holder) {
                // Slow start begins when other mixers saw it return, unless an outcome here is newer.
                s.cold_since = s.cold_since.max(r.cold_since.filter(|since| *since > s.last_outcome_at));
                s.agreed = Some(r);
            }
        }
    }

    /// Applies observations of other mixers to searchers without an outcome here in the same incarnation.
    pub(super) fn apply_warm_start(&mut self, now: Time, known: Vec<WarmStartEntry>) {
        for WarmStartEntry { id, started_at, latency, success_ratio, at } in known {
            let has_no_outcome = |s: &&mut Searcher| s.latency.is_none() && s.entry.up_since == started_at;
            if let Some(s) = self.searchers.get_mut(&id).filter(has_no_outcome) {
                (s.latency, s.success_ratio, s.last_outcome_at) = (Some(latency), success_ratio, at);
            }
        }
        self.refresh_stats(now);
    }

    pub(super) fn refresh_stats(&mut self, now: Time) {
        const MIN_SAMPLES: usize = 3; // Fewer say little about a zone.
        self.stats.warmed = self.all_up().filter(|s| s.capacity(now, &self.warmup) >= 1.0).count();
        // After the whole fleet is replaced there are no samples: the old median is better than a target.
        let median = quantile(2, &mut self.all_up().filter_map(|s| s.latency).collect::<Vec<_>>());
        self.stats.median_latency = median.or(self.stats.median_latency);
        let mut zones = BTreeMap::<_, Vec<f64>>::new();
        for s in self.all_up().filter(|s| now.since(s.last_outcome_at).as_secs() < f64::from(HALF_LIFE_S)) {
            zones.entry(s.entry.zone).or_default().extend(s.latency);
        }
        let sampled = zones.iter_mut().filter(|(_, values)| values.len() >= MIN_SAMPLES);
        let low = |values: &mut Vec<f64>| quantile(if values.len() < 8 { 8 } else { 4 }, values);
        self.stats.zones = sampled.filter_map(|(z, l)| Some((*z, (quantile(2, l)?, low(l)?)))).collect();
        self.stats.lowest_quartile = self.stats.zones.values().map(|zone| zone.1).fold(f64::MAX, f64::min);
    }

    /// Median of the latency averages, or half the latency target without any. A mean, as in the design,
    /// would let the timeouts of one dead searcher make the others look slow and cause rejections.
    pub(super) fn median(&self, target: Span) -> f64 {
        self.stats.median_latency.unwrap_or(target.as_secs() / 2.0)
    }

    /// Expected latency of a searcher without outcomes: the median of its zone, else of the fleet.
    pub(super) fn zone_latency(&self, s: &Searcher, target: Span) -> f64 {
        self.stats.zones.get(&s.entry.zone).map_or(self.median(target), |zone| zone.0)
    }

    /// Minimum time between sends to a searcher in slow start: the sends of all mixers must stay below the
    /// overload multiple of its certain capacity. Full capacity is estimated from the answers of warmed-up
    /// searchers here, which all mixers' rates add up to at most; before any, from one part at a time.
    fn ramp_gap(&self, now: Time, searcher: &Searcher, target: Span) -> Span {
        let capacity = searcher.capacity(now, &self.warmup);
        // If all are warming up, as after a release, the last known rate is the best estimate.
        let rate = if self.stats.warmed > 0 { self.stats.rate.per_second(now) } else { self.stats.last_rate };
        let one_at_a_time = 1.0 / (self.median(target) * self.mixers as f64).max(1e-6);
        let allowed = self.warmup.overload_multiple * capacity * rate.max(one_at_a_time);
        if capacity < 1.0 { Span::from_secs(1.0 / allowed) } else { Span::ZERO }
    }

    /// Records an answer of a warmed-up searcher, divided by the number of searchers that are warmed up at
    /// that time: many may leave at once, and the remaining few cannot serve the total rate of all.
    pub(super) fn record_answer(&mut self, now: Time, from: &SearcherId, weight: f64) {
        let is_warmed_up = |s: &Searcher| s.is_up() && s.capacity(now, &self.warmup) >= 1.0;
        if self.stats.warmed > 0 && self.searchers.get(from).is_some_and(is_warmed_up) {
            self.stats.rate.add(now, weight / self.stats.warmed as f64);
            self.stats.last_rate = self.stats.rate.per_second(now);
        }
    }

    /// Time until a searcher in slow start may be sent a part: the rest of the gap after the last send. All
    /// mixers learn of a start at once, and one part from each would be too many: the first send waits for
    /// this mixer's slot in the gap, which depends on its rank and, by a hash, on the searcher.
    fn ramp_wait(&self, now: Time, searcher: &Searcher, gap: Span) -> Span {
        let Some(last_sent) = searcher.sent_at else {
            let fnv = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(16_777_619);
            let hash = searcher.entry.id.as_str().bytes().fold(2_166_136_261, fnv);
            let offset = f64::from(hash) / f64::from(u32::MAX);
            let slot = (offset + (self.rank as f64 + 0.5) / self.mixers as f64).fract();
            return gap.times(slot).saturating_sub(now.since(searcher.listed_at));
        };
        gap.saturating_sub(now.since(last_sent))
    }

    pub(super) fn holders(&self, shard: Shard) -> impl Iterator<Item = &Searcher> {
        let ids = self.stats.holders.get(shard.0 % self.layout.cells);
        ids.into_iter().flatten().map(|id| &self.searchers[id])
    }

    /// The replica with the lowest [`score`]; replicas that were sent this part before come last.
    pub(super) fn pick(&self, now: Time, part: &Part, target: Span, rng: &mut ChaCha8Rng) -> Pick {
        /// Cross-zone cost in latency targets per unit of price: idle replicas in the own zone are preferred,
        /// but a healthy remote replica beats a slow local one.
        const ZONE_FACTOR: f64 = 20.0;
        /// Already sent this part, score, tie-break, searcher, and expected latency with failures counted.
        type Entry<'a> = (bool, f64, u32, &'a SearcherId, f64);
        let mut best: Option<Entry> = None;
        let mut shortest_wait: Option<Span> = None;
        for s in self.holders(part.shard) {
            let gap = self.ramp_gap(now, s, target);
            let ramp_wait = self.ramp_wait(now, s, gap);
            if ramp_wait > Span::ZERO || (gap > Span::ZERO && !self.budgets.has(now, Budget::Cold)) {
                shortest_wait = shortest_wait.into_iter().chain([ramp_wait]).min();
                continue;
            }
            let peers = self.zone_latency(s, target);
            let (_, success_ratio, queue) = s.averages(now, peers);
            let expected = s.expected(now, peers, self.stats.min_work, &self.warmup);
            // With full queues some searchers are fast: if even these take three times as long as elsewhere,
            // the path is slow, and counts like eight more own parts. Otherwise some parts would still take
            // it, as a second own part elsewhere has eight times the score. Misjudges a merely weak zone.
            let zone = self.stats.zones.get(&s.entry.zone);
            let slow_path = zone.is_some_and(|zone| zone.1 > 3.0 * self.stats.lowest_quartile);
            let own = s.in_flight.len() as f64;
            // `score` adds one for the part itself; subtracting it here keeps the rounding of the sum.
            let (own, queue) = if slow_path { (own + queue + 1.0 + 8.0 - 1.0, 0.0) } else { (own, queue) };
            let cross_zone = s.entry.zone.is_some() && s.entry.zone != self.zone;
            let zone_cost = if cross_zone { ZONE_FACTOR * self.price * target.as_secs() } else { 0.0 };
            // A searcher that fails fast looks fast and idle; attempts are few, so failures count squared.
            let success = success_ratio.max(0.05).powi(2);
            let score = score(own, queue, expected + zone_cost) / success;
            let already_tried = part.attempts.iter().any(|attempt| attempt.to == s.entry.id);
            let entry = (already_tried, score, rng.random::<u32>(), &s.entry.id, expected / success);
            let order = |a: &Entry, b: &Entry| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2));
            best = best.into_iter().chain([entry]).min_by(order);
        }
        best.map(|(_, _, _, id, expected)| (id.clone(), expected)).ok_or(shortest_wait)
    }
}
