//! Locates and loads the settings file of a node.
//!
//! Called at the start, on SIGHUP, and periodically for the current seeds ([`SeedFile`]): the file may change without a
//! signal.

use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use crate::fault::Faults;
use crate::settings::NodeSettings;
use derive_more::{Display, Error};

/// The environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "LOCKUSHER_NODE_FILE";

/// Why the settings can't be loaded. A retry can succeed only after the environment or the file has changed.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The environment variable isn't set.
    #[display("LOCKUSHER_NODE_FILE does not name the settings file")]
    NoFile,
    /// Reading the file failed.
    #[display("{}: cannot be read: {source}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file was read, but isn't valid.
    #[display("{}: faulty settings\n{source}", file.display())]
    Faulty {
        /// The file.
        file: PathBuf,
        /// All faults of the file.
        source: Faults,
    },
}

/// The path of the settings file, from the environment.
///
/// # Errors
///
/// [`SettingsError::NoFile`] if the environment variable isn't set.
pub fn settings_file() -> Result<PathBuf, SettingsError> {
    std::env::var_os(SETTINGS_VARIABLE)
        .map(PathBuf::from)
        .ok_or(SettingsError::NoFile)
}

/// Loads and validates a settings file.
///
/// # Errors
///
/// [`SettingsError`] if the file can't be read or has faults.
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

/// The current seeds of the settings file. The file is read again on request, and parsed only if its text has changed.
#[derive(Debug)]
pub struct SeedFile {
    /// `None` if the environment names no file: the initial seeds are then kept.
    file: Option<PathBuf>,
    text: String,
    seeds: Vec<SocketAddrV4>,
}

impl SeedFile {
    /// Creates the value with the initial seeds, for the file that the environment names.
    pub fn new(seeds: Vec<SocketAddrV4>) -> Self {
        Self::of(settings_file().ok(), seeds)
    }

    /// As [`new`](Self::new), but with an explicit file.
    pub fn of(file: Option<PathBuf>, seeds: Vec<SocketAddrV4>) -> Self {
        SeedFile {
            file,
            text: String::new(),
            seeds,
        }
    }

    /// The seeds that were read most recently.
    pub fn seeds(&self) -> &[SocketAddrV4] {
        &self.seeds
    }

    /// Reads the file again; returns whether the seeds have changed.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the file can't be read or has faults; the seeds are then unchanged.
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
        let changed = settings.seeds != self.seeds;
        self.seeds = settings.seeds;
        Ok(changed)
    }
}
