//! `check`: validates settings and configuration files and reports the error in each.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::{config, operator};

/// Validates one file: a configuration if it is named `.json`, operator settings otherwise.
fn check_file(file: &Path) -> anyhow::Result<()> {
    if file
        .extension()
        .is_some_and(|extension| extension == "json")
    {
        let text = std::fs::read_to_string(file)
            .map_err(|e| anyhow::anyhow!("{}: cannot be read: {e}", file.display()))?;
        let config = config::parse(&text, |variable| std::env::var(variable).ok());
        return config
            .map(drop)
            .map_err(|e| anyhow::anyhow!("{}: {e:#}", file.display()));
    }
    operator::load(Some(file)).map(drop)
}

/// Validates files; exits with 2 if any is invalid.
pub fn check(files: &[PathBuf]) -> ExitCode {
    let mut any_invalid = false;
    for file in files {
        match check_file(file) {
            Ok(()) => println!("{}: good", file.display()),
            Err(error) => {
                any_invalid = true;
                eprintln!("{error:#}");
            }
        }
    }
    if any_invalid {
        ExitCode::from(2)
    } else {
        ExitCode::SUCCESS
    }
}
