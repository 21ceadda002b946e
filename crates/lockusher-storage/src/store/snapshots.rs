//! Snapshots: replace the log by the state that results from it.
//!
//! Order of the writes: a new segment N (if the tail holds frames), the snapshot N with its content and then its name,
//! and only then the removal of the older files. A power loss at any point leaves either the old log or the new
//! snapshot, and possibly obsolete files.

use crate::error::StoreError;
use crate::file_names::FileKind;
use crate::file_system::FileSystem;
use crate::format;
use crate::layout::{SnapshotFile, StoredFile};
use crate::segment::write_new_file;
use crate::store::Store;

impl<F: FileSystem> Store<F> {
    /// Replaces everything appended so far by a snapshot of it, and removes the older segments and snapshots. The
    /// snapshot is durable when this returns.
    ///
    /// # Errors
    ///
    /// After every error the log is as before.
    pub fn snapshot(&mut self, snapshot: &[u8]) -> Result<(), StoreError> {
        let bytes = (format::SNAPSHOT_HEADER_BYTES + snapshot.len()) as u64;
        if snapshot.len() as u64 > format::MAX_PAYLOAD_BYTES {
            return Err(StoreError::TooLarge { bytes });
        }
        let exceeds_disk = self.used_bytes() + bytes > self.options.disk_bytes;
        if self.options.disk_size_is_known() && exceeds_disk {
            return Err(StoreError::NoSpace);
        }
        let reserve_bytes = match self.write_snapshot(snapshot) {
            Ok(()) => self.options.reserve_bytes(bytes),
            Err(StoreError::NoSpace) if !self.reserve.is_empty() => {
                self.reserve.release(&mut self.files)?;
                self.write_snapshot(snapshot)?;
                // On a disk that was full, the reserve gets only a quarter more than the snapshot: appends need the
                // freed space.
                bytes + bytes / 4
            }
            Err(error) => return Err(error),
        };
        self.replace_snapshot(bytes);
        self.remove_obsolete();
        self.reserve.ensure(&mut self.files, bytes, reserve_bytes);
        Ok(())
    }

    /// Writes the snapshot's file; the snapshot covers all frames before the tail, which is empty.
    fn write_snapshot(&mut self, snapshot: &[u8]) -> Result<(), StoreError> {
        self.repair()?;
        let tail_start = self.tail.first_frame;
        let name_is_taken = self
            .snapshot
            .is_some_and(|snapshot| snapshot.first_frame == tail_start);
        if name_is_taken || self.tail.has_frames() {
            self.roll()?;
        }
        let first_frame = self.tail.first_frame;
        let name = FileKind::Snapshot(first_frame).name();
        self.obsolete.retain(|file| file.name != name);
        let content = format::encode_snapshot(first_frame, snapshot);
        if let Err(error) = write_new_file(&mut self.files, &name, &content) {
            // If it can't be removed, the next snapshot overwrites it or recovery ignores it.
            let _ = self.files.remove(&name);
            return Err(error.into());
        }
        Ok(())
    }

    /// Makes the snapshot before the tail, of this size, the newest; the files that it replaces become obsolete.
    fn replace_snapshot(&mut self, bytes: u64) {
        let newest = SnapshotFile {
            first_frame: self.tail.first_frame,
            bytes,
        };
        if let Some(older) = self.snapshot.replace(newest) {
            self.obsolete.push(StoredFile {
                name: older.name(),
                bytes: older.bytes,
            });
        }
        self.obsolete.append(&mut self.closed_segments);
        self.append_out_of_space = false;
    }

    /// Removes the obsolete files. Those that can't be removed now are removed after the next snapshot or opening.
    pub(super) fn remove_obsolete(&mut self) {
        if self.obsolete.is_empty() {
            return;
        }
        let files = &mut self.files;
        self.obsolete
            .retain(|file| files.remove(&file.name).is_err());
        if let Err(error) = self.files.sync_directory() {
            log::warn!(
                "removal of obsolete log files is not durable, they may reappear after a power loss: {error}"
            );
        }
    }
}
