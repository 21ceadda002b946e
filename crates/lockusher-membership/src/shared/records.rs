//! Records that mixers publish: each writes its own, versioned by its life and a count of changes, and holds the newest
//! of each other's. Only changes travel, in the order of their versions, so that a part of them is of use and what is
//! missing is known (the reconciliation of van Renesse and others, *Efficient reconciliation and flow control for
//! anti-entropy protocols*, 2008). Merging in any order, any number of times, ends in the same.

use std::collections::BTreeMap;

use lockusher_policy::interface::{SearcherId, Span, Time};

use crate::core::table::{ByName, MixerName};
use crate::core::wire::MOST_NAME;
use crate::proto;

/// Searchers that one record names: of more, a mixer's own path is to be doubted, or the worst are enough.
pub const MOST_NAMED: usize = 16;
/// Named and withdrawn ones that are held of another: what a sound one publishes, and as many withdrawn.
const MOST_HELD: usize = 2 * MOST_NAMED;
/// What was said so long ago counts for nothing, and is dropped.
pub const KEPT: Span = Span::from_millis(10_000);
/// The same said again: others know that it still holds. Twice within the time that a judgement takes to fade by half.
const SAID_AGAIN: Span = Span::from_millis(1_000);
/// A count of changes so far beyond the one known is damage: sixteen changes a second for an hour.
const FAR_OFF: u32 = 1 << 16;
/// Weights are shares or multiples of latencies; beyond this is no measurement.
const MOST_WEIGHT: f32 = 1e6;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Nothing is said of it any more.
    Withdrawn,
    /// It answers, against what others say.
    Fine,
    /// It refuses connections, breaks them, or is silent.
    Down,
    Errs,
    Slow,
    /// It came back cold, and the list does not say so.
    Cold,
}

impl Fault {
    pub fn word(self) -> &'static str {
        match self {
            Fault::Withdrawn => "withdrawn",
            Fault::Fine => "fine",
            Fault::Down => "down",
            Fault::Errs => "errs",
            Fault::Slow => "slow",
            Fault::Cold => "cold",
        }
    }

    /// Whether it is said against the searcher.
    pub fn accuses(self) -> bool {
        !matches!(self, Fault::Withdrawn | Fault::Fine)
    }
}

/// What one mixer says of one searcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// The searcher's life: its start as listed.
    pub life: Option<Time>,
    pub fault: Fault,
    /// Of one that errs the share of good sends, of a slow one its latency against its peers'.
    pub weight: f64,
    /// When it was first and last seen so, by this mixer's clock.
    pub since: Time,
    pub at: Time,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub version: u32,
    pub verdict: Verdict,
}

/// What one mixer publishes, or as much of it as is held here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    pub generation: u64,
    /// All changes up to this one are in.
    pub upto: u32,
    pub entries: BTreeMap<SearcherId, Entry>,
}

/// What came of a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// It brought something; the record was whole up to this version before.
    News(u32),
    /// Nothing in it was new.
    Old,
    /// Changes before it are missing: to be asked for from this version on.
    Gap(u32),
    /// No sound mixer says this.
    Absurd,
}

#[derive(Default)]
pub struct Records {
    own: Record,
    others: ByName<Record>,
    /// Entries that were not held for want of room.
    pub crowded: u64,
}

impl Record {
    /// The changes after a version, in order; all of it from 0.
    pub fn delta(&self, name: &MixerName, from: u32, now: Time) -> proto::Delta {
        let mut entries: Vec<(&SearcherId, &Entry)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.version > from)
            .collect();
        entries.sort_by_key(|(_, entry)| entry.version);
        proto::Delta {
            name: name.as_str().to_owned(),
            generation: self.generation,
            from,
            upto: self.upto,
            verdicts: entries
                .into_iter()
                .map(|(id, entry)| told(id, entry, now))
                .collect(),
        }
    }

    /// What still counts.
    pub fn fresh(&self, now: Time) -> impl Iterator<Item = (&SearcherId, &Verdict)> {
        let entries = self.entries.iter().map(|(id, entry)| (id, &entry.verdict));
        entries.filter(move |(_, v)| v.fault != Fault::Withdrawn && now.since(v.at) < KEPT)
    }

    fn change(&mut self, id: &SearcherId, verdict: Verdict) {
        self.upto += 1;
        self.entries.insert(
            id.clone(),
            Entry {
                version: self.upto,
                verdict,
            },
        );
    }

    /// Drops what is too old to count, and of what is beyond the bound the least of worth: what is withdrawn, then
    /// what was said longest ago.
    fn prune(&mut self, now: Time, most: usize) -> u64 {
        self.entries
            .retain(|_, entry| now.since(entry.verdict.at) < KEPT);
        let mut dropped = 0;
        while self.entries.len() > most {
            let worth = |entry: &Entry| (entry.verdict.fault != Fault::Withdrawn, entry.version);
            let least = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| worth(entry))
                .map(|(id, _)| id.clone());
            dropped += u64::from(least.and_then(|id| self.entries.remove(&id)).is_some());
        }
        dropped
    }
}

impl Records {
    pub fn new(generation: u64) -> Self {
        Records {
            own: Record {
                generation,
                ..Record::default()
            },
            ..Records::default()
        }
    }

    /// This mixer's life has another number from now on: what it published before is another record.
    pub fn reborn(&mut self, generation: u64) {
        self.own.generation = generation;
    }

    pub fn own(&self) -> &Record {
        &self.own
    }

    pub fn get(&self, name: &MixerName) -> Option<&Record> {
        self.others.get(name)
    }

    pub fn others(&self) -> impl Iterator<Item = (&MixerName, &Record)> {
        self.others.iter()
    }

