//! Entry point of the program `lockusher-node`.

use std::process::ExitCode;

use lockusher_node::{program, roles};

fn main() -> ExitCode {
    program::run(roles::ROLES, std::env::args().skip(1).collect())
}
