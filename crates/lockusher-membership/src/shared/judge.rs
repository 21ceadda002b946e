//! Judgements on searchers: which of a mixer's own are worth telling, and which of all that were told stand. One mixer
//! alone proves nothing: its path, its clock or its program may be at fault.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

use lockusher_policy::interface::{AgreedHealth, SearcherId, SearcherObservation, Span, Time};

use super::records::{Fault, Verdict};
use crate::core::table::{Mixer, MixerName};

/// What was heard of a searcher longer ago is not told: others may have heard since.
const LATELY: Span = Span::from_millis(5_000);
/// A searcher is silent when a send has been out for so many times what its peers take, and for `LEAST_SILENCE`.
const SILENT: f64 = 4.0;
const LEAST_SILENCE: Span = Span::from_millis(100);
/// Latency that is told of: the policy's own bound for a slow path.
const SLOW: f64 = 3.0;
/// A share of good sends that is told of: two failures in a row, or half of many.
const ERRS: f64 = 0.5;
/// A share of good sends with which nobody would say that it is fine: one failure in a row is within it.
const FINE: f64 = 0.6;
/// One that was heard from so soon after others first found it bad may have died in between: what is under way when a
/// process ends arrives a little later, and ages are told in milliseconds.
const CROSSING: Span = Span::from_millis(50);
/// What is to be expected of one that is down: the policy's own least share.
const DOWN_GOOD: f64 = 0.05;
/// What was seen longer ago than this does not witness any more. At 4 s all mixers tried a dead searcher again together
/// after 8 s, as the policy's fading does the rest; one that is back is told of as soon as any of them finds it.
pub const WITNESSES_FOR: Span = Span::from_millis(8_000);
/// Witnesses of one zone that are enough: others who hear them do not say it again. Who they are falls to chance by
/// name and searcher, or all would fall silent at once when they hear each other, and speak at once again.
const ENOUGH: usize = 3;
/// One mixer may be wrong.
const LEAST_WITNESSES: usize = 2;

/// The middle one of several, 0 of none.
fn middle(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// What this mixer saw of one searcher that is unlike its peers, if anything is.
fn fault(now: Time, seen: &SearcherObservation, peers: f64) -> Option<Verdict> {
    let verdict = |fault, weight, since, at| {
        Some(Verdict {
            life: seen.life,
            fault,
            weight,
            since,
            at,
        })
    };
    let patience = Span::from_secs(peers * SILENT).max(LEAST_SILENCE);
    if let Some(since) = seen
        .silent_since
        .filter(|since| now.since(*since) > patience)
    {
        // It may have answered others for as long as it was waited for here.
        return verdict(Fault::Down, DOWN_GOOD, since + patience, now);
    }
    if now.since(seen.heard) > LATELY {
        return None;
    }
    if let Some(since) = seen.down_since {
        return verdict(Fault::Down, DOWN_GOOD, since, seen.heard);
    }
    if seen.good < ERRS {
        return verdict(Fault::Errs, seen.good.max(0.0), seen.heard, seen.heard);
    }
    if let Some(since) = seen
        .cold_since
        .filter(|since| seen.life.is_none_or(|life| *since > life))
    {
        return verdict(Fault::Cold, 0.0, since, seen.heard);
    }
    let slower = seen.latency.unwrap_or(peers) / peers.max(1e-6);
    (slower > SLOW)
        .then(|| verdict(Fault::Slow, slower.min(1e3), seen.heard, seen.heard))
        .flatten()
}

/// What this mixer tells of searchers, the worst first; `accused` is what others say.
pub fn tells(
    now: Time,
    seen: &[SearcherObservation],
    accused: &Accused,
) -> Vec<(SearcherId, Verdict)> {
    let lately =
        |s: &&SearcherObservation| now.since(s.heard) <= LATELY || s.silent_since.is_some();
    let peers = middle(seen.iter().filter_map(|s| s.latency));
    let (mut tried, mut told) = (0, Vec::new());
    for seen in seen.iter().filter(lately) {
        tried += 1;
        told.extend(fault(now, seen, peers).map(|verdict| (seen.id.clone(), verdict)));
    }
    if told.len() * 2 > tried && told.len() > 1 {
        // Most of those it tried: it is this mixer's own path, or itself.
        return Vec::new();
    }
    told.retain(|(id, _)| accused.get(id).is_none_or(|of| of.before < ENOUGH));
    // An outcome may be a send that was given up: then what is known of its latency is no better than it was.
    let quick = |s: &&SearcherObservation| s.latency.is_some_and(|latency| latency < peers * SLOW);
    let fine = seen
        .iter()
        .filter(|s| s.good > FINE && s.down_since.is_none() && s.silent_since.is_none());
    let fine = fine.filter(quick);
    for seen in fine.filter(|s| now.since(s.heard) <= LATELY) {
        let against = accused.get(&seen.id).filter(|of| of.for_it < ENOUGH);
        if against.is_some_and(|of| seen.heard > of.since + CROSSING)
            && told.iter().all(|(id, _)| *id != seen.id)
        {
            let (life, at) = (seen.life, seen.heard);
            told.push((
                seen.id.clone(),
                Verdict {
                    life,
                    fault: Fault::Fine,
                    weight: 1.0,
                    since: at,
                    at,
                },
            ));
        }
    }
    // Down before slow, and what was seen last first.
    told.sort_by(|(_, a), (_, b)| a.fault.cmp(&b.fault).then(b.at.cmp(&a.at)));
    told
}

/// What one mixer says of a searcher, with who says it.
#[derive(Clone, Debug)]
pub struct Said<'a> {
    pub by: &'a MixerName,
    pub zone: &'a str,
    pub verdict: &'a Verdict,
}

