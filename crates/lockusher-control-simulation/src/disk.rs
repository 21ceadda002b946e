//! A simulated disk: a log of records, of which the newest may not be synced yet.

use std::{collections::VecDeque, sync::Arc};

use lockusher_control::{
    ConfigurationDocument, DurableRecord, Millis, PersistTicket, ReplicatedState,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{disk_contents::DiskContents, options::SurvivingWrites};

/// The log and the writes in flight.
#[derive(Debug, Default)]
pub struct Disk {
    log: Vec<DurableRecord>,
    /// What the log adds up to.
    contents: DiskContents,
    /// It was corrupted in a way that its owner can't notice.
    corrupted: bool,
    writes: VecDeque<Write>,
    /// Nothing is synced until then.
    pub stalled_until: Millis,
    /// Free space: what is refused.
    pub space: DiskSpace,
    normal_max_sync: Millis,
    /// Longest time that a sync takes now.
    pub max_sync: Millis,
}

/// Free space on a disk.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DiskSpace {
    /// Nothing is refused.
    #[default]
    Sufficient,
    /// Enough for the acceptor's records: entries and states are refused.
    VotesOnly,
    /// Every write is refused.
    Full,
}

#[derive(Debug)]
struct Write {
    ticket: PersistTicket,
    records: Vec<DurableRecord>,
    due: Millis,
}

/// A write that has ended.
#[derive(Clone, Debug)]
pub struct CompletedWrite {
    pub ticket: PersistTicket,
    /// The records, if they are durable now; the disk refused them otherwise.
    pub durable: Option<Vec<DurableRecord>>,
}

/// Log records after which the simulated storage asks for a snapshot.
const SNAPSHOT_AFTER_RECORDS: usize = 60;

impl Disk {
    /// An empty disk whose syncs normally take up to this time.
    pub fn new(normal_max_sync: Millis) -> Self {
        Self {
            normal_max_sync,
            max_sync: normal_max_sync,
            ..Self::default()
        }
    }

    /// Ends slowness, stalls and the lack of space; writes in flight go on at the normal pace.
    pub fn recover(&mut self, now: Millis) {
        let mut normal_due = now;
        for write in &mut self.writes {
            normal_due += self.normal_max_sync;
            write.due = write.due.min(normal_due);
        }
        self.max_sync = self.normal_max_sync;
        self.stalled_until = self.stalled_until.min(now);
        self.space = DiskSpace::Sufficient;
    }

    /// Starts a write.
    pub fn write(
        &mut self,
        ticket: PersistTicket,
        records: Vec<DurableRecord>,
        now: Millis,
        random: &mut ChaCha8Rng,
    ) {
        let last_due = self.writes.back().map_or(now, |write| write.due).max(now);
        let due = last_due + random.random_range(1..=self.max_sync.max(1));
        self.writes.push_back(Write {
            ticket,
            records,
            due,
        });
    }

    /// Whether it works as normal.
    pub fn is_healthy(&self, now: Millis) -> bool {
        self.stalled_until <= now
            && self.space == DiskSpace::Sufficient
            && self.max_sync == self.normal_max_sync
    }

    /// When the next write ends.
    pub fn next_due(&self) -> Option<Millis> {
        self.writes
            .front()
            .map(|write| write.due.max(self.stalled_until))
    }

    /// Ends the next write if it is due.
    pub fn complete_next_write(&mut self, now: Millis) -> Option<CompletedWrite> {
        if self.next_due()? > now {
            return None;
        }
        let write = self.writes.pop_front()?;
        let refused = refuses(self.space, &write.records);
        if !refused {
            self.append(&write.records);
        }
        Some(CompletedWrite {
            ticket: write.ticket,
            durable: (!refused).then_some(write.records),
        })
    }

    fn append(&mut self, records: &[DurableRecord]) {
        records
            .iter()
            .for_each(|record| self.contents.apply(record));
        self.log.extend_from_slice(records);
    }

    /// The process ends or power is lost: some of the writes in flight may be durable.
    pub fn interrupt(&mut self, surviving_writes: SurvivingWrites, random: &mut ChaCha8Rng) {
        let completed = random.random_range(0..=self.writes.len());
        for (position, write) in std::mem::take(&mut self.writes).into_iter().enumerate() {
            let is_durable = match surviving_writes {
                SurvivingWrites::Prefix => position < completed,
                SurvivingWrites::AnySubset => random.random_ratio(1, 2),
            };
            if is_durable && !refuses(self.space, &write.records) {
                self.append(&write.records);
            }
        }
    }

    /// Loses everything.
    pub fn erase(&mut self) {
        *self = Self::new(self.normal_max_sync);
    }

    /// The newest configuration on it becomes another one, in a way that no checksum shows. Whether there was one.
    pub fn corrupt(&mut self) -> bool {
        let corrupted_document = |document: &ConfigurationDocument| {
            ConfigurationDocument::new(document.version, Arc::from(b"false".as_slice()))
        };
        for record in self.log.iter_mut().rev() {
            match record {
                DurableRecord::Entry { document, .. } => *document = corrupted_document(document),
                DurableRecord::State { state, .. } => {
                    let Some(document) = state.document() else {
                        return false;
                    };
                    *state = ReplicatedState::default().with(corrupted_document(document));
                }
                _ => continue,
            }
            self.contents = DiskContents::from_records(&self.log);
            self.corrupted = true;
            return true;
        }
        false
    }

    /// What it durably holds; none if it was corrupted.
    pub fn contents(&self) -> Option<&DiskContents> {
        (!self.corrupted).then_some(&self.contents)
    }

    /// What a start finds.
    pub fn records(&self) -> Vec<DurableRecord> {
        self.log.clone()
    }

    /// Whether the log is long enough to be replaced by a snapshot.
    pub fn needs_snapshot(&self) -> bool {
        self.log.len() > SNAPSHOT_AFTER_RECORDS && self.writes.is_empty()
    }

    /// Replaces the log.
    pub fn replace_log(&mut self, records: Vec<DurableRecord>) {
        self.contents = DiskContents::from_records(&records);
        self.log = records;
    }
}

fn refuses(space: DiskSpace, records: &[DurableRecord]) -> bool {
    match space {
        DiskSpace::Sufficient => false,
        DiskSpace::VotesOnly => records.iter().any(is_entry_or_state),
        DiskSpace::Full => true,
    }
}

fn is_entry_or_state(record: &DurableRecord) -> bool {
    matches!(
        record,
        DurableRecord::Entry { .. } | DurableRecord::State { .. }
    )
}
