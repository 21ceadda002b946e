//! What is held of each member, and which of two reports of it counts. Reports are ordered by life, incarnation and
//! gravity; the greatest one heard is held, so members that heard the same reports, in any order and any number of
//! times, hold the same.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{BuildHasherDefault, Hasher};
use std::net::SocketAddrV4;
use std::sync::Arc;

use lockusher_policy::interface::{Span, Time};

use super::wire::BUCKETS;

/// A mixer's name, the same after a restart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MixerName(Arc<str>);

impl MixerName {
    pub fn new(name: &str) -> Self {
        MixerName(name.into())
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Values by name. Hashed alike in every process, so that the same inputs make the same bytes; a sender of colliding
/// names gains what it gains by sending many.
pub type ByName<T> = HashMap<MixerName, T, BuildHasherDefault<Mixer>>;

#[derive(Default)]
pub struct Mixer(u64);

impl Hasher for Mixer {
    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.0 = mix(self.0, u64::from_le_bytes(word));
        }
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// What is said of a member, the graver later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It asks to be let in, and is no member yet.
    Joining,
    Alive,
    Suspect,
    /// Believed so by others.
    Dead,
    /// It said so itself.
    Left,
}

impl State {
    pub fn lives(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    pub fn word(self) -> &'static str {
        match self {
            State::Joining => "joining",
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }
}

/// One report of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub name: MixerName,
    pub address: SocketAddrV4,
    pub zone: Arc<str>,
    /// Which life of that name: the start's Unix microseconds, or one more than the last life's if that is later.
    pub generation: u64,
    /// The start's Unix microseconds.
    pub born: u64,
    /// Counted up by the member alone.
    pub incarnation: u32,
    pub state: State,
    /// Who said so, of a suspicion or a death.
    pub by: Option<MixerName>,
    /// For how long it has been so, as far as the teller knows.
    pub age: Span,
}

impl Record {
    /// The order of reports of one member.
    pub fn key(&self) -> (u64, u32, State) {
        (self.generation, self.incarnation, self.state)
    }

    /// Which life of which member, if it lives: what a view is. A suspicion is not yet a difference.
    fn life(&self) -> u64 {
        let mut sum = Mixer(self.generation);
        sum.write(self.name.as_str().as_bytes());
        if self.state.lives() { sum.finish() } else { 0 }
    }

