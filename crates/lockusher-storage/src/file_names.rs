//! Names of the files of a store.

const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// What a file's name says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    /// A segment that begins with this frame.
    Segment(u64),
    /// A snapshot of all before this frame.
    Snapshot(u64),
}

impl FileKind {
    pub(crate) fn of(name: &str) -> Option<FileKind> {
        let kind = match name.strip_prefix(SEGMENT_PREFIX) {
            Some(number) => FileKind::Segment(number.parse().ok()?),
            None => FileKind::Snapshot(name.strip_prefix(SNAPSHOT_PREFIX)?.parse().ok()?),
        };
        (kind.name() == name).then_some(kind)
    }

    pub(crate) fn name(self) -> String {
        match self {
            FileKind::Segment(first_frame) => format!("{SEGMENT_PREFIX}{first_frame:020}"),
            FileKind::Snapshot(first_frame) => format!("{SNAPSHOT_PREFIX}{first_frame:020}"),
        }
    }
}

/// Marks a reset that has begun; see [`Store::reset`](crate::Store::reset).
pub(crate) const RESET_MARKER_FILE: &str = "reset";
/// Room that is given up for a snapshot when the disk is full.
pub(crate) const RESERVE_FILE: &str = "reserve";
