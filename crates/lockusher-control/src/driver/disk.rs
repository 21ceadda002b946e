//! The disk of a control node: recovery at startup, then appends, snapshots and scrubs on a thread of its own.
//!
//! Owned by the [`ReplicaDriver`](super::replica_driver::ReplicaDriver), which passes it the records to make durable
//! and every completion of the storage thread. Invariant: a ticket counts as durable only once the storage has reported
//! that its records are synced; a damaged disk is never mistaken for an unused one.

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

/// Ticket of a snapshot; the tickets of appends count up from 0 and never reach it.
const SNAPSHOT_TICKET: u64 = u64::MAX;
/// Ticket of a scrub, likewise.
const SCRUB_TICKET: u64 = u64::MAX - 1;
/// Delay before opening the disk is retried after an I/O error.
const REOPEN_DELAY: Duration = Duration::from_millis(200);

/// Why the disk of a control node can't be used. A retry doesn't help: [`Disk::open`] itself retries after errors that
/// may be transient.
#[derive(Debug, Display, Error, From)]
pub enum DiskError {
    /// The storage thread can't be started: the machine is out of threads or memory.
    #[display("storage thread: {_0}")]
    Thread(std::io::Error),
    /// A record with a valid checksum can't be decoded: it was written in another format.
    #[display("a record on disk can't be decoded: {_0}")]
    Record(bitcode::Error),
}

/// An opened disk and its recovered contents.
pub struct OpenedDisk {
    /// The disk, ready for appends.
    pub disk: Disk,
    /// Outcomes of the jobs submitted to the disk; the caller passes each to [`Disk::on_completion`] and
    /// [`Disk::on_scrub_completion`].
    pub completions: Completions,
    /// The recovered contents.
    pub recovered: RecoveredRecords,
}

/// The contents of a disk at startup.
#[derive(Debug, Default)]
pub struct RecoveredRecords {
    /// The records of the newest snapshot, followed by those appended after it, in order.
    pub records: Vec<DurableRecord>,
    /// Whether durable records were unreadable, so that the disk was cleared, by this start or by an earlier one that
    /// was interrupted, and this node starts as a new one.
    pub cleared: bool,
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// Its records are durable.
    Durable(PersistTicket),
    /// The append failed; none of its records counts as durable.
    Failed(PersistTicket),
}

/// Counters of scrubs since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScrubCounters {
    /// Number of scrubs that read the whole disk, or found damage.
    pub completed: u64,
    /// Number of scrubs that found damage, or a difference from the state in memory.
    pub damage_found: u64,
}

/// Makes a replica's records durable, and scrubs them.
pub struct Disk {
    writer: StoreWriter,
    snapshot_due: Cell<bool>,
    scrubs: Cell<ScrubCounters>,
}

impl Disk {
    /// Opens the folder and recovers its records. A damaged disk is cleared; I/O errors are retried until the disk
    /// opens.
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

    /// Submits an append; the outcome is reported by a completion with the ticket.
    ///
    /// # Errors
    ///
    /// [`SubmitError::ThreadEnded`] if the storage thread has ended: the records are never written.
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

    /// Handles a completion; returns the outcome if it is one of an append.
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

    /// Submits a snapshot if one is due and no job is in flight.
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
            log::warn!("disk: snapshot not submitted: {error}");
        }
    }

    /// Submits a scrub, which reads the whole disk, unless a job is in flight.
    pub fn scrub_if_idle(&self) {
        if self.writer.is_idle()
            && let Err(error) = self.writer.submit(Job::Scrub {
                ticket: SCRUB_TICKET,
            })
        {
            log::warn!("disk: scrub not submitted: {error}");
        }
    }

    /// Counters of scrubs.
    pub fn scrub_counters(&self) -> ScrubCounters {
        self.scrubs.get()
    }

    /// Handles a completion if it is one of a scrub. A damaged disk is rewritten by a snapshot of the state in memory.
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

/// Result of a scrub; none after an I/O error, which doesn't indicate damage.
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

/// An opened store.
struct OpenedStore {
    store: Store<DiskFileSystem>,
    recovered: Recovered,
    /// Whether the disk was damaged and has been cleared.
    cleared: bool,
}

/// Opens the store; clears it if it is damaged, and retries after I/O errors.
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

/// Clears the folder of a damaged store. After a failure, the next attempt to open it finds the damage again or
/// completes the reset.
async fn clear(folder: &Path) {
    if let Err(error) = Store::reset(&mut DiskFileSystem::new(folder.to_path_buf())) {
        log::warn!("clearing the disk: {error}");
        compio::time::sleep(REOPEN_DELAY).await;
    }
}

/// Decodes the records of the snapshot, followed by those of the log.
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
