//! Damage that no power loss explains: bytes changed, files truncated or missing.

mod support;

use lockusher_storage::{Damage, FrameNumber, Store, StoreError};
use support::simulated_file_system::SimulatedFileSystem;
use support::{Model, SMALL_DISK, all_records, snapshot_of};
use yare::parameterized;

/// Two full segments and one begun, after a snapshot or without one.
fn grown_store(with_snapshot: bool) -> (SimulatedFileSystem, Model) {
    let files = SimulatedFileSystem::new();
    let mut model = Model::default();
    let (mut store, _) = Store::open(files.clone(), SMALL_DISK).expect("opens");
    let append = |store: &mut Store<SimulatedFileSystem>, model: &mut Model, sizes: &[usize]| {
        let records = model.new_records(sizes);
        let result = store.append(&records);
        model.appended(records, &result);
        result.expect("appends");
    };
    append(&mut store, &mut model, &[50]);
    if with_snapshot {
        store.snapshot(&snapshot_of(&model.acknowledged)).expect("takes a snapshot");
    }
    for sizes in [&[500, 20][..], &[300], &[800], &[600], &[40], &[30]] {
        append(&mut store, &mut model, sizes);
    }
    (files, model)
}

/// Either the damage is reported, or only the last append is gone and the report says that bytes were cut off.
fn assert_damage_is_reported(files: &SimulatedFileSystem, model: &Model, what: &str) {
    match Store::open(files.clone(), SMALL_DISK) {
        Err(StoreError::Damaged { .. }) => {}
        Err(error) => panic!("{what}: {error}"),
        Ok((_, recovered)) => {
            let found = all_records(&recovered);
            if found != model.acknowledged {
                let without_last = &model.acknowledged[..model.acknowledged.len() - 1];
                assert!(found == without_last, "{what}: something else than the last append differs");
                assert!(recovered.report.torn_bytes > 0, "{what}: passed over in silence");
            }
        }
    }
}

#[parameterized(plain = { false }, with_snapshot = { true })]
fn a_changed_byte_is_detected(with_snapshot: bool) {
    let (files, model) = grown_store(with_snapshot);
    for (name, content) in files.contents().into_iter().filter(|(name, _)| name != "reserve") {
        for offset in 0..content.len() {
            for bit in [0, 7] {
                let damaged = files.fork();
                let mut changed = content.clone();
                changed[offset] ^= 1 << bit;
                damaged.overwrite(&name, changed);
                assert_damage_is_reported(&damaged, &model, &format!("{name} byte {offset} bit {bit}"));
            }
        }
    }
}

#[parameterized(plain = { false }, with_snapshot = { true })]
fn a_changed_byte_before_the_last_append_is_damage(with_snapshot: bool) {
    let (files, _) = grown_store(with_snapshot);
    let contents = files.contents();
    let last_segment = contents.keys().rfind(|name| name.starts_with("segment-")).expect("a segment").clone();
    for (name, content) in contents.into_iter().filter(|(name, _)| name != "reserve") {
        // The last append is one record of 30 bytes.
        let end = if name == last_segment { content.len() - 28 - 4 - 30 } else { content.len() };
        for offset in 0..end {
            let damaged = files.fork();
            let mut changed = content.clone();
            changed[offset] ^= 0x10;
            damaged.overwrite(&name, changed);
            let opened = Store::open(damaged, SMALL_DISK);
            assert!(matches!(opened, Err(StoreError::Damaged { .. })), "{name} byte {offset}");
        }
    }
}

#[parameterized(plain = { false }, with_snapshot = { true })]
fn a_truncated_file_is_detected(with_snapshot: bool) {
    let (files, model) = grown_store(with_snapshot);
    let contents = files.contents();
    let last_segment = contents.keys().rfind(|name| name.starts_with("segment-")).expect("a segment").clone();
    for (name, content) in contents.into_iter().filter(|(name, _)| name != "reserve") {
        for length in 0..content.len() {
            let damaged = files.fork();
            damaged.overwrite(&name, content[..length].to_vec());
            let is_missing_tail = name == last_segment;
            match Store::open(damaged, SMALL_DISK) {
                Err(StoreError::Damaged { .. }) => {}
                Ok((_, recovered)) if is_missing_tail => {
                    assert!(
                        model.acknowledged.starts_with(&all_records(&recovered)),
                        "{name} truncated to {length}"
                    );
                }
                Ok(_) => panic!("{name} truncated to {length}: passed over in silence"),
                Err(error) => panic!("{name} truncated to {length}: {error}"),
            }
        }
    }
}

