//! Simulates a power loss after every operation of a script, with every possible outcome for the unsynced changes.

mod support;

use lockusher_storage::{Store, StoreError, StoreOptions};
use support::simulated_disk::{Choices, InjectedBug};
use support::simulated_file_system::SimulatedFileSystem;
use support::{
    EveryChoice, Model, SMALL_DISK, SeededChoice, after_kill, every_power_loss, open_and_check,
    snapshot_of,
};
use yare::parameterized;

/// Outcomes tried exhaustively for one crash point; if there are more, as many again are sampled.
const MAX_OUTCOMES_PER_CRASH_POINT: u64 = 4_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Append(&'static [usize]),
    Snapshot,
}

use Step::{Append, Open, Snapshot};

/// Opening and reopening, appends of one and of several records, segment rolls, and snapshots with and without
/// preceding records.
const SCRIPT: &[Step] = &[
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

/// Error that ended a script early.
#[derive(Debug)]
enum ScriptError {
    /// The disk failed, as it does while power is off.
    DiskFailed,
    /// The content found at opening differs from what was acknowledged.
    Violation(String),
}

impl From<StoreError> for ScriptError {
    fn from(error: StoreError) -> ScriptError {
        match error {
            StoreError::Damaged { damage } => ScriptError::Violation(damage.to_string()),
            _ => ScriptError::DiskFailed,
        }
    }
}

/// Runs the steps until one fails.
fn run_script(
    files: &SimulatedFileSystem,
    steps: &[Step],
    model: &mut Model,
) -> Result<(), ScriptError> {
    let mut store: Option<Store<SimulatedFileSystem>> = None;
    for step in steps {
        match (step, &mut store) {
            (Open, _) => {
                let (opened, recovered) = Store::open(files.clone(), SMALL_DISK)?;
                model.check(&recovered).map_err(ScriptError::Violation)?;
                store = Some(opened);
            }
            (Append(sizes), Some(store)) => model.append(store, sizes)?,
            (Snapshot, Some(store)) => store.snapshot(&snapshot_of(&model.acknowledged))?,
            (_, None) => panic!("the script starts with opening"),
        }
    }
    Ok(())
}

/// Checks that after a crash the store opens with all acknowledged records and accepts appends and a snapshot, all of
/// which survive further power losses.
fn check_after_crash(
    files: &SimulatedFileSystem,
    options: StoreOptions,
    mut model: Model,
) -> Result<(), String> {
    let mut store = open_and_check(files, options, &mut model)?;
    // Whatever opening returned is durable.
    let crashed_again = files.fork();
    crashed_again.lose_power(&mut LoseUnsynced);
    open_and_check(&crashed_again, options, &mut model.clone())?;

    model
        .append(&mut store, &[80])
        .map_err(|error| format!("append after the crash: {error}"))?;
    let crashed_again = files.fork();
    crashed_again.lose_power(&mut LoseUnsynced);
    open_and_check(&crashed_again, options, &mut model.clone())?;

    store
        .snapshot(&snapshot_of(&model.acknowledged))
        .map_err(|error| format!("snapshot after the crash: {error}"))?;
    files.lose_power(&mut LoseUnsynced);
    open_and_check(files, options, &mut model).map(|_| ())
}

/// Loses all unsynced changes.
struct LoseUnsynced;

impl Choices for LoseUnsynced {
    fn choose(&mut self, _options: usize) -> usize {
        0
    }
}

#[derive(Debug, Default)]
struct Coverage {
    crash_points: u64,
    outcomes: u64,
    sampled_crash_points: u64,
}

/// Runs the steps on a disk that may lose power.
fn run_until_crash(
    files: &SimulatedFileSystem,
    steps: &[Step],
    model: &mut Model,
) -> Result<(), String> {
    match run_script(files, steps, model) {
        Err(ScriptError::Violation(error)) => Err(error),
        Ok(()) | Err(ScriptError::DiskFailed) => Ok(()),
    }
}

/// Tries every crash point; the error names the first at which a durability guarantee is violated.
fn try_every_crash_point(
    steps: &[Step],
    injected_bug: Option<InjectedBug>,
) -> Result<Coverage, String> {
    let disk = || {
        let files = SimulatedFileSystem::new();
        injected_bug
            .into_iter()
            .for_each(|injected_bug| files.inject_bug(injected_bug));
        files
    };
    let complete = disk();
    run_script(&complete, steps, &mut Model::default()).map_err(|error| format!("{error:?}"))?;
    let mut coverage = Coverage::default();
    for crash_point in 0..=complete.operations() {
        let files = disk();
        files.set_power_off_after(Some(crash_point));
        let mut model = Model::default();
        run_until_crash(&files, steps, &mut model)?;
        try_every_outcome(&files, &model, &mut coverage)
            .map_err(|error| format!("crash point {crash_point}: {error}"))?;
        coverage.crash_points += 1;
    }
    Ok(coverage)
}

/// Checks the disk after a kill of the process, and after every outcome of the power loss.
fn try_every_outcome(
    files: &SimulatedFileSystem,
    model: &Model,
    coverage: &mut Coverage,
) -> Result<(), String> {
    check_after_crash(&after_kill(files), SMALL_DISK, model.clone())
        .map_err(|error| format!("killed: {error}"))?;

    let mut choices = EveryChoice::default();
    for _ in 0..MAX_OUTCOMES_PER_CRASH_POINT {
        let after = files.fork();
        after.lose_power(&mut choices);
        check_after_crash(&after, SMALL_DISK, model.clone())
            .map_err(|error| format!("{choices:?}: {error}"))?;
        coverage.outcomes += 1;
        if !choices.advance() {
            return Ok(());
        }
    }
    coverage.sampled_crash_points += 1;
    try_sampled_outcomes(files, model, coverage)
}

fn try_sampled_outcomes(
    files: &SimulatedFileSystem,
    model: &Model,
    coverage: &mut Coverage,
) -> Result<(), String> {
    for seed in 0..MAX_OUTCOMES_PER_CRASH_POINT {
        let after = files.fork();
        after.lose_power(&mut SeededChoice(seed));
        check_after_crash(&after, SMALL_DISK, model.clone())
            .map_err(|error| format!("seed {seed}: {error}"))?;
        coverage.outcomes += 1;
    }
    Ok(())
}

#[test]
fn acknowledged_records_survive_every_crash_point() {
    let coverage = try_every_crash_point(SCRIPT, None).expect("all acknowledged records survive");
    println!("{coverage:?}");
    assert!(coverage.crash_points > 60, "{coverage:?}");
    assert_eq!(
        coverage.sampled_crash_points, 0,
        "every outcome of every crash point was tried: {coverage:?}"
    );
}

/// Steps between the first crash and the second.
const SECOND_SCRIPT: &[Step] = &[
    Open,
    Append(&[90]),
    Snapshot,
    Append(&[900]),
    Append(&[300]),
    Open,
];

/// Two crashes, the second of which may happen during recovery. The first may also be a kill, which leaves the files as
/// they are.
#[test]
fn acknowledged_records_survive_every_pair_of_crash_points() {
    let complete = SimulatedFileSystem::new();
    run_script(&complete, SCRIPT, &mut Model::default()).expect("runs without a crash");
    let mut coverage = Coverage::default();
    for crash_point in 0..=complete.operations() {
        let files = SimulatedFileSystem::new();
        files.set_power_off_after(Some(crash_point));
        let mut model = Model::default();
        run_until_crash(&files, SCRIPT, &mut model).expect("all acknowledged records survive");
        let mut starts = vec![after_kill(&files)];
        starts.extend(every_power_loss(&files));
        for start in starts {
            try_every_second_crash_point(&start, &model, &mut coverage)
                .unwrap_or_else(|error| panic!("crash point {crash_point}: {error}"));
        }
    }
    println!("{coverage:?}");
    assert_eq!(
        coverage.sampled_crash_points, 0,
        "every outcome of every crash point was tried: {coverage:?}"
    );
}

fn try_every_second_crash_point(
    start: &SimulatedFileSystem,
    model: &Model,
    coverage: &mut Coverage,
) -> Result<(), String> {
    let begin = start.operations();
    let complete = start.fork();
    run_script(&complete, SECOND_SCRIPT, &mut model.clone())
        .map_err(|error| format!("{error:?}"))?;
    for crash_point in begin..=complete.operations() {
        let files = start.fork();
        let mut model = model.clone();
        files.set_power_off_after(Some(crash_point));
        run_until_crash(&files, SECOND_SCRIPT, &mut model)?;
        coverage.crash_points += 1;
        try_every_outcome(&files, &model, coverage)
            .map_err(|error| format!("second crash point {crash_point}: {error}"))?;
    }
    Ok(())
}

#[parameterized(
    no_directory_sync = { InjectedBug::NoDirectorySync },
    no_file_sync = { InjectedBug::NoFileSync },
)]
fn an_omitted_sync_is_detected(injected_bug: InjectedBug) {
    try_every_crash_point(SCRIPT, Some(injected_bug)).expect_err("the injected bug is detected");
}

/// The first directory sync matters only until the next one, so short scripts are tried as well.
#[parameterized(
    at_first_append = { &[Open, Append(&[20])] },
    at_roll = { &[Open, Append(&[900]), Append(&[900])] },
    at_snapshot = { &[Open, Append(&[20]), Snapshot] },
)]
fn an_omitted_directory_sync_is_detected_in_a_short_script(steps: &[Step]) {
    try_every_crash_point(steps, Some(InjectedBug::NoDirectorySync))
        .expect_err("the injected bug is detected");
    try_every_crash_point(steps, None).expect("without it all acknowledged records survive");
}
