//! A file system in memory that loses power, fills up and fails as told.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};

use lockusher_storage::{FileError, FileErrorCause, FileOperation, FileSystem};

use super::simulated_file::{Change, SimulatedFile};

/// Decides what a loss of power leaves of what wasn't synced.
pub trait Choices {
    /// Picks one of `options` ways, from 0.
    fn choose(&mut self, options: usize) -> usize;
}

/// What befalls an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails for want of space; a write leaves half of its bytes.
    NoSpace,
    /// It fails; a write leaves half of its bytes.
    Io,
    /// It fails although it was carried out.
    IoAfterEffect,
}

/// A mistake put in on purpose, which a test must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// The sync of the folder does nothing.
    NoDirectorySync,
    /// The sync of a file does nothing.
    NoFileSync,
}

/// Files in memory. Clones share the same files, so that a test keeps its hand on the disk of a store.
#[derive(Clone, Debug, Default)]
pub struct SimulatedFileSystem {
    disk: Arc<Mutex<Disk>>,
}

#[derive(Clone, Debug, Default)]
struct Disk {
    files: Vec<SimulatedFile>,
    names: BTreeMap<String, Name>,
    operations: u64,
    written_bytes: u64,
    power_off_after: Option<u64>,
    faults: BTreeMap<u64, Fault>,
    capacity: Option<u64>,
    full: bool,
    injected_bug: Option<InjectedBug>,
}

/// A name with what it may stand for after a loss of power: the last value is the current one, and the first is the
/// one at the last sync of the folder.
#[derive(Clone, Debug)]
struct Name {
    values: Vec<Option<usize>>,
}

impl SimulatedFileSystem {
    /// An empty disk.
    pub fn new() -> SimulatedFileSystem {
        SimulatedFileSystem::default()
    }

    /// An independent copy of the disk as it is.
    pub fn fork(&self) -> SimulatedFileSystem {
        SimulatedFileSystem { disk: Arc::new(Mutex::new(self.disk().clone())) }
    }

    /// Operations that changed or synced something, or tried to.
    pub fn operations(&self) -> u64 {
        self.disk().operations
    }

    /// Bytes written in all.
    pub fn written_bytes(&self) -> u64 {
        self.disk().written_bytes
    }

    /// Bytes in all files.
    pub fn used_bytes(&self) -> u64 {
        self.disk().used_bytes()
    }

    /// From this number of operations on, every operation fails without effect; `None` for never. A process that is
    /// killed and started again finds the files as they are then, also what isn't synced.
    pub fn set_power_off_after(&self, operations: Option<u64>) {
        self.disk().power_off_after = operations;
    }

    /// The operation with this number (from 0, as counted by [`operations`](Self::operations)) fails.
    pub fn set_fault(&self, operation: u64, fault: Fault) {
        self.disk().faults.insert(operation, fault);
    }

    /// Writes fail beyond this many bytes in all files; `None` for no limit.
    pub fn set_capacity(&self, bytes: Option<u64>) {
        self.disk().capacity = bytes;
    }

    /// While set, creating, writing and truncating fail for want of space.
    pub fn set_full(&self, full: bool) {
        self.disk().full = full;
    }

    /// Takes back all faults that haven't struck yet.
    pub fn clear_faults(&self) {
        self.disk().faults.clear();
    }

    /// Puts in a mistake.
    pub fn inject_bug(&self, injected_bug: InjectedBug) {
        self.disk().injected_bug = Some(injected_bug);
    }

    /// Loses power: of what wasn't synced, each part is kept, lost or torn as the choices say. Then power is back.
    pub fn lose_power(&self, choices: &mut dyn Choices) {
        self.disk().lose_power(choices);
    }

    /// Names and contents as they can be read now.
    pub fn contents(&self) -> BTreeMap<String, Vec<u8>> {
        let disk = self.disk();
        let current = |name: &Name| name.current().map(|file| disk.files[file].content().to_vec());
        disk.names.iter().filter_map(|(name, value)| Some((name.clone(), current(value)?))).collect()
    }

    /// Replaces a file's content, durably: damage, or a file put there by hand.
    pub fn overwrite(&self, name: &str, content: Vec<u8>) {
        let mut disk = self.disk();
        let file = disk.add_file();
        disk.files[file] = SimulatedFile::with_content(content);
        disk.names.insert(name.to_owned(), Name { values: vec![Some(file)] });
    }

    /// Makes a file vanish, durably.
    pub fn erase(&self, name: &str) {
        self.disk().names.remove(name);
    }

    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.disk.lock().expect("no operation panics")
    }
}

impl FileSystem for SimulatedFileSystem {
    fn list(&mut self) -> Result<Vec<String>, FileError> {
        let disk = self.disk();
        disk.check_power().map_err(|cause| file_error(FileOperation::List, "", cause))?;
        let present = disk.names.iter().filter(|(_, value)| value.current().is_some());
        Ok(present.map(|(name, _)| name.clone()).collect())
    }

