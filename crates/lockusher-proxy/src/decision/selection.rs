//! Load balancing: which searcher gets the next send of a request.
//!
//! The searcher with the lowest score among those of the service that serve the purpose, outliers ejected; or the prompt's
//! affinity target if the wait there isn't much longer than what its cached prefix saves. Called by
//! `RequestRouter`; reads the `Service` and changes nothing. Invariant: no searcher that was
//! tried for this request, but the one that `only` names. The score is shared with the aggregator
//! (`lockusher_policy::scoring`).

use super::locality::{Distance, Locality};
use super::plan::Incarnation;
use super::prefix_cache::{Prefix, mix, shared};
use super::scoring::score;
use super::searcher::{EffectiveStatistics, PeerStatistics, Searcher};
use super::service::{Group, GroupKind, Service};
use super::types::{Micros, Purpose, SearcherId};

/// How many times longer than at the best searcher the wait at a prompt's affinity target may be, if its cache saved all
/// of the prefill; in proportion if it spares a part. What is read once more elsewhere makes all others wait there. Measured
/// with 15 and 30 on the bench.
const PREFILL_AFFINITY_PATIENCE: f64 = 30.0;

/// The same for decode searchers, where a cached prefix saves a prefill only without a KV transfer, and affinity keeps
/// transfers within a zone. Measured with 1.25 to 10.
const DECODE_AFFINITY_PATIENCE: f64 = 4.0;

/// A crossing between zones, and between regions, as added latency in shares of the usual: it is priced, and
/// less than this is lost among the traces of single requests in idle searchers' averages.
const ZONE_CROSSING_COST: f64 = 1.0;
const REGION_CROSSING_COST: f64 = 10.0;

/// A KV transfer between zones, and between regions, takes so many times as long as within a zone.
const ZONE_TRANSFER_FACTOR: f64 = 2.0;
const REGION_TRANSFER_FACTOR: f64 = 10.0;

/// What is sent, as far as it matters for the choice.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    pub purpose: Purpose,
    /// The prefixes of the prompt.
    pub prefixes: &'a [Prefix],
    /// All tokens of the prompt.
    pub tokens: u32,
    /// Searchers that were tried for this request: they come last.
    pub tried: &'a [SearcherId],
    /// No other searcher may be chosen, though it was tried.
    pub only: Option<Incarnation>,
    /// Where the KV cache is fetched from.
    pub source: Option<Locality>,
    /// Whether a send that fails may be retried: only then is an outlier probed.
    pub is_retryable: bool,
    /// What a searcher has cached is still there if it was sent after this moment.
    pub cached_since: Micros,
    /// Decides between equal scores.
    pub tie_breaker: u64,
}

/// The searcher that was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectedSearcher {
    pub searcher: SearcherId,
    /// The tokens that it is expected to read or move.
    pub tokens: u32,
    /// The tokens that it prefills if it has cached only what this proxy itself sent it lately.
    pub tokens_upper_bound: u32,
    /// How long it is expected to take, in microseconds.
    pub expected: f64,
}

/// A searcher with its figures for one choice.
#[derive(Clone, Copy, Debug)]
struct EvaluatedCandidate {
    id: SearcherId,
    tokens: u32,
    tokens_upper_bound: u32,
    /// The score with an exponent of 1: grows as the wait at a searcher that reads one prompt after the other.
    wait: f64,
    expected: f64,
}

/// What a pass over the candidates finds.
enum Found {
    /// An outlier that is due to be probed.
    Probe(SearcherId),
    /// The lowest score, if there is a candidate.
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
    /// The usual time of a searcher that has cached nothing of the prompt.
    usual_of_all: f64,
    /// The time of a KV transfer within a zone, in microseconds.
    transfer_time: f64,
}

/// The searcher with the lowest score, or the prompt's affinity target if the wait there isn't much longer. Nothing
/// if no searcher is left that wasn't tried.
pub fn select(
    service: &Service,
    kind: GroupKind,
    now: Micros,
    criteria: &SelectionCriteria,
) -> Option<SelectedSearcher> {
    let evaluator = CandidateEvaluator::new(service, kind, now, criteria);
    // Outliers are ejected, but never the last ones.
    let selected = match criteria.only {
        Some(only) => evaluator.evaluate_only(only)?,
        None => evaluator.scan(true).or_else(|| evaluator.scan(false))?,
    };
    let (searcher, tokens, tokens_upper_bound) =
        (selected.id, selected.tokens, selected.tokens_upper_bound);
    Some(SelectedSearcher {
        searcher,
        tokens,
        tokens_upper_bound,
        expected: selected.expected,
    })
}

