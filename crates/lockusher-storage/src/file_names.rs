//! Names of a store's files, and what each name tells about the content.
//!
//! A segment is named after its first frame and a snapshot after the first frame that it doesn't cover, in 20 decimal
//! digits, so that names sort in the order of their numbers. Files are never renamed.

use crate::frame_number::FrameNumber;

const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// Kind of a file, as parsed from its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    /// A segment that begins with this frame.
    Segment(FrameNumber),
    /// A snapshot that covers all frames before this one.
    Snapshot(FrameNumber),
}

impl FileKind {
    /// Parses a file name; `None` for a name that [`name`](Self::name) wouldn't produce, such as one with fewer digits.
    pub(crate) fn parse(name: &str) -> Option<FileKind> {
        let kind = match name.strip_prefix(SEGMENT_PREFIX) {
            Some(digits) => FileKind::Segment(FrameNumber(digits.parse().ok()?)),
            None => {
                let digits = name.strip_prefix(SNAPSHOT_PREFIX)?;
                FileKind::Snapshot(FrameNumber(digits.parse().ok()?))
            }
        };
        (kind.name() == name).then_some(kind)
    }

    /// Name of the file.
    pub(crate) fn name(self) -> String {
        match self {
            FileKind::Segment(FrameNumber(number)) => format!("{SEGMENT_PREFIX}{number:020}"),
            FileKind::Snapshot(FrameNumber(number)) => format!("{SNAPSHOT_PREFIX}{number:020}"),
        }
    }
}

/// Exists while a reset is in progress; see [`Store::reset`](crate::Store::reset).
pub(crate) const RESET_MARKER_FILE: &str = "reset";
/// Occupies reserved space; see [`Reserve`](crate::reserve::Reserve).
pub(crate) const RESERVE_FILE: &str = "reserve";
