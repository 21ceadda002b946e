//! The replica's records on disk: recovery at the start, appends and snapshots by a thread of its own.

use std::cell::Cell;
use std::path::Path;
use std::time::Duration;

use derive_more::{Display, Error, From};
use lockusher_storage::{
    Completion, Completions, DiskFileSystem, Job, Store, StoreError, StoreOptions, StoreWriter, SubmitError,
};

use crate::durable::DurableRecord;
use crate::replica::{DiskComparison, PersistTicket};

/// Ticket of a snapshot; appends count up from 0 and don't reach it.
const SNAPSHOT_TICKET: u64 = u64::MAX;
/// Ticket of a scrub, likewise.
const SCRUB_TICKET: u64 = u64::MAX - 1;
/// Pause before a disk that refused to open is tried again.
const REOPEN_DELAY: Duration = Duration::from_millis(200);

/// Why the disk of a control node can't be used.
#[derive(Debug, Display, Error, From)]
pub enum DiskError {
    #[display("storage: {_0}")]
    Store(StoreError),
    #[display("storage thread: {_0}")]
    Thread(std::io::Error),
    #[display("a record on disk can't be read: {_0}")]
    Record(bitcode::Error),
}

/// What a disk held at the start.
#[derive(Debug, Default)]
pub struct RecoveredRecords {
    pub records: Vec<DurableRecord>,
    /// Something acknowledged was unreadable: the disk was cleared, now or by a start that was cut short, and this node
    /// begins as a new one.
    pub cleared: bool,
}

/// Where a replica's records are made durable.
pub struct Disk {
    writer: StoreWriter,
    snapshot_due: Cell<bool>,
    scrubs: Cell<ScrubCounters>,
}

/// Counts of scrubs since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScrubCounters {
    /// Scrubs that read everything back, or found damage.
    pub completed: u64,
    /// Scrubs that found the disk damaged or unlike the state in memory.
    pub damage_found: u64,
}

impl Disk {
    /// Opens the folder and reads what it holds. A disk in trouble is tried until it answers.
    pub async fn open(
        folder: &Path,
        disk_bytes: u64,
    ) -> Result<(Disk, Completions, RecoveredRecords), DiskError> {
        let options = StoreOptions { disk_bytes };
        let mut cleared = false;
        let (store, recovered) = loop {
            match Store::open(DiskFileSystem::new(folder.to_path_buf()), options) {
                Ok(opened) => break opened,
                Err(StoreError::Damaged { damage }) => {
                    log::error!("the disk is damaged ({damage}); it is cleared and rebuilt from other nodes");
                    cleared = true;
                    clear(folder).await;
                }
                Err(error) => {
                    log::warn!("opening the disk: {error}");
                    compio::time::sleep(REOPEN_DELAY).await;
                }
            }
        };
        cleared |= recovered.report.reset_completed;
        let records = decode(recovered.snapshot, recovered.records)?;
        let (writer, completions) = StoreWriter::spawn(store)?;
        let disk = Disk { writer, snapshot_due: Cell::new(false), scrubs: Cell::default() };
        Ok((disk, completions, RecoveredRecords { records, cleared }))
    }

    /// Appends records; the ticket comes back as a completion.
    pub fn append(&self, ticket: PersistTicket, records: &[DurableRecord]) -> Result<(), SubmitError> {
        let records = records.iter().map(bitcode::encode).collect();
        self.writer.submit(Job::Append { ticket: ticket.0, records })
    }

    /// Has everything read back and compared, unless something is under way.
    pub fn scrub_if_idle(&self) {
        if self.writer.is_idle()
            && let Err(error) = self.writer.submit(Job::Scrub { ticket: SCRUB_TICKET })
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
        let comparison = match (&completion.scrubbed, &completion.result) {
            (Some(recovered), _) => decode(recovered.snapshot.clone(), recovered.records.clone())
                .map_or(DiskComparison::DiskDiffers, compare),
            (None, Err(StoreError::Damaged { .. })) => DiskComparison::DiskDiffers,
            // The disk refused; this says nothing about what it holds.
            (None, _) => return,
        };
        let counters = self.scrubs.get();
        let damage_found = counters.damage_found + u64::from(comparison != DiskComparison::Same);
        self.scrubs.set(ScrubCounters { completed: counters.completed + 1, damage_found });
        match comparison {
            DiskComparison::Same => {}
            DiskComparison::DiskDiffers => {
                log::error!("scrub: the disk is damaged; it is rewritten from memory");
                self.snapshot_due.set(true);
            }
            DiskComparison::MemoryDamaged => log::error!("scrub: the state in memory is damaged"),
        }
    }

    /// Notes a completion; the ticket of an append with its success.
    pub fn on_completion(&self, completion: &Completion) -> Option<(PersistTicket, bool)> {
        if completion.ticket == SCRUB_TICKET {
            return None;
        }
        self.snapshot_due.set(completion.snapshot_due);
        if let Err(error) = &completion.result {
            log::warn!("disk: {error}");
        }
        let is_append = completion.ticket != SNAPSHOT_TICKET;
        is_append.then_some((PersistTicket(completion.ticket), completion.result.is_ok()))
    }

    /// Writes a snapshot if one is wanted and nothing is under way.
    pub fn snapshot_if_due(&self, records: impl FnOnce() -> Vec<DurableRecord>) {
        if !self.snapshot_due.get() || !self.writer.is_idle() {
            return;
        }
        self.snapshot_due.set(false);
        let bytes = bitcode::encode(&records());
        if let Err(error) = self.writer.submit(Job::Snapshot { ticket: SNAPSHOT_TICKET, bytes }) {
            log::warn!("snapshot: {error}");
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

fn decode(snapshot: Option<Vec<u8>>, records: Vec<Vec<u8>>) -> Result<Vec<DurableRecord>, DiskError> {
    let mut decoded: Vec<DurableRecord> = match snapshot {
        Some(bytes) => bitcode::decode(&bytes)?,
        None => Vec::new(),
    };
    for record in records {
        decoded.push(bitcode::decode(&record)?);
    }
    Ok(decoded)
}
