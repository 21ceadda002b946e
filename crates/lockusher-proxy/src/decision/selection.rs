//! Load balancing: selects the searcher for the next send of a request.
//!
//! Selects the searcher with the lowest score among those of the service that serve the purpose, without ejected
//! outliers; or the prompt's affinity target if the wait there isn't much longer than what its cached prefix saves.
//! Called by `RequestRouter`; reads the `Service` and changes nothing. Invariant: never selects a searcher that was
//! already tried for this request, except for `required`. The score is shared with the aggregator
//! (`lockusher_policy::scoring`).

use super::locality::{Distance, Locality};
use super::plan::Incarnation;
use super::prefix_cache::{Prefix, mix, shared_prefix};
use super::scoring::score;
use super::searcher::{EffectiveStatistics, PeerStatistics, Searcher};
use super::service::{Group, GroupKind, Service};
use super::types::{Micros, Purpose, SearcherId};

/// The wait at a prompt's affinity target may exceed the wait at the best searcher by this factor if its cache saves
/// the complete prefill, and proportionally less if it saves a part. A repeated prefill elsewhere delays all requests
/// there.
const PREFILL_AFFINITY_WAIT_FACTOR: f64 = 30.0;

/// The allowed wait ratio at decode searchers, where a cached prefix saves a prefill only without a KV cache transfer,
/// and affinity keeps transfers within a zone.
const DECODE_AFFINITY_WAIT_RATIO: f64 = 4.0;

/// Cost of a crossing between zones, and between regions, as added latency in multiples of the expected service time.
/// A smaller cost would be lost in the noise that single requests leave in idle searchers' averages.
const ZONE_CROSSING_COST: f64 = 1.0;
const REGION_CROSSING_COST: f64 = 10.0;

/// Duration of a KV cache transfer between zones, and between regions, as a multiple of one within a zone.
const ZONE_TRANSFER_FACTOR: f64 = 2.0;
const REGION_TRANSFER_FACTOR: f64 = 10.0;

/// The properties of a send that affect the choice.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    pub purpose: Purpose,
    /// The prefixes of the prompt.
    pub prefixes: &'a [Prefix],
    /// All tokens of the prompt.
    pub prompt_tokens: u32,
    /// Searchers that were already tried for this request: they aren't selected again.
    pub tried: &'a [SearcherId],
    /// The only searcher that may be selected, even if it was tried before.
    pub required: Option<Incarnation>,
    /// Locality of the searcher that the KV cache is fetched from.
    pub transfer_source: Option<Locality>,
    /// Whether a failed send may be retried: only such sends probe an outlier.
    pub is_retryable: bool,
    /// Prefixes that were sent to a searcher at or after this time are assumed to be cached there.
    pub cached_since: Micros,
    /// Breaks ties between equal scores.
    pub tie_breaker: u64,
}

/// The selected searcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectedSearcher {
    pub searcher: SearcherId,
    /// Expected number of tokens to prefill or transfer.
    pub expected_tokens: u32,
    /// The tokens to prefill if the searcher has cached only what this proxy itself recently sent it.
    pub tokens_upper_bound: u32,
    /// Expected duration in microseconds.
    pub expected_micros: f64,
}

/// A searcher as evaluated for one choice.
#[derive(Clone, Copy, Debug)]
struct EvaluatedCandidate {
    id: SearcherId,
    expected_tokens: u32,
    tokens_upper_bound: u32,
    /// The score with an exponent of 1: proportional to the wait at a searcher that prefills one prompt after the
    /// other.
    wait: f64,
    expected_micros: f64,
}

/// Result of a pass over the candidates.
enum ScanResult {
    /// An outlier that is due to be probed.
    Probe(SearcherId),
    /// The candidate with the lowest score, if there is one.
    Lowest(Option<SearcherId>),
}

/// Evaluates the searchers of one group for one choice.
struct CandidateEvaluator<'a> {
    service: &'a Service,
    kind: GroupKind,
    group: &'a Group,
    criteria: &'a SelectionCriteria<'a>,
    peers: PeerStatistics,
    now: Micros,
    /// Expected service time of a searcher that has cached nothing of the prompt, in microseconds.
    uncached_service_time: f64,
    /// Duration of the KV cache transfer within a zone, in microseconds.
    transfer_time: f64,
}

/// Selects the searcher with the lowest score, or the prompt's affinity target if the wait there isn't much longer.
/// `None` if no untried searcher is left.
pub fn select(
    service: &Service,
    kind: GroupKind,
    now: Micros,
    criteria: &SelectionCriteria,
) -> Option<SelectedSearcher> {
    let evaluator = CandidateEvaluator::new(service, kind, now, criteria);
    // Outliers are excluded, unless no other searcher is left.
    let selected = match criteria.required {
        Some(required) => evaluator.evaluate_required(required)?,
        None => evaluator
            .select_candidate(true)
            .or_else(|| evaluator.select_candidate(false))?,
    };
    let (searcher, expected_tokens, tokens_upper_bound) = (
        selected.id,
        selected.expected_tokens,
        selected.tokens_upper_bound,
    );
    Some(SelectedSearcher {
        searcher,
        expected_tokens,
        tokens_upper_bound,
        expected_micros: selected.expected_micros,
    })
}

