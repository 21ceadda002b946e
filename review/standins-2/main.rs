//! Stand-ins and cases of the second review. Standard library only; built by `review/build-2.sh`.
//!
//! Usage: `cases CASE FOLDER`, run at the root of the repository. Starts a small fleet of `lockusher-node` processes on
//! loopback addresses, a platform, searchers, clients and an operator, and writes what was sent, answered and run to
//! `FOLDER/record.txt`. Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run.

mod cases;
mod fleet;
mod http;
mod record;
mod searcher;

use std::process::exit;
use std::time::Duration;

/// A case that hasn't ended by then is given up: a script may run for 120 seconds.
const WATCHDOG: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: cases CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::open(folder);
    record::line(&format!("case {case}, trouble {trouble}"));
    std::thread::spawn(|| {
        std::thread::sleep(WATCHDOG);
        record::line("the case did not end in time");
        fleet::end_all();
        exit(2);
    });
    let outcome = std::panic::catch_unwind(|| cases::run(case, trouble));
    fleet::end_all();
    let code = match outcome {
        Ok(Ok(0)) => 0,
        Ok(Ok(broken)) => {
            record::line(&format!("rule broken: {broken} times"));
            1
        }
        Ok(Err(reason)) => {
            record::line(&format!("could not run: {reason}"));
            2
        }
        Err(_) => {
            record::line("could not run: a stand-in failed");
            2
        }
    };
    record::line(&format!("exit code {code}"));
    exit(code);
}
