//! The membership table: the newest record of each member. Records of one member are totally ordered by generation,
//! incarnation and state, and the table keeps the greatest one it received. Members that received the same records, in
//! any order and any number of times, therefore hold the same table.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{BuildHasherDefault, Hasher};
use std::net::SocketAddrV4;
use std::sync::Arc;

use lockusher_policy::interface::{Span, Time};

use super::wire::BUCKET_COUNT;

/// The name of a mixer, which stays the same across restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MixerName(Arc<str>);

impl MixerName {
    /// A mixer name with this text.
    pub fn new(name: &str) -> Self {
        MixerName(name.into())
    }

    /// The text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A map keyed by mixer name. The hash is the same in every process, so that equal inputs produce equal bytes. An
/// attacker who sends colliding names gains no more than one who sends many names.
pub type NameMap<T> = HashMap<MixerName, T, BuildHasherDefault<StableHasher>>;

/// A hasher without random state, based on `mix`.
#[derive(Default)]
pub struct StableHasher(u64);

impl Hasher for StableHasher {
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

/// The state of a member. Among records of one incarnation the later variant ranks higher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It has asked to join and is not a member yet.
    Joining,
    /// It answers probes, as far as is known.
    Alive,
    /// It did not answer probes and may still refute the suspicion.
    Suspect,
    /// Declared dead by other members.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl State {
    /// Whether the member is alive as far as is known; a suspect still counts.
    pub fn is_live(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    /// The name of the state in logs and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Joining => "joining",
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }
}

/// What one member reports about another, or about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRecord {
    /// The name of the member.
    pub name: MixerName,
    /// The address at which the member receives datagrams.
    pub address: SocketAddrV4,
    /// The zone of the member.
    pub zone: Arc<str>,
    /// Distinguishes restarts under one name: the Unix time of the start in microseconds, or one more than the previous
    /// generation if that is greater.
    pub generation: u64,
    /// The Unix time of the start in microseconds.
    pub born: u64,
    /// Incremented only by the member itself, to refute a suspicion.
    pub incarnation: u32,
    /// The reported state.
    pub state: State,
    /// The member that reported the suspicion or the death.
    pub by: Option<MixerName>,
    /// How long the member has been in this state, as far as the sender knows.
    pub age: Span,
}

impl MemberRecord {
    /// The order of records of one member; the greater one ranks higher.
    pub fn rank(&self) -> (u64, u32, State) {
        (self.generation, self.incarnation, self.state)
    }

    /// The hash of a live member's name and generation, 0 for any other member; the view digest combines these hashes.
    /// A suspicion does not change it.
    fn live_hash(&self) -> u64 {
        let mut hasher = StableHasher(self.generation);
        hasher.write(self.name.as_str().as_bytes());
        if self.state.is_live() {
            hasher.finish()
        } else {
            0
        }
    }

    /// Like `live_hash`, with the incarnation: an exchange also transfers the newest refutation, which ends a suspicion
    /// whose refutation gossip did not deliver.
    fn state_hash(&self) -> u64 {
        if self.state.is_live() {
            mix(self.live_hash(), u64::from(self.incarnation))
        } else {
            0
        }
    }
}

/// A multiplicative mix (the finalizer of splitmix64) that gives the same result on every machine, which the hashers of
/// std don't guarantee.
fn mix(state: u64, word: u64) -> u64 {
    let mut z = state.rotate_left(17) ^ word.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A suspicion that has not been refuted yet.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// When the suspicion becomes a death.
    pub until: Time,
    /// When the suspicion started.
    pub since: Time,
    /// The first members that reported the suspicion.
    pub witnesses: Vec<MixerName>,
}

/// What the table stores about one member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The newest record of the member.
    pub record: MemberRecord,
    /// When the member entered this state, by the local clock.
    pub since: Time,
    /// The suspicion, while the member is suspected.
    pub suspicion: Option<Suspicion>,
    /// The start of the current window of relayed refutations, and how many were relayed in it.
    pub relayed_refutations: (Time, u32),
    /// The anti-entropy bucket of the member's name.
    bucket: u16,
}

/// All known members, including the local one.
#[derive(Default)]
pub struct Table {
    /// Boxed because a hash table keeps up to half of its slots free, and each slot would be as large as an entry.
    members: NameMap<Box<MemberEntry>>,
    bucket_sums: Vec<u64>,
    /// XOR of the `live_hash` of all members.
    live_digest: u64,
    live_count: usize,
    /// Interned zone names, shared by all members of a zone.
    zones: BTreeSet<Arc<str>>,
}

/// The number of interned zone names: more than any fleet has. Names beyond it are damage and are stored with their
/// record.
const MAX_ZONES: usize = 64;

/// The anti-entropy bucket that a name belongs to.
fn bucket_of(name: &MixerName) -> usize {
    let mut hasher = StableHasher::default();
    hasher.write(name.as_str().as_bytes());
    hasher.finish() as usize % BUCKET_COUNT
}

impl Table {
    /// An empty table.
    pub fn new() -> Self {
        let (members, zones) = (NameMap::default(), BTreeSet::new());
        Table {
            members,
            bucket_sums: vec![0; BUCKET_COUNT],
            live_digest: 0,
            live_count: 0,
            zones,
        }
    }

