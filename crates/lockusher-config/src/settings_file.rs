//! The settings file of a node: which one it is, and loading it.
//!
//! Called at the start, on each signal that the file has changed, and by whoever looks for newer seeds: the file may change
//! without a signal.

use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use crate::fault::Faults;
use crate::settings::NodeSettings;
use derive_more::{Display, Error};

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

/// The seeds as the settings file names them now. It is read again on request, and parsed only if its text has changed.
#[derive(Debug)]
pub struct SeedFile {
    /// Absent if the environment names no file: the seeds of the start are used for ever.
    file: Option<PathBuf>,
    text: String,
    seeds: Vec<SocketAddrV4>,
}

impl SeedFile {
    /// Begins with the seeds that the process was started with.
    pub fn new(seeds: Vec<SocketAddrV4>) -> Self {
        Self::of(settings_file().ok(), seeds)
    }

    /// The same with a file that the environment doesn't name.
    pub fn of(file: Option<PathBuf>, seeds: Vec<SocketAddrV4>) -> Self {
        SeedFile {
            file,
            text: String::new(),
            seeds,
        }
    }

    /// The seeds that were read last.
    pub fn seeds(&self) -> &[SocketAddrV4] {
        &self.seeds
    }

    /// Reads the file again; true if the seeds differ from those before.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the file can't be read or has faults; the seeds stay as they were.
    pub fn refresh(&mut self) -> Result<bool, SettingsError> {
        let Some(file) = &self.file else {
            return Ok(false);
        };
        let unreadable = |source| SettingsError::Unreadable {
            file: file.clone(),
            source,
        };
        let text = std::fs::read_to_string(file).map_err(unreadable)?;
        if text == self.text {
            return Ok(false);
        }
        let settings = NodeSettings::parse(&text).map_err(|source| SettingsError::Faulty {
            file: file.clone(),
            source,
        })?;
        self.text = text;
        let differs = settings.seeds != self.seeds;
        self.seeds = settings.seeds;
        Ok(differs)
    }
}
