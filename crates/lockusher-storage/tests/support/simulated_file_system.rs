//! An in-memory file system with simulated power losses, full disks and I/O errors.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use lockusher_storage::{FileError, FileErrorCause, FileOperation, FileSystem};

use super::simulated_disk::{Choices, Disk, Fault, InjectedBug, Name, file_error, takes_effect};
use super::simulated_file::{Change, SimulatedFile};

/// Files in memory. Clones share the same files, so that a test retains access to the disk of a store.
#[derive(Clone, Debug, Default)]
pub struct SimulatedFileSystem {
    disk: Arc<Mutex<Disk>>,
}

impl SimulatedFileSystem {
    /// An empty disk.
    pub fn new() -> SimulatedFileSystem {
        SimulatedFileSystem::default()
    }

    /// An independent copy of the disk as it is.
    pub fn fork(&self) -> SimulatedFileSystem {
        SimulatedFileSystem {
            disk: Arc::new(Mutex::new(self.disk().clone())),
        }
    }

    /// Number of attempted operations that change or sync something.
    pub fn operations(&self) -> u64 {
        self.disk().operations
    }

    /// Total number of bytes written.
    pub fn written_bytes(&self) -> u64 {
        self.disk().written_bytes
    }

    /// Total size of all files in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.disk().used_bytes()
    }

    /// After this number of operations, every operation fails without effect; `None` for never. A process that is
    /// killed and restarted finds the files unchanged, including unsynced changes.
    pub fn set_power_off_after(&self, operations: Option<u64>) {
        self.disk().power_off_after = operations;
    }

    /// The operation with this number (from 0, as counted by [`operations`](Self::operations)) fails.
    pub fn set_fault(&self, operation: u64, fault: Fault) {
        self.disk().faults.insert(operation, fault);
    }

    /// Limits the total size of all files in bytes; `None` for no limit.
    pub fn set_capacity(&self, bytes: Option<u64>) {
        self.disk().capacity = bytes;
    }

    /// While set, creating, writing and truncating fail for lack of space.
    pub fn set_full(&self, full: bool) {
        self.disk().full = full;
    }

    /// Removes all pending faults.
    pub fn clear_faults(&self) {
        self.disk().faults.clear();
    }

    /// Injects a bug.
    pub fn inject_bug(&self, injected_bug: InjectedBug) {
        self.disk().injected_bug = Some(injected_bug);
    }

    /// Simulates a power loss: the choices decide for each unsynced change whether it survives, is lost or torn. Power
    /// is on again afterwards.
    pub fn lose_power(&self, choices: &mut dyn Choices) {
        self.disk().lose_power(choices);
    }

    /// Current names and contents of all files.
    pub fn contents(&self) -> BTreeMap<String, Vec<u8>> {
        let disk = self.disk();
        let current = |name: &Name| {
            name.current()
                .map(|file| disk.files[file].content().to_vec())
        };
        disk.names
            .iter()
            .filter_map(|(name, value)| Some((name.clone(), current(value)?)))
            .collect()
    }

    /// Durably replaces a file's content, or creates the file.
    pub fn overwrite(&self, name: &str, content: Vec<u8>) {
        let mut disk = self.disk();
        let file = disk.add_file();
        disk.files[file] = SimulatedFile::with_content(content);
        disk.names.insert(
            name.to_owned(),
            Name {
                values: vec![Some(file)],
            },
        );
    }

    /// Durably removes a file.
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
        disk.check_power()
            .map_err(|cause| file_error(FileOperation::List, "", cause))?;
        let present = disk
            .names
            .iter()
            .filter(|(_, value)| value.current().is_some());
        Ok(present.map(|(name, _)| name.clone()).collect())
    }

    fn length(&mut self, name: &str) -> Result<u64, FileError> {
        let disk = self.disk();
        let content = disk
            .read(name)
            .map_err(|cause| file_error(FileOperation::Length, name, cause))?;
        Ok(content.len() as u64)
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>, FileError> {
        let disk = self.disk();
        let content = disk
            .read(name)
            .map_err(|cause| file_error(FileOperation::Read, name, cause))?;
        Ok(content.to_vec())
    }

    fn create(&mut self, name: &str) -> Result<(), FileError> {
        self.disk().operate(FileOperation::Create, name, |disk, _| {
            match disk.find(name) {
                Ok(file) => {
                    disk.files[file].change(Change::Truncate { length: 0 });
                    Ok(())
                }
                Err(_) => {
                    let file = disk.add_file();
                    disk.set_name(name, Some(file));
                    Ok(())
                }
            }
        })
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), FileError> {
        self.disk()
            .operate(FileOperation::Write, name, |disk, fault| {
                let file = disk.find(name)?;
                let fitting = disk.bytes_that_fit(file, offset as usize, bytes.len());
                let written = match fault {
                    Some(Fault::NoSpace | Fault::Io) => fitting.min(bytes.len() / 2),
                    _ => fitting,
                };
                disk.written_bytes += written as u64;
                if written > 0 {
                    disk.files[file].change(Change::Write {
                        offset: offset as usize,
                        bytes: bytes[..written].to_vec(),
                    });
                }
                match fitting < bytes.len() {
                    true => Err(FileErrorCause::NoSpace),
                    false => Ok(()),
                }
            })
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<(), FileError> {
        self.disk()
            .operate(FileOperation::Truncate, name, |disk, fault| {
                let file = disk.find(name)?;
                if takes_effect(fault) {
                    disk.files[file].change(Change::Truncate {
                        length: length as usize,
                    });
                }
                Ok(())
            })
    }

    fn remove(&mut self, name: &str) -> Result<(), FileError> {
        self.disk()
            .operate(FileOperation::Remove, name, |disk, fault| {
                if takes_effect(fault) && disk.find(name).is_ok() {
                    disk.set_name(name, None);
                }
                Ok(())
            })
    }

    fn sync_file(&mut self, name: &str) -> Result<(), FileError> {
        self.disk()
            .operate(FileOperation::SyncFile, name, |disk, fault| {
                let file = disk.find(name)?;
                if takes_effect(fault) && disk.injected_bug != Some(InjectedBug::NoFileSync) {
                    disk.files[file].sync();
                }
                Ok(())
            })
    }

    fn sync_directory(&mut self) -> Result<(), FileError> {
        self.disk()
            .operate(FileOperation::SyncDirectory, "", |disk, fault| {
                if takes_effect(fault) && disk.injected_bug != Some(InjectedBug::NoDirectorySync) {
                    disk.names.values_mut().for_each(Name::sync);
                    disk.drop_unreferenced_contents();
                }
                Ok(())
            })
    }
}
