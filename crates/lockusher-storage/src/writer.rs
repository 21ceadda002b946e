//! A thread that owns a store, so that nobody else waits for the disk.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::{self, JoinHandle};

use derive_more::{Display, Error};
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;

use crate::{FileSystem, Recovered, Store, StoreError};

/// Appends that wait are put into one write until it holds this many bytes.
const MAX_GROUP_BYTES: usize = 4 * 1024 * 1024;

/// Something for the thread to do. Jobs are done in the order of their submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Job {
    /// [`Store::append`].
    Append {
        /// Returned with the completion; the caller's to choose.
        ticket: u64,
        /// What to append.
        records: Vec<Vec<u8>>,
    },
    /// [`Store::snapshot`].
    Snapshot {
        /// Returned with the completion; the caller's to choose.
        ticket: u64,
        /// The snapshot, which holds the effect of every append that was completed without an error, and no other.
        bytes: Vec<u8>,
    },
    /// [`Store::scrub`].
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
    /// What a scrub read back.
    pub scrubbed: Option<Recovered>,
    /// [`Store::log_bytes`] after the job.
    pub log_bytes: u64,
    /// [`Store::snapshot_due`] after the job.
    pub snapshot_due: bool,
}

/// Why a job wasn't taken.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SubmitError {
    /// A snapshot can't say which of the appends that are under way it holds, nor can a scrub: submit it once all are
    /// completed.
    #[display("a snapshot or scrub was submitted while appends are under way")]
    AppendsInFlight,
    /// The thread has ended, which it does only by a panic.
    #[display("the storage thread has ended")]
    ThreadEnded,
}

/// Numbers that the two sides share.
#[derive(Debug, Default)]
struct Progress {
    /// Jobs submitted and not yet taken from the completions.
    in_flight: AtomicU64,
    /// Failures of appends that the caller has taken.
    observed_failures: AtomicU64,
}

struct Submission {
    job: Job,
    /// [`Progress::observed_failures`] at the submission.
    observed_failures: u64,
}

/// Hands jobs to the thread. The thread ends when this is dropped, after the jobs submitted before.
#[derive(Debug)]
pub struct StoreWriter {
    jobs: Option<Sender<Submission>>,
    progress: Arc<Progress>,
    thread: Option<JoinHandle<()>>,
}

/// Outcomes of the jobs, in the order of their submission.
#[derive(Debug)]
pub struct Completions {
    receiver: UnboundedReceiver<Outcome>,
    progress: Arc<Progress>,
}

impl StoreWriter {
    /// Moves a store to a thread of its own.
    ///
    /// # Errors
    ///
    /// If the thread can't be started.
    pub fn spawn<F: FileSystem + Send + 'static>(
        store: Store<F>,
    ) -> std::io::Result<(StoreWriter, Completions)> {
        let (jobs, submissions) = mpsc::channel();
        let (sender, receiver) = unbounded();
        let progress = Arc::new(Progress::default());
        let worker = Worker { store, submissions, completions: sender, failures: 0 };
        let thread = thread::Builder::new().name("storage".to_owned()).spawn(move || worker.run())?;
        let writer = StoreWriter { jobs: Some(jobs), progress: progress.clone(), thread: Some(thread) };
        Ok((writer, Completions { receiver, progress }))
    }

    /// Submits a job; its outcome comes from [`Completions`].
    ///
    /// When an append fails, the jobs that were submitted before its completion was taken are
    /// [skipped](StoreError::Skipped): they may rest on it.
    ///
    /// # Errors
    ///
    /// The job isn't done then.
    pub fn submit(&self, job: Job) -> Result<(), SubmitError> {
        let is_append = matches!(job, Job::Append { .. });
        if !is_append && !self.is_idle() {
            return Err(SubmitError::AppendsInFlight);
        }
        let observed_failures = self.progress.observed_failures.load(Ordering::Acquire);
        let jobs = self.jobs.as_ref().ok_or(SubmitError::ThreadEnded)?;
        self.progress.in_flight.fetch_add(1, Ordering::AcqRel);
        jobs.send(Submission { job, observed_failures }).map_err(|_| {
            self.progress.in_flight.fetch_sub(1, Ordering::AcqRel);
            SubmitError::ThreadEnded
        })
    }

    /// Whether the outcomes of all jobs have been taken, so that a snapshot can be submitted.
    pub fn is_idle(&self) -> bool {
        self.progress.in_flight.load(Ordering::Acquire) == 0
    }

    /// Ends the thread after the jobs submitted so far and waits for it; holds the caller until the disk is done.
    pub fn close(mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the storage thread ended by a panic");
        }
    }
}

impl Completions {
    /// The next outcome, or `None` once the writer is gone and all were taken.
    pub async fn next(&mut self) -> Option<Completion> {
        let Outcome { completion, append_failed } = self.receiver.next().await?;
        if append_failed {
            self.progress.observed_failures.fetch_add(1, Ordering::AcqRel);
        }
        self.progress.in_flight.fetch_sub(1, Ordering::AcqRel);
        Some(completion)
    }
}

/// A completion on its way to the caller.
#[derive(Debug)]
struct Outcome {
    completion: Completion,
    /// An append was tried and failed, so that what was submitted meanwhile is skipped.
    append_failed: bool,
}

/// The thread's side.
struct Worker<F> {
    store: Store<F>,
    submissions: Receiver<Submission>,
    completions: UnboundedSender<Outcome>,
    /// Failures of appends that were sent.
    failures: u64,
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
    fn run(mut self) {
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

impl Job {
    fn ticket(&self) -> u64 {
        match self {
            Job::Append { ticket, .. } | Job::Snapshot { ticket, .. } | Job::Scrub { ticket } => *ticket,
        }
    }
}
