//! Starts the program as a process.

use std::path::{Path, PathBuf};
use std::process::Command;

/// The environment variable that names the settings file.
const SETTINGS_VARIABLE: &str = "LOCKUSHER_NODE_FILE";

/// The program, without a settings file in the environment.
pub fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lockusher-node"));
    command.env_remove(SETTINGS_VARIABLE);
    command
}

/// The program, with this settings file in the environment.
pub fn program_with_settings(file: &Path) -> Command {
    let mut command = program();
    command.env(SETTINGS_VARIABLE, file);
    command
}

/// Writes a file. The name must be unique among the tests.
pub fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file is written");
    path
}

/// Converts the program's output to text.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}
