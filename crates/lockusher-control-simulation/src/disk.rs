//! A simulated disk: a log of records, of which the newest may not be synced yet.

use std::{collections::VecDeque, sync::Arc};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::disk_contents::Contents;
use lockusher_control::{ConfigurationDocument, DurableRecord, Millis, PersistTicket, ReplicatedState};

/// The log and the writes under way.
#[derive(Debug, Default)]
pub struct Disk {
    log: Vec<DurableRecord>,
    /// What the log adds up to.
    contents: Contents,
    /// It was altered behind the back of its owner.
    falsified: bool,
    writes: VecDeque<Write>,
    /// Nothing is synced until then.
    pub stalled_until: Millis,
    /// What is refused.
    pub room: Room,
    usual_sync: Millis,
    /// Longest time that a sync takes now.
    pub slowest_sync: Millis,
}

/// Room on a disk.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Room {
    #[default]
    Enough,
    /// For votes only: entries and states are refused.
    Little,
    /// Every write is refused.
    None,
}

#[derive(Debug)]
struct Write {
    ticket: PersistTicket,
    records: Vec<DurableRecord>,
    due: Millis,
}

/// A write that has ended.
#[derive(Clone, Debug)]
pub struct Finished {
    pub ticket: PersistTicket,
    /// The records, if they are durable now; the disk refused them otherwise.
    pub durable: Option<Vec<DurableRecord>>,
}

/// Log records after which the simulated storage asks for a snapshot.
const SNAPSHOT_AFTER: usize = 60;

impl Disk {
    /// An empty disk whose syncs usually take up to this time.
    pub fn new(usual_sync: Millis) -> Self {
        Self { usual_sync, slowest_sync: usual_sync, ..Self::default() }
    }

    /// Ends slowness, stalls and the lack of room; what waited is written at the usual pace.
    pub fn relieve(&mut self, now: Millis) {
        let mut usual_due = now;
        for write in &mut self.writes {
            usual_due += self.usual_sync;
            write.due = write.due.min(usual_due);
        }
        self.slowest_sync = self.usual_sync;
        self.stalled_until = self.stalled_until.min(now);
        self.room = Room::Enough;
    }

    /// Begins a write.
    pub fn write(
        &mut self,
        ticket: PersistTicket,
        records: Vec<DurableRecord>,
        now: Millis,
        random: &mut ChaCha8Rng,
    ) {
        let after_last = self.writes.back().map_or(now, |write| write.due).max(now);
        let due = after_last + random.random_range(1..=self.slowest_sync.max(1));
        self.writes.push_back(Write { ticket, records, due });
    }

    /// Whether it works as usual.
    pub fn is_well(&self, now: Millis) -> bool {
        self.stalled_until <= now && self.room == Room::Enough && self.slowest_sync == self.usual_sync
    }

    /// When the next write ends.
    pub fn next_due(&self) -> Option<Millis> {
        self.writes.front().map(|write| write.due.max(self.stalled_until))
    }

    /// Ends the next write if it is due.
    pub fn finish(&mut self, now: Millis) -> Option<Finished> {
        if self.next_due()? > now {
            return None;
        }
        let write = self.writes.pop_front()?;
        let refused = refuses(self.room, &write.records);
        if !refused {
            self.keep(&write.records);
        }
        Some(Finished { ticket: write.ticket, durable: (!refused).then_some(write.records) })
    }

    fn keep(&mut self, records: &[DurableRecord]) {
        records.iter().for_each(|record| self.contents.add(record));
        self.log.extend_from_slice(records);
    }

    /// The process ends or power is lost: of the writes under way, some may be there, in order.
    pub fn interrupt(&mut self, random: &mut ChaCha8Rng) {
        let kept = random.random_range(0..=self.writes.len());
        for write in std::mem::take(&mut self.writes).into_iter().take(kept) {
            if !refuses(self.room, &write.records) {
                self.keep(&write.records);
            }
        }
    }

    /// Loses everything.
    pub fn wipe(&mut self) {
        *self = Self::new(self.usual_sync);
    }

    /// The newest configuration on it becomes another one, in a way that no checksum shows. Whether there was one.
    pub fn falsify(&mut self) -> bool {
        let false_document = |document: &ConfigurationDocument| {
            ConfigurationDocument::new(document.version, Arc::from(b"false".as_slice()))
        };
        for record in self.log.iter_mut().rev() {
            match record {
                DurableRecord::Entry { document, .. } => *document = false_document(document),
                DurableRecord::State { state, .. } => {
                    let Some(document) = state.document() else { return false };
                    *state = ReplicatedState::default().with(false_document(document));
                }
                _ => continue,
            }
            self.contents = Contents::of(&self.log);
            self.falsified = true;
            return true;
        }
        false
    }

    /// What it durably holds; none if it was altered behind the back of its owner.
    pub fn contents(&self) -> Option<&Contents> {
        (!self.falsified).then_some(&self.contents)
    }

    /// What a start finds.
    pub fn records(&self) -> Vec<DurableRecord> {
        self.log.clone()
    }

    /// Whether the log is long enough to be replaced by a snapshot.
    pub fn wants_snapshot(&self) -> bool {
        self.log.len() > SNAPSHOT_AFTER && self.writes.is_empty()
    }

    /// Replaces the log.
    pub fn replace(&mut self, records: Vec<DurableRecord>) {
        self.contents = Contents::of(&records);
        self.log = records;
    }
}

fn refuses(room: Room, records: &[DurableRecord]) -> bool {
    match room {
        Room::Enough => false,
        Room::Little => records.iter().any(is_large),
        Room::None => true,
    }
}

fn is_large(record: &DurableRecord) -> bool {
    matches!(record, DurableRecord::Entry { .. } | DurableRecord::State { .. })
}
