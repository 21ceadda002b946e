//! The disk of a control node: recovery at the start, then appends, snapshots and scrubs by a thread of its own.
//!
//! Owned by the [`ReplicaDriver`](super::replica_driver::ReplicaDriver), which hands it the records that the replica
//! wants durable and every completion of the storage thread. Invariant: a ticket counts as durable only once the
//! storage says that its records are synced; a damaged disk is never taken for one that was never used.

use std::cell::Cell;
use std::path::Path;
use std::time::Duration;

use derive_more::{Display, Error, From};
use lockusher_storage::{
    Completion, Completions, DiskFileSystem, Job, Recovered, Store, StoreError, StoreOptions,
    StoreWriter, SubmitError,
};

use crate::durable_record::{DurableRecord, PersistTicket};
use crate::replica::DiskComparison;

/// Ticket of a snapshot; appends count up from 0 and don't reach it.
const SNAPSHOT_TICKET: u64 = u64::MAX;
/// Ticket of a scrub, likewise.
const SCRUB_TICKET: u64 = u64::MAX - 1;
/// Delay before a disk that refused to open is tried again.
const REOPEN_DELAY: Duration = Duration::from_millis(200);

/// Why the disk of a control node can't be used. Trying again without a change of the machine doesn't help: what may
/// pass, [`Disk::open`] retries by itself.
#[derive(Debug, Display, Error, From)]
pub enum DiskError {
    /// The storage thread can't be started: the machine is out of threads or memory.
    #[display("storage thread: {_0}")]
    Thread(std::io::Error),
    /// A record whose checksum is good can't be decoded: it was written by a program of another format.
    #[display("a record on disk can't be read: {_0}")]
    Record(bitcode::Error),
}

/// An opened disk, and what it held.
pub struct OpenedDisk {
    /// The disk, ready for appends.
    pub disk: Disk,
    /// Outcomes of what is submitted to the disk; each is to be handed to it.
    pub completions: Completions,
    /// What it held.
    pub recovered: RecoveredRecords,
}

/// What a disk held at the start.
#[derive(Debug, Default)]
pub struct RecoveredRecords {
    /// The records of the newest snapshot, then those appended after it, in order.
    pub records: Vec<DurableRecord>,
    /// Something acknowledged was unreadable: the disk was cleared, now or by a start that was cut short, and this node
    /// begins as a new one.
    pub cleared: bool,
}

/// What became of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// Its records are durable.
    Durable(PersistTicket),
    /// The disk refused; none of its records counts.
    Failed(PersistTicket),
}

/// Counts of scrubs since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScrubCounters {
    /// Scrubs that read everything back, or found damage.
    pub completed: u64,
    /// Scrubs that found the disk damaged or unlike the state in memory.
    pub damage_found: u64,
}

/// Where a replica's records are made durable.
pub struct Disk {
    writer: StoreWriter,
    snapshot_due: Cell<bool>,
    scrubs: Cell<ScrubCounters>,
}

impl Disk {
    /// Opens the folder and reads what it holds. A damaged disk is cleared; one that refuses is tried until it answers.
    ///
    /// # Errors
    ///
    /// [`DiskError`] if a record can't be decoded or the storage thread can't be started.
    pub async fn open(folder: &Path, disk_bytes: u64) -> Result<OpenedDisk, DiskError> {
        let opened = open_store(folder, StoreOptions { disk_bytes }).await;
        let recovered = RecoveredRecords {
            cleared: opened.cleared || opened.recovered.report.reset_completed,
            records: decode(&opened.recovered)?,
        };
        let (writer, completions) = StoreWriter::spawn(opened.store)?;
        let disk = Disk {
            writer,
            snapshot_due: Cell::new(false),
            scrubs: Cell::default(),
        };
        Ok(OpenedDisk {
            disk,
            completions,
            recovered,
        })
    }

    /// Appends records; the ticket comes back as a completion.
    ///
    /// # Errors
    ///
    /// [`SubmitError::ThreadEnded`] if the storage thread is gone: nothing is written, now or later.
    pub fn append(
        &self,
        ticket: PersistTicket,
        records: &[DurableRecord],
    ) -> Result<(), SubmitError> {
        let records = records.iter().map(bitcode::encode).collect();
        self.writer.submit(Job::Append {
            ticket: ticket.0,
            records,
        })
    }

    /// Takes a completion; the outcome of the append if it is one.
    pub fn on_completion(&self, completion: &Completion) -> Option<AppendOutcome> {
        if completion.ticket == SCRUB_TICKET {
            return None;
        }
        self.snapshot_due.set(completion.snapshot_due);
        if let Err(error) = &completion.result {
            log::warn!("disk: {error}");
        }
        if completion.ticket == SNAPSHOT_TICKET {
            return None;
        }
        let ticket = PersistTicket(completion.ticket);
        Some(match completion.result {
            Ok(()) => AppendOutcome::Durable(ticket),
            Err(_) => AppendOutcome::Failed(ticket),
        })
    }

