//! Repair: restores the invariants of the files after an operation that failed half-way.
//!
//! Each operation starts with [`Store::repair`], so that a store works again as soon as its disk does, without being
//! reopened. Repairs are idempotent.

use crate::error::FileError;
use crate::file_names::FileKind;
use crate::file_system::FileSystem;
use crate::frame_number::FrameNumber;
use crate::store::Store;

impl<F: FileSystem> Store<F> {
    /// Performs the pending repairs: removes an abandoned segment, writes a missing seal and cuts off a torn append,
    /// all of which must precede the next append.
    pub(super) fn repair(&mut self) -> Result<(), FileError> {
        self.remove_abandoned_segment()?;
        self.write_missing_seal()?;
        self.tail.repair(&mut self.files)
    }

    /// Repairs at opening. A failure doesn't prevent opening, so that a store on a full disk can be opened: the next
    /// operation repeats the repair.
    pub(super) fn repair_at_open(&mut self) {
        if let Err(error) = self.repair() {
            log::warn!("repair of the end of the log failed and will be retried: {error}");
        }
        self.remove_obsolete();
        let snapshot_bytes = self.snapshot_bytes();
        let target_bytes = self.options.reserve_bytes(snapshot_bytes);
        self.reserve
            .ensure(&mut self.files, snapshot_bytes, target_bytes);
    }

    /// Records that the creation of a segment failed, and tries to remove its file.
    pub(super) fn abandon_segment(&mut self, first_frame: FrameNumber) {
        self.abandoned_segment = Some(FileKind::Segment(first_frame).name());
        // If this fails, the next operation repeats it.
        let _ = self.remove_abandoned_segment();
    }

    fn remove_abandoned_segment(&mut self) -> Result<(), FileError> {
        if let Some(name) = &self.abandoned_segment {
            self.files.remove(name)?;
            self.files.sync_directory()?;
            self.abandoned_segment = None;
        }
        Ok(())
    }

    fn write_missing_seal(&mut self) -> Result<(), FileError> {
        if let Some(segment) = &mut self.unsealed {
            segment.seal(&mut self.files)?;
            self.unsealed = None;
        }
        Ok(())
    }
}
