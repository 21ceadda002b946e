//! The thread's side of a store writer.

use std::sync::mpsc::Receiver;

use futures_channel::mpsc::UnboundedSender;

use crate::job::{Completion, Job};
use crate::{FileSystem, Recovered, Store, StoreError};

/// Appends that wait are put into one write until it holds this many bytes.
const MAX_GROUP_BYTES: usize = 4 * 1024 * 1024;

pub(crate) struct Submission {
    pub job: Job,
    /// Failures of appends that the caller had taken at the submission.
    pub observed_failures: u64,
}

/// A completion on its way to the caller.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub completion: Completion,
    /// An append was tried and failed, so that what was submitted meanwhile is skipped.
    pub append_failed: bool,
}

/// The thread's side.
pub(crate) struct Worker<F> {
    pub store: Store<F>,
    pub submissions: Receiver<Submission>,
    pub completions: UnboundedSender<Outcome>,
    /// Failures of appends that were sent.
    pub failures: u64,
}

/// Appends that go into one write.
#[derive(Default)]
struct Group {
    tickets: Vec<u64>,
    records: Vec<Vec<u8>>,
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
    pub(crate) fn run(mut self) {
        while let Ok(submission) = self.submissions.recv() {
            let mut next = Some(submission);
            while let Some(submission) = next {
                next = self.execute(submission);
            }
        }
    }

    /// Does a job, with the appends that wait behind it; returns a submission that was taken and doesn't belong to it.
    fn execute(&mut self, submission: Submission) -> Option<Submission> {
        if submission.observed_failures < self.failures {
            self.send(submission.job.ticket(), Err(StoreError::Skipped), false);
            return None;
        }
        match submission.job {
            Job::Append { ticket, records } => self.append_group(ticket, records),
            Job::Snapshot { ticket, bytes } => {
                let result = self.store.snapshot(&bytes);
                self.send(ticket, result, false);
                None
            }
            Job::Scrub { ticket } => {
                let (result, scrubbed) = match self.store.scrub() {
                    Ok(recovered) => (Ok(()), Some(recovered)),
                    Err(error) => (Err(error), None),
                };
                self.send_with(ticket, result, scrubbed, false);
                None
            }
        }
    }

    fn append_group(&mut self, ticket: u64, records: Vec<Vec<u8>>) -> Option<Submission> {
        let mut group = Group::default();
        group.add(ticket, records);
        let mut left_over = None;
        while group.bytes < MAX_GROUP_BYTES && left_over.is_none() {
            match self.submissions.try_recv() {
                Ok(Submission { job: Job::Append { ticket, records }, .. }) => group.add(ticket, records),
                Ok(other) => left_over = Some(other),
                Err(_) => break,
            }
        }
        let result = self.store.append(&group.records);
        for ticket in group.tickets {
            self.failures += u64::from(result.is_err());
            self.send(ticket, result.clone(), result.is_err());
        }
        left_over
    }

    fn send(&mut self, ticket: u64, result: Result<(), StoreError>, append_failed: bool) {
        self.send_with(ticket, result, None, append_failed);
    }

    fn send_with(
        &mut self,
        ticket: u64,
        result: Result<(), StoreError>,
        scrubbed: Option<Recovered>,
        append_failed: bool,
    ) {
        let completion = Completion {
            ticket,
            result,
            scrubbed,
            log_bytes: self.store.log_bytes(),
            snapshot_due: self.store.snapshot_due(),
        };
        // Nobody listens any more when the process ends; the jobs are done all the same.
        let _ = self.completions.unbounded_send(Outcome { completion, append_failed });
    }
}