/// A judgement that stands, and who witnesses it.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    pub judged: AgreedHealth,
    pub fault: Fault,
    pub witnesses: Vec<MixerName>,
}

/// Since when, as the second witness says, so that one alone can't set it back; `None` with fewer.
fn since(witnesses: &[&Said]) -> Option<Time> {
    let mut times: Vec<Time> = witnesses.iter().map(|said| said.verdict.since).collect();
    times.sort();
    times.get(LEAST_WITNESSES - 1).copied()
}

/// How one searcher is accused by others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Accusation {
    /// Since when, as the first of them says; once nobody does any more, until when.
    pub since: Time,
    /// How many of this mixer's zone that say so, or speak for it, come before it in the order of witnesses.
    before: usize,
    for_it: usize,
}

pub type Accused = BTreeMap<SearcherId, Accusation>;

/// One that was accused is remembered for so long, so that who finds it answering says so: others' own averages of it
/// take that long to fade.
const FOUND_FOR: Span = Span::from_millis(60_000);
/// More searchers than are accused in a minute by mixers that judge each at most sixteen.
const MOST_ONCE_ACCUSED: usize = 256;

/// Until when each was accused.
#[derive(Debug, Default)]
pub struct OnceAccused(BTreeMap<SearcherId, Time>);

impl OnceAccused {
    fn note(&mut self, id: &SearcherId, at: Time) {
        if self.0.len() < MOST_ONCE_ACCUSED || self.0.contains_key(id) {
            let until = self.0.entry(id.clone()).or_insert(at);
            *until = (*until).max(at);
        }
    }
}

/// The place of a mixer in the order of a searcher's witnesses: each searcher has another order.
fn place(of: &MixerName, searcher: &SearcherId) -> (u64, MixerName) {
    let mut hasher = Mixer::default();
    hasher.write(of.as_str().as_bytes());
    hasher.write(searcher.as_str().as_bytes());
    (hasher.finish(), of.clone())
}