    /// Publishes just this from now on, the worst first; tells the version before, if anything changed. What is said
    /// again unchanged changes now and then only.
    pub fn publish(&mut self, now: Time, verdicts: Vec<(SearcherId, Verdict)>) -> Option<u32> {
        let before = self.own.upto;
        self.crowded += verdicts.len().saturating_sub(MOST_NAMED) as u64;
        let verdicts: BTreeMap<SearcherId, Verdict> =
            verdicts.into_iter().take(MOST_NAMED).collect();
        let gone = |(id, entry): (&SearcherId, &Entry)| {
            (entry.verdict.fault != Fault::Withdrawn && !verdicts.contains_key(id))
                .then(|| id.clone())
        };
        let gone: Vec<SearcherId> = self.own.entries.iter().filter_map(gone).collect();
        for id in gone {
            let verdict = Verdict {
                fault: Fault::Withdrawn,
                at: now,
                ..self.own.entries[&id].verdict.clone()
            };
            self.own.change(&id, verdict);
        }
        for (id, verdict) in verdicts {
            let like = self.own.entries.get(&id).is_some_and(|held| {
                let held = &held.verdict;
                (held.fault, held.life) == (verdict.fault, verdict.life)
                    && verdict.at.since(held.at) < SAID_AGAIN
            });
            if !like {
                self.own.change(&id, verdict);
            }
        }
        self.own.prune(now, MOST_HELD);
        (self.own.upto != before).then_some(before)
    }

    /// Takes what is told of another's record.
    pub fn merge(&mut self, now: Time, delta: proto::Delta) -> Merged {
        let name = MixerName::new(&delta.name);
        let Some(verdicts) = read(now, &delta) else {
            return Merged::Absurd;
        };
        let record = self.others.entry(name).or_insert_with(|| Record {
            generation: delta.generation,
            ..Record::default()
        });
        if delta.generation < record.generation {
            return Merged::Old; // Of a former life.
        }
        if delta.generation > record.generation {
            *record = Record {
                generation: delta.generation,
                ..Record::default()
            };
        }
        let before = record.upto;
        if record.upto > 0 && delta.upto.saturating_sub(before) > FAR_OFF {
            return Merged::Absurd;
        }
        let mut news = false;
        for (id, entry) in verdicts {
            let held = record.entries.get(&id).map_or(0, |held| held.version);
            // What is in up to a version and is not there was dropped for its age.
            if entry.version > held && (held > 0 || entry.version > before) {
                news |= entry.version > before;
                record.entries.insert(id, entry);
            }
        }
        self.crowded += record.prune(now, MOST_HELD);
        if delta.from > before {
            return Merged::Gap(before);
        }
        record.upto = before.max(delta.upto);
        if news || record.upto > before {
            Merged::News(before)
        } else {
            Merged::Old
        }
    }

    /// Holds records of these only.
    pub fn keep(&mut self, wanted: impl Fn(&MixerName) -> bool) {
        self.others.retain(|name, _| wanted(name));
    }
}

fn told(id: &SearcherId, entry: &Entry, now: Time) -> proto::Verdict {
    let Entry { version, verdict } = entry;
    let ms = |at: Time| u32::try_from(now.since(at).as_micros() / 1_000).unwrap_or(u32::MAX);
    let fault = match verdict.fault {
        Fault::Withdrawn => proto::Fault::Withdrawn,
        Fault::Fine => proto::Fault::Fine,
        Fault::Down => proto::Fault::Down,
        Fault::Errs => proto::Fault::Errs,
        Fault::Slow => proto::Fault::Slow,
        Fault::Cold => proto::Fault::Cold,
    };
    proto::Verdict {
        version: *version,
        searcher: id.as_str().to_owned(),
        life: verdict
            .life
            .map_or(0, |life| life.since(Time::from_micros(0)).as_micros()),
        fault: fault.into(),
        weight: verdict.weight as f32,
        since_ms: ms(verdict.since),
        age_ms: ms(verdict.at),
    }
}

/// The verdicts of a delta, or nothing if any of them is none that a sound mixer gives.
fn read(now: Time, delta: &proto::Delta) -> Option<Vec<(SearcherId, Entry)>> {
    let sound = !delta.name.is_empty()
        && delta.name.len() <= MOST_NAME
        && delta.from <= delta.upto
        && delta.verdicts.len() <= MOST_HELD;
    let read = |told: &proto::Verdict| {
        let fault = match proto::Fault::try_from(told.fault).ok()? {
            proto::Fault::Withdrawn => Fault::Withdrawn,
            proto::Fault::Fine => Fault::Fine,
            proto::Fault::Down => Fault::Down,
            proto::Fault::Errs => Fault::Errs,
            proto::Fault::Slow => Fault::Slow,
            proto::Fault::Cold => Fault::Cold,
        };
        let sound = !told.searcher.is_empty()
            && told.searcher.len() <= MOST_NAME
            && told.version > delta.from
            && told.version <= delta.upto
            && (0.0..=MOST_WEIGHT).contains(&told.weight)
            && told.age_ms <= told.since_ms;
        let ago = |ms: u32| now - Span::from_millis(ms.into());
        let verdict = Verdict {
            life: (told.life > 0).then(|| Time::from_micros(told.life)),
            fault,
            weight: told.weight.into(),
            since: ago(told.since_ms),
            at: ago(told.age_ms),
        };
        sound.then(|| {
            (
                SearcherId::new(&told.searcher),
                Entry {
                    version: told.version,
                    verdict,
                },
            )
        })
    };
    sound
        .then(|| delta.verdicts.iter().map(read).collect())
        .flatten()
}
