//! The `lockusher` binary: runs one mixer.

use std::process::ExitCode;

fn main() -> ExitCode {
    lockusher_aggregator::program::run(std::env::args_os())
}