/// Who is accused by others of late, or was, as one mixer of a zone hears it.
pub fn accused<'a>(
    now: Time,
    me: &MixerName,
    zone: &str,
    said: impl Iterator<Item = (&'a SearcherId, Said<'a>)>,
    once: &mut OnceAccused,
) -> Accused {
    once.0.retain(|_, until| now.since(*until) < FOUND_FOR);
    let mut accused: Accused = once
        .0
        .iter()
        .map(|(id, until)| {
            (
                id.clone(),
                Accusation {
                    since: *until,
                    before: 0,
                    for_it: 0,
                },
            )
        })
        .collect();
    let mut accusing = BTreeSet::new();
    let said: Vec<(&SearcherId, Said)> = said
        .filter(|(_, said)| now.since(said.verdict.at) < WITNESSES_FOR)
        .collect();
    for (id, said) in said.iter().filter(|(_, said)| said.verdict.fault.accuses()) {
        once.note(id, said.verdict.at);
        let first = Accusation {
            since: said.verdict.since,
            before: 0,
            for_it: 0,
        };
        let of = accused.entry((*id).clone()).or_insert(first);
        of.since = if accusing.insert(*id) {
            said.verdict.since
        } else {
            of.since.min(said.verdict.since)
        };
        of.before += usize::from(said.zone == zone && place(said.by, id) < place(me, id));
    }
    for (id, said) in said
        .iter()
        .filter(|(_, said)| said.verdict.fault == Fault::Fine)
    {
        if let Some(of) = accused.get_mut(*id) {
            of.for_it += usize::from(said.zone == zone && place(said.by, id) < place(me, id));
        }
    }
    accused
}

/// The judgements that stand: each of two witnesses at least, from two zones where the living are in several, that are
/// more than twice as many as those who found the searcher fine since. Once nobody accuses one any more, those who find
/// it fine are witnesses of that. `zones` is how many zones the living are in.
pub fn stands<'a>(
    now: Time,
    said: impl Iterator<Item = (&'a SearcherId, Said<'a>)>,
    zones: usize,
) -> Vec<Standing> {
    // What is said of different lives is of different searchers; a lie about one says nothing of another.
    let mut of_life: BTreeMap<(&SearcherId, Option<Time>), Vec<Said>> = BTreeMap::new();
    for (id, said) in said.filter(|(_, said)| now.since(said.verdict.at) < WITNESSES_FOR) {
        of_life
            .entry((id, said.verdict.life))
            .or_default()
            .push(said);
    }
    let judge = |((id, life), said): (&(&SearcherId, Option<Time>), &Vec<Said>)| {
        let (accusers, fine): (Vec<&Said>, Vec<&Said>) =
            said.iter().partition(|said| said.verdict.fault.accuses());
        let witnesses = if accusers.is_empty() {
            &fine
        } else {
            &accusers
        };
        let since = since(witnesses)?;
        let from: BTreeSet<&str> = witnesses.iter().map(|said| said.zone).collect();
        let against = fine
            .iter()
            .filter(|said| !accusers.is_empty() && said.verdict.at > since + CROSSING)
            .count();
        if witnesses.len() <= 2 * against || from.len() < zones.min(2) {
            return None;
        }
        // The fault that most see; of like ones the graver.
        let count = |fault: Fault| {
            witnesses
                .iter()
                .filter(|said| said.verdict.fault == fault)
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
                .filter(|said| said.verdict.fault == fault)
                .map(|said| said.verdict.weight)
        };
        let judged = AgreedHealth {
            id: (*id).clone(),
            life: *life,
            good: match fault {
                Fault::Down => DOWN_GOOD,
                Fault::Errs => middle(weights()).clamp(DOWN_GOOD, 1.0),
                _ => 1.0,
            },
            slower: if fault == Fault::Slow {
                middle(weights()).max(1.0)
            } else {
                1.0
            },
            cold_since: (fault == Fault::Cold).then_some(since),
            at: witnesses.iter().map(|said| said.verdict.at).max()?.min(now),
        };
        let mut names: Vec<MixerName> = witnesses.iter().map(|said| said.by.clone()).collect();
        names.sort();
        Some(Standing {
            judged,
            fault,
            witnesses: names,
        })
    };
    of_life.iter().filter_map(judge).collect()
}