    /// Writes a snapshot if one is due and nothing is in flight.
    pub fn snapshot_if_due(&self, records: impl FnOnce() -> Vec<DurableRecord>) {
        if !self.snapshot_due.get() || !self.writer.is_idle() {
            return;
        }
        self.snapshot_due.set(false);
        let bytes = bitcode::encode(&records());
        if let Err(error) = self.writer.submit(Job::Snapshot {
            ticket: SNAPSHOT_TICKET,
            bytes,
        }) {
            log::warn!("snapshot: {error}");
        }
    }

    /// Has everything read back and compared, unless something is in flight.
    pub fn scrub_if_idle(&self) {
        if self.writer.is_idle()
            && let Err(error) = self.writer.submit(Job::Scrub {
                ticket: SCRUB_TICKET,
            })
        {
            log::warn!("scrub: {error}");
        }
    }

    /// Counts of scrubs.
    pub fn scrub_counters(&self) -> ScrubCounters {
        self.scrubs.get()
    }

    /// Takes the outcome of a scrub, if this is one. A damaged disk is rewritten by a snapshot of the state in memory.
    pub fn on_scrub_completion(
        &self,
        completion: &Completion,
        compare: impl FnOnce(Vec<DurableRecord>) -> DiskComparison,
    ) {
        if completion.ticket != SCRUB_TICKET {
            return;
        }
        let Some(comparison) = scrub_result(completion, compare) else {
            return;
        };
        self.count_scrub(comparison);
        match comparison {
            DiskComparison::Same => {}
            DiskComparison::DiskDiffers => {
                log::error!("scrub: the disk is damaged; it is rewritten from memory");
                self.snapshot_due.set(true);
            }
            DiskComparison::MemoryDamaged => log::error!("scrub: the state in memory is damaged"),
        }
    }

    fn count_scrub(&self, comparison: DiskComparison) {
        let counters = self.scrubs.get();
        let is_damaged = comparison != DiskComparison::Same;
        self.scrubs.set(ScrubCounters {
            completed: counters.completed + 1,
            damage_found: counters.damage_found + u64::from(is_damaged),
        });
    }
}

/// What a scrub found; none if the disk refused, which says nothing about what it holds.
fn scrub_result(
    completion: &Completion,
    compare: impl FnOnce(Vec<DurableRecord>) -> DiskComparison,
) -> Option<DiskComparison> {
    match (&completion.scrubbed, &completion.result) {
        (Some(recovered), _) => {
            Some(decode(recovered).map_or(DiskComparison::DiskDiffers, compare))
        }
        (None, Err(StoreError::Damaged { .. })) => Some(DiskComparison::DiskDiffers),
        (None, _) => None,
    }
}

/// A store as it was opened.
struct OpenedStore {
    store: Store<DiskFileSystem>,
    recovered: Recovered,
    /// The disk was damaged and has been cleared.
    cleared: bool,
}

/// Opens the store, again and again until the disk answers; a damaged one is cleared.
async fn open_store(folder: &Path, options: StoreOptions) -> OpenedStore {
    let mut cleared = false;
    loop {
        match Store::open(DiskFileSystem::new(folder.to_path_buf()), options) {
            Ok((store, recovered)) => {
                return OpenedStore {
                    store,
                    recovered,
                    cleared,
                };
            }
            Err(StoreError::Damaged { damage }) => {
                log::error!(
                    "the disk is damaged ({damage}); it is cleared and rebuilt from other nodes"
                );
                cleared = true;
                clear(folder).await;
            }
            Err(error) => {
                log::warn!("opening the disk: {error}");
                compio::time::sleep(REOPEN_DELAY).await;
            }
        }
    }
}

/// Empties the folder of a damaged store. Should it fail, the next opening finds the damage or carries the reset through.
async fn clear(folder: &Path) {
    if let Err(error) = Store::reset(&mut DiskFileSystem::new(folder.to_path_buf())) {
        log::warn!("clearing the disk: {error}");
        compio::time::sleep(REOPEN_DELAY).await;
    }
}

/// The records of the snapshot, then those of the log.
fn decode(recovered: &Recovered) -> Result<Vec<DurableRecord>, DiskError> {
    let mut records: Vec<DurableRecord> = match &recovered.snapshot {
        Some(bytes) => bitcode::decode(bytes)?,
        None => Vec::new(),
    };
    for record in &recovered.records {
        records.push(bitcode::decode(record)?);
    }
    Ok(records)
}
