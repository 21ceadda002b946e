//! The file operations that the store needs.

use crate::error::FileError;

/// One directory of files. There is no rename: the store never needs one (`docs/design/storage.md`).
///
/// Content is guaranteed to survive a power loss only after [`sync_file`](FileSystem::sync_file), the creation or
/// removal of a name only after [`sync_directory`](FileSystem::sync_directory). Any subset of the changes that weren't
/// synced may survive, in any order.
pub trait FileSystem {
    /// Names of all files, in no particular order.
    ///
    /// # Errors
    ///
    /// If the directory can't be read. A directory that doesn't exist yet is empty.
    fn list(&mut self) -> Result<Vec<String>, FileError>;

    /// Size of a file in bytes.
    ///
    /// # Errors
    ///
    /// If the file doesn't exist or can't be looked up.
    fn length(&mut self, name: &str) -> Result<u64, FileError>;

    /// The complete content of a file.
    ///
    /// # Errors
    ///
    /// If the file doesn't exist or can't be read.
    fn read(&mut self, name: &str) -> Result<Vec<u8>, FileError>;

    /// Creates an empty file, or empties the one that exists.
    ///
    /// # Errors
    ///
    /// On an I/O error; the file may exist afterwards.
    fn create(&mut self, name: &str) -> Result<(), FileError>;

    /// Writes at an offset of an existing file.
    ///
    /// # Errors
    ///
    /// If the file doesn't exist or on an I/O error; a part of the bytes may have been written.
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), FileError>;

    /// Shortens an existing file to this length.
    ///
    /// # Errors
    ///
    /// If the file doesn't exist or on an I/O error.
    fn truncate(&mut self, name: &str, length: u64) -> Result<(), FileError>;

    /// Removes a file; succeeds if it doesn't exist.
    ///
    /// # Errors
    ///
    /// On an I/O error.
    fn remove(&mut self, name: &str) -> Result<(), FileError>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// If the file doesn't exist or on an I/O error; it is unknown then which changes are durable.
    fn sync_file(&mut self, name: &str) -> Result<(), FileError>;

    /// Makes creations and removals of names durable.
    ///
    /// # Errors
    ///
    /// On an I/O error; it is unknown then which changes are durable.
    fn sync_directory(&mut self) -> Result<(), FileError>;
}
