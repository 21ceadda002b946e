//! The submitter's side of the storage thread.
//!
//! A write or a sync blocks its thread until the disk is done, so a store runs on a thread of its own. The control node
//! holds a [`StoreWriter`] to submit jobs and [`Completions`] to await their outcomes on its async runtime; the
//! [`worker`](crate::worker) does the jobs.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Sender};
use std::thread::{self, JoinHandle};

use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use futures_util::StreamExt;

use crate::file_system::FileSystem;
use crate::job::{Completion, Job, SubmitError};
use crate::store::Store;
use crate::worker::{Outcome, Submission, Worker};

/// Counters that the submitter and the taker of completions share.
#[derive(Debug, Default)]
struct Progress {
    /// Jobs submitted and not yet taken from the completions.
    in_flight: AtomicU64,
    /// Failed appends whose completions were taken.
    observed_failures: AtomicU64,
}

/// Submits jobs to the storage thread. The thread ends when this is dropped, after the jobs submitted before.
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
        let worker = Worker::new(store, submissions, sender);
        let thread = thread::Builder::new()
            .name("storage".to_owned())
            .spawn(move || worker.run())?;
        let writer = StoreWriter {
            jobs: Some(jobs),
            progress: progress.clone(),
            thread: Some(thread),
        };
        Ok((writer, Completions { receiver, progress }))
    }

    /// Submits a job; its outcome comes from [`Completions`].
    ///
    /// When an append fails, the jobs that were submitted before its completion was taken are
    /// [skipped](crate::StoreError::Skipped): they may depend on it.
    ///
    /// # Errors
    ///
    /// The job isn't done then; see [`SubmitError`].
    pub fn submit(&self, job: Job) -> Result<(), SubmitError> {
        let is_append = matches!(job, Job::Append { .. });
        if !is_append && !self.is_idle() {
            return Err(SubmitError::AppendsInFlight);
        }
        let observed_failures = self.progress.observed_failures.load(Ordering::Acquire);
        let jobs = self.jobs.as_ref().ok_or(SubmitError::ThreadEnded)?;
        self.progress.in_flight.fetch_add(1, Ordering::AcqRel);
        jobs.send(Submission {
            job,
            observed_failures,
        })
        .map_err(|_| {
            self.progress.in_flight.fetch_sub(1, Ordering::AcqRel);
            SubmitError::ThreadEnded
        })
    }

    /// Whether the outcomes of all jobs have been taken, so that a snapshot can be submitted.
    pub fn is_idle(&self) -> bool {
        self.progress.in_flight.load(Ordering::Acquire) == 0
    }

    /// Ends the thread after the jobs submitted so far and waits for it; blocks the caller until the disk is done.
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
    /// The next outcome, or `None` once the writer is gone and all were taken. Dropping the future loses nothing.
    pub async fn next(&mut self) -> Option<Completion> {
        let Outcome {
            completion,
            append_failed,
        } = self.receiver.next().await?;
        if append_failed {
            self.progress
                .observed_failures
                .fetch_add(1, Ordering::AcqRel);
        }
        self.progress.in_flight.fetch_sub(1, Ordering::AcqRel);
        Some(completion)
    }
}