#[parameterized(plain = { false }, with_snapshot = { true })]
fn a_missing_file_is_detected(with_snapshot: bool) {
    let (files, _) = grown_store(with_snapshot);
    for name in files.contents().into_keys().filter(|name| name != "reserve") {
        let damaged = files.fork();
        damaged.erase(&name);
        let opened = Store::open(damaged, SMALL_DISK);
        assert!(matches!(opened, Err(StoreError::Damaged { .. })), "{name}");
    }
}

#[test]
fn the_damage_is_named_and_nothing_is_changed() {
    let (files, _) = grown_store(true);
    let name = files.contents().into_keys().find(|name| name.starts_with("snapshot-")).expect("a snapshot");
    files.erase(&name);
    let before = files.contents();
    let error = Store::open(files.clone(), SMALL_DISK).expect_err("damaged");
    assert_eq!(
        error,
        StoreError::Damaged { damage: Damage::MissingSnapshot { first_frame: FrameNumber(2) } }
    );
    assert_eq!(files.contents(), before);
}

/// Old segments that come back after a loss of power don't matter beside the snapshot.
#[test]
fn files_that_were_removed_and_come_back_are_ignored() {
    let (files, mut model) = grown_store(false);
    let old = files.contents();
    let (mut store, _) = Store::open(files.clone(), SMALL_DISK).expect("opens");
    store.snapshot(&snapshot_of(&model.acknowledged)).expect("takes a snapshot");
    for (name, content) in old {
        let returned = files.fork();
        returned.overwrite(&name, content);
        support::open_and_check(&returned, SMALL_DISK, &mut model).expect("opens");
    }
}

/// Power lost at any point of a reset leaves a folder that is damaged still or empty.
#[test]
fn a_reset_is_whole() {
    let (files, _) = grown_store(true);
    let name = files.contents().into_keys().find(|name| name.starts_with("snapshot-")).expect("a snapshot");
    files.overwrite(&name, b"not a snapshot".to_vec());
    let start = files.operations();
    let after_reset = files.fork();
    Store::reset(&mut after_reset.clone()).expect("resets");
    assert!(after_reset.contents().is_empty());
    for crash_point in start..=after_reset.operations() {
        let mut choices = support::EveryChoice::default();
        loop {
            let after = files.fork();
            after.set_power_off_after(Some(crash_point));
            let _ = Store::reset(&mut after.clone());
            after.lose_power(&mut choices);
            match Store::open(after, SMALL_DISK) {
                Err(StoreError::Damaged { .. }) => {}
                Err(error) => panic!("crash point {crash_point}: {error}"),
                Ok((_, recovered)) => {
                    assert!(all_records(&recovered).is_empty(), "crash point {crash_point}: neither")
                }
            }
            if !choices.advance() {
                break;
            }
        }
    }
}

/// While the store is in use: any changed byte is found by a scrub, and a snapshot repairs the disk.
#[parameterized(plain = { false }, with_snapshot = { true })]
fn a_scrub_finds_a_changed_byte_and_a_snapshot_repairs_it(with_snapshot: bool) {
    let (files, model) = grown_store(with_snapshot);
    for (name, content) in files.contents().into_iter().filter(|(name, _)| name != "reserve") {
        for offset in 0..content.len() {
            let damaged = files.fork();
            let (mut store, _) = Store::open(damaged.clone(), SMALL_DISK).expect("opens");
            let undamaged = store.scrub().expect("nothing is damaged");
            assert!(all_records(&undamaged) == model.acknowledged);
            let mut changed = content.clone();
            changed[offset] ^= 0x10;
            damaged.overwrite(&name, changed);
            let scrubbed = store.scrub();
            assert!(matches!(scrubbed, Err(StoreError::Damaged { .. })), "{name} byte {offset}");
            store.snapshot(&snapshot_of(&model.acknowledged)).expect("takes a snapshot");
            let repaired = store.scrub().expect("repaired");
            assert!(all_records(&repaired) == model.acknowledged, "{name} byte {offset}");
        }
    }
}
