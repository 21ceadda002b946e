//! How often the simulated control state shows each mistake that is planted in it.

use std::io::Write;

use lockusher_control::InjectedBug;

use crate::chain::{ChainRuns, simulate_all};

/// Runs every mistake, or one, and writes a line for each: how many runs show it, and what the first one says. Whether each
/// was found.
pub fn run(options: &ChainRuns, one: Option<InjectedBug>, output: &mut impl Write) -> anyhow::Result<bool> {
    let mut all_found = true;
    for injected_bug in
        InjectedBug::ALL.into_iter().filter(|injected_bug| one.is_none_or(|one| one == *injected_bug))
    {
        let totals = simulate_all(&ChainRuns { injected_bug: Some(injected_bug), ..*options })?;
        let first = totals.failed.first();
        let first_run =
            first.map_or_else(|| "-".to_owned(), |failed| (failed.seed - options.seed + 1).to_string());
        let says =
            first.and_then(|failed| failed.violations.first()).map_or_else(String::new, ToString::to_string);
        let found = totals.failed.len();
        all_found &= found > 0;
        writeln!(output, "{injected_bug:?} found={found} runs={} first_run={first_run} {says}", totals.runs)?;
    }
    Ok(all_found)
}
