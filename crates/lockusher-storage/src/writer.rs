//! The submitter's side of the storage thread.
//!
//! Writes and syncs block their thread, so a store runs on a dedicated thread. The control node uses a [`StoreWriter`]
//! to submit jobs and [`Completions`] to await their outcomes on its async runtime; the [`worker`](crate::worker)
//! executes the jobs.

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

/// Counters shared by [`StoreWriter`] and [`Completions`].
#[derive(Debug, Default)]
struct Progress {
    /// Jobs whose completions haven't been received yet.
    in_flight: AtomicU64,
    /// Failed appends whose completions were received.
    observed_failures: AtomicU64,
}

/// Submits jobs to the storage thread. After this is dropped, the thread executes the queued jobs and terminates.
#[derive(Debug)]
pub struct StoreWriter {
    jobs: Option<Sender<Submission>>,
    progress: Arc<Progress>,
    thread: Option<JoinHandle<()>>,
}

/// Stream of the jobs' completions, in the order of submission.
#[derive(Debug)]
pub struct Completions {
    receiver: UnboundedReceiver<Outcome>,
    progress: Arc<Progress>,
}

impl StoreWriter {
    /// Moves a store to a new thread.
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

    /// Submits a job; its outcome is delivered by [`Completions`].
    ///
    /// When an append fails, the jobs that were submitted before its completion was received are
    /// [skipped](crate::StoreError::Skipped): they may depend on it.
    ///
    /// # Errors
    ///
    /// [`SubmitError`]; the job isn't executed then.
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

    /// Whether the completions of all jobs were received, so that a snapshot or scrub can be submitted.
    pub fn is_idle(&self) -> bool {
        self.progress.in_flight.load(Ordering::Acquire) == 0
    }

    /// Lets the thread execute the queued jobs and terminate, and waits for it. Blocks the calling thread.
    pub fn close(mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the storage thread panicked");
        }
    }
}

impl Completions {
    /// The next completion, or `None` once the writer is dropped and all completions were received. Cancel safe.
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
