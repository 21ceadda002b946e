//! Verdicts on searchers: which local ones are worth publishing, and on which of all published ones enough witnesses
//! agree. A single mixer proves nothing, since its path, its clock or its program may be at fault.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use lockusher_policy::interface::{AgreedHealth, SearcherId, SearcherObservation, Span, Time};

use super::records::{Fault, Verdict};
use crate::core::table::{MixerName, StableHasher};

/// Time to live of a local observation: an older one is not published, as other mixers may have newer ones.
const TTL: Span = Span::from_millis(5_000);
/// A searcher is silent when a send has been unanswered for this multiple of its peers' latency, and for at least
/// `MIN_SILENCE`.
const SILENCE_FACTOR: f64 = 4.0;
const MIN_SILENCE: Span = Span::from_millis(100);
/// The latency from which a searcher counts as slow, as a multiple of its peers': the bound that the policy uses for a
/// slow path.
const SLOW_FACTOR: f64 = 3.0;
/// A success ratio below this is published: two failures in a row, or half of many sends.
const ERRS_BELOW: f64 = 0.5;
/// A success ratio above this is fine; one failure in a row is within it.
const FINE: f64 = 0.6;
/// A searcher that answered within this time after others first found it faulty may have died in between: an answer in
/// flight when the process ends arrives a little later, and ages have a resolution of a millisecond.
const TRANSIT_TOLERANCE: Span = Span::from_millis(50);
/// The success ratio to be expected of a searcher that is down: the policy's minimum.
const DOWN_SUCCESS_RATIO: f64 = 0.05;
/// Verdicts on older observations are ignored. With 4 s, all mixers retried a dead searcher at the same time after 8 s,
/// because the decay of the policy's averages adds to this time. A recovered searcher is reported as soon as any mixer
/// finds it.
pub const VERDICT_MAX_AGE: Span = Span::from_millis(8_000);
/// The most witnesses of one zone that publish the same verdict. A hash of mixer and searcher decides which ones;
/// without such an order, all would withdraw their verdicts at once on hearing each other, and then publish them again
/// at once.
const MAX_WITNESSES: usize = 3;
/// One mixer may be wrong.
const MIN_WITNESSES: usize = 2;

/// The median, 0 without values.
fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// The fault of one searcher that the local observations show in comparison with its peers, if any.
fn detect_fault(now: Time, seen: &SearcherObservation, peer_latency: f64) -> Option<Verdict> {
    let verdict = |fault, weight, since, at| {
        Some(Verdict {
            searcher_start: seen.started_at,
            fault,
            weight,
            since,
            at,
        })
    };
    let timeout = Span::from_secs(peer_latency * SILENCE_FACTOR).max(MIN_SILENCE);
    if let Some(since) = seen
        .silent_since
        .filter(|since| now.since(*since) > timeout)
    {
        // Before that, it may still have answered other mixers.
        return verdict(Fault::Down, DOWN_SUCCESS_RATIO, since + timeout, now);
    }
    if now.since(seen.last_outcome_at) > TTL {
        return None;
    }
    if let Some(since) = seen.down_since {
        return verdict(Fault::Down, DOWN_SUCCESS_RATIO, since, seen.last_outcome_at);
    }
    if seen.success_ratio < ERRS_BELOW {
        return verdict(
            Fault::Errs,
            seen.success_ratio.max(0.0),
            seen.last_outcome_at,
            seen.last_outcome_at,
        );
    }
    if let Some(since) = seen
        .cold_since
        .filter(|since| seen.started_at.is_none_or(|started_at| *since > started_at))
    {
        return verdict(Fault::Cold, 0.0, since, seen.last_outcome_at);
    }
    let slowdown = seen.latency.unwrap_or(peer_latency) / peer_latency.max(1e-6);
    (slowdown > SLOW_FACTOR)
        .then(|| {
            verdict(
                Fault::Slow,
                slowdown.min(1e3),
                seen.last_outcome_at,
                seen.last_outcome_at,
            )
        })
        .flatten()
}

