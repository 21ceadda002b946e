//! The sub-command `chain-injected-bugs`: how often the simulation of the control state detects each injected bug.

use std::io::Write;

use lockusher_control::InjectedBug;

use crate::chain::{ChainRuns, simulate_all};

/// Runs every bug, or one, and writes a line for each: how many runs detect it, and the first violation. Whether each was
/// found.
///
/// # Errors
///
/// Options out of their range, or an output that can't be written.
pub fn run(
    options: &ChainRuns,
    one: Option<InjectedBug>,
    output: &mut impl Write,
) -> anyhow::Result<bool> {
    let mut all_found = true;
    for injected_bug in InjectedBug::ALL
        .into_iter()
        .filter(|injected_bug| one.is_none_or(|one| one == *injected_bug))
    {
        let totals = simulate_all(&ChainRuns {
            injected_bug: Some(injected_bug),
            ..*options
        })?;
        let first = totals.failed.first();
        let first_run = first.map_or_else(
            || "-".to_owned(),
            |failed| (failed.seed - options.seed + 1).to_string(),
        );
        let first_violation = first
            .and_then(|failed| failed.violations.first())
            .map_or_else(String::new, ToString::to_string);
        let found = totals.failed.len();
        all_found &= found > 0;
        writeln!(
            output,
            "{injected_bug:?} found={found} runs={} first_run={first_run} {first_violation}",
            totals.runs
        )?;
    }
    Ok(all_found)
}
