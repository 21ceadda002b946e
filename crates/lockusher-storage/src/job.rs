//! Jobs for the storage thread, and their completions.

use derive_more::{Display, Error};

use crate::error::StoreError;
use crate::recovery::Recovered;

/// Work for the storage thread. Jobs are executed in the order of submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Job {
    /// [`Store::append`](crate::Store::append).
    Append {
        /// Identifies the job in its completion; assigned by the caller.
        ticket: u64,
        /// The records to append.
        records: Vec<Vec<u8>>,
    },
    /// [`Store::snapshot`](crate::Store::snapshot).
    Snapshot {
        /// Identifies the job in its completion; assigned by the caller.
        ticket: u64,
        /// The snapshot, which must contain the effects of all appends that completed without an error, and of no
        /// others.
        bytes: Vec<u8>,
    },
    /// [`Store::scrub`](crate::Store::scrub).
    Scrub {
        /// Identifies the job in its completion; assigned by the caller.
        ticket: u64,
    },
}

/// The outcome of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The job's ticket.
    pub ticket: u64,
    /// The result that the store returned.
    pub result: Result<(), StoreError>,
    /// The data that a scrub read back; `None` for other jobs and for a scrub that failed.
    pub scrubbed: Option<Recovered>,
    /// [`Store::log_bytes`](crate::Store::log_bytes) after the job.
    pub log_bytes: u64,
    /// [`Store::snapshot_due`](crate::Store::snapshot_due) after the job.
    pub snapshot_due: bool,
}

/// A job was rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SubmitError {
    /// It would be ambiguous which of the appends in flight a snapshot or scrub covers. Can be retried once
    /// [`StoreWriter::is_idle`](crate::StoreWriter::is_idle) returns true.
    #[display("a snapshot or scrub was submitted while appends are in flight")]
    AppendsInFlight,
    /// The thread has terminated, which happens only after a panic. Can't be retried.
    #[display("the storage thread has terminated")]
    ThreadEnded,
}

impl Job {
    /// The identifier that the submitter assigned to the job.
    pub(crate) fn ticket(&self) -> u64 {
        match self {
            Job::Append { ticket, .. } | Job::Snapshot { ticket, .. } | Job::Scrub { ticket } => {
                *ticket
            }
        }
    }
}
