//! Simulated disk: a log of durable records, and writes in flight.

use std::{collections::VecDeque, sync::Arc};

use lockusher_control::{
    ConfigurationDocument, DurableRecord, Millis, PersistTicket, ReplicatedState,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{disk_contents::DiskContents, options::SurvivingWrites};

/// The durable log and the writes in flight.
#[derive(Debug, Default)]
pub struct Disk {
    /// Durable records, in the order of their writes.
    log: Vec<DurableRecord>,
    /// State that results from the log.
    contents: DiskContents,
    /// Whether it was corrupted without a checksum error.
    corrupted: bool,
    /// Writes in flight, oldest first.
    writes: VecDeque<Write>,
    /// No write completes until then.
    pub stalled_until: Millis,
    /// Free space, which decides which writes are refused.
    pub space: DiskSpace,
    /// Longest sync while the disk is healthy.
    normal_max_sync: Millis,
    /// Longest sync at present.
    pub max_sync: Millis,
}

/// Free space on a disk.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DiskSpace {
    /// No write is refused.
    #[default]
    Sufficient,
    /// Only the acceptor's records and other short records fit: entries and states are refused.
    VotesOnly,
    /// Every write is refused.
    Full,
}

/// A write in flight.
#[derive(Debug)]
struct Write {
    ticket: PersistTicket,
    records: Vec<DurableRecord>,
    due: Millis,
}

/// A write that was synced or refused.
#[derive(Clone, Debug)]
pub struct CompletedWrite {
    pub ticket: PersistTicket,
    /// The records, if they are durable; `None` if the disk refused them.
    pub durable: Option<Vec<DurableRecord>>,
}

/// A log with more records is replaced by a snapshot.
const SNAPSHOT_AFTER_RECORDS: usize = 60;

impl Disk {
    /// Creates an empty disk whose syncs take up to this time while it is healthy.
    pub fn new(normal_max_sync: Millis) -> Self {
        Self {
            normal_max_sync,
            max_sync: normal_max_sync,
            ..Self::default()
        }
    }

    /// Ends slow syncs, stalls and the lack of space. Writes in flight complete at the normal rate.
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

    /// Starts a write, which completes after those in flight.
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

    /// Whether it has no fault now.
    pub fn is_healthy(&self, now: Millis) -> bool {
        self.stalled_until <= now
            && self.space == DiskSpace::Sufficient
            && self.max_sync == self.normal_max_sync
    }

    /// When the next write completes.
    pub fn next_due(&self) -> Option<Millis> {
        self.writes
            .front()
            .map(|write| write.due.max(self.stalled_until))
    }

    /// Completes the next write if it is due.
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

    /// Ends the writes in flight when the process is killed or power is lost: some of them become durable.
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

    /// Loses all records and writes in flight.
    pub fn erase(&mut self) {
        *self = Self::new(self.normal_max_sync);
    }

    /// Replaces the newest configuration by another one without a checksum error. Returns whether there was one.
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

    /// State that results from the durable records; `None` if it was corrupted.
    pub fn contents(&self) -> Option<&DiskContents> {
        (!self.corrupted).then_some(&self.contents)
    }

    /// Durable records, which a process recovers at its start.
    pub fn records(&self) -> Vec<DurableRecord> {
        self.log.clone()
    }

    /// Whether the log is long enough for a snapshot and no write is in flight.
    pub fn needs_snapshot(&self) -> bool {
        self.log.len() > SNAPSHOT_AFTER_RECORDS && self.writes.is_empty()
    }

    /// Replaces the log by the records of a snapshot.
    pub fn replace_log(&mut self, records: Vec<DurableRecord>) {
        self.contents = DiskContents::from_records(&records);
        self.log = records;
    }
}

/// Whether a disk with this free space refuses a write of these records.
fn refuses(space: DiskSpace, records: &[DurableRecord]) -> bool {
    match space {
        DiskSpace::Sufficient => false,
        DiskSpace::VotesOnly => records.iter().any(is_entry_or_state),
        DiskSpace::Full => true,
    }
}

/// Whether a record contains a configuration, which takes more space than the acceptor's records.
fn is_entry_or_state(record: &DurableRecord) -> bool {
    matches!(
        record,
        DurableRecord::Entry { .. } | DurableRecord::State { .. }
    )
}
