//! Snapshots: replace the log by the state that it adds up to.
//!
//! Order of the writes: a new segment N (if the tail holds frames), the snapshot N with its content and then its name,
//! and only then the removal of what is older. A power loss at any point leaves either the old log or the new snapshot,
//! and perhaps files that are no longer needed.

use crate::error::StoreError;
use crate::file_names::FileKind;
use crate::file_system::FileSystem;
use crate::format;
use crate::layout::{SnapshotFile, StoredFile};
use crate::segment::write_new_file;
use crate::store::Store;

impl<F: FileSystem> Store<F> {
    /// Replaces everything appended so far by a snapshot of it; it is durable when this returns. Then the older
    /// segments and snapshots are removed.
    ///
    /// # Errors
    ///
    /// After any of them the log stands as before.
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
                // On a disk that was full, appends need the space that the snapshot has freed.
                bytes + bytes / 4
            }
            Err(error) => return Err(error),
        };
        self.supersede(bytes);
        self.remove_obsolete();
        self.reserve.ensure(&mut self.files, bytes, reserve_bytes);
        Ok(())
    }

    /// Writes the snapshot's file, so that it covers everything before an empty tail.
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
            // Should it stay, it is overwritten by the next snapshot or ignored at opening.
            let _ = self.files.remove(&name);
            return Err(error.into());
        }
        Ok(())
    }

    /// Notes that the snapshot before the tail, of this size, is the newest; what it replaces is obsolete.
    fn supersede(&mut self, bytes: u64) {
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

    /// What can't be removed now is removed after the next snapshot or at the next opening.
    pub(super) fn remove_obsolete(&mut self) {
        if self.obsolete.is_empty() {
            return;
        }
        let files = &mut self.files;
        self.obsolete
            .retain(|file| files.remove(&file.name).is_err());
        if let Err(error) = self.files.sync_directory() {
            log::warn!("obsolete files of the log may reappear after a power loss: {error}");
        }
    }
}
