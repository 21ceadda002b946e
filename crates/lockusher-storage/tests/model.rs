//! Random operations, faults, full disks, kills and power losses; the store is compared with a reference model.

mod support;

use lockusher_storage::{Store, StoreError, StoreOptions};
use proptest::prelude::*;
use support::simulated_disk::Fault;
use support::simulated_file_system::SimulatedFileSystem;
use support::{Model, SMALL_DISK, SeededChoice, all_records, open_and_check, snapshot_of};

/// Size in bytes of a log without appends.
const SEGMENT_HEADER_BYTES: u64 = 20;

#[derive(Clone, Debug)]
enum Event {
    Append(Vec<usize>),
    Snapshot,
    /// The process is killed and restarted; the files stay as they are.
    Kill,
    /// Power is lost after this many further operations; the seed determines the outcome.
    LosePower {
        operations: u64,
        seed: u64,
    },
    /// The operation after this many further ones fails.
    Fault {
        operations: u64,
        fault: Fault,
    },
    Full(bool),
    /// Limits the free space to this many bytes, or removes the limit.
    FreeSpace(Option<u64>),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let fault = prop_oneof![
        Just(Fault::NoSpace),
        Just(Fault::Io),
        Just(Fault::IoAfterEffect)
    ];
    let event = prop_oneof![
        12 => prop::collection::vec(0_usize..700, 1..4).prop_map(Event::Append),
        2 => Just(Event::Snapshot),
        1 => Just(Event::Kill),
        2 => (0_u64..12, any::<u64>()).prop_map(|(operations, seed)| Event::LosePower { operations, seed }),
        3 => (0_u64..8, fault).prop_map(|(operations, fault)| Event::Fault { operations, fault }),
        1 => any::<bool>().prop_map(Event::Full),
        1 => prop::option::of(0_u64..3000).prop_map(Event::FreeSpace),
    ];
    prop::collection::vec(event, 1..80)
}

/// A store on a simulated disk, and the model of it.
struct Simulation {
    files: SimulatedFileSystem,
    store: Option<Store<SimulatedFileSystem>>,
    model: Model,
    /// Seed of the pending power loss, which takes effect once an operation fails.
    power_loss: Option<u64>,
}

impl Simulation {
    fn new() -> Simulation {
        Simulation {
            files: SimulatedFileSystem::new(),
            store: None,
            model: Model::default(),
            power_loss: None,
        }
    }

    fn apply(&mut self, event: &Event) -> Result<(), String> {
        match event {
            Event::Append(sizes) => self.append(sizes)?,
            Event::Snapshot => self.snapshot()?,
            Event::Kill => self.store = None,
            Event::LosePower { operations, seed } => {
                self.files
                    .set_power_off_after(Some(self.files.operations() + operations));
                self.power_loss = Some(*seed);
            }
            Event::Fault { operations, fault } => {
                self.files
                    .set_fault(self.files.operations() + operations, *fault);
            }
            Event::Full(full) => self.files.set_full(*full),
            Event::FreeSpace(free_bytes) => {
                self.files.set_capacity(
                    free_bytes.map(|free_bytes| self.files.used_bytes() + free_bytes),
                );
            }
        }
        Ok(())
    }

    fn append(&mut self, sizes: &[usize]) -> Result<(), String> {
        if !self.ensure_open()? {
            return Ok(());
        }
        let store = self.store.as_mut().expect("ensure_open opened it");
        let result = self.model.append(store, sizes);
        let log_is_empty = store.log_bytes() <= SEGMENT_HEADER_BYTES;
        if result == Err(StoreError::NoSpace) && !store.snapshot_due() && !log_is_empty {
            return Err("no space, and no snapshot is due".to_owned());
        }
        self.end_if_power_is_lost(result.is_err());
        Ok(())
    }

    fn snapshot(&mut self) -> Result<(), String> {
        if !self.ensure_open()? {
            return Ok(());
        }
        let snapshot = snapshot_of(&self.model.acknowledged);
        let result = self
            .store
            .as_mut()
            .expect("ensure_open opened it")
            .snapshot(&snapshot);
        if result.is_ok() {
            // The snapshot replaces the whole log, including uncertain appends.
            self.model.uncertain.clear();
        }
        self.end_if_power_is_lost(result.is_err());
        Ok(())
    }

    /// Opens the store if it isn't open; false if the disk fails.
    fn ensure_open(&mut self) -> Result<bool, String> {
        if self.store.is_some() {
            return Ok(true);
        }
        match Store::open(self.files.clone(), SMALL_DISK) {
            Ok((store, recovered)) => {
                self.model.check(&recovered)?;
                self.store = Some(store);
                Ok(true)
            }
            Err(StoreError::Damaged { damage }) => Err(format!("reported as damage: {damage}")),
            Err(_) => {
                self.end_if_power_is_lost(true);
                Ok(false)
            }
        }
    }

    /// Executes the pending power loss if an operation has failed.
    fn end_if_power_is_lost(&mut self, failed: bool) {
        if let Some(seed) = self.power_loss.filter(|_| failed) {
            self.store = None;
            self.files.lose_power(&mut SeededChoice(seed));
            self.power_loss = None;
        }
    }

