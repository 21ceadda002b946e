//! The verdict records that mixers publish. Each mixer writes its own record, versioned by its generation and a count
//! of changes, and stores the newest one of every other mixer. Only changes are sent, in the order of their versions,
//! so that a part of them is usable and gaps are detected (the reconciliation of van Renesse and others, *Efficient
//! reconciliation and flow control for anti-entropy protocols*, 2008). Merging is commutative and idempotent.

use std::collections::BTreeMap;

use lockusher_policy::interface::{SearcherId, Span, Time};

use crate::core::table::{MixerName, NameMap};
use crate::core::wire::MAX_NAME_BYTES;
use crate::proto;

/// The most searchers in a published record. If there are more, the mixer's own path is in doubt, or the worst are
/// enough.
pub const MAX_PUBLISHED: usize = 16;
/// The most entries stored per record: what a correct mixer publishes, and as many withdrawn ones.
const MAX_ENTRIES: usize = 2 * MAX_PUBLISHED;
/// Older entries are ignored and dropped.
pub const ENTRY_MAX_AGE: Span = Span::from_millis(10_000);
/// An unchanged verdict is published again at this interval to show that it still holds: twice within the time in which
/// the weight of a judgement halves.
const REPUBLISH_INTERVAL: Span = Span::from_millis(1_000);
/// A version this far beyond the known one is damage: sixteen changes a second for an hour.
const MAX_VERSION_JUMP: u32 = 1 << 16;
/// The greatest valid weight. Weights are ratios of successes or of latencies; beyond this is no measurement.
const MAX_WEIGHT: f32 = 1e6;

/// What a verdict says about a searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The previous verdict is withdrawn.
    Withdrawn,
    /// It answers, contrary to the verdicts of others.
    Fine,
    /// It refuses or breaks connections, or is silent.
    Down,
    /// Sends fail.
    Errs,
    /// Its latency is several times that of its peers.
    Slow,
    /// It restarted cold, which the instance list does not show.
    Cold,
}

impl Fault {
    /// The name of the fault in logs and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Fault::Withdrawn => "withdrawn",
            Fault::Fine => "fine",
            Fault::Down => "down",
            Fault::Errs => "errs",
            Fault::Slow => "slow",
            Fault::Cold => "cold",
        }
    }

    /// Whether the verdict is against the searcher.
    pub fn accuses(self) -> bool {
        !matches!(self, Fault::Withdrawn | Fault::Fine)
    }
}

/// The verdict of one mixer on one searcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// The listed start of the searcher's process.
    pub searcher_start: Option<Time>,
    /// The kind of fault.
    pub fault: Fault,
    /// For `Errs` the success ratio, for `Slow` the latency relative to its peers.
    pub weight: f64,
    /// The first observation of the fault, by the local clock.
    pub since: Time,
    /// The last observation of the fault, by the local clock.
    pub at: Time,
}

/// A verdict with the version of the record that set it.
#[derive(Clone, Debug, PartialEq)]
pub struct VerdictEntry {
    /// The version of the record in which the verdict was set.
    pub version: u32,
    /// The verdict.
    pub verdict: Verdict,
}

/// The record that one mixer publishes, or as much of it as has been received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VerdictRecord {
    /// The generation of the mixer that publishes the record.
    pub generation: u64,
    /// All changes up to this version are included.
    pub upto: u32,
    /// The entries by searcher.
    pub entries: BTreeMap<SearcherId, VerdictEntry>,
}

/// The result of merging a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// It contained changes; the record was complete up to this version before.
    Updated(u32),
    /// It contained nothing new.
    Unchanged,
    /// Changes before it are missing and are to be requested from this version on.
    Gap(u32),
    /// No correct mixer sends this.
    Invalid,
}

/// The local record and those of the other mixers.
#[derive(Default)]
pub struct VerdictRecords {
    own: VerdictRecord,
    others: NameMap<VerdictRecord>,
    /// Entries that were dropped because a record was full.
    pub crowded: u64,
}

