//! The disk of a simulated file system: names, contents, faults and the effects of a power loss.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;

use lockusher_storage::{FileError, FileErrorCause, FileOperation};

use super::simulated_file::SimulatedFile;

/// Chooses the outcome of a power loss for each unsynced change.
pub trait Choices {
    /// Picks one of `options` outcomes, from 0.
    fn choose(&mut self, options: usize) -> usize;
}

/// How an operation fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails for lack of space; a write leaves half of its bytes.
    NoSpace,
    /// It fails; a write leaves half of its bytes.
    Io,
    /// It fails although it took effect.
    IoAfterEffect,
}

/// A deliberately injected bug that a test must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// The sync of the directory does nothing.
    NoDirectorySync,
    /// The sync of a file does nothing.
    NoFileSync,
}

/// The state of the disk, with pending faults.
#[derive(Clone, Debug, Default)]
pub(super) struct Disk {
    pub(super) files: Vec<SimulatedFile>,
    pub(super) names: BTreeMap<String, Name>,
    pub(super) operations: u64,
    pub(super) written_bytes: u64,
    pub(super) power_off_after: Option<u64>,
    pub(super) faults: BTreeMap<u64, Fault>,
    pub(super) capacity: Option<u64>,
    pub(super) full: bool,
    pub(super) injected_bug: Option<InjectedBug>,
}

/// The files that a name may refer to after a power loss: the last value is the current one, the first is that of the
/// last directory sync. `None` means that the name doesn't exist.
#[derive(Clone, Debug)]
pub(super) struct Name {
    pub(super) values: Vec<Option<usize>>,
}

/// Whether the operation fails on a full disk.
pub(super) fn needs_space(operation: FileOperation) -> bool {
    matches!(
        operation,
        FileOperation::Create | FileOperation::Write | FileOperation::Truncate
    )
}

pub(super) fn file_error(operation: FileOperation, name: &str, cause: FileErrorCause) -> FileError {
    FileError {
        operation,
        path: PathBuf::from(name),
        cause,
    }
}

pub(super) fn io_failure(message: &str) -> FileErrorCause {
    FileErrorCause::Io {
        kind: io::ErrorKind::Other,
        message: message.to_owned(),
    }
}

/// Whether an operation with this fault takes effect.
pub(super) fn takes_effect(fault: Option<Fault>) -> bool {
    !matches!(fault, Some(Fault::NoSpace | Fault::Io))
}

impl Disk {
    /// Counts an operation and applies a pending fault to it.
    pub(super) fn operate(
        &mut self,
        operation: FileOperation,
        name: &str,
        effect: impl FnOnce(&mut Disk, Option<Fault>) -> Result<(), FileErrorCause>,
    ) -> Result<(), FileError> {
        self.try_operate(operation, effect)
            .map_err(|cause| file_error(operation, name, cause))
    }

    pub(super) fn try_operate(
        &mut self,
        operation: FileOperation,
        effect: impl FnOnce(&mut Disk, Option<Fault>) -> Result<(), FileErrorCause>,
    ) -> Result<(), FileErrorCause> {
        self.check_power()?;
        let fault = self.faults.remove(&self.operations);
        self.operations += 1;
        if self.full && needs_space(operation) {
            return Err(FileErrorCause::NoSpace);
        }
        effect(self, fault)?;
        match fault {
            None => Ok(()),
            Some(Fault::NoSpace) => Err(FileErrorCause::NoSpace),
            Some(Fault::Io | Fault::IoAfterEffect) => Err(io_failure("simulated fault")),
        }
    }

    pub(super) fn check_power(&self) -> Result<(), FileErrorCause> {
        match self
            .power_off_after
            .is_some_and(|last| self.operations >= last)
        {
            true => Err(io_failure("power is off")),
            false => Ok(()),
        }
    }

    pub(super) fn read(&self, name: &str) -> Result<&[u8], FileErrorCause> {
        self.check_power()?;
        Ok(self.files[self.find(name)?].content())
    }

    pub(super) fn find(&self, name: &str) -> Result<usize, FileErrorCause> {
        self.names
            .get(name)
            .and_then(Name::current)
            .ok_or(FileErrorCause::NotFound)
    }

    pub(super) fn add_file(&mut self) -> usize {
        self.files.push(SimulatedFile::default());
        self.files.len() - 1
    }

    pub(super) fn set_name(&mut self, name: &str, value: Option<usize>) {
        let entry = self
            .names
            .entry(name.to_owned())
            .or_insert_with(|| Name { values: vec![None] });
        entry.values.push(value);
    }

    pub(super) fn used_bytes(&self) -> u64 {
        self.names
            .values()
            .filter_map(Name::current)
            .map(|file| self.files[file].content().len() as u64)
            .sum()
    }

    /// How many of `length` bytes at `offset` fit on the disk.
    pub(super) fn bytes_that_fit(&self, file: usize, offset: usize, length: usize) -> usize {
        let Some(capacity) = self.capacity else {
            return length;
        };
        let inside = self.files[file]
            .content()
            .len()
            .saturating_sub(offset)
            .min(length);
        let free = capacity.saturating_sub(self.used_bytes()) as usize;
        (inside + free).min(length)
    }

    /// Drops the contents of files that no name refers to, now or after a power loss.
    pub(super) fn drop_unreferenced_contents(&mut self) {
        self.names.retain(|_, name| name.values != [None]);
        let present: Vec<usize> = self
            .names
            .values()
            .flat_map(|name| name.values.clone())
            .flatten()
            .collect();
        for (index, file) in self.files.iter_mut().enumerate() {
            if !present.contains(&index) {
                *file = SimulatedFile::default();
            }
        }
    }

    pub(super) fn lose_power(&mut self, choices: &mut dyn Choices) {
        for name in self.names.values_mut() {
            if name.values.len() > 1 {
                let chosen = choices.choose(name.values.len());
                name.values = vec![name.values[chosen]];
            }
        }
        self.drop_unreferenced_contents();
        for file in &mut self.files {
            file.lose_power(choices);
        }
        self.power_off_after = None;
        self.faults.clear();
    }
}

impl Name {
    pub(super) fn current(&self) -> Option<usize> {
        *self.values.last().expect("a name has a value")
    }

    pub(super) fn sync(&mut self) {
        self.values = vec![self.current()];
    }
}
