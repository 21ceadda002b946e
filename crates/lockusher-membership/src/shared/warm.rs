//! Warm starts: a mixer that joins asks a few members what they know of searchers, and starts from the middle of what
//! they say. One that lies is outvoted; what nobody tells in time is learnt as ever.

use std::collections::BTreeMap;

use lockusher_policy::interface::{SearcherId, SearcherObservation, Span, Time, WarmStartEntry};

use crate::core::table::MixerName;
use crate::core::wire::MOST_NAME;
use crate::proto;

/// Members that are asked: the middle of three is right though one is wrong.
pub const ASKED: usize = 3;
/// Answers are waited for so long: several round trips on a busy machine, little beside the first seconds.
const WAITS: Span = Span::from_millis(300);
/// Rounds of asking, if nobody answers.
const ROUNDS: u32 = 3;
/// Searchers that one answer may name: what fits on the pages that one gives at once.
const MOST_KNOWN: usize = 1_000;
/// What was heard of longer ago is not told: the policy itself half forgets it in that time.
const LATELY: Span = Span::from_millis(20_000);
/// Latencies beyond this are none.
const MOST_LATENCY_US: u32 = 60_000_000;

#[derive(Debug, Default)]
pub struct Warming {
    rounds: u32,
    /// When the answers there are by then have to do; `None` before the first question and once it is over.
    until: Option<Time>,
    over: bool,
    asked: BTreeMap<u32, MixerName>,
    heard: BTreeMap<MixerName, Vec<WarmStartEntry>>,
}

impl Warming {
    /// Whether members are to be asked now.
    pub fn asks(&self) -> bool {
        !self.over && self.until.is_none()
    }

    /// They were asked; nobody is there to ask if there are none.
    pub fn asked(&mut self, now: Time, questions: impl Iterator<Item = (u32, MixerName)>) {
        self.asked.extend(questions);
        (self.rounds, self.until) = (self.rounds + 1, Some(now + WAITS));
    }

    /// An answer, or a page of one.
    pub fn hears(&mut self, number: u32, known: Vec<WarmStartEntry>) {
        if let Some(name) = self.asked.get(&number).filter(|_| !self.over) {
            let held = self.heard.entry(name.clone()).or_default();
            held.extend(known);
            held.truncate(MOST_KNOWN);
        }
    }

    /// What is known, once answers have been waited for: by searcher and life the middle of what was said.
    pub fn gives(&mut self, now: Time) -> Option<Vec<WarmStartEntry>> {
        self.until.filter(|until| *until <= now && !self.over)?;
        if self.heard.is_empty() && self.rounds < ROUNDS {
            self.until = None;
            return None;
        }
        self.over = true;
        let mut said: BTreeMap<(SearcherId, Option<Time>), Vec<WarmStartEntry>> = BTreeMap::new();
        for known in std::mem::take(&mut self.heard).into_values().flatten() {
            said.entry((known.id.clone(), known.life))
                .or_default()
                .push(known);
        }
        let middle = |mut values: Vec<WarmStartEntry>| {
            values.sort_by(|a, b| a.latency.total_cmp(&b.latency));
            let mut goods: Vec<f64> = values.iter().map(|known| known.good).collect();
            goods.sort_by(f64::total_cmp);
            let known = values.swap_remove(values.len() / 2);
            WarmStartEntry {
                good: goods[goods.len() / 2],
                ..known
            }
        };
        Some(said.into_values().map(middle).collect())
    }
}

/// What a mixer tells one that starts, of what it saw itself.
pub fn known(
    now: Time,
    seen: &[SearcherObservation],
) -> impl Iterator<Item = proto::KnownSearcher> {
    let lately = seen
        .iter()
        .filter(move |seen| now.since(seen.heard) <= LATELY && seen.silent_since.is_none());
    lately.filter_map(move |seen| {
        let latency_us = (seen.latency? * 1e6).round() as u32;
        Some(proto::KnownSearcher {
            searcher: seen.id.as_str().to_owned(),
            life: seen
                .life
                .map_or(0, |life| life.since(Time::from_micros(0)).as_micros()),
            latency_us: latency_us.clamp(1, MOST_LATENCY_US),
            good: seen.good.clamp(0.0, 1.0) as f32,
            age_ms: (now.since(seen.heard).as_micros() / 1_000) as u32,
        })
    })
}

/// What another told, or nothing if any of it is none that a sound mixer tells.
pub fn read(now: Time, told: &[proto::KnownSearcher]) -> Option<Vec<WarmStartEntry>> {
    let read = |told: &proto::KnownSearcher| {
        let sound = !told.searcher.is_empty()
            && told.searcher.len() <= MOST_NAME
            && (1..=MOST_LATENCY_US).contains(&told.latency_us)
            && (0.0..=1.0).contains(&told.good)
            && Span::from_millis(told.age_ms.into()) <= LATELY;
        sound.then(|| WarmStartEntry {
            id: SearcherId::new(&told.searcher),
            life: (told.life > 0).then(|| Time::from_micros(told.life)),
            latency: f64::from(told.latency_us) / 1e6,
            good: told.good.into(),
            at: now - Span::from_millis(told.age_ms.into()),
        })
    };
    told.iter().map(read).collect()
}
