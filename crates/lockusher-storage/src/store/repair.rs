//! Repair: brings the files back to what the store relies on, where an earlier operation failed half-way.
//!
//! Each operation starts with [`Store::repair`], so that a store works again once its disk does, without being opened
//! again. Every repair can be repeated.

use crate::error::FileError;
use crate::file_names::FileKind;
use crate::file_system::FileSystem;
use crate::frame_number::FrameNumber;
use crate::store::Store;

impl<F: FileSystem> Store<F> {
    /// Repairs what is due: an abandoned segment must be gone, and a missing seal written, before the tail grows.
    pub(super) fn repair(&mut self) -> Result<(), FileError> {
        self.remove_abandoned_segment()?;
        self.write_missing_seal()?;
        self.tail.repair(&mut self.files)
    }

    /// Repairs at opening. A full disk is no reason not to open: what fails here is done by the next operation.
    pub(super) fn repair_at_open(&mut self) {
        if let Err(error) = self.repair() {
            log::warn!("the end of the log can't be repaired yet: {error}");
        }
        self.remove_obsolete();
        let snapshot_bytes = self.snapshot_bytes();
        let target_bytes = self.options.reserve_bytes(snapshot_bytes);
        self.reserve
            .ensure(&mut self.files, snapshot_bytes, target_bytes);
    }

    /// Notes that the creation of a segment failed, and tries to remove what there is of it.
    pub(super) fn abandon_segment(&mut self, first_frame: FrameNumber) {
        self.abandoned_segment = Some(FileKind::Segment(first_frame).name());
        // If this fails, the next operation begins with it.
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
