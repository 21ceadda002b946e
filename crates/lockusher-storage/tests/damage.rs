//! Damage that a power loss can't explain: changed bytes, truncated and missing files.

mod support;

use std::collections::BTreeMap;

use lockusher_storage::{Damage, FrameNumber, Store, StoreError};
use support::simulated_file_system::SimulatedFileSystem;
use support::{Model, SMALL_DISK, all_records, every_power_loss, open_and_check, snapshot_of};
use yare::parameterized;

/// Bytes of the last append of [`populated_store`] in its segment: frame header (28), size of the record (4), record
/// (30).
const LAST_APPEND_BYTES: usize = 28 + 4 + 30;

/// A store with two closed segments and a third in use, with a preceding snapshot or without one.
fn populated_store(with_snapshot: bool) -> (SimulatedFileSystem, Model) {
    let files = SimulatedFileSystem::new();
    let mut model = Model::default();
    let (mut store, _) = Store::open(files.clone(), SMALL_DISK).expect("opens");
    model.append(&mut store, &[50]).expect("appends");
    if with_snapshot {
        store
            .snapshot(&snapshot_of(&model.acknowledged))
            .expect("takes a snapshot");
    }
    for sizes in [&[500, 20][..], &[300], &[800], &[600], &[40], &[30]] {
        model.append(&mut store, sizes).expect("appends");
    }
    (files, model)
}

/// All files except the reserve, whose content is irrelevant.
fn log_files(files: &SimulatedFileSystem) -> BTreeMap<String, Vec<u8>> {
    let mut contents = files.contents();
    contents.remove("reserve");
    contents
}

/// The last of the file names with this prefix.
fn last_file(files: &SimulatedFileSystem, prefix: &str) -> String {
    let contents = files.contents();
    contents
        .keys()
        .rfind(|name| name.starts_with(prefix))
        .expect("there is such a file")
        .clone()
}

/// A copy of the disk with these bits flipped in the byte at this offset of a file.
fn with_changed_byte(
    files: &SimulatedFileSystem,
    name: &str,
    offset: usize,
    bits: u8,
) -> SimulatedFileSystem {
    let damaged = files.fork();
    change_byte(&damaged, name, offset, bits);
    damaged
}

fn change_byte(files: &SimulatedFileSystem, name: &str, offset: usize, bits: u8) {
    let mut content = files.contents()[name].clone();
    content[offset] ^= bits;
    files.overwrite(name, content);
}

fn assert_damaged(files: SimulatedFileSystem, context: &str) {
    let opened = Store::open(files, SMALL_DISK);
    assert!(
        matches!(opened, Err(StoreError::Damaged { .. })),
        "{context}"
    );
}

/// Asserts that opening reports damage, or that only the last append is missing and the report counts the bytes cut
/// off.
fn assert_damage_is_reported(files: &SimulatedFileSystem, model: &Model, context: &str) {
    match Store::open(files.clone(), SMALL_DISK) {
        Err(StoreError::Damaged { .. }) => {}
        Err(error) => panic!("{context}: {error}"),
        Ok((_, recovered)) => {
            let found = all_records(&recovered);
            if found != model.acknowledged {
                let without_last = &model.acknowledged[..model.acknowledged.len() - 1];
                assert!(
                    found == without_last,
                    "{context}: more than the last append differs"
                );
                assert!(
                    recovered.report.torn_bytes > 0,
                    "{context}: torn bytes not reported"
                );
            }
        }
    }
}

#[parameterized(plain = { false }, with_snapshot = { true })]
fn a_changed_byte_is_detected(with_snapshot: bool) {
    let (files, model) = populated_store(with_snapshot);
    for (name, content) in log_files(&files) {
        for offset in 0..content.len() {
            for bit in [0, 7] {
                let damaged = with_changed_byte(&files, &name, offset, 1 << bit);
                assert_damage_is_reported(
                    &damaged,
                    &model,
                    &format!("{name} byte {offset} bit {bit}"),
                );
            }
        }
    }
}

#[parameterized(plain = { false }, with_snapshot = { true })]
fn a_changed_byte_before_the_last_append_is_damage(with_snapshot: bool) {
    let (files, _) = populated_store(with_snapshot);
    let last_segment = last_file(&files, "segment-");
    for (name, content) in log_files(&files) {
        let end = if name == last_segment {
            content.len() - LAST_APPEND_BYTES
        } else {
            content.len()
        };
        for offset in 0..end {
            let damaged = with_changed_byte(&files, &name, offset, 0x10);
            assert_damaged(damaged, &format!("{name} byte {offset}"));
        }
    }
}

