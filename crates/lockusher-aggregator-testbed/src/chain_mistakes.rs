//! How often the simulated control state shows each mistake that is planted in it.

use std::io::Write;

use lockusher_control::Mistake;

use crate::chain::{ChainRuns, simulate_all};

/// Runs every mistake, or one, and writes a line for each: how many runs show it, and what the first one says. Whether each
/// was found.
pub fn run(options: &ChainRuns, one: Option<Mistake>, output: &mut impl Write) -> anyhow::Result<bool> {
    let mut all_found = true;
    for mistake in Mistake::ALL.into_iter().filter(|mistake| one.is_none_or(|one| one == *mistake)) {
        let totals = simulate_all(&ChainRuns { mistake: Some(mistake), ..*options })?;
        let first = totals.failed.first();
        let first_run =
            first.map_or_else(|| "-".to_owned(), |failed| (failed.seed - options.seed + 1).to_string());
        let says = first.and_then(|failed| failed.violations.first()).map_or("", String::as_str);
        let found = totals.failed.len();
        all_found &= found > 0;
        writeln!(output, "{mistake:?} found={found} runs={} first_run={first_run} {says}", totals.runs)?;
    }
    Ok(all_found)
}
