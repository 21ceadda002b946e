//! Compatibility of the on-disk format: segments and snapshots are encoded exactly as in the recorded files of an
//! earlier release, and the recorded files are recovered completely. A release reads the disks that earlier releases
//! wrote.

#[path = "../../../tests/support/recorded_bytes.rs"]
mod recorded_bytes;

use std::fs;
use std::path::Path;

use lockusher_storage::{DiskFileSystem, Recovered, RecoveryReport, Store, StoreOptions};
use recorded_bytes::{assert_bytes_as_recorded, read_fixture};
use tempfile::TempDir;

/// A log of three segments, of which two are sealed.
const LOG: &str = include_str!("recorded_bytes/log.hex");
/// The same log replaced by a snapshot, with further appends.
const LOG_AFTER_SNAPSHOT: &str = include_str!("recorded_bytes/log_after_snapshot.hex");

/// Segments of 256 bytes.
const OPTIONS: StoreOptions = StoreOptions {
    disk_bytes: 16 * 1024,
};
/// Name of the reserve file, which isn't compared.
const RESERVE: &str = "reserve";

fn record(length: u8) -> Vec<u8> {
    (0..length)
        .map(|position| position.wrapping_mul(37))
        .collect()
}

/// The appends before the snapshot.
fn first_appends() -> Vec<Vec<Vec<u8>>> {
    let like_a_frame = b"\xf8LF\xf8\x01\x00\x00\x00".to_vec();
    vec![
        vec![b"one record".to_vec()],
        vec![record(40), Vec::new(), record(3)],
        vec![like_a_frame],
        vec![record(100)],
        vec![b"in the last segment".to_vec(), record(200)],
    ]
}

fn snapshot_content() -> Vec<u8> {
    record(250)
}

/// The appends after the snapshot.
fn later_appends() -> Vec<Vec<Vec<u8>>> {
    vec![
        vec![b"after the snapshot".to_vec()],
        vec![record(7), record(9)],
    ]
}

fn open(directory: &Path) -> (Store<DiskFileSystem>, Recovered) {
    Store::open(DiskFileSystem::new(directory.to_path_buf()), OPTIONS).expect("opens")
}

fn append_all(store: &mut Store<DiskFileSystem>, appends: &[Vec<Vec<u8>>]) {
    for records in appends {
        store.append(records).expect("appends");
    }
}

fn write_log(directory: &Path) -> Store<DiskFileSystem> {
    let (mut store, _) = open(directory);
    append_all(&mut store, &first_appends());
    store
}

fn write_log_after_snapshot(directory: &Path) {
    let mut store = write_log(directory);
    store
        .snapshot(&snapshot_content())
        .expect("writes a snapshot");
    append_all(&mut store, &later_appends());
}

/// Names and contents of the log's files.
fn files_in(directory: &Path) -> Vec<(String, Vec<u8>)> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory).expect("a directory") {
        let entry = entry.expect("an entry");
        let name = entry.file_name().into_string().expect("a UTF-8 name");
        if name != RESERVE {
            files.push((name, fs::read(entry.path()).expect("reads")));
        }
    }
    files.sort();
    files
}

fn assert_files_as_recorded(directory: &Path, fixture: &str) {
    let files = files_in(directory);
    let actual: Vec<(&str, Vec<u8>)> = files
        .iter()
        .map(|(name, bytes)| (name.as_str(), bytes.clone()))
        .collect();
    assert_bytes_as_recorded(fixture, &actual);
}

fn recorded_directory(fixture: &str) -> TempDir {
    let directory = tempfile::tempdir().expect("a directory");
    for (name, bytes) in read_fixture(fixture) {
        fs::write(directory.path().join(name), bytes).expect("writes");
    }
    directory
}

#[test]
fn a_log_is_written_as_recorded() {
    let directory = tempfile::tempdir().expect("a directory");
    write_log(directory.path());
    assert_files_as_recorded(directory.path(), LOG);
}

#[test]
fn a_log_after_a_snapshot_is_written_as_recorded() {
    let directory = tempfile::tempdir().expect("a directory");
    write_log_after_snapshot(directory.path());
    assert_files_as_recorded(directory.path(), LOG_AFTER_SNAPSHOT);
}

#[test]
fn a_recorded_log_is_recovered_completely_and_not_changed() {
    let directory = recorded_directory(LOG);
    let (_store, recovered) = open(directory.path());
    let report = RecoveryReport {
        segments: 3,
        ..RecoveryReport::default()
    };
    assert_eq!(
        recovered,
        Recovered {
            snapshot: None,
            records: first_appends().concat(),
            report
        }
    );
    assert_files_as_recorded(directory.path(), LOG);
}

#[test]
fn a_recorded_log_after_a_snapshot_is_recovered_completely_and_not_changed() {
    let directory = recorded_directory(LOG_AFTER_SNAPSHOT);
    let (_store, recovered) = open(directory.path());
    let report = RecoveryReport {
        segments: 1,
        ..RecoveryReport::default()
    };
    let snapshot = Some(snapshot_content());
    assert_eq!(
        recovered,
        Recovered {
            snapshot,
            records: later_appends().concat(),
            report
        }
    );
    assert_files_as_recorded(directory.path(), LOG_AFTER_SNAPSHOT);
}

/// A recorded directory is continued with the same bytes as one that this release has written from the start.
#[test]
fn a_recorded_log_is_continued_as_recorded() {
    let directory = recorded_directory(LOG);
    let (mut store, _) = open(directory.path());
    store
        .snapshot(&snapshot_content())
        .expect("writes a snapshot");
    append_all(&mut store, &later_appends());
    assert_files_as_recorded(directory.path(), LOG_AFTER_SNAPSHOT);
}