/// The verdicts that this mixer publishes, the worst first. `accused` holds the accusations by other mixers.
pub fn local_verdicts(
    now: Time,
    seen: &[SearcherObservation],
    accused: &Accusations,
) -> Vec<(SearcherId, Verdict)> {
    let is_recent =
        |s: &&SearcherObservation| now.since(s.last_outcome_at) <= TTL || s.silent_since.is_some();
    let peer_latency = median(seen.iter().filter_map(|s| s.latency));
    let (mut tried, mut verdicts) = (0, Vec::new());
    for seen in seen.iter().filter(is_recent) {
        tried += 1;
        verdicts.extend(
            detect_fault(now, seen, peer_latency).map(|verdict| (seen.id.clone(), verdict)),
        );
    }
    if verdicts.len() * 2 > tried && verdicts.len() > 1 {
        // Most of the searchers that were tried look faulty, so the fault is that of this mixer or its path.
        return Vec::new();
    }
    verdicts.retain(|(id, _)| accused.get(id).is_none_or(|a| a.accusers < MAX_WITNESSES));
    // The last outcome may be an abandoned send, which does not update the latency.
    let is_quick =
        |s: &&SearcherObservation| s.latency.is_some_and(|l| l < peer_latency * SLOW_FACTOR);
    let fine = seen
        .iter()
        .filter(|s| s.success_ratio > FINE && s.down_since.is_none() && s.silent_since.is_none());
    let fine = fine.filter(is_quick);
    for seen in fine.filter(|s| now.since(s.last_outcome_at) <= TTL) {
        let accusation = accused
            .get(&seen.id)
            .filter(|accusation| accusation.defenders < MAX_WITNESSES);
        if accusation.is_some_and(|a| seen.last_outcome_at > a.since + TRANSIT_TOLERANCE)
            && verdicts.iter().all(|(id, _)| *id != seen.id)
        {
            let (searcher_start, at) = (seen.started_at, seen.last_outcome_at);
            verdicts.push((
                seen.id.clone(),
                Verdict {
                    searcher_start,
                    fault: Fault::Fine,
                    weight: 1.0,
                    since: at,
                    at,
                },
            ));
        }
    }
    // Down before slow, and the latest observation first.
    verdicts.sort_by(|(_, a), (_, b)| a.fault.cmp(&b.fault).then(b.at.cmp(&a.at)));
    verdicts
}

/// The verdict of one mixer on a searcher.
#[derive(Clone, Debug)]
pub struct Vote<'a> {
    /// The mixer that gives the verdict.
    pub by: &'a MixerName,
    /// The zone of that mixer.
    pub zone: &'a str,
    /// Its verdict.
    pub verdict: &'a Verdict,
}

/// A verdict that enough witnesses agree on.
#[derive(Clone, Debug, PartialEq)]
pub struct AgreedVerdict {
    /// The verdict as the policy uses it.
    pub health: AgreedHealth,
    /// The fault that most witnesses report.
    pub fault: Fault,
    /// The mixers that agree, in the order of their names.
    pub witnesses: Vec<MixerName>,
}

/// The start according to the second witness, so that a single one can't backdate it; `None` with fewer witnesses.
fn agreed_since(witnesses: &[&Vote]) -> Option<Time> {
    let mut times: Vec<Time> = witnesses.iter().map(|vote| vote.verdict.since).collect();
    times.sort();
    times.get(MIN_WITNESSES - 1).copied()
}

/// How other mixers accuse one searcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Accusation {
    /// The earliest start that the accusers report; once nobody accuses the searcher any more, the time until which it
    /// was accused.
    pub since: Time,
    /// How many accusers, and how many mixers that found the searcher fine, of the local zone precede this mixer in the
    /// order of witnesses.
    accusers: usize,
    defenders: usize,
}

/// The accused searchers.
pub type Accusations = BTreeMap<SearcherId, Accusation>;

/// How long an accusation is remembered, so that a mixer that finds the searcher answering publishes this: the averages
/// of other mixers take that long to fade.
const ACCUSATION_MAX_AGE: Span = Span::from_millis(60_000);
/// More searchers than are accused in a minute by mixers that publish at most sixteen verdicts each.
const MAX_FORMERLY_ACCUSED: usize = 256;

/// Until when each searcher was accused.
#[derive(Debug, Default)]
pub struct FormerlyAccused(BTreeMap<SearcherId, Time>);

impl FormerlyAccused {
    fn record(&mut self, id: &SearcherId, at: Time) {
        if self.0.len() < MAX_FORMERLY_ACCUSED || self.0.contains_key(id) {
            let until = self.0.entry(id.clone()).or_insert(at);
            *until = (*until).max(at);
        }
    }
}

/// The position of a mixer in the order of a searcher's witnesses, which differs from searcher to searcher.
fn witness_rank(of: &MixerName, searcher: &SearcherId) -> (u64, MixerName) {
    let mut hasher = StableHasher::default();
    hasher.write(of.as_str().as_bytes());
    hasher.write(searcher.as_str().as_bytes());
    (hasher.finish(), of.clone())
}