    fn length(&mut self, name: &str) -> Result<u64, FileError> {
        let disk = self.disk();
        let content = disk.read(name).map_err(|cause| file_error(FileOperation::Length, name, cause))?;
        Ok(content.len() as u64)
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>, FileError> {
        let disk = self.disk();
        let content = disk.read(name).map_err(|cause| file_error(FileOperation::Read, name, cause))?;
        Ok(content.to_vec())
    }

    fn create(&mut self, name: &str) -> Result<(), FileError> {
        self.disk().operate(FileOperation::Create, name, |disk, _| match disk.find(name) {
            Ok(file) => {
                disk.files[file].change(Change::Truncate { length: 0 });
                Ok(())
            }
            Err(_) => {
                let file = disk.add_file();
                disk.set_name(name, Some(file));
                Ok(())
            }
        })
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), FileError> {
        self.disk().operate(FileOperation::Write, name, |disk, fault| {
            let file = disk.find(name)?;
            let fitting = disk.bytes_that_fit(file, offset as usize, bytes.len());
            let written = match fault {
                Some(Fault::NoSpace | Fault::Io) => fitting.min(bytes.len() / 2),
                _ => fitting,
            };
            disk.written_bytes += written as u64;
            if written > 0 {
                disk.files[file]
                    .change(Change::Write { offset: offset as usize, bytes: bytes[..written].to_vec() });
            }
            match fitting < bytes.len() {
                true => Err(FileErrorCause::NoSpace),
                false => Ok(()),
            }
        })
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<(), FileError> {
        self.disk().operate(FileOperation::Truncate, name, |disk, fault| {
            let file = disk.find(name)?;
            if takes_effect(fault) {
                disk.files[file].change(Change::Truncate { length: length as usize });
            }
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> Result<(), FileError> {
        self.disk().operate(FileOperation::Remove, name, |disk, fault| {
            if takes_effect(fault) && disk.find(name).is_ok() {
                disk.set_name(name, None);
            }
            Ok(())
        })
    }

    fn sync_file(&mut self, name: &str) -> Result<(), FileError> {
        self.disk().operate(FileOperation::SyncFile, name, |disk, fault| {
            let file = disk.find(name)?;
            if takes_effect(fault) && disk.injected_bug != Some(InjectedBug::NoFileSync) {
                disk.files[file].sync();
            }
            Ok(())
        })
    }

    fn sync_directory(&mut self) -> Result<(), FileError> {
        self.disk().operate(FileOperation::SyncDirectory, "", |disk, fault| {
            if takes_effect(fault) && disk.injected_bug != Some(InjectedBug::NoDirectorySync) {
                disk.names.values_mut().for_each(Name::sync);
                disk.drop_unreferenced_contents();
            }
            Ok(())
        })
    }
}

/// Whether a full disk refuses this.
fn needs_space(operation: FileOperation) -> bool {
    matches!(operation, FileOperation::Create | FileOperation::Write | FileOperation::Truncate)
}

fn file_error(operation: FileOperation, name: &str, cause: FileErrorCause) -> FileError {
    FileError { operation, path: PathBuf::from(name), cause }
}

fn io_failure(message: &str) -> FileErrorCause {
    FileErrorCause::Io { kind: io::ErrorKind::Other, message: message.to_owned() }
}

/// Whether an operation does its work although it may fail.
fn takes_effect(fault: Option<Fault>) -> bool {
    !matches!(fault, Some(Fault::NoSpace | Fault::Io))
}

impl Disk {
    /// Counts an operation and lets it fail where it must.
    fn operate(
        &mut self,
        operation: FileOperation,
        name: &str,
        effect: impl FnOnce(&mut Disk, Option<Fault>) -> Result<(), FileErrorCause>,
    ) -> Result<(), FileError> {
        self.try_operate(operation, effect).map_err(|cause| file_error(operation, name, cause))
    }

    fn try_operate(
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

    fn check_power(&self) -> Result<(), FileErrorCause> {
        match self.power_off_after.is_some_and(|last| self.operations >= last) {
            true => Err(io_failure("power is off")),
            false => Ok(()),
        }
    }

    fn read(&self, name: &str) -> Result<&[u8], FileErrorCause> {
        self.check_power()?;
        Ok(self.files[self.find(name)?].content())
    }

    fn find(&self, name: &str) -> Result<usize, FileErrorCause> {
        self.names.get(name).and_then(Name::current).ok_or(FileErrorCause::NotFound)
    }

    fn add_file(&mut self) -> usize {
        self.files.push(SimulatedFile::default());
        self.files.len() - 1
    }

    fn set_name(&mut self, name: &str, value: Option<usize>) {
        let entry = self.names.entry(name.to_owned()).or_insert_with(|| Name { values: vec![None] });
        entry.values.push(value);
    }

    fn used_bytes(&self) -> u64 {
        self.names
            .values()
            .filter_map(Name::current)
            .map(|file| self.files[file].content().len() as u64)
            .sum()
    }

    /// How many of the bytes fit.
    fn bytes_that_fit(&self, file: usize, offset: usize, length: usize) -> usize {
        let Some(capacity) = self.capacity else {
            return length;
        };
        let inside = self.files[file].content().len().saturating_sub(offset).min(length);
        let free = capacity.saturating_sub(self.used_bytes()) as usize;
        (inside + free).min(length)
    }

    /// Drops the contents of files that no name stands for, nor may after a loss of power.
    fn drop_unreferenced_contents(&mut self) {
        self.names.retain(|_, name| name.values != [None]);
        let present: Vec<usize> =
            self.names.values().flat_map(|name| name.values.clone()).flatten().collect();
        for (index, file) in self.files.iter_mut().enumerate() {
            if !present.contains(&index) {
                *file = SimulatedFile::default();
            }
        }
    }

    fn lose_power(&mut self, choices: &mut dyn Choices) {
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
    fn current(&self) -> Option<usize> {
        *self.values.last().expect("a name has a value")
    }

    fn sync(&mut self) {
        self.values = vec![self.current()];
    }
}
