//! Which files a store uses, and which are obsolete.

use crate::error::FileError;
use crate::file_names::FileKind;
use crate::file_system::FileSystem;
use crate::frame_number::FrameNumber;
use crate::segment::OpenSegment;

/// A file and its size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredFile {
    pub name: String,
    pub bytes: u64,
}

/// A readable snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SnapshotFile {
    /// The snapshot covers all frames before this one.
    pub first_frame: FrameNumber,
    /// Size of the file.
    pub bytes: u64,
}

impl SnapshotFile {
    /// Name of the file.
    pub(crate) fn name(self) -> String {
        FileKind::Snapshot(self.first_frame).name()
    }
}

/// The files that recovery found.
#[derive(Debug, Default)]
pub(crate) struct Layout {
    /// The newest readable snapshot.
    pub snapshot: Option<SnapshotFile>,
    /// Segments before the last, oldest first.
    pub closed_segments: Vec<StoredFile>,
    /// The segment before the last, if its seal isn't written yet. Also contained in `closed_segments`.
    pub unsealed: Option<OpenSegment>,
    /// The last segment; `None` in an empty directory.
    pub tail: Option<OpenSegment>,
    /// Name of a segment that was created but whose header never became durable.
    pub unused_segment: Option<String>,
    /// Files that are no longer needed.
    pub obsolete: Vec<StoredFile>,
    /// Size of the reserve file; 0 if there is none.
    pub reserve_bytes: u64,
}

impl Layout {
    /// Makes everything that was read durable. A process that was killed may have left data that was written but never
    /// synced: it is readable now, and must not be lost by the next power loss.
    pub(crate) fn sync<F: FileSystem>(&self, files: &mut F) -> Result<(), FileError> {
        for segment in &self.closed_segments {
            files.sync_file(&segment.name)?;
        }
        if let Some(tail) = &self.tail {
            files.sync_file(&tail.name())?;
        }
        if let Some(snapshot) = self.snapshot {
            files.sync_file(&snapshot.name())?;
        }
        files.sync_directory()
    }
}