impl<'a> CandidateEvaluator<'a> {
    fn new(
        service: &'a Service,
        kind: GroupKind,
        now: Micros,
        criteria: &'a SelectionCriteria<'a>,
    ) -> Self {
        let usual_of_all = service
            .service_time(criteria.purpose)
            .usual(f64::from(criteria.tokens));
        let fetched = if criteria.purpose == Purpose::Decode {
            criteria.tokens
        } else {
            0
        };
        let transfer_time = service.engine.as_ref().map_or(0.0, |engine| {
            f64::from(fetched) * engine.cache_token_bytes as f64 * 8.0 / engine.link_mbps.max(1.0)
        });
        let group = service.group(kind);
        CandidateEvaluator {
            service,
            kind,
            group,
            criteria,
            peers: *service.peers(kind),
            now,
            usual_of_all,
            transfer_time,
        }
    }

    /// The best by score, then what speaks for affinity targets.
    fn scan(&self, exclude_outliers: bool) -> Option<EvaluatedCandidate> {
        let best = match self.lowest(exclude_outliers) {
            Found::Probe(id) => return Some(self.evaluate(id, 0)),
            Found::Lowest(id) => id?,
        };
        let best = self.evaluate(best, 0);
        let Some(shared) = shared(self.criteria.prefixes) else {
            return Some(best);
        };
        Some(self.prefer_affinity_target(best, shared, exclude_outliers))
    }

    /// The one searcher that may be chosen, while it takes requests.
    fn evaluate_only(&self, only: Incarnation) -> Option<EvaluatedCandidate> {
        let is_there = self.service.searcher(only.searcher).hash == only.hash;
        let takes = is_there && self.service.group_of(only.searcher) == Some(self.kind);
        takes.then(|| self.evaluate(only.searcher, 0))
    }

    /// One pass over the candidates for the lowest score. This is nearly all that a choice costs.
    fn lowest(&self, exclude_outliers: bool) -> Found {
        let mut best = Best::default();
        let any_tried = !self.criteria.tried.is_empty();
        for &id in &self.group.candidates {
            if any_tried && self.criteria.tried.contains(&id) {
                continue;
            }
            let searcher = self.service.searcher(id);
            // Most can't win whatever their queue is: nothing more is worked out for them.
            if searcher.min_latency(&self.peers) * self.usual_of_all > best.score {
                continue;
            }
            let effective = searcher.effective_statistics(self.now, &self.peers);
            if exclude_outliers && effective.is_outlier(&self.peers) {
                if self.criteria.is_retryable && searcher.is_probe_due(self.now) {
                    return Found::Probe(id);
                }
                continue;
            }
            let latency = self.latency(searcher, &effective, self.usual_of_all);
            let score = score(effective.in_flight, effective.queue, latency);
            best.offer(score, searcher.hash ^ self.criteria.tie_breaker, id);
        }
        Found::Lowest(best.id)
    }

    /// Whether a searcher takes part in this choice.
    fn is_eligible(&self, id: SearcherId, exclude_outliers: bool) -> bool {
        let effective = self
            .service
            .searcher(id)
            .effective_statistics(self.now, &self.peers);
        let is_out = exclude_outliers && effective.is_outlier(&self.peers);
        !is_out && !self.criteria.tried.contains(&id)
    }

    /// Takes the prompt's first affinity target if the wait there isn't much longer than at the best, else the second.
    fn prefer_affinity_target(
        &self,
        best: EvaluatedCandidate,
        shared: Prefix,
        exclude_outliers: bool,
    ) -> EvaluatedCandidate {
        let mut likely = true;
        for id in self
            .group
            .affinity_targets(shared.key, self.near(shared))
            .into_iter()
            .flatten()
        {
            if !self.is_eligible(id, exclude_outliers) {
                continue;
            }
            let known = self.service.prefix_cache.cached_tokens(
                id,
                self.criteria.cached_since,
                self.criteria.prefixes,
            );
            // Other proxies send it there too, so the first target after its slow start has cached the shared parts. A prompt of one part
            // may be a session's, of which another proxy sent the turns before.
            let is_in_slow_start = self.service.searcher(id).is_in_slow_start(self.now);
            let may_have_cached = if likely && !is_in_slow_start {
                shared.tokens
            } else {
                0
            };
            let assumed = if self.criteria.prefixes.len() > 1 {
                may_have_cached
            } else {
                0
            };
            likely &= is_in_slow_start;
            let mut candidate = self.evaluate(id, known.max(assumed));
            if self.reads() {
                candidate.tokens_upper_bound = self.criteria.tokens.saturating_sub(known);
            }
            let left = self
                .criteria
                .tokens
                .saturating_sub(known.max(may_have_cached));
            if candidate.wait <= self.affinity_patience(left) * best.wait {
                return candidate;
            }
        }
        best
    }

