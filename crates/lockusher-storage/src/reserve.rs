//! Space reserved for the next snapshot, occupied by a file of zeros.
//!
//! Appends leave a part of the disk free by themselves ([`StoreOptions`](crate::StoreOptions)); the reserve file helps
//! where something else fills the disk. It is removed when a snapshot finds no space, and written again after one.

use crate::error::FileError;
use crate::file_names::RESERVE_FILE;
use crate::file_system::FileSystem;
use crate::segment::write_new_file;

/// The reserve file.
#[derive(Debug)]
pub(crate) struct Reserve {
    bytes: u64,
}

impl Reserve {
    /// The reserve as found on the disk; of 0 bytes if there is none.
    pub(crate) fn new(bytes: u64) -> Reserve {
        Reserve { bytes }
    }

    /// Whether there is no space to release.
    pub(crate) fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Writes the reserve with `target_bytes`, unless it has as many, or more than `sufficient_bytes`. A disk without
    /// space for it is no error: the store works without a reserve.
    pub(crate) fn ensure<F: FileSystem>(
        &mut self,
        files: &mut F,
        sufficient_bytes: u64,
        target_bytes: u64,
    ) {
        if self.bytes > sufficient_bytes || self.bytes >= target_bytes {
            return;
        }
        match write_new_file(files, RESERVE_FILE, &vec![0; target_bytes as usize]) {
            Ok(()) => self.bytes = target_bytes,
            Err(error) => {
                log::warn!("no space is reserved for a snapshot: {error}");
                self.bytes = 0;
                // A partial file only occupies space; it is overwritten by the next attempt.
                let _ = files.remove(RESERVE_FILE);
            }
        }
    }

    /// Gives the space up.
    pub(crate) fn release<F: FileSystem>(&mut self, files: &mut F) -> Result<(), FileError> {
        files.remove(RESERVE_FILE)?;
        files.sync_directory()?;
        self.bytes = 0;
        Ok(())
    }
}
