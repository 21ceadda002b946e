//! The storage thread and its submitter.

mod support;

use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};

use compio::runtime::Runtime;
use lockusher_storage::{
    Completions, DiskFileSystem, FileError, FileErrorCause, FileOperation, FileSystem, Job, Store,
    StoreError, StoreWriter, SubmitError,
};
use support::simulated_disk::Fault;
use support::simulated_file_system::SimulatedFileSystem;
use support::{SMALL_DISK, all_records};

/// A disk that signals when it begins to sync an append, and blocks until the test releases the sync.
struct BlockingFileSystem {
    files: SimulatedFileSystem,
    started: Sender<()>,
    release: Receiver<()>,
    next_sync_blocks: bool,
}

/// The test's handle to a blocked disk.
struct SyncGate {
    started: Receiver<()>,
    release: Sender<()>,
}

impl SyncGate {
    fn wait_for_sync(&self) {
        self.started.recv().expect("a sync begins");
    }

    fn release_sync(&self) {
        self.release.send(()).expect("the disk exists");
    }
}

impl FileSystem for BlockingFileSystem {
    fn list(&mut self) -> Result<Vec<String>, FileError> {
        self.files.list()
    }

    fn length(&mut self, name: &str) -> Result<u64, FileError> {
        self.files.length(name)
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>, FileError> {
        self.files.read(name)
    }

    fn create(&mut self, name: &str) -> Result<(), FileError> {
        self.files.create(name)
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), FileError> {
        // Opening the store writes no frames after a segment's header, so only appends block.
        self.next_sync_blocks = name.starts_with("segment-") && offset > 0;
        self.files.write(name, offset, bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<(), FileError> {
        self.files.truncate(name, length)
    }

    fn remove(&mut self, name: &str) -> Result<(), FileError> {
        self.files.remove(name)
    }

    fn sync_file(&mut self, name: &str) -> Result<(), FileError> {
        if std::mem::take(&mut self.next_sync_blocks) {
            self.started.send(()).expect("the gate exists");
            self.release.recv().expect("the test releases the sync");
        }
        self.files.sync_file(name)
    }

    fn sync_directory(&mut self) -> Result<(), FileError> {
        self.files.sync_directory()
    }
}

fn blocking_writer(files: &SimulatedFileSystem) -> (StoreWriter, Completions, SyncGate) {
    let (started_sender, started) = channel();
    let (release, release_receiver) = channel();
    let files = BlockingFileSystem {
        files: files.clone(),
        started: started_sender,
        release: release_receiver,
        next_sync_blocks: false,
    };
    let (store, _) = Store::open(files, SMALL_DISK).expect("opens");
    let (writer, completions) = StoreWriter::spawn(store).expect("the thread starts");
    (writer, completions, SyncGate { started, release })
}

fn append(ticket: u64) -> Job {
    Job::Append {
        ticket,
        records: vec![vec![ticket as u8; 10]],
    }
}

fn snapshot(ticket: u64) -> Job {
    Job::Snapshot {
        ticket,
        bytes: Vec::new(),
    }
}

async fn expect(completions: &mut Completions, ticket: u64, result: Result<(), StoreError>) {
    let completion = completions.next().await.expect("the thread runs");
    assert_eq!((completion.ticket, completion.result), (ticket, result));
}

fn run<T>(test: impl Future<Output = T>) -> T {
    Runtime::new().expect("a runtime").block_on(test)
}

#[test]
fn completions_wake_the_runtime_and_the_records_are_durable() {
    let directory = tempfile::tempdir().expect("a directory");
    let files = || DiskFileSystem::new(directory.path().to_owned());
    let (store, _) = Store::open(files(), SMALL_DISK).expect("opens");
    run(async {
        let (writer, mut completions) = StoreWriter::spawn(store).expect("the thread starts");
        for ticket in 0..50 {
            writer.submit(append(ticket)).expect("submits");
            expect(&mut completions, ticket, Ok(())).await;
        }
        writer.submit(snapshot(50)).expect("submits");
        expect(&mut completions, 50, Ok(())).await;
        writer.submit(append(51)).expect("submits");
        expect(&mut completions, 51, Ok(())).await;
        writer.close();
        assert_eq!(completions.next().await, None);
    });
    let (_, recovered) = Store::open(files(), SMALL_DISK).expect("opens");
    assert_eq!(recovered.snapshot, Some(Vec::new()));
    assert_eq!(recovered.records, [vec![51; 10]]);
}

#[test]
fn queued_appends_are_batched_into_one_write() {
    let files = SimulatedFileSystem::new();
    let (writer, mut completions, gate) = blocking_writer(&files);
    run(async {
        writer.submit(append(1)).expect("submits");
        gate.wait_for_sync();
        // The storage thread is blocked by the disk; the submitter isn't.
        let before = files.operations();
        for ticket in 2..=9 {
            writer.submit(append(ticket)).expect("submits");
        }
        gate.release_sync();
        gate.wait_for_sync();
        gate.release_sync();
        for ticket in 1..=9 {
            expect(&mut completions, ticket, Ok(())).await;
        }
        // The first sync, then one write and one sync for eight appends.
        assert_eq!(files.operations() - before, 3);
    });
    let (_, recovered) = Store::open(files, SMALL_DISK).expect("opens");
    let expected: Vec<Vec<u8>> = (1..=9).map(|ticket| vec![ticket; 10]).collect();
    assert_eq!(all_records(&recovered), expected);
}

#[test]
fn an_append_is_not_completed_before_its_sync() {
    let files = SimulatedFileSystem::new();
    let (writer, mut completions, gate) = blocking_writer(&files);
    run(async {
        writer.submit(append(1)).expect("submits");
        gate.wait_for_sync();
        let poll = std::future::poll_fn(|context| {
            let mut next = std::pin::pin!(completions.next());
            std::task::Poll::Ready(next.as_mut().poll(context).is_pending())
        });
        assert!(poll.await, "completed before the sync");
        gate.release_sync();
        expect(&mut completions, 1, Ok(())).await;
    });
}

#[test]
fn jobs_submitted_before_a_failure_was_observed_are_skipped() {
    let files = SimulatedFileSystem::new();
    let (writer, mut completions, gate) = blocking_writer(&files);
    run(async {
        writer.submit(append(1)).expect("submits");
        gate.wait_for_sync();
        files.set_fault(files.operations(), Fault::Io);
        gate.release_sync();
        // Wait until the append has failed; its completion isn't received yet.
        while repair_is_pending(&files) {
            std::thread::yield_now();
        }
        writer.submit(append(2)).expect("submits");
        let error = FileError {
            operation: FileOperation::SyncFile,
            path: PathBuf::from("segment-00000000000000000000"),
            cause: FileErrorCause::Io {
                kind: io::ErrorKind::Other,
                message: "simulated fault".to_owned(),
            },
        };
        expect(&mut completions, 1, Err(StoreError::Io { error })).await;
        expect(&mut completions, 2, Err(StoreError::Skipped)).await;

        writer.submit(append(3)).expect("submits");
        gate.wait_for_sync();
        gate.release_sync();
        expect(&mut completions, 3, Ok(())).await;
    });
    let (_, recovered) = Store::open(files, SMALL_DISK).expect("opens");
    assert_eq!(all_records(&recovered), [vec![3; 10]]);
}

/// Whether the bytes of the failed append are still in the file.
fn repair_is_pending(files: &SimulatedFileSystem) -> bool {
    files.contents()["segment-00000000000000000000"].len() > 20
}

#[test]
fn a_snapshot_is_rejected_while_appends_are_in_flight() {
    let files = SimulatedFileSystem::new();
    let (writer, mut completions, gate) = blocking_writer(&files);
    run(async {
        writer.submit(append(1)).expect("submits");
        gate.wait_for_sync();
        assert!(!writer.is_idle());
        assert_eq!(
            writer.submit(snapshot(2)),
            Err(SubmitError::AppendsInFlight)
        );
        gate.release_sync();
        expect(&mut completions, 1, Ok(())).await;
        assert!(writer.is_idle());
        writer.submit(snapshot(2)).expect("submits");
        // The snapshot seals the segment that it replaces, which is synced first.
        gate.wait_for_sync();
        gate.release_sync();
        expect(&mut completions, 2, Ok(())).await;
    });
}

#[test]
fn jobs_submitted_before_closing_are_executed() {
    let files = SimulatedFileSystem::new();
    let (store, _) = Store::open(files.clone(), SMALL_DISK).expect("opens");
    let (writer, completions) = StoreWriter::spawn(store).expect("the thread starts");
    drop(completions);
    for ticket in 0..20 {
        writer.submit(append(ticket)).expect("submits");
    }
    writer.close();
    let (_, recovered) = Store::open(files, SMALL_DISK).expect("opens");
    assert_eq!(recovered.records.len(), 20);
}