    /// How many times as long as at the best searcher the wait may be at a target that may have only `left` tokens to read.
    fn affinity_patience(&self, left: u32) -> f64 {
        if self.kind == GroupKind::Decode {
            return DECODE_AFFINITY_PATIENCE;
        }
        let saved = self
            .service
            .service_time(self.criteria.purpose)
            .saved_share(self.criteria.tokens, left);
        1.0 + PREFILL_AFFINITY_PATIENCE * saved
    }

    /// The locality in which a decode searcher is preferred: where the prompt was prefilled, or would be, so that KV
    /// transfers stay within a zone.
    fn near(&self, shared: Prefix) -> Option<Locality> {
        match self.kind {
            GroupKind::Decode => self
                .criteria
                .source
                .or_else(|| self.locality_of_prefill_target(shared)),
            GroupKind::Prefill | GroupKind::Plain => None,
        }
    }

    fn locality_of_prefill_target(&self, shared: Prefix) -> Option<Locality> {
        let [first, _] = self
            .service
            .group(GroupKind::Prefill)
            .affinity_targets(shared.key, None);
        first.map(|id| self.service.searcher(id).locality)
    }

    /// Whether the searcher prefills the prompt, so that cached parts save time.
    fn reads(&self) -> bool {
        self.criteria.purpose != Purpose::Decode
    }

    /// A searcher that has cached so many tokens of the prompt.
    fn evaluate(&self, id: SearcherId, cached: u32) -> EvaluatedCandidate {
        let cached = if self.reads() { cached } else { 0 };
        let tokens = self.criteria.tokens.saturating_sub(cached);
        let usual = self
            .service
            .service_time(self.criteria.purpose)
            .usual(f64::from(tokens));
        let searcher = self.service.searcher(id);
        let effective = searcher.effective_statistics(self.now, &self.peers);
        let latency = self.latency(searcher, &effective, usual);
        EvaluatedCandidate {
            id,
            tokens,
            tokens_upper_bound: tokens,
            wait: (effective.in_flight + effective.queue + 1.0) * latency,
            expected: (effective.latency * usual).max(searcher.oldest_unanswered(self.now)),
        }
    }

    /// The latency that is scored: the average or the oldest send without a response, the distance, and what failures add.
    fn latency(&self, searcher: &Searcher, effective: &EffectiveStatistics, usual: f64) -> f64 {
        let alone = (effective.latency * usual).max(searcher.oldest_unanswered(self.now));
        let latency = alone + self.distance(searcher, usual);
        if effective.success_rate >= 1.0 {
            return latency;
        }
        latency / (effective.success_rate * effective.success_rate).max(1e-6)
    }

    /// What the distance adds: a stated price of crossings as time, and the longer KV transfer. Where KV cache is
    /// fetched, the way from its holder counts, as that moves far more than the request does.
    fn distance(&self, searcher: &Searcher, usual: f64) -> f64 {
        let (distance, moves) = match self.criteria.source {
            Some(source) => (searcher.locality.distance(source), self.transfer_time),
            None => (searcher.distance, 0.0),
        };
        match distance {
            Distance::SameZone => 0.0,
            Distance::SameRegion => {
                ZONE_CROSSING_COST * usual + (ZONE_TRANSFER_FACTOR - 1.0) * moves
            }
            Distance::OtherRegion => {
                REGION_CROSSING_COST * usual + (REGION_TRANSFER_FACTOR - 1.0) * moves
            }
        }
    }
}

/// The lowest score so far; between equal ones the tie-breaker decides.
#[derive(Debug)]
struct Best {
    score: f64,
    tie_breaker: u64,
    id: Option<SearcherId>,
}

impl Default for Best {
    fn default() -> Self {
        Best {
            score: f64::INFINITY,
            tie_breaker: 0,
            id: None,
        }
    }
}

impl Best {
    fn offer(&mut self, score: f64, tie_breaker: u64, id: SearcherId) {
        if score > self.score || (score == self.score && mix(tie_breaker) >= mix(self.tie_breaker))
        {
            return;
        }
        *self = Best {
            score,
            tie_breaker,
            id: Some(id),
        };
    }
}
