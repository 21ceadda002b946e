//! Recovery and scrubs of a control node's disk, on the machine's file system.

#[path = "support/disk_damage.rs"]
mod disk_damage;

use std::fs;
use std::path::Path;

use lockusher_control::driver::disk::{Disk, OpenedDisk, RecoveredRecords, ScrubCounters};
use lockusher_control::{DiskComparison, DurableRecord, Identity};
use lockusher_storage::{Completions, DiskFileSystem, Store, StoreOptions};
use tempfile::TempDir;

use disk_damage::damage_first_append;

const DISK_BYTES: u64 = 1024 * 1024;

fn record(number: u64) -> DurableRecord {
    DurableRecord::Identity {
        identity: Identity(number),
        address: "10.0.0.1:7000".parse().expect("an address"),
    }
}

fn open_store(folder: &Path) -> Store<DiskFileSystem> {
    let files = DiskFileSystem::new(folder.to_path_buf());
    Store::open(
        files,
        StoreOptions {
            disk_bytes: DISK_BYTES,
        },
    )
    .expect("opens")
    .0
}

/// A folder with these records, one append for each.
fn folder_with(records: &[DurableRecord]) -> TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open_store(folder.path());
    for record in records {
        store.append(&[bitcode::encode(record)]).expect("appends");
    }
    folder
}

async fn open(folder: &Path) -> RecoveredRecords {
    Disk::open(folder, DISK_BYTES)
        .await
        .expect("opens")
        .recovered
}

#[compio::test]
async fn records_are_recovered_in_order() {
    let records = [record(1), record(2), record(3)];
    let folder = folder_with(&records);
    let recovered = open(folder.path()).await;
    assert_eq!(recovered.records, records);
    assert!(!recovered.cleared);
}

#[compio::test]
async fn a_missing_folder_is_opened_as_an_empty_disk() {
    let folder = tempfile::tempdir().expect("a folder");
    let recovered = open(&folder.path().join("control")).await;
    assert_eq!(recovered.records, []);
    assert!(!recovered.cleared);
}

#[compio::test]
async fn a_damaged_folder_is_cleared_and_nothing_is_recovered() {
    let folder = folder_with(&[record(1), record(2), record(3)]);
    damage_first_append(folder.path());
    let recovered = open(folder.path()).await;
    assert_eq!(recovered.records, []);
    assert!(recovered.cleared);
    let again = open(folder.path()).await;
    assert_eq!(again.records, []);
    assert!(!again.cleared, "the cleared folder is undamaged");
}

/// The process was killed during a reset: the next start must not mistake the remaining files for an unused disk.
#[compio::test]
async fn an_interrupted_reset_is_completed_and_reported() {
    let folder = folder_with(&[record(1), record(2), record(3)]);
    fs::write(folder.path().join("reset"), b"").expect("writes");
    let recovered = open(folder.path()).await;
    assert_eq!(recovered.records, []);
    assert!(recovered.cleared);
    assert!(!folder.path().join("reset").exists());
}

/// Runs one scrub that compares the disk with `records`, and submits the snapshot that becomes due by it, if any.
async fn scrub(disk: &Disk, completions: &mut Completions, records: &[DurableRecord]) {
    disk.scrub_if_idle();
    let completion = completions.next().await.expect("a completion");
    assert_eq!(disk.on_completion(&completion), None);
    disk.on_scrub_completion(&completion, |found| match found == records {
        true => DiskComparison::Same,
        false => DiskComparison::DiskDiffers,
    });
    disk.snapshot_if_due(|| records.to_vec());
}

#[compio::test]
async fn a_scrub_finds_damage_and_rewrites_the_disk_from_memory() {
    let records = [record(1), record(2), record(3)];
    let folder = folder_with(&records);
    let opened = Disk::open(folder.path(), DISK_BYTES).await.expect("opens");
    let OpenedDisk {
        disk,
        mut completions,
        ..
    } = opened;
    scrub(&disk, &mut completions, &records).await;
    assert_eq!(
        disk.scrub_counters(),
        ScrubCounters {
            completed: 1,
            damage_found: 0
        }
    );
    damage_first_append(folder.path());
    scrub(&disk, &mut completions, &records).await;
    assert_eq!(
        disk.scrub_counters(),
        ScrubCounters {
            completed: 2,
            damage_found: 1
        }
    );
    let snapshot = completions
        .next()
        .await
        .expect("the outcome of the snapshot");
    assert_eq!(snapshot.result, Ok(()));
    assert_eq!(disk.on_completion(&snapshot), None);
    scrub(&disk, &mut completions, &records).await;
    assert_eq!(
        disk.scrub_counters(),
        ScrubCounters {
            completed: 3,
            damage_found: 1
        }
    );
    drop(disk);
    let recovered = open(folder.path()).await;
    assert_eq!(recovered.records, records);
    assert!(!recovered.cleared);
}

/// Undamaged files with other records than those in memory count as damage, too.
#[compio::test]
async fn a_scrub_rewrites_a_disk_that_differs_from_memory() {
    let folder = folder_with(&[record(1)]);
    let opened = Disk::open(folder.path(), DISK_BYTES).await.expect("opens");
    let OpenedDisk {
        disk,
        mut completions,
        ..
    } = opened;
    scrub(&disk, &mut completions, &[record(2)]).await;
    assert_eq!(disk.scrub_counters().damage_found, 1);
    assert_eq!(
        completions.next().await.expect("the snapshot").result,
        Ok(())
    );
    drop(disk);
    assert_eq!(open(folder.path()).await.records, [record(2)]);
}