    /// Removes all faults and checks that the store works at once, without being reopened.
    fn finish(mut self) -> Result<(), String> {
        self.files.set_power_off_after(None);
        self.files.clear_faults();
        self.files.set_full(false);
        self.files.set_capacity(None);
        self.ensure_open()?;
        let store = self.store.as_mut().expect("open");
        let records = self.model.new_records(&[100]);
        let mut result = store.append(&records);
        if result == Err(StoreError::NoSpace) {
            // The log has reached its limit on the disk.
            store
                .snapshot(&snapshot_of(&self.model.acknowledged))
                .map_err(|error| format!("snapshot: {error}"))?;
            result = store.append(&records);
        }
        self.model.record_append(records, &result);
        result.map_err(|error| format!("append without faults: {error}"))?;
        self.files.lose_power(&mut SeededChoice(0));
        open_and_check(&self.files, SMALL_DISK, &mut self.model).map(|_| ())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_store_agrees_with_the_reference_model(events in events()) {
        let mut simulation = Simulation::new();
        for (index, event) in events.iter().enumerate() {
            simulation.apply(event).map_err(|error| TestCaseError::fail(format!("event {index}: {error}")))?;
        }
        simulation.finish().map_err(TestCaseError::fail)?;
    }
}

/// Fills the disk, whose size the store may or may not know, and frees space by a snapshot.
#[yare::parameterized(
    size_known = { SMALL_DISK },
    size_unknown = { StoreOptions { disk_bytes: 0 } },
)]
fn an_append_to_a_full_disk_fails_with_no_space_and_a_snapshot_frees_space(options: StoreOptions) {
    let files = SimulatedFileSystem::new();
    files.set_capacity(Some(90 * 1024));
    let mut model = Model::default();
    let mut store = open_and_check(&files, options, &mut model).expect("opens");
    let error = loop {
        if let Err(error) = model.append(&mut store, &[400]) {
            break error;
        }
    };
    assert_eq!(error, StoreError::NoSpace);
    assert!(store.snapshot_due());

    let mut reopened = open_and_check(&files.fork(), options, &mut model.clone()).expect("opens");
    reopened
        .snapshot(b"")
        .expect("takes a snapshot after reopening");

    // The snapshot is smaller than the log.
    store
        .snapshot(&snapshot_of(&model.acknowledged[..2]))
        .expect("takes a snapshot");
    assert!(!store.snapshot_due());
    store.append(&[vec![1; 400]]).expect("appends again");
    let (_, recovered) = Store::open(files, options).expect("opens");
    assert_eq!(all_records(&recovered).len(), 3);
}

/// Another process fills the disk completely: the reserve still provides space for the snapshot.
#[test]
fn the_reserve_provides_space_for_a_snapshot() {
    let files = SimulatedFileSystem::new();
    let mut model = Model::default();
    let mut store = open_and_check(&files, SMALL_DISK, &mut model).expect("opens");
    store.append(&[vec![1; 500]]).expect("appends");
    store.append(&[vec![2; 500]]).expect("appends");
    files.set_capacity(Some(files.used_bytes()));
    assert_eq!(store.append(&[vec![3; 500]]), Err(StoreError::NoSpace));
    store.snapshot(&[4; 1000]).expect("takes a snapshot");
    store.append(&[vec![3; 500]]).expect("appends");
}

/// A store on a full disk opens with all acknowledged records, and works again once space is freed.
#[test]
fn a_full_disk_can_be_opened() {
    let files = SimulatedFileSystem::new();
    let mut model = Model::default();
    let mut store = open_and_check(&files, SMALL_DISK, &mut model).expect("opens");
    for _ in 0..5 {
        model.append(&mut store, &[400]).expect("appends");
    }

    files.set_full(true);
    assert_eq!(model.append(&mut store, &[400]), Err(StoreError::NoSpace));
    let mut store = open_and_check(&files, SMALL_DISK, &mut model).expect("opens while full");
    assert_eq!(model.append(&mut store, &[400]), Err(StoreError::NoSpace));

    files.set_full(false);
    assert_eq!(model.append(&mut store, &[400]), Ok(()));
    open_and_check(&files, SMALL_DISK, &mut model).expect("opens");
}

/// 100,000 changes, whose total size exceeds the disk's many times: disk use and write amplification stay bounded.
#[test]
fn disk_use_and_write_amplification_are_bounded() {
    const CHANGES: u64 = 100_000;
    // Scaled down: a change of up to 256 bytes on 128 KiB corresponds to 256 KiB on 128 MiB, and the state to 4 MiB.
    let options = StoreOptions {
        disk_bytes: 128 * 1024,
    };
    let state = vec![5; 4 * 1024];
    let files = SimulatedFileSystem::new();
    files.set_capacity(Some(options.disk_bytes));
    let (mut store, _) = Store::open(files.clone(), options).expect("opens");
    let mut appended_bytes = 0;
    let mut max_used_bytes = 0;
    for change in 0..CHANGES {
        let record = vec![change as u8; (change * 97 % 257) as usize];
        appended_bytes += record.len() as u64;
        store.append(&[record]).expect("appends");
        if store.snapshot_due() {
            store.snapshot(&state).expect("takes a snapshot");
        }
        max_used_bytes = max_used_bytes.max(files.used_bytes());
    }
    println!(
        "used at most {max_used_bytes} bytes, {} written for {appended_bytes} appended",
        files.written_bytes()
    );
    assert!(
        max_used_bytes < options.disk_bytes / 3,
        "{max_used_bytes} bytes used"
    );
    assert!(
        files.written_bytes() < 2 * appended_bytes,
        "{} bytes written for {appended_bytes}",
        files.written_bytes()
    );
}

#[test]
fn an_empty_append_writes_nothing() {
    let files = SimulatedFileSystem::new();
    let (mut store, _) = Store::open(files.clone(), SMALL_DISK).expect("opens");
    let before = files.operations();
    store.append(&[]).expect("appends");
    assert_eq!(files.operations(), before);
}
