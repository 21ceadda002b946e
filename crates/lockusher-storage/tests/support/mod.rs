//! Helpers shared by the tests: a reference model of the acknowledged records, and strategies that choose the outcome
//! of a power loss.
#![allow(dead_code)]

pub mod simulated_disk;
mod simulated_file;
pub mod simulated_file_system;

use lockusher_storage::{FileSystem, Recovered, Store, StoreError, StoreOptions};

use simulated_disk::Choices;
use simulated_file_system::SimulatedFileSystem;

/// A disk with segments of 1 KiB, on which a snapshot is due after 4 KiB of log.
pub const SMALL_DISK: StoreOptions = StoreOptions {
    disk_bytes: 64 * 1024,
};

/// Enumerates all sequences of choices, one after the other.
#[derive(Debug, Default)]
pub struct EveryChoice {
    digits: Vec<Digit>,
    position: usize,
}

#[derive(Debug)]
struct Digit {
    value: usize,
    options: usize,
}

impl EveryChoice {
    /// Advances to the next sequence of choices; false after the last.
    pub fn advance(&mut self) -> bool {
        self.position = 0;
        while let Some(last) = self.digits.last_mut() {
            last.value += 1;
            if last.value < last.options {
                return true;
            }
            self.digits.pop();
        }
        false
    }
}

impl Choices for EveryChoice {
    fn choose(&mut self, options: usize) -> usize {
        if self.position == self.digits.len() {
            self.digits.push(Digit { value: 0, options });
        }
        self.position += 1;
        self.digits[self.position - 1].value
    }
}

/// The disk after a power loss, once for each possible outcome for the unsynced changes.
pub fn every_power_loss(files: &SimulatedFileSystem) -> Vec<SimulatedFileSystem> {
    let mut choices = EveryChoice::default();
    let mut disks = Vec::new();
    loop {
        let disk = files.fork();
        disk.lose_power(&mut choices);
        disks.push(disk);
        if !choices.advance() {
            return disks;
        }
    }
}

/// The disk after a kill of the process: power is on, and the files are unchanged, including unsynced changes.
pub fn after_kill(files: &SimulatedFileSystem) -> SimulatedFileSystem {
    let disk = files.fork();
    disk.set_power_off_after(None);
    disk
}

/// Pseudorandom choices, determined by a seed.
#[derive(Debug)]
pub struct SeededChoice(pub u64);

impl Choices for SeededChoice {
    fn choose(&mut self, options: usize) -> usize {
        // SplitMix64.
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((mixed ^ (mixed >> 31)) % options as u64) as usize
    }
}

/// A snapshot that contains these records.
pub fn snapshot_of(records: &[Vec<u8>]) -> Vec<u8> {
    let mut snapshot = Vec::new();
    for record in records {
        snapshot.extend((record.len() as u32).to_le_bytes());
        snapshot.extend(record);
    }
    snapshot
}

/// All recovered records, those of the snapshot first.
pub fn all_records(recovered: &Recovered) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    let mut rest = recovered.snapshot.as_deref().unwrap_or_default();
    while let Some((length, tail)) = rest.split_first_chunk::<4>() {
        let (record, tail) = tail.split_at(u32::from_le_bytes(*length) as usize);
        records.push(record.to_vec());
        rest = tail;
    }
    records.extend(recovered.records.iter().cloned());
    records
}

/// The reference model: acknowledged records, and those whose append has an unknown outcome.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// Records that must be found, in order.
    pub acknowledged: Vec<Vec<u8>>,
    /// Records that may be found after them.
    pub uncertain: Vec<Vec<u8>>,
    next_record: u64,
}

impl Model {
    /// New records of these sizes (at least 8 bytes), which differ from all others.
    pub fn new_records(&mut self, sizes: &[usize]) -> Vec<Vec<u8>> {
        let mut records = Vec::new();
        for &size in sizes {
            let mut record = vec![self.next_record as u8; size.max(8)];
            record[..8].copy_from_slice(&self.next_record.to_le_bytes());
            self.next_record += 1;
            records.push(record);
        }
        records
    }

    /// Appends new records of these sizes and records the outcome.
    pub fn append<F: FileSystem>(
        &mut self,
        store: &mut Store<F>,
        sizes: &[usize],
    ) -> Result<(), StoreError> {
        let records = self.new_records(sizes);
        let result = store.append(&records);
        self.record_append(records, &result);
        result
    }

    /// Records the outcome of an append.
    pub fn record_append(&mut self, records: Vec<Vec<u8>>, result: &Result<(), StoreError>) {
        match result {
            Ok(()) => {
                self.acknowledged.extend(records);
                self.uncertain.clear();
            }
            Err(StoreError::Uncertain { .. }) => self.uncertain = records,
            Err(_) => {}
        }
    }

    /// Compares with the recovered records, which count as acknowledged from now on.
    pub fn check(&mut self, recovered: &Recovered) -> Result<(), String> {
        let found = all_records(recovered);
        let with_uncertain = [self.acknowledged.clone(), self.uncertain.clone()].concat();
        if found != self.acknowledged && found != with_uncertain {
            return Err(format!(
                "{} records found, {} acknowledged and {} uncertain; report {:?}",
                found.len(),
                self.acknowledged.len(),
                self.uncertain.len(),
                recovered.report
            ));
        }
        self.acknowledged = found;
        self.uncertain.clear();
        Ok(())
    }
}

/// Opens the store and compares its content with the model.
pub fn open_and_check(
    files: &SimulatedFileSystem,
    options: StoreOptions,
    model: &mut Model,
) -> Result<Store<SimulatedFileSystem>, String> {
    let (store, recovered) =
        Store::open(files.clone(), options).map_err(|error| format!("open: {error}"))?;
    model.check(&recovered)?;
    Ok(store)
}
