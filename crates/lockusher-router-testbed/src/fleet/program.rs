//! Locates the `lockusher-node` program built from this workspace.

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

use derive_more::{Display, Error};

const PROGRAM: &str = "lockusher-node";

/// Why the program is not available.
#[derive(Clone, Debug, Display, Error)]
pub enum ProgramError {
    /// The build failed.
    #[display("cargo build -p {PROGRAM} failed: {output}")]
    Build { output: String },
    /// The program has not been built.
    #[display("{} does not exist: build it with `cargo build -p {PROGRAM}`", path.display())]
    Missing { path: PathBuf },
    /// The path of the running executable can't be determined.
    #[display("path of the running executable is unknown: {reason}")]
    OwnPath { reason: String },
}

/// The path of the program, in the directory of the build profile of the running executable.
///
/// Under cargo (`cargo test`, `cargo run`) it is built first, once per process, so that tests never run a stale
/// binary; this is fast when nothing has changed. Otherwise it must have been built before.
pub fn program() -> Result<PathBuf, ProgramError> {
    static PROGRAM_PATH: OnceLock<Result<PathBuf, ProgramError>> = OnceLock::new();
    PROGRAM_PATH.get_or_init(build_and_locate).clone()
}

fn build_and_locate() -> Result<PathBuf, ProgramError> {
    let directory = profile_directory()?;
    if let Some(cargo) = std::env::var_os("CARGO") {
        build(
            &cargo,
            directory.file_name().is_some_and(|name| name == "release"),
        )?;
    }
    let path = directory.join(PROGRAM);
    if path.is_file() {
        Ok(path)
    } else {
        Err(ProgramError::Missing { path })
    }
}

/// The directory of the build profile: that of the running executable, or the parent of `deps` for tests.
fn profile_directory() -> Result<PathBuf, ProgramError> {
    let own_path = std::env::current_exe().map_err(|error| ProgramError::OwnPath {
        reason: error.to_string(),
    })?;
    let no_parent = || ProgramError::OwnPath {
        reason: own_path.display().to_string(),
    };
    let directory = own_path.parent().ok_or_else(no_parent)?;
    match directory.file_name() {
        Some(name) if name == "deps" => Ok(directory.parent().ok_or_else(no_parent)?.to_owned()),
        _ => Ok(directory.to_owned()),
    }
}

fn build(cargo: &std::ffi::OsStr, release: bool) -> Result<(), ProgramError> {
    let failed = |output: String| ProgramError::Build { output };
    let mut command = Command::new(cargo);
    command
        .args(["build", "--quiet", "-p", PROGRAM])
        .current_dir(env!("CARGO_MANIFEST_DIR"));
    if release {
        command.arg("--release");
    }
    let output = command
        .output()
        .map_err(|error| failed(error.to_string()))?;
    match output.status.success() {
        true => Ok(()),
        false => Err(failed(String::from_utf8_lossy(&output.stderr).into_owned())),
    }
}
