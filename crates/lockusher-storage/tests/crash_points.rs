//! Power lost after every operation of a scripted life, with every outcome for what wasn't synced.

mod support;

use lockusher_storage::{Store, StoreError, StoreOptions};
use support::simulated_file_system::{Choices, InjectedBug, SimulatedFileSystem};
use support::{EveryChoice, Model, SMALL_DISK, SeededChoice, open_and_check, snapshot_of};
use yare::parameterized;

/// Outcomes tried for one cut exhaustively; beyond that as many are sampled.
const OUTCOMES_PER_CUT: u64 = 4_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Append(&'static [usize]),
    Snapshot,
}

use Step::{Append, Open, Snapshot};

/// Opens, appends in one and in several records, segment rolls, snapshots with and without records before, reopening.
const LIFE: &[Step] = &[
    Open,
    Append(&[20]),
    Append(&[30, 0, 40]),
    Append(&[900]),
    Append(&[300]),
    Open,
    Append(&[50]),
    Snapshot,
    Snapshot,
    Append(&[700]),
    Append(&[700]),
    Append(&[2000]),
    Snapshot,
    Open,
    Append(&[60]),
    Open,
    Append(&[70]),
];

/// Why a life ended early.
#[derive(Debug)]
enum LifeError {
    /// The disk failed, as it does without power.
    DiskFailed,
    /// What was found at opening isn't what was acknowledged.
    Broken(String),
}

impl From<StoreError> for LifeError {
    fn from(error: StoreError) -> LifeError {
        match error {
            StoreError::Damaged { damage } => LifeError::Broken(damage.to_string()),
            _ => LifeError::DiskFailed,
        }
    }
}

/// Runs the steps until one fails.
fn live(files: &SimulatedFileSystem, steps: &[Step], model: &mut Model) -> Result<(), LifeError> {
    let mut store: Option<Store<SimulatedFileSystem>> = None;
    for step in steps {
        match (step, &mut store) {
            (Open, _) => {
                let (opened, recovered) = Store::open(files.clone(), SMALL_DISK)?;
                model.check(&recovered).map_err(LifeError::Broken)?;
                store = Some(opened);
            }
            (Append(sizes), Some(store)) => {
                let records = model.new_records(sizes);
                let result = store.append(&records);
                model.appended(records, &result);
                result?;
            }
            (Snapshot, Some(store)) => store.snapshot(&snapshot_of(&model.acknowledged))?,
            (_, None) => panic!("the life begins with opening"),
        }
    }
    Ok(())
}

/// After a cut, the store opens with what was acknowledged, works on, and keeps that too.
fn check_afterwards(
    files: &SimulatedFileSystem,
    options: StoreOptions,
    mut model: Model,
) -> Result<(), String> {
    let mut store = open_and_check(files, options, &mut model)?;
    // Opening has made durable what it returned.
    let cut_again = files.fork();
    cut_again.lose_power(&mut LoseAll);
    open_and_check(&cut_again, options, &mut model.clone())?;

    let records = model.new_records(&[80]);
    let result = store.append(&records);
    model.appended(records, &result);
    result.map_err(|error| format!("append after the cut: {error}"))?;
    let cut_again = files.fork();
    cut_again.lose_power(&mut LoseAll);
    open_and_check(&cut_again, options, &mut model.clone())?;

    store
        .snapshot(&snapshot_of(&model.acknowledged))
        .map_err(|error| format!("snapshot after the cut: {error}"))?;
    files.lose_power(&mut LoseAll);
    open_and_check(files, options, &mut model).map(|_| ())
}

/// Nothing stays that wasn't synced.
struct LoseAll;

impl Choices for LoseAll {
    fn choose(&mut self, _options: usize) -> usize {
        0
    }
}

#[derive(Debug, Default)]
struct Coverage {
    cuts: u64,
    outcomes: u64,
    sampled_cuts: u64,
}

/// Runs the steps on a disk that loses power at some point.
fn live_until_cut(files: &SimulatedFileSystem, steps: &[Step], model: &mut Model) -> Result<(), String> {
    match live(files, steps, model) {
        Err(LifeError::Broken(error)) => Err(error),
        Ok(()) | Err(LifeError::DiskFailed) => Ok(()),
    }
}

/// Tries every cut; the error names the first that breaks a promise.
fn try_every_cut(steps: &[Step], injected_bug: Option<InjectedBug>) -> Result<Coverage, String> {
    let disk = || {
        let files = SimulatedFileSystem::new();
        injected_bug.into_iter().for_each(|injected_bug| files.inject_bug(injected_bug));
        files
    };
    let whole = disk();
    live(&whole, steps, &mut Model::default()).map_err(|error| format!("{error:?}"))?;
    let mut coverage = Coverage::default();
    for cut in 0..=whole.operations() {
        let files = disk();
        files.set_power_off_after(Some(cut));
        let mut model = Model::default();
        live_until_cut(&files, steps, &mut model)?;
        try_every_outcome(&files, &model, &mut coverage).map_err(|error| format!("cut {cut}: {error}"))?;
        coverage.cuts += 1;
    }
    Ok(coverage)
}

