//! Jobs for the storage thread, and their outcomes.

use derive_more::{Display, Error};

use crate::error::StoreError;
use crate::recovery::Recovered;

/// Work for the storage thread. Jobs are done in the order of their submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Job {
    /// [`Store::append`](crate::Store::append).
    Append {
        /// Returned with the completion; the caller's to choose.
        ticket: u64,
        /// What to append.
        records: Vec<Vec<u8>>,
    },
    /// [`Store::snapshot`](crate::Store::snapshot).
    Snapshot {
        /// Returned with the completion; the caller's to choose.
        ticket: u64,
        /// The snapshot, which holds the effect of every append that was completed without an error, and no other.
        bytes: Vec<u8>,
    },
    /// [`Store::scrub`](crate::Store::scrub).
    Scrub {
        /// Returned with the completion; the caller's to choose.
        ticket: u64,
    },
}

/// The outcome of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Ticket of the job.
    pub ticket: u64,
    /// What the store returned.
    pub result: Result<(), StoreError>,
    /// What a scrub read back; `None` for other jobs and for a scrub that failed.
    pub scrubbed: Option<Recovered>,
    /// [`Store::log_bytes`](crate::Store::log_bytes) after the job.
    pub log_bytes: u64,
    /// [`Store::snapshot_due`](crate::Store::snapshot_due) after the job.
    pub snapshot_due: bool,
}

/// Why a job wasn't accepted.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SubmitError {
    /// A snapshot can't say which of the appends in flight it covers, nor can a scrub: submit it again once
    /// [`StoreWriter::is_idle`](crate::StoreWriter::is_idle).
    #[display("a snapshot or scrub was submitted while appends are in flight")]
    AppendsInFlight,
    /// The thread has ended, which it does only by a panic; a retry doesn't help.
    #[display("the storage thread has ended")]
    ThreadEnded,
}

impl Job {
    /// The submitter's identification of the job.
    pub(crate) fn ticket(&self) -> u64 {
        match self {
            Job::Append { ticket, .. } | Job::Snapshot { ticket, .. } | Job::Scrub { ticket } => {
                *ticket
            }
        }
    }
}