impl VerdictRecord {
    /// The changes after a version, in order; the whole record from 0.
    pub fn delta(&self, name: &MixerName, from: u32, now: Time) -> proto::Delta {
        let mut entries: Vec<(&SearcherId, &VerdictEntry)> = self
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
                .map(|(id, entry)| encode_verdict(id, entry, now))
                .collect(),
        }
    }

    /// The entries that are neither withdrawn nor too old.
    pub fn fresh(&self, now: Time) -> impl Iterator<Item = (&SearcherId, &Verdict)> {
        let entries = self.entries.iter().map(|(id, entry)| (id, &entry.verdict));
        entries.filter(move |(_, v)| v.fault != Fault::Withdrawn && now.since(v.at) < ENTRY_MAX_AGE)
    }

    fn set(&mut self, id: &SearcherId, verdict: Verdict) {
        self.upto += 1;
        self.entries.insert(
            id.clone(),
            VerdictEntry {
                version: self.upto,
                verdict,
            },
        );
    }

    /// Drops entries that are too old, and beyond the bound the least useful ones: withdrawn entries first, then those
    /// with the lowest version.
    fn prune(&mut self, now: Time, max_entries: usize) -> u64 {
        self.entries
            .retain(|_, entry| now.since(entry.verdict.at) < ENTRY_MAX_AGE);
        let mut dropped = 0;
        while self.entries.len() > max_entries {
            let keep_order =
                |entry: &VerdictEntry| (entry.verdict.fault != Fault::Withdrawn, entry.version);
            let least_useful = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| keep_order(entry))
                .map(|(id, _)| id.clone());
            dropped += u64::from(
                least_useful
                    .and_then(|id| self.entries.remove(&id))
                    .is_some(),
            );
        }
        dropped
    }
}

impl VerdictRecords {
    /// No records of others, and an empty local one of this generation.
    pub fn new(generation: u64) -> Self {
        VerdictRecords {
            own: VerdictRecord {
                generation,
                ..VerdictRecord::default()
            },
            ..VerdictRecords::default()
        }
    }

    /// Starts a new record under another generation of this mixer.
    pub fn set_generation(&mut self, generation: u64) {
        self.own.generation = generation;
    }

    /// The record that this mixer publishes.
    pub fn own(&self) -> &VerdictRecord {
        &self.own
    }

    /// The record of another mixer.
    pub fn get(&self, name: &MixerName) -> Option<&VerdictRecord> {
        self.others.get(name)
    }

    /// The records of the other mixers.
    pub fn others(&self) -> impl Iterator<Item = (&MixerName, &VerdictRecord)> {
        self.others.iter()
    }

    /// Replaces the published verdicts; the worst come first. Returns the previous version if anything changed.
    /// Unchanged verdicts are published again only at an interval.
    pub fn publish(&mut self, now: Time, verdicts: Vec<(SearcherId, Verdict)>) -> Option<u32> {
        let before = self.own.upto;
        self.crowded += verdicts.len().saturating_sub(MAX_PUBLISHED) as u64;
        let verdicts: BTreeMap<SearcherId, Verdict> =
            verdicts.into_iter().take(MAX_PUBLISHED).collect();
        let withdrawn = |(id, entry): (&SearcherId, &VerdictEntry)| {
            (entry.verdict.fault != Fault::Withdrawn && !verdicts.contains_key(id))
                .then(|| id.clone())
        };
        let withdrawn: Vec<SearcherId> = self.own.entries.iter().filter_map(withdrawn).collect();
        for id in withdrawn {
            let verdict = Verdict {
                fault: Fault::Withdrawn,
                at: now,
                ..self.own.entries[&id].verdict.clone()
            };
            self.own.set(&id, verdict);
        }
        for (id, verdict) in verdicts {
            let unchanged = self.own.entries.get(&id).is_some_and(|entry| {
                let published = &entry.verdict;
                (published.fault, published.searcher_start)
                    == (verdict.fault, verdict.searcher_start)
                    && verdict.at.since(published.at) < REPUBLISH_INTERVAL
            });
            if !unchanged {
                self.own.set(&id, verdict);
            }
        }
        self.own.prune(now, MAX_ENTRIES);
        (self.own.upto != before).then_some(before)
    }