    /// What an exchange makes alike: the newest refutation too, which ends a suspicion that news missed.
    fn sum(&self) -> u64 {
        if self.state.lives() {
            mix(self.life(), u64::from(self.incarnation))
        } else {
            0
        }
    }
}

/// A plain multiplicative mix (splitmix64's finisher): the same on every machine, which std's hashers do not promise.
fn mix(sum: u64, word: u64) -> u64 {
    let mut z = sum.rotate_left(17) ^ word.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A suspicion that waits to be refuted.
#[derive(Clone, Debug)]
pub struct Suspicion {
    pub until: Time,
    pub since: Time,
    /// Who suspects it, the first few.
    pub witnesses: Vec<MixerName>,
}

#[derive(Clone, Debug)]
pub struct Held {
    pub record: Record,
    /// Since when it is in this state, by this mixer's clock.
    pub since: Time,
    pub suspicion: Option<Suspicion>,
    /// When its refutations were last relayed, and how many since.
    pub refutes: (Time, u32),
    /// The bucket that its name falls into.
    place: u16,
}

/// All members that are known, the own one among them.
#[derive(Default)]
pub struct Table {
    /// Boxed: a hash table keeps up to half of its places free, and each would be as large as a record.
    members: ByName<Box<Held>>,
    sums: Vec<u64>,
    /// Of all lives.
    lives: u64,
    living: usize,
    /// Zones that were told of, so that all members of one share its letters.
    zones: BTreeSet<Arc<str>>,
}

/// Zones whose letters are shared: more than any fleet has; what is beyond is damage and kept by itself.
const MOST_ZONES: usize = 64;

fn bucket(name: &MixerName) -> usize {
    let mut sum = Mixer::default();
    sum.write(name.as_str().as_bytes());
    sum.finish() as usize % BUCKETS
}

impl Table {
    pub fn new() -> Self {
        let (members, zones) = (ByName::default(), BTreeSet::new());
        Table {
            members,
            sums: vec![0; BUCKETS],
            lives: 0,
            living: 0,
            zones,
        }
    }

    pub fn get(&self, name: &MixerName) -> Option<&Held> {
        self.members.get(name).map(Box::as_ref)
    }

    /// For what is no part of the report: suspicions and refutations.
    pub fn mind(&mut self, name: &MixerName, what: impl FnOnce(&mut Held)) {
        if let Some(held) = self.members.get_mut(name) {
            let before = held.record.key();
            what(held);
            debug_assert_eq!(before, held.record.key(), "a report is put, not altered");
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = &Held> {
        self.members.values().map(Box::as_ref)
    }

    pub fn living(&self) -> usize {
        self.living
    }

    /// In how many zones the living are.
    pub fn living_zones(&self) -> usize {
        let living = self.iter().filter(|held| held.record.state.lives());
        living
            .map(|held| &held.record.zone)
            .collect::<BTreeSet<_>>()
            .len()
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The same report in the letters that are held already: each that is read from a datagram has its own.
    pub fn in_held_letters(&mut self, mut record: Record) -> Record {
        let held = |name: &MixerName| {
            self.members
                .get_key_value(name)
                .map(|(held, _)| held.clone())
        };
        record.name = held(&record.name).unwrap_or(record.name);
        record.by = record.by.map(|by| held(&by).unwrap_or(by));
        match self.zones.get(&record.zone) {
            Some(zone) => record.zone = zone.clone(),
            None if self.zones.len() < MOST_ZONES => drop(self.zones.insert(record.zone.clone())),
            None => {}
        }
        record
    }

    /// Holds this report from now on, whatever was held; tells what was.
    pub fn put(&mut self, now: Time, record: Record) -> Option<Record> {
        let (place, sum, lives) = (bucket(&record.name), record.sum(), record.state.lives());
        let life = record.life();
        let old = self.members.get(&record.name);
        let unlike = |old: &Held| {
            old.record.state != record.state || old.record.generation != record.generation
        };
        let since = match old {
            Some(old) if !unlike(old) => old.since,
            _ => now - record.age,
        };
        let refutes = old.map_or((now, 0), |old| old.refutes);
        let held = Held {
            since,
            suspicion: None,
            refutes,
            place: place as u16,
            record,
        };
        let old = self
            .members
            .insert(held.record.name.clone(), Box::new(held))
            .map(|old| old.record);
        // Sums are undone by the same operation that made them.
        self.sums[place] ^= sum ^ old.as_ref().map_or(0, Record::sum);
        self.lives ^= life ^ old.as_ref().map_or(0, Record::life);
        self.living += usize::from(lives);
        self.living -= usize::from(old.as_ref().is_some_and(|old| old.state.lives()));
        old
    }

    pub fn forget(&mut self, name: &MixerName) {
        if let Some(held) = self.members.remove(name) {
            self.sums[bucket(name)] ^= held.record.sum();
            self.lives ^= held.record.life();
            self.living -= usize::from(held.record.state.lives());
        }
    }

    /// One number for all lives: unlike views have unlike ones, but for one case in 2^64.
    pub fn view(&self) -> u64 {
        self.lives
    }

    /// The same with each member's newest refutation: what exchanges go by.
    pub fn digest(&self) -> u64 {
        self.sums.iter().fold(0, |all, sum| mix(all, *sum))
    }

    /// The sums by bucket, shortened.
    pub fn sums(&self) -> Vec<u32> {
        self.sums
            .iter()
            .map(|sum| (sum ^ (sum >> 32)) as u32)
            .collect()
    }

    /// What is held in each bucket of a set, in the buckets' order, as told at `now`; one pass over all.
    pub fn in_buckets(&self, now: Time, wanted: &[usize]) -> BTreeMap<usize, Vec<Record>> {
        let mut out: BTreeMap<usize, Vec<Record>> =
            wanted.iter().map(|place| (*place, Vec::new())).collect();
        for held in self.members.values() {
            if let Some(records) = out.get_mut(&usize::from(held.place)) {
                records.push(held.told(now));
            }
        }
        out
    }
}

impl Held {
    /// The report as it is told now.
    pub fn told(&self, now: Time) -> Record {
        Record {
            age: now.since(self.since),
            ..self.record.clone()
        }
    }
}