/// A truncated last segment is indistinguishable from a torn write, unless its header must have been durable.
#[parameterized(plain = { false }, with_snapshot = { true })]
fn a_truncated_last_segment_loses_appends_from_its_end_only(with_snapshot: bool) {
    let (files, model) = populated_store(with_snapshot);
    let last_segment = last_file(&files, "segment-");
    let content = files.contents()[&last_segment].clone();
    for length in 0..content.len() {
        let truncated = files.fork();
        truncated.overwrite(&last_segment, content[..length].to_vec());
        match Store::open(truncated, SMALL_DISK) {
            Err(StoreError::Damaged { .. }) => {}
            Ok((_, recovered)) => {
                let found = all_records(&recovered);
                assert!(
                    model.acknowledged.starts_with(&found),
                    "truncated to {length}"
                );
            }
            Err(error) => panic!("truncated to {length}: {error}"),
        }
    }
}

#[parameterized(plain = { false }, with_snapshot = { true })]
fn any_other_truncated_file_is_damage(with_snapshot: bool) {
    let (files, _) = populated_store(with_snapshot);
    let last_segment = last_file(&files, "segment-");
    for (name, content) in log_files(&files)
        .into_iter()
        .filter(|(name, _)| *name != last_segment)
    {
        for length in 0..content.len() {
            let truncated = files.fork();
            truncated.overwrite(&name, content[..length].to_vec());
            assert_damaged(truncated, &format!("{name} truncated to {length}"));
        }
    }
}

#[parameterized(plain = { false }, with_snapshot = { true })]
fn a_missing_file_is_damage(with_snapshot: bool) {
    let (files, _) = populated_store(with_snapshot);
    for name in log_files(&files).into_keys() {
        let damaged = files.fork();
        damaged.erase(&name);
        assert_damaged(damaged, &name);
    }
}

#[test]
fn opening_a_damaged_store_names_the_damage_and_changes_no_file() {
    let (files, _) = populated_store(true);
    let name = last_file(&files, "snapshot-");
    files.erase(&name);
    let before = files.contents();
    let error = Store::open(files.clone(), SMALL_DISK).expect_err("damaged");
    assert_eq!(
        error,
        StoreError::Damaged {
            damage: Damage::MissingSnapshot {
                first_frame: FrameNumber(2)
            }
        }
    );
    assert_eq!(files.contents(), before);
}

/// Obsolete segments may reappear after a power loss; the snapshot supersedes them.
#[test]
fn removed_files_that_reappear_are_ignored() {
    let (files, mut model) = populated_store(false);
    let old = files.contents();
    let (mut store, _) = Store::open(files.clone(), SMALL_DISK).expect("opens");
    store
        .snapshot(&snapshot_of(&model.acknowledged))
        .expect("takes a snapshot");
    for (name, content) in old {
        let reappeared = files.fork();
        reappeared.overwrite(&name, content);
        open_and_check(&reappeared, SMALL_DISK, &mut model).expect("opens");
    }
}

#[test]
fn a_reset_empties_a_damaged_directory() {
    let files = damaged_store();
    Store::reset(&mut files.clone()).expect("resets");
    assert!(files.contents().is_empty());
}

#[test]
fn a_reset_that_loses_power_leaves_the_directory_damaged_or_empty() {
    let files = damaged_store();
    let complete = files.fork();
    Store::reset(&mut complete.clone()).expect("resets");
    for crash_point in files.operations()..=complete.operations() {
        let interrupted = files.fork();
        interrupted.set_power_off_after(Some(crash_point));
        // Fails if it reaches the crash point.
        let _ = Store::reset(&mut interrupted.clone());
        for disk in every_power_loss(&interrupted) {
            match Store::open(disk, SMALL_DISK) {
                Err(StoreError::Damaged { .. }) => {}
                Err(error) => panic!("crash point {crash_point}: {error}"),
                Ok((_, recovered)) => {
                    assert!(
                        all_records(&recovered).is_empty(),
                        "crash point {crash_point}: neither damaged nor empty"
                    );
                }
            }
        }
    }
}

/// A store whose snapshot is unreadable.
fn damaged_store() -> SimulatedFileSystem {
    let (files, _) = populated_store(true);
    files.overwrite(&last_file(&files, "snapshot-"), b"not a snapshot".to_vec());
    files
}

/// A scrub of an open store finds any changed byte, and a snapshot then replaces the damaged files.
#[parameterized(plain = { false }, with_snapshot = { true })]
fn a_scrub_finds_a_changed_byte_and_a_snapshot_repairs_it(with_snapshot: bool) {
    let (files, model) = populated_store(with_snapshot);
    for (name, content) in log_files(&files) {
        for offset in 0..content.len() {
            let disk = files.fork();
            let (mut store, _) = Store::open(disk.clone(), SMALL_DISK).expect("opens");
            let undamaged = store.scrub().expect("nothing is damaged");
            assert!(all_records(&undamaged) == model.acknowledged);

            change_byte(&disk, &name, offset, 0x10);
            let scrubbed = store.scrub();
            assert!(
                matches!(scrubbed, Err(StoreError::Damaged { .. })),
                "{name} byte {offset}"
            );

            store
                .snapshot(&snapshot_of(&model.acknowledged))
                .expect("takes a snapshot");
            let repaired = store.scrub().expect("repaired");
            assert!(
                all_records(&repaired) == model.acknowledged,
                "{name} byte {offset}"
            );
        }
    }
}