    /// Merges changes of another mixer's record.
    pub fn merge(&mut self, now: Time, delta: proto::Delta) -> Merged {
        let name = MixerName::new(&delta.name);
        let Some(verdicts) = decode_verdicts(now, &delta) else {
            return Merged::Invalid;
        };
        let record = self.others.entry(name).or_insert_with(|| VerdictRecord {
            generation: delta.generation,
            ..VerdictRecord::default()
        });
        if delta.generation < record.generation {
            return Merged::Unchanged; // Of an earlier process.
        }
        if delta.generation > record.generation {
            *record = VerdictRecord {
                generation: delta.generation,
                ..VerdictRecord::default()
            };
        }
        let before = record.upto;
        if record.upto > 0 && delta.upto.saturating_sub(before) > MAX_VERSION_JUMP {
            return Merged::Invalid;
        }
        let mut updated = false;
        for (id, entry) in verdicts {
            let known_version = record.entries.get(&id).map_or(0, |known| known.version);
            // An entry at or below the complete version that is not stored was dropped for its age.
            if entry.version > known_version && (known_version > 0 || entry.version > before) {
                updated |= entry.version > before;
                record.entries.insert(id, entry);
            }
        }
        self.crowded += record.prune(now, MAX_ENTRIES);
        if delta.from > before {
            return Merged::Gap(before);
        }
        record.upto = before.max(delta.upto);
        if updated || record.upto > before {
            Merged::Updated(before)
        } else {
            Merged::Unchanged
        }
    }

    /// Drops the records of all but the wanted mixers.
    pub fn retain(&mut self, wanted: impl Fn(&MixerName) -> bool) {
        self.others.retain(|name, _| wanted(name));
    }
}

fn encode_verdict(id: &SearcherId, entry: &VerdictEntry, now: Time) -> proto::Verdict {
    let VerdictEntry { version, verdict } = entry;
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
            .searcher_start
            .map_or(0, |start| start.since(Time::from_micros(0)).as_micros()),
        fault: fault.into(),
        weight: verdict.weight as f32,
        since_ms: ms(verdict.since),
        age_ms: ms(verdict.at),
    }
}

/// Decodes the verdicts of a delta; `None` if any of them is invalid.
fn decode_verdicts(now: Time, delta: &proto::Delta) -> Option<Vec<(SearcherId, VerdictEntry)>> {
    let valid = !delta.name.is_empty()
        && delta.name.len() <= MAX_NAME_BYTES
        && delta.from <= delta.upto
        && delta.verdicts.len() <= MAX_ENTRIES;
    let decode = |encoded: &proto::Verdict| {
        let fault = match proto::Fault::try_from(encoded.fault).ok()? {
            proto::Fault::Withdrawn => Fault::Withdrawn,
            proto::Fault::Fine => Fault::Fine,
            proto::Fault::Down => Fault::Down,
            proto::Fault::Errs => Fault::Errs,
            proto::Fault::Slow => Fault::Slow,
            proto::Fault::Cold => Fault::Cold,
        };
        let valid = !encoded.searcher.is_empty()
            && encoded.searcher.len() <= MAX_NAME_BYTES
            && encoded.version > delta.from
            && encoded.version <= delta.upto
            && (0.0..=MAX_WEIGHT).contains(&encoded.weight)
            && encoded.age_ms <= encoded.since_ms;
        let ago = |ms: u32| now - Span::from_millis(ms.into());
        let verdict = Verdict {
            searcher_start: (encoded.life > 0).then(|| Time::from_micros(encoded.life)),
            fault,
            weight: encoded.weight.into(),
            since: ago(encoded.since_ms),
            at: ago(encoded.age_ms),
        };
        valid.then(|| {
            (
                SearcherId::new(&encoded.searcher),
                VerdictEntry {
                    version: encoded.version,
                    verdict,
                },
            )
        })
    };
    valid
        .then(|| delta.verdicts.iter().map(decode).collect())
        .flatten()
}
