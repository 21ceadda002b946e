//! Disk space reserved for the next snapshot by a file of zeros.
//!
//! Appends leave a part of the disk free ([`StoreOptions`](crate::StoreOptions)); the reserve file guarantees space for
//! a snapshot even if another process fills the disk. It is removed when a snapshot runs out of space, and written
//! again after the snapshot.

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
    /// The reserve as found on the disk; 0 bytes if there is none.
    pub(crate) fn new(bytes: u64) -> Reserve {
        Reserve { bytes }
    }

    /// Whether no space is reserved.
    pub(crate) fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Writes the reserve file with `target_bytes`, unless it has at least that size or more than `sufficient_bytes`.
    /// A failure is only logged: the store works without a reserve.
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
                log::warn!("can't reserve {target_bytes} bytes for the next snapshot: {error}");
                self.bytes = 0;
                // A partial file would only occupy space. If it can't be removed, the next attempt overwrites it.
                let _ = files.remove(RESERVE_FILE);
            }
        }
    }

    /// Frees the reserved space.
    pub(crate) fn release<F: FileSystem>(&mut self, files: &mut F) -> Result<(), FileError> {
        files.remove(RESERVE_FILE)?;
        files.sync_directory()?;
        self.bytes = 0;
        Ok(())
    }
}
