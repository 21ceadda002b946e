//! The store on a real folder.

use lockusher_storage::{DiskFileSystem, Recovered, Store, StoreOptions};

const OPTIONS: StoreOptions = StoreOptions { disk_bytes: 1024 * 1024 };

fn open(directory: &tempfile::TempDir) -> (Store<DiskFileSystem>, Recovered) {
    let files = DiskFileSystem::new(directory.path().join("data"));
    Store::open(files, OPTIONS).expect("opens")
}

#[test]
fn appended_records_are_recovered_when_reopened() {
    let directory = tempfile::tempdir().expect("a folder");
    let (mut store, recovered) = open(&directory);
    assert_eq!((recovered.snapshot, recovered.records), (None, Vec::new()));
    store.append(&[b"one".to_vec(), Vec::new()]).expect("appends");
    store.append(&[vec![7; 100_000]]).expect("appends");
    store.append(&[b"three".to_vec()]).expect("appends");
    drop(store);

    let (mut store, recovered) = open(&directory);
    assert_eq!(recovered.snapshot, None);
    assert_eq!(recovered.records, [b"one".to_vec(), Vec::new(), vec![7; 100_000], b"three".to_vec()]);
    store.snapshot(b"one to three").expect("takes a snapshot");
    store.append(&[b"four".to_vec()]).expect("appends");
    drop(store);

    let (_, recovered) = open(&directory);
    assert_eq!(recovered.snapshot.as_deref(), Some(&b"one to three"[..]));
    assert_eq!(recovered.records, [b"four".to_vec()]);
}

#[test]
fn a_truncated_segment_loses_its_last_append_only() {
    let directory = tempfile::tempdir().expect("a folder");
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