    /// The entry of a member.
    pub fn get(&self, name: &MixerName) -> Option<&MemberEntry> {
        self.members.get(name).map(Box::as_ref)
    }

    /// Updates what is not part of the record: the suspicion and the count of refutations.
    pub fn update_entry(&mut self, name: &MixerName, update: impl FnOnce(&mut MemberEntry)) {
        if let Some(entry) = self.members.get_mut(name) {
            let before = entry.record.rank();
            update(entry);
            debug_assert_eq!(
                before,
                entry.record.rank(),
                "the record must only change through `insert`"
            );
        }
    }

    /// The entries of all members, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values().map(Box::as_ref)
    }

    /// The number of live members, suspects included.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// The number of zones that have live members.
    pub fn live_zone_count(&self) -> usize {
        let live = self.iter().filter(|entry| entry.record.state.is_live());
        live.map(|entry| &entry.record.zone)
            .collect::<BTreeSet<_>>()
            .len()
    }

    /// The number of known members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Replaces the strings of a record by interned ones; each record decoded from a datagram has its own copies.
    pub fn intern(&mut self, mut record: MemberRecord) -> MemberRecord {
        let interned = |name: &MixerName| {
            self.members
                .get_key_value(name)
                .map(|(interned, _)| interned.clone())
        };
        record.name = interned(&record.name).unwrap_or(record.name);
        record.by = record.by.map(|by| interned(&by).unwrap_or(by));
        match self.zones.get(&record.zone) {
            Some(zone) => record.zone = zone.clone(),
            None if self.zones.len() < MAX_ZONES => drop(self.zones.insert(record.zone.clone())),
            None => {}
        }
        record
    }

    /// Stores this record, whatever was stored before, and returns the previous one.
    pub fn insert(&mut self, now: Time, record: MemberRecord) -> Option<MemberRecord> {
        let (bucket, hash, is_live) = (
            bucket_of(&record.name),
            record.state_hash(),
            record.state.is_live(),
        );
        let live_hash = record.live_hash();
        let previous = self.members.get(&record.name);
        let state_changed = |previous: &MemberEntry| {
            previous.record.state != record.state || previous.record.generation != record.generation
        };
        let since = match previous {
            Some(previous) if !state_changed(previous) => previous.since,
            _ => now - record.age,
        };
        let relayed_refutations =
            previous.map_or((now, 0), |previous| previous.relayed_refutations);
        let entry = MemberEntry {
            since,
            suspicion: None,
            relayed_refutations,
            bucket: bucket as u16,
            record,
        };
        let previous = self
            .members
            .insert(entry.record.name.clone(), Box::new(entry))
            .map(|previous| previous.record);
        // XOR undoes itself, so the previous hash is removed by the operation that added it.
        self.bucket_sums[bucket] ^= hash ^ previous.as_ref().map_or(0, MemberRecord::state_hash);
        self.live_digest ^= live_hash ^ previous.as_ref().map_or(0, MemberRecord::live_hash);
        self.live_count += usize::from(is_live);
        self.live_count -= usize::from(
            previous
                .as_ref()
                .is_some_and(|previous| previous.state.is_live()),
        );
        previous
    }

    /// Removes a member whose retention time is over.
    pub fn remove(&mut self, name: &MixerName) {
        if let Some(entry) = self.members.remove(name) {
            self.bucket_sums[bucket_of(name)] ^= entry.record.state_hash();
            self.live_digest ^= entry.record.live_hash();
            self.live_count -= usize::from(entry.record.state.is_live());
        }
    }

    /// A digest of all live members. Different views have different digests, except for one case in 2^64.
    pub fn view_digest(&self) -> u64 {
        self.live_digest
    }

    /// A digest that also covers the incarnations; exchanges of views compare this one.
    pub fn sync_digest(&self) -> u64 {
        self.bucket_sums.iter().fold(0, |all, sum| mix(all, *sum))
    }

    /// The hash of each bucket, folded to 32 bits.
    pub fn bucket_sums(&self) -> Vec<u32> {
        self.bucket_sums
            .iter()
            .map(|sum| (sum ^ (sum >> 32)) as u32)
            .collect()
    }

    /// The records of the given buckets as of `now`, ordered by bucket, collected in one pass over the table.
    pub fn records_by_bucket(
        &self,
        now: Time,
        wanted: &[usize],
    ) -> BTreeMap<usize, Vec<MemberRecord>> {
        let mut out: BTreeMap<usize, Vec<MemberRecord>> =
            wanted.iter().map(|bucket| (*bucket, Vec::new())).collect();
        for entry in self.members.values() {
            if let Some(records) = out.get_mut(&usize::from(entry.bucket)) {
                records.push(entry.current_record(now));
            }
        }
        out
    }
}

impl MemberEntry {
    /// The record with its age as of `now`.
    pub fn current_record(&self, now: Time) -> MemberRecord {
        MemberRecord {
            age: now.since(self.since),
            ..self.record.clone()
        }
    }
}
