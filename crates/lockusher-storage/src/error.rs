//! Errors of the two layers: a [`FileSystem`](crate::FileSystem) fails with [`FileError`], a
//! [`Store`](crate::Store) with [`StoreError`].

use std::io;
use std::path::PathBuf;

use derive_more::{Display, Error};

use crate::frame_number::FrameNumber;

/// An operation of a [`FileSystem`](crate::FileSystem).
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum FileOperation {
    /// List the names in the directory.
    #[display("list")]
    List,
    /// Look up the length of a file.
    #[display("look up the length of")]
    Length,
    /// Read a file.
    #[display("read")]
    Read,
    /// Create or empty a file.
    #[display("create")]
    Create,
    /// Write to a file.
    #[display("write")]
    Write,
    /// Shorten a file.
    #[display("truncate")]
    Truncate,
    /// Remove a file.
    #[display("remove")]
    Remove,
    /// Make a file's content durable.
    #[display("sync")]
    SyncFile,
    /// Make the directory's entries durable.
    #[display("sync directory")]
    SyncDirectory,
}

/// A failed operation on a file or on the directory.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{operation} {}: {cause}", path.display())]
pub struct FileError {
    /// What was tried.
    pub operation: FileOperation,
    /// The file or directory it was tried on.
    pub path: PathBuf,
    /// Why it failed.
    #[error(source)]
    pub cause: FileErrorCause,
}

/// Why an operation on a file failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FileErrorCause {
    /// The disk has no space for the bytes, or the quota is used up.
    #[display("no space left on the disk")]
    NoSpace,
    /// The file doesn't exist.
    #[display("no such file")]
    NotFound,
    /// Any other refusal of the operating system.
    #[display("{message}")]
    Io {
        /// The standard library's classification.
        kind: io::ErrorKind,
        /// What the operating system said.
        message: String,
    },
}

impl From<io::Error> for FileErrorCause {
    fn from(error: io::Error) -> FileErrorCause {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => FileErrorCause::NoSpace,
            io::ErrorKind::NotFound => FileErrorCause::NotFound,
            kind => FileErrorCause::Io {
                kind,
                message: error.to_string(),
            },
        }
    }
}

/// Damage that a power loss can't have caused: what was acknowledged is not all there.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Damage {
    /// A segment's header is unreadable although the segment was in use.
    #[display("{file}: the header of the segment is unreadable")]
    SegmentHeader {
        /// Name of the file.
        file: String,
    },
    /// A frame is unreadable, yet was followed by others.
    #[display("{file}: the frame at byte {offset} is unreadable, and later ones follow")]
    Frame {
        /// Name of the file.
        file: String,
        /// Byte in the file at which the frame begins.
        offset: u64,
    },
    /// A segment ends before the next one begins.
    #[display("{file}: the segment ends early, at frame {next_frame}")]
    SegmentEndsEarly {
        /// Name of the file.
        file: String,
        /// The first frame that is absent.
        next_frame: FrameNumber,
    },
    /// The segment that begins with this frame is absent.
    #[display("the segment that begins with frame {first_frame} is missing")]
    MissingSegment {
        /// The segment's first frame.
        first_frame: FrameNumber,
    },
    /// The log begins after frame 0, and no readable snapshot covers what came before.
    #[display("no readable snapshot covers the frames before {first_frame}")]
    MissingSnapshot {
        /// The first frame in the log.
        first_frame: FrameNumber,
    },
}

/// Why an operation on the store failed.
///
/// | error | in the log after a restart | does a retry help |
/// | --- | --- | --- |
/// | `NoSpace` | no | after [`Store::snapshot`](crate::Store::snapshot), which shortens the log, or once others free space |
/// | `Refused` | no | once the disk works again; the store repairs what it needs to first |
/// | `Uncertain` | perhaps | as for `Refused`; the next success settles the outcome |
/// | `TooLarge` | no | never |
/// | `Damaged` | – | never; the content must come from elsewhere, after [`Store::reset`](crate::Store::reset) |
/// | `Skipped` | no | yes, once the failure before it is handled |
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// No space, or none but what is reserved for a snapshot. Nothing of the append stays in the log.
    #[display("no space left on the disk")]
    NoSpace,
    /// The disk refused. Nothing of the append stays in the log.
    #[display("the disk refused: {error}")]
    Refused {
        /// What was tried, on which file, and why it failed.
        error: FileError,
    },
    /// The disk refused and what was written couldn't be removed again: the append may be found after a restart. The
    /// next successful append or snapshot removes it for good.
    #[display("the disk refused, the outcome is open: {error}")]
    Uncertain {
        /// The first failure; the attempt to remove the bytes failed after it.
        error: FileError,
    },
    /// More bytes than one append or snapshot may hold.
    #[display("{bytes} bytes are too many for one append or snapshot")]
    TooLarge {
        /// Size as requested.
        bytes: u64,
    },
    /// The log or the snapshot is damaged; see [`Store::reset`](crate::Store::reset).
    #[display("damaged: {damage}")]
    Damaged {
        /// Which damage, and where.
        damage: Damage,
    },
    /// Not tried, since an append before it had failed when this was submitted.
    #[display("not tried: an earlier append failed")]
    Skipped,
}

impl From<FileError> for StoreError {
    fn from(error: FileError) -> StoreError {
        match error.cause {
            FileErrorCause::NoSpace => StoreError::NoSpace,
            FileErrorCause::NotFound | FileErrorCause::Io { .. } => StoreError::Refused { error },
        }
    }
}

impl From<Damage> for StoreError {
    fn from(damage: Damage) -> StoreError {
        StoreError::Damaged { damage }
    }
}
