//! The storage thread: executes the submitted jobs in order, and batches queued appends into one write (group commit).
//!
//! # Invariants
//!
//! - Each job gets one completion, in the order of submission and only once the job's data is durable.
//! - After a failed append, every job that was submitted before the submitter observed the failure is skipped, since it
//!   may depend on the append. This is detected by comparing failure counts.

use std::sync::mpsc::Receiver;

use futures_channel::mpsc::UnboundedSender;

use crate::error::StoreError;
use crate::file_system::FileSystem;
use crate::job::{Completion, Job};
use crate::store::Store;

/// Queued appends are batched into one write until it holds this many bytes of records.
const MAX_GROUP_BYTES: usize = 4 * 1024 * 1024;

/// A job as it is sent to the thread.
pub(crate) struct Submission {
    pub job: Job,
    /// Number of failed appends that the submitter had observed.
    pub observed_failures: u64,
}

/// A completion as it is sent to the submitter.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub completion: Completion,
    /// Whether an append was executed and failed, so that jobs submitted meanwhile are skipped.
    pub append_failed: bool,
}

/// The state of the storage thread.
pub(crate) struct Worker<F> {
    store: Store<F>,
    submissions: Receiver<Submission>,
    outcomes: UnboundedSender<Outcome>,
    /// Number of failed appends whose outcomes were sent.
    failures: u64,
}

/// Appends that are batched into one write.
#[derive(Default)]
struct Group {
    tickets: Vec<u64>,
    records: Vec<Vec<u8>>,
    /// Size of the records in bytes.
    bytes: usize,
}

impl Group {
    fn add(&mut self, ticket: u64, records: Vec<Vec<u8>>) {
        self.tickets.push(ticket);
        self.bytes += records.iter().map(Vec::len).sum::<usize>();
        self.records.extend(records);
    }
}

impl<F: FileSystem> Worker<F> {
    /// Creates a worker that executes `submissions` and sends their outcomes.
    pub(crate) fn new(
        store: Store<F>,
        submissions: Receiver<Submission>,
        outcomes: UnboundedSender<Outcome>,
    ) -> Worker<F> {
        Worker {
            store,
            submissions,
            outcomes,
            failures: 0,
        }
    }

    /// Executes jobs until the submitter is dropped and the queue is empty.
    pub(crate) fn run(mut self) {
        while let Ok(submission) = self.submissions.recv() {
            let mut next = Some(submission);
            while let Some(submission) = next {
                next = self.execute(submission);
            }
        }
    }

    /// Executes a job, an append together with those queued behind it; returns a submission that was received meanwhile
    /// but not executed.
    fn execute(&mut self, submission: Submission) -> Option<Submission> {
        if submission.observed_failures < self.failures {
            let completion = self.completion(submission.job.ticket(), Err(StoreError::Skipped));
            self.send(completion);
            return None;
        }
        match submission.job {
            Job::Append { ticket, records } => return self.append_group(ticket, records),
            Job::Snapshot { ticket, bytes } => {
                let result = self.store.snapshot(&bytes);
                let completion = self.completion(ticket, result);
                self.send(completion);
            }
            Job::Scrub { ticket } => self.scrub(ticket),
        }
        None
    }

    fn append_group(&mut self, ticket: u64, records: Vec<Vec<u8>>) -> Option<Submission> {
        let mut group = Group::default();
        group.add(ticket, records);
        let next = self.fill_group(&mut group);
        let result = self.store.append(&group.records);
        for ticket in group.tickets {
            self.failures += u64::from(result.is_err());
            let completion = self.completion(ticket, result.clone());
            self.send_outcome(Outcome {
                completion,
                append_failed: result.is_err(),
            });
        }
        next
    }

    /// Adds queued appends to the group until it is large enough, or until another kind of job follows, which is
    /// returned.
    fn fill_group(&mut self, group: &mut Group) -> Option<Submission> {
        while group.bytes < MAX_GROUP_BYTES {
            match self.submissions.try_recv().ok()? {
                Submission {
                    job: Job::Append { ticket, records },
                    ..
                } => group.add(ticket, records),
                other => return Some(other),
            }
        }
        None
    }

    fn scrub(&mut self, ticket: u64) {
        let completion = match self.store.scrub() {
            Ok(recovered) => Completion {
                scrubbed: Some(recovered),
                ..self.completion(ticket, Ok(()))
            },
            Err(error) => self.completion(ticket, Err(error)),
        };
        self.send(completion);
    }

    fn completion(&self, ticket: u64, result: Result<(), StoreError>) -> Completion {
        Completion {
            ticket,
            result,
            scrubbed: None,
            log_bytes: self.store.log_bytes(),
            snapshot_due: self.store.snapshot_due(),
        }
    }

    /// Sends the completion of anything but a failed append.
    fn send(&self, completion: Completion) {
        self.send_outcome(Outcome {
            completion,
            append_failed: false,
        });
    }

    fn send_outcome(&self, outcome: Outcome) {
        // The receiver may already be dropped during shutdown; the remaining jobs are executed nevertheless.
        let _ = self.outcomes.unbounded_send(outcome);
    }
}