impl<'a> CandidateEvaluator<'a> {
    fn new(
        service: &'a Service,
        kind: GroupKind,
        now: Micros,
        criteria: &'a SelectionCriteria<'a>,
    ) -> Self {
        let uncached_service_time = service
            .service_time(criteria.purpose)
            .predict(f64::from(criteria.prompt_tokens));
        let transferred_tokens = if criteria.purpose == Purpose::Decode {
            criteria.prompt_tokens
        } else {
            0
        };
        let transfer_time = service.engine.as_ref().map_or(0.0, |engine| {
            f64::from(transferred_tokens) * engine.cache_token_bytes as f64 * 8.0
                / engine.link_mbps.max(1.0)
        });
        let group = service.group(kind);
        CandidateEvaluator {
            service,
            kind,
            group,
            criteria,
            peers: *service.peers(kind),
            now,
            uncached_service_time,
            transfer_time,
        }
    }

    /// Selects the lowest score, then checks the affinity targets.
    fn select_candidate(&self, exclude_outliers: bool) -> Option<EvaluatedCandidate> {
        let best = match self.find_lowest_score(exclude_outliers) {
            ScanResult::Probe(id) => return Some(self.evaluate(id, 0)),
            ScanResult::Lowest(id) => id?,
        };
        let best = self.evaluate(best, 0);
        let Some(shared_prefix) = shared_prefix(self.criteria.prefixes) else {
            return Some(best);
        };
        Some(self.prefer_affinity_target(best, shared_prefix, exclude_outliers))
    }

    /// Evaluates the only searcher that may be selected, if it is still ready and in this group.
    fn evaluate_required(&self, required: Incarnation) -> Option<EvaluatedCandidate> {
        let is_same_incarnation = self.service.searcher(required.searcher).hash == required.hash;
        let is_ready =
            is_same_incarnation && self.service.group_of(required.searcher) == Some(self.kind);
        is_ready.then(|| self.evaluate(required.searcher, 0))
    }

    /// One pass over the candidates for the lowest score. It dominates the cost of a choice.
    fn find_lowest_score(&self, exclude_outliers: bool) -> ScanResult {
        let mut best = LowestScore::default();
        let any_tried = !self.criteria.tried.is_empty();
        for &id in &self.group.candidates {
            if any_tried && self.criteria.tried.contains(&id) {
                continue;
            }
            let searcher = self.service.searcher(id);
            // Skips the full evaluation of a candidate that can't win even with nothing in flight.
            if searcher.min_latency_ratio(&self.peers) * self.uncached_service_time > best.score {
                continue;
            }
            let effective = searcher.effective_statistics(self.now, &self.peers);
            if exclude_outliers && effective.is_outlier(&self.peers) {
                if self.criteria.is_retryable && searcher.is_probe_due(self.now) {
                    return ScanResult::Probe(id);
                }
                continue;
            }
            let latency = self.latency(searcher, &effective, self.uncached_service_time);
            let score = score(effective.in_flight, effective.in_flight_average, latency);
            best.offer(score, searcher.hash ^ self.criteria.tie_breaker, id);
        }
        ScanResult::Lowest(best.id)
    }

    /// Whether a searcher may be selected: not tried, and not an excluded outlier.
    fn is_eligible(&self, id: SearcherId, exclude_outliers: bool) -> bool {
        let effective = self
            .service
            .searcher(id)
            .effective_statistics(self.now, &self.peers);
        let is_ejected = exclude_outliers && effective.is_outlier(&self.peers);
        !is_ejected && !self.criteria.tried.contains(&id)
    }

    /// Selects the prompt's first affinity target if the wait there isn't much longer than at the best searcher, else
    /// the second target by the same test, else the best searcher.
    fn prefer_affinity_target(
        &self,
        best: EvaluatedCandidate,
        shared_prefix: Prefix,
        exclude_outliers: bool,
    ) -> EvaluatedCandidate {
        let mut is_first_warm = true;
        for id in self
            .group
            .affinity_targets(shared_prefix.hash, self.preferred_locality(shared_prefix))
            .into_iter()
            .flatten()
        {
            if !self.is_eligible(id, exclude_outliers) {
                continue;
            }
            let known_cached = self.service.prefix_cache.cached_tokens(
                id,
                self.criteria.cached_since,
                self.criteria.prefixes,
            );
            // Other proxies send the shared parts there too, so the first target past its slow start is assumed to have
            // cached them. A prompt of one part may be a session's, whose previous turns went through other proxies.
            let is_in_slow_start = self.service.searcher(id).is_in_slow_start(self.now);
            let may_have_cached = if is_first_warm && !is_in_slow_start {
                shared_prefix.tokens
            } else {
                0
            };
            let assumed_cached = if self.criteria.prefixes.len() > 1 {
                may_have_cached
            } else {
                0
            };
            is_first_warm &= is_in_slow_start;
            let mut candidate = self.evaluate(id, known_cached.max(assumed_cached));
            if self.includes_prefill() {
                candidate.tokens_upper_bound =
                    self.criteria.prompt_tokens.saturating_sub(known_cached);
            }
            let min_prefill_tokens = self
                .criteria
                .prompt_tokens
                .saturating_sub(known_cached.max(may_have_cached));
            if candidate.wait <= self.max_wait_ratio(min_prefill_tokens) * best.wait {
                return candidate;
            }
        }
        best
    }

