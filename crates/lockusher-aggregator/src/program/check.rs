//! `check`: reads files as the program would, and says what is wrong with each.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::{config, operator};

fn read(file: &Path) -> anyhow::Result<()> {
    if file.extension().is_some_and(|ending| ending == "json") {
        let text = std::fs::read_to_string(file)
            .map_err(|e| anyhow::anyhow!("{}: cannot be read: {e}", file.display()))?;
        let read = config::parse(&text, |name| std::env::var(name).ok());
        return read
            .map(drop)
            .map_err(|e| anyhow::anyhow!("{}: {e:#}", file.display()));
    }
    operator::load(Some(file)).map(drop)
}

pub fn check(files: &[PathBuf]) -> ExitCode {
    let mut faulty = false;
    for file in files {
        match read(file) {
            Ok(()) => println!("{}: good", file.display()),
            Err(error) => {
                faulty = true;
                eprintln!("{error:#}");
            }
        }
    }
    if faulty {
        ExitCode::from(2)
    } else {
        ExitCode::SUCCESS
    }
}
