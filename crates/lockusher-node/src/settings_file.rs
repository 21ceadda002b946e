//! The settings file of a node.

use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use lockusher_config::fault::Faults;
use lockusher_config::settings::NodeSettings;

/// Names the settings file.
pub const SETTINGS_VARIABLE: &str = "LOCKUSHER_NODE_FILE";

/// Why there are no settings.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    #[display("LOCKUSHER_NODE_FILE does not name the settings file")]
    NoFile,
    #[display("{}: cannot be read: {source}", file.display())]
    Unreadable { file: PathBuf, source: io::Error },
    #[display("{}: faulty settings\n{source}", file.display())]
    Faulty { file: PathBuf, source: Faults },
}

/// The file that the environment names.
pub fn settings_file() -> Result<PathBuf, SettingsError> {
    std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from).ok_or(SettingsError::NoFile)
}

/// Reads and checks a settings file.
pub fn load(file: &Path) -> Result<NodeSettings, SettingsError> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| SettingsError::Unreadable { file: file.to_owned(), source })?;
    NodeSettings::parse(&text).map_err(|source| SettingsError::Faulty { file: file.to_owned(), source })
}
