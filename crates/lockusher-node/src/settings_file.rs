//! The settings file of a node: which one it is, and loading it.
//!
//! Called at the start and on each signal that the file has changed.

use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use lockusher_config::fault::Faults;
use lockusher_config::settings::NodeSettings;

/// The environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "LOCKUSHER_NODE_FILE";

/// Why there are no settings. Trying again helps once the environment or the file has changed.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The environment names no file.
    #[display("LOCKUSHER_NODE_FILE does not name the settings file")]
    NoFile,
    /// The file can't be read.
    #[display("{}: cannot be read: {source}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file was read, and isn't valid.
    #[display("{}: faulty settings\n{source}", file.display())]
    Faulty {
        /// The file.
        file: PathBuf,
        /// All of its faults.
        source: Faults,
    },
}

/// The file that the environment names.
///
/// # Errors
///
/// [`SettingsError::NoFile`].
pub fn settings_file() -> Result<PathBuf, SettingsError> {
    std::env::var_os(SETTINGS_VARIABLE)
        .map(PathBuf::from)
        .ok_or(SettingsError::NoFile)
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// [`SettingsError`] if the file can't be read or has faults; all of them are named.
pub fn load(file: &Path) -> Result<NodeSettings, SettingsError> {
    let text = std::fs::read_to_string(file).map_err(|source| SettingsError::Unreadable {
        file: file.to_owned(),
        source,
    })?;
    NodeSettings::parse(&text).map_err(|source| SettingsError::Faulty {
        file: file.to_owned(),
        source,
    })
}
