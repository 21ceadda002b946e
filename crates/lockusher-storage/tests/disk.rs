//! The store on a real directory.

use lockusher_storage::{
    DiskFileSystem, FileError, FileErrorCause, FileOperation, FileSystem, Recovered, Store,
    StoreOptions,
};
use yare::parameterized;

const OPTIONS: StoreOptions = StoreOptions {
    disk_bytes: 1024 * 1024,
};

fn open(directory: &tempfile::TempDir) -> (Store<DiskFileSystem>, Recovered) {
    let files = DiskFileSystem::new(directory.path().join("data"));
    Store::open(files, OPTIONS).expect("opens")
}

#[test]
fn appended_records_are_recovered_when_reopened() {
    let directory = tempfile::tempdir().expect("a directory");
    let (mut store, recovered) = open(&directory);
    assert_eq!((recovered.snapshot, recovered.records), (None, Vec::new()));
    store
        .append(&[b"one".to_vec(), Vec::new()])
        .expect("appends");
    store.append(&[vec![7; 100_000]]).expect("appends");
    store.append(&[b"three".to_vec()]).expect("appends");
    drop(store);

    let (_, recovered) = open(&directory);

    assert_eq!(recovered.snapshot, None);
    assert_eq!(
        recovered.records,
        [
            b"one".to_vec(),
            Vec::new(),
            vec![7; 100_000],
            b"three".to_vec()
        ]
    );
}

#[test]
fn a_snapshot_replaces_the_records_before_it() {
    let directory = tempfile::tempdir().expect("a directory");
    let (mut store, _) = open(&directory);
    store.append(&[vec![7; 100_000]]).expect("appends");
    drop(store);
    let (mut store, _) = open(&directory);
    store.snapshot(b"one to three").expect("takes a snapshot");
    store.append(&[b"four".to_vec()]).expect("appends");
    drop(store);

    let (_, recovered) = open(&directory);

    assert_eq!(recovered.snapshot.as_deref(), Some(&b"one to three"[..]));
    assert_eq!(recovered.records, [b"four".to_vec()]);
}

type Operate = fn(&mut DiskFileSystem) -> Result<(), FileError>;

#[parameterized(
    length = { FileOperation::Length, |files| files.length("absent").map(drop) },
    read = { FileOperation::Read, |files| files.read("absent").map(drop) },
    write = { FileOperation::Write, |files| files.write("absent", 0, &[1]) },
    truncate = { FileOperation::Truncate, |files| files.truncate("absent", 0) },
    sync_file = { FileOperation::SyncFile, |files| files.sync_file("absent") },
)]
fn an_error_names_the_operation_and_the_file(operation: FileOperation, operate: Operate) {
    let directory = tempfile::tempdir().expect("a directory");
    let mut files = DiskFileSystem::new(directory.path().to_owned());

    let error = operate(&mut files).expect_err("the file doesn't exist");

    let path = directory.path().join("absent");
    assert_eq!(
        error,
        FileError {
            operation,
            path,
            cause: FileErrorCause::NotFound
        }
    );
}

#[test]
fn removing_a_missing_file_succeeds() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut files = DiskFileSystem::new(directory.path().to_owned());
    assert_eq!(files.remove("absent"), Ok(()));
}

#[test]
fn a_missing_directory_is_listed_as_empty_and_created_with_the_first_file() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut files = DiskFileSystem::new(directory.path().join("data"));
    assert_eq!(files.list(), Ok(Vec::new()));
    files
        .create("first")
        .expect("creates the directory and the file");
    assert_eq!(files.list(), Ok(vec!["first".to_owned()]));
}

#[test]
fn a_truncated_segment_loses_its_last_append_only() {
    let directory = tempfile::tempdir().expect("a directory");
    let (mut store, _) = open(&directory);
    store.append(&[b"one".to_vec()]).expect("appends");
    store.append(&[b"two".to_vec()]).expect("appends");
    drop(store);
    let segment = directory.path().join("data/segment-00000000000000000000");
    let content = std::fs::read(&segment).expect("reads");
    std::fs::write(&segment, &content[..content.len() - 1]).expect("writes");

    let (mut store, recovered) = open(&directory);
    assert_eq!(recovered.records, [b"one".to_vec()]);
    assert!(recovered.report.torn_bytes > 0);
    store.append(&[b"three".to_vec()]).expect("appends");
    drop(store);
    let (_, recovered) = open(&directory);
    assert_eq!(recovered.records, [b"one".to_vec(), b"three".to_vec()]);
    assert_eq!(recovered.report.torn_bytes, 0);
}
