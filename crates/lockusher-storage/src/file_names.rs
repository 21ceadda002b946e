//! Names of the files of a store, and what each says of its content.
//!
//! A segment is named after its first frame and a snapshot after the first frame that it doesn't cover, in 20 decimal
//! digits, so that the names sort as the numbers do. No file is ever renamed.

use crate::frame_number::FrameNumber;

const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// What a file's name says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    /// A segment that begins with this frame.
    Segment(FrameNumber),
    /// A snapshot of all before this frame.
    Snapshot(FrameNumber),
}

impl FileKind {
    /// The segment or snapshot of this name; `None` for any other name, also one that [`name`](Self::name) wouldn't
    /// spell so.
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

/// Marks that a reset has started; see [`Store::reset`](crate::Store::reset).
pub(crate) const RESET_MARKER_FILE: &str = "reset";
/// Reserved space; see [`Reserve`](crate::reserve::Reserve).
pub(crate) const RESERVE_FILE: &str = "reserve";