/// The recent and remembered accusations by other mixers, as seen by a mixer of `zone`.
pub fn accusations<'a>(
    now: Time,
    me: &MixerName,
    zone: &str,
    votes: impl Iterator<Item = (&'a SearcherId, Vote<'a>)>,
    formerly_accused: &mut FormerlyAccused,
) -> Accusations {
    formerly_accused
        .0
        .retain(|_, until| now.since(*until) < ACCUSATION_MAX_AGE);
    let mut accusations: Accusations = formerly_accused
        .0
        .iter()
        .map(|(id, until)| {
            (
                id.clone(),
                Accusation {
                    since: *until,
                    accusers: 0,
                    defenders: 0,
                },
            )
        })
        .collect();
    let mut accusing = BTreeSet::new();
    let votes: Vec<(&SearcherId, Vote)> = votes
        .filter(|(_, vote)| now.since(vote.verdict.at) < VERDICT_MAX_AGE)
        .collect();
    for (id, vote) in votes
        .iter()
        .filter(|(_, vote)| vote.verdict.fault.accuses())
    {
        formerly_accused.record(id, vote.verdict.at);
        let new = Accusation {
            since: vote.verdict.since,
            accusers: 0,
            defenders: 0,
        };
        let accusation = accusations.entry((*id).clone()).or_insert(new);
        accusation.since = if accusing.insert(*id) {
            vote.verdict.since
        } else {
            accusation.since.min(vote.verdict.since)
        };
        accusation.accusers +=
            usize::from(vote.zone == zone && witness_rank(vote.by, id) < witness_rank(me, id));
    }
    for (id, vote) in votes
        .iter()
        .filter(|(_, vote)| vote.verdict.fault == Fault::Fine)
    {
        if let Some(accusation) = accusations.get_mut(*id) {
            accusation.defenders +=
                usize::from(vote.zone == zone && witness_rank(vote.by, id) < witness_rank(me, id));
        }
    }
    accusations
}

/// The verdicts with enough witnesses: at least two, of two zones if the live members are in several, and more than
/// twice as many as the mixers that found the searcher fine since. Once nobody accuses a searcher any more, the mixers
/// that find it fine are the witnesses of that. `zones` is the number of zones with live members.
pub fn agreed_verdicts<'a>(
    now: Time,
    votes: impl Iterator<Item = (&'a SearcherId, Vote<'a>)>,
    zones: usize,
) -> Vec<AgreedVerdict> {
    // Verdicts on different processes of a searcher are independent, so that a false one about one process does not
    // affect another.
    let mut by_process: BTreeMap<(&SearcherId, Option<Time>), Vec<Vote>> = BTreeMap::new();
    for (id, vote) in votes.filter(|(_, vote)| now.since(vote.verdict.at) < VERDICT_MAX_AGE) {
        by_process
            .entry((id, vote.verdict.searcher_start))
            .or_default()
            .push(vote);
    }
    let agree = |((id, searcher_start), votes): (&(&SearcherId, Option<Time>), &Vec<Vote>)| {
        let (accusers, fine): (Vec<&Vote>, Vec<&Vote>) =
            votes.iter().partition(|vote| vote.verdict.fault.accuses());
        let witnesses = if accusers.is_empty() {
            &fine
        } else {
            &accusers
        };
        let since = agreed_since(witnesses)?;
        let witness_zones: BTreeSet<&str> = witnesses.iter().map(|vote| vote.zone).collect();
        let contradicting = fine
            .iter()
            .filter(|vote| !accusers.is_empty() && vote.verdict.at > since + TRANSIT_TOLERANCE)
            .count();
        if witnesses.len() <= 2 * contradicting || witness_zones.len() < zones.min(2) {
            return None;
        }
        // The fault that most witnesses report; of equally frequent ones the most severe.
        let count = |fault: Fault| {
            witnesses
                .iter()
                .filter(|vote| vote.verdict.fault == fault)
                .count()
        };
        let faults = [
            Fault::Fine,
            Fault::Cold,
            Fault::Slow,
            Fault::Errs,
            Fault::Down,
        ];
        let fault = faults.into_iter().max_by_key(|fault| count(*fault))?;
        let weights = || {
            witnesses
                .iter()
                .filter(|vote| vote.verdict.fault == fault)
                .map(|vote| vote.verdict.weight)
        };
        let health = AgreedHealth {
            id: (*id).clone(),
            started_at: *searcher_start,
            success_ratio: match fault {
                Fault::Down => DOWN_SUCCESS_RATIO,
                Fault::Errs => median(weights()).clamp(DOWN_SUCCESS_RATIO, 1.0),
                _ => 1.0,
            },
            latency_ratio: if fault == Fault::Slow {
                median(weights()).max(1.0)
            } else {
                1.0
            },
            cold_since: (fault == Fault::Cold).then_some(since),
            at: witnesses.iter().map(|vote| vote.verdict.at).max()?.min(now),
        };
        let mut names: Vec<MixerName> = witnesses.iter().map(|vote| vote.by.clone()).collect();
        names.sort();
        Some(AgreedVerdict {
            health,
            fault,
            witnesses: names,
        })
    };
    by_process.iter().filter_map(agree).collect()
}