    /// The allowed wait at a target with at least `min_prefill_tokens` left to prefill, relative to the best searcher.
    fn max_wait_ratio(&self, min_prefill_tokens: u32) -> f64 {
        if self.kind == GroupKind::Decode {
            return DECODE_AFFINITY_WAIT_RATIO;
        }
        let saved_share = self
            .service
            .service_time(self.criteria.purpose)
            .saved_share(self.criteria.prompt_tokens, min_prefill_tokens);
        1.0 + PREFILL_AFFINITY_WAIT_FACTOR * saved_share
    }

    /// The locality in which decode searchers are preferred: that of the prompt's prefill or prefill target, so that KV
    /// cache transfers stay within a zone.
    fn preferred_locality(&self, shared_prefix: Prefix) -> Option<Locality> {
        match self.kind {
            GroupKind::Decode => self
                .criteria
                .transfer_source
                .or_else(|| self.locality_of_prefill_target(shared_prefix)),
            GroupKind::Prefill | GroupKind::Plain => None,
        }
    }

    fn locality_of_prefill_target(&self, shared_prefix: Prefix) -> Option<Locality> {
        let [first, _] = self
            .service
            .group(GroupKind::Prefill)
            .affinity_targets(shared_prefix.hash, None);
        first.map(|id| self.service.searcher(id).locality)
    }

    /// Whether the searcher prefills the prompt, so that a cached prefix saves time.
    fn includes_prefill(&self) -> bool {
        self.criteria.purpose != Purpose::Decode
    }

    /// Evaluates a searcher that has cached this many tokens of the prompt.
    fn evaluate(&self, id: SearcherId, cached: u32) -> EvaluatedCandidate {
        let cached = if self.includes_prefill() { cached } else { 0 };
        let expected_tokens = self.criteria.prompt_tokens.saturating_sub(cached);
        let service_time = self
            .service
            .service_time(self.criteria.purpose)
            .predict(f64::from(expected_tokens));
        let searcher = self.service.searcher(id);
        let effective = searcher.effective_statistics(self.now, &self.peers);
        let latency = self.latency(searcher, &effective, service_time);
        EvaluatedCandidate {
            id,
            expected_tokens,
            tokens_upper_bound: expected_tokens,
            wait: (effective.in_flight + effective.in_flight_average + 1.0) * latency,
            expected_micros: (effective.latency_ratio * service_time)
                .max(searcher.oldest_unanswered(self.now)),
        }
    }

    /// The latency that enters the score, in microseconds: the expected time or the age of the oldest send without a
    /// response, plus the distance cost, with a penalty for failures.
    fn latency(
        &self,
        searcher: &Searcher,
        effective: &EffectiveStatistics,
        service_time: f64,
    ) -> f64 {
        let base_latency =
            (effective.latency_ratio * service_time).max(searcher.oldest_unanswered(self.now));
        let latency = base_latency + self.distance_cost(searcher, service_time);
        if effective.success_rate >= 1.0 {
            return latency;
        }
        latency / (effective.success_rate * effective.success_rate).max(1e-6)
    }

    /// The cost of the distance in microseconds: that of the crossing, and the extra duration of a KV cache transfer.
    /// For a transfer the distance to the cache's holder counts, because it moves far more data than the request does.
    fn distance_cost(&self, searcher: &Searcher, service_time: f64) -> f64 {
        let (distance, transfer_time) = match self.criteria.transfer_source {
            Some(transfer_source) => (
                searcher.locality.distance(transfer_source),
                self.transfer_time,
            ),
            None => (searcher.distance, 0.0),
        };
        match distance {
            Distance::SameZone => 0.0,
            Distance::SameRegion => {
                ZONE_CROSSING_COST * service_time + (ZONE_TRANSFER_FACTOR - 1.0) * transfer_time
            }
            Distance::OtherRegion => {
                REGION_CROSSING_COST * service_time + (REGION_TRANSFER_FACTOR - 1.0) * transfer_time
            }
        }
    }
}

/// The lowest score so far; equal scores are ordered by the tie-breaker.
#[derive(Debug)]
struct LowestScore {
    score: f64,
    tie_breaker: u64,
    id: Option<SearcherId>,
}

impl Default for LowestScore {
    fn default() -> Self {
        LowestScore {
            score: f64::INFINITY,
            tie_breaker: 0,
            id: None,
        }
    }
}

impl LowestScore {
    fn offer(&mut self, score: f64, tie_breaker: u64, id: SearcherId) {
        if score > self.score || (score == self.score && mix(tie_breaker) >= mix(self.tie_breaker))
        {
            return;
        }
        *self = LowestScore {
            score,
            tie_breaker,
            id: Some(id),
        };
    }
}