fn try_every_outcome(
    files: &SimulatedFileSystem,
    model: &Model,
    coverage: &mut Coverage,
) -> Result<(), String> {
    let killed = files.fork();
    killed.set_power_off_after(None);
    check_afterwards(&killed, SMALL_DISK, model.clone()).map_err(|error| format!("killed: {error}"))?;

    let mut choices = EveryChoice::default();
    for _ in 0..OUTCOMES_PER_CUT {
        let after = files.fork();
        after.lose_power(&mut choices);
        check_afterwards(&after, SMALL_DISK, model.clone())
            .map_err(|error| format!("{choices:?}: {error}"))?;
        coverage.outcomes += 1;
        if !choices.advance() {
            return Ok(());
        }
    }
    coverage.sampled_cuts += 1;
    for seed in 0..OUTCOMES_PER_CUT {
        let after = files.fork();
        after.lose_power(&mut SeededChoice(seed));
        check_afterwards(&after, SMALL_DISK, model.clone())
            .map_err(|error| format!("seed {seed}: {error}"))?;
        coverage.outcomes += 1;
    }
    Ok(())
}

#[test]
fn what_was_acknowledged_outlasts_every_cut() {
    let coverage = try_every_cut(LIFE, None).expect("no promise is broken");
    println!("{coverage:?}");
    assert!(coverage.cuts > 60, "{coverage:?}");
    assert_eq!(coverage.sampled_cuts, 0, "every outcome of every cut was tried: {coverage:?}");
}

/// What happens between the first cut and the second.
const SECOND_LIFE: &[Step] = &[Open, Append(&[90]), Snapshot, Append(&[900]), Append(&[300]), Open];

/// Power lost twice, the second time also while the store recovers; the first may also be a kill that leaves the
/// files as they are.
#[test]
fn what_was_acknowledged_outlasts_every_pair_of_cuts() {
    let whole = SimulatedFileSystem::new();
    live(&whole, LIFE, &mut Model::default()).expect("lives");
    let mut coverage = Coverage::default();
    for cut in 0..=whole.operations() {
        let files = SimulatedFileSystem::new();
        files.set_power_off_after(Some(cut));
        let mut model = Model::default();
        live_until_cut(&files, LIFE, &mut model).expect("no promise is broken");
        let killed = files.fork();
        killed.set_power_off_after(None);
        let mut starts = vec![killed];
        let mut choices = EveryChoice::default();
        loop {
            let after = files.fork();
            after.lose_power(&mut choices);
            starts.push(after);
            if !choices.advance() {
                break;
            }
        }
        for start in starts {
            try_every_second_cut(&start, &model, &mut coverage)
                .unwrap_or_else(|error| panic!("cut {cut}: {error}"));
        }
    }
    println!("{coverage:?}");
    assert_eq!(coverage.sampled_cuts, 0, "every outcome of every cut was tried: {coverage:?}");
}

fn try_every_second_cut(
    start: &SimulatedFileSystem,
    model: &Model,
    coverage: &mut Coverage,
) -> Result<(), String> {
    let begin = start.operations();
    let whole = start.fork();
    live(&whole, SECOND_LIFE, &mut model.clone()).map_err(|error| format!("{error:?}"))?;
    for cut in begin..=whole.operations() {
        let files = start.fork();
        let mut model = model.clone();
        files.set_power_off_after(Some(cut));
        live_until_cut(&files, SECOND_LIFE, &mut model)?;
        coverage.cuts += 1;
        try_every_outcome(&files, &model, coverage).map_err(|error| format!("second cut {cut}: {error}"))?;
    }
    Ok(())
}

#[parameterized(
    no_directory_sync = { InjectedBug::NoDirectorySync },
    no_file_sync = { InjectedBug::NoFileSync },
)]
fn a_sync_left_out_is_found(injected_bug: InjectedBug) {
    try_every_cut(LIFE, Some(injected_bug)).expect_err("the injected_bug is found");
}

/// The first folder sync matters only before the next, so a short life is tried as well.
#[parameterized(
    at_first_append = { &[Open, Append(&[20])] },
    at_roll = { &[Open, Append(&[900]), Append(&[900])] },
    at_snapshot = { &[Open, Append(&[20]), Snapshot] },
)]
fn a_folder_sync_left_out_is_found_in_a_short_life(steps: &[Step]) {
    try_every_cut(steps, Some(InjectedBug::NoDirectorySync)).expect_err("the injected_bug is found");
    try_every_cut(steps, None).expect("without it no promise is broken");
}
