//! The storage thread: does the submitted jobs in order, and groups appends that wait (group commit).
//!
//! # Invariants
//!
//! - One completion for each job, in the order of submission, and none before the job's data is durable.
//! - After an append failed, every job that was submitted before its submitter saw that failure is skipped: it may
//!   depend on the append. The thread knows by comparing counts of failures.

use std::sync::mpsc::Receiver;

use futures_channel::mpsc::UnboundedSender;

use crate::error::StoreError;
use crate::file_system::FileSystem;
use crate::job::{Completion, Job};
use crate::store::Store;

/// Appends that wait are put into one write until it holds this many bytes of records.
const MAX_GROUP_BYTES: usize = 4 * 1024 * 1024;

/// A job on its way to the thread.
pub(crate) struct Submission {
    pub job: Job,
    /// Failures of appends that the submitter had seen.
    pub observed_failures: u64,
}

/// A completion on its way to the submitter.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub completion: Completion,
    /// An append was tried and failed, so that what was submitted meanwhile is skipped.
    pub append_failed: bool,
}

/// The thread's side.
pub(crate) struct Worker<F> {
    store: Store<F>,
    submissions: Receiver<Submission>,
    outcomes: UnboundedSender<Outcome>,
    /// Failures of appends that were sent.
    failures: u64,
}

/// Appends that go into one write.
#[derive(Default)]
struct Group {
    tickets: Vec<u64>,
    records: Vec<Vec<u8>>,
    /// Bytes of the records.
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
    /// A worker that does what comes from `submissions` and sends the outcomes.
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

    /// Does jobs until the submitter is gone and all are done.
    pub(crate) fn run(mut self) {
        while let Ok(submission) = self.submissions.recv() {
            let mut next = Some(submission);
            while let Some(submission) = next {
                next = self.execute(submission);
            }
        }
    }

    /// Does a job, together with appends that wait behind it; returns a submission that was received on the way but not
    /// done.
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
        let next = self.fill(&mut group);
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

    /// Adds appends that wait to the group, until it is large enough or something else waits, which is returned.
    fn fill(&mut self, group: &mut Group) -> Option<Submission> {
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
        // Nobody listens any more when the process ends; the jobs are done all the same.
        let _ = self.outcomes.unbounded_send(outcome);
    }
}
