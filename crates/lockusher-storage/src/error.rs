//! Errors of the two layers: a [`FileSystem`](crate::FileSystem) fails with [`FileError`], a
//! [`Store`](crate::Store) with [`StoreError`].

use std::io;
use std::path::PathBuf;

use derive_more::{Display, Error};

use crate::frame_number::FrameNumber;

/// An operation of a [`FileSystem`](crate::FileSystem), as named in error messages.
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
    /// Create a file, or truncate an existing one to zero bytes.
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
    /// The operation that failed.
    pub operation: FileOperation,
    /// The file or directory that it was applied to.
    pub path: PathBuf,
    /// The cause of the failure.
    #[error(source)]
    pub cause: FileErrorCause,
}

/// Why an operation on a file failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FileErrorCause {
    /// The disk is full, or the disk quota is exhausted.
    #[display("no space left on the disk")]
    NoSpace,
    /// The file doesn't exist.
    #[display("no such file")]
    NotFound,
    /// Any other I/O error.
    #[display("{message}")]
    Io {
        /// The error's kind in the standard library.
        kind: io::ErrorKind,
        /// The operating system's message.
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

/// Corruption that a power loss can't have caused: acknowledged data is missing or unreadable.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Damage {
    /// A segment's header is unreadable although the segment was in use.
    #[display("{file}: segment header is unreadable")]
    SegmentHeader {
        /// Name of the file.
        file: String,
    },
    /// A frame is unreadable although later frames follow it, or bytes follow a segment's seal.
    #[display("{file}: frame at offset {offset} is unreadable, but later frames follow")]
    Frame {
        /// Name of the file.
        file: String,
        /// Offset in bytes at which the frame begins.
        offset: u64,
    },
    /// A segment ends before the next one begins.
    #[display("{file}: segment ends early: frame {next_frame} is missing")]
    SegmentEndsEarly {
        /// Name of the file.
        file: String,
        /// The first missing frame.
        next_frame: FrameNumber,
    },
    /// The segment that begins with this frame is missing.
    #[display("segment that begins with frame {first_frame} is missing")]
    MissingSegment {
        /// The segment's first frame.
        first_frame: FrameNumber,
    },
    /// The log begins after frame 0, and no readable snapshot covers the earlier frames.
    #[display("no readable snapshot covers the frames before frame {first_frame}")]
    MissingSnapshot {
        /// The first frame in the log.
        first_frame: FrameNumber,
    },
}

/// Error of an operation on the store.
///
/// | error | append found after a restart | can be retried |
/// | --- | --- | --- |
/// | `NoSpace` | no | after [`Store::snapshot`](crate::Store::snapshot), which truncates the log, or once space is freed otherwise |
/// | `Io` | no | once the disk works again; the store first repairs its files |
/// | `Uncertain` | possibly | as for `Io`; the next success settles the outcome |
/// | `TooLarge` | no | never |
/// | `Damaged` | – | never; the data must be restored from another replica, after [`Store::reset`](crate::Store::reset) |
/// | `Skipped` | no | yes, once the preceding failure is handled |
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The disk is full, except for the space that is reserved for a snapshot. The append isn't in the log.
    #[display("no space left on the disk")]
    NoSpace,
    /// An I/O error. The append isn't in the log.
    #[display("I/O error: {error}")]
    Io {
        /// The operation, the file and the cause.
        error: FileError,
    },
    /// An I/O error after which the partial write couldn't be removed either: the append may be found after a restart.
    /// The next successful append or snapshot removes it permanently.
    #[display("I/O error, outcome unknown: {error}")]
    Uncertain {
        /// The first error; the attempt to remove the written bytes failed after it.
        error: FileError,
    },
    /// The append or snapshot exceeds the size limit.
    #[display("{bytes} bytes exceed the size limit of one append or snapshot")]
    TooLarge {
        /// The requested size.
        bytes: u64,
    },
    /// The log or the snapshot is damaged; see [`Store::reset`](crate::Store::reset).
    #[display("damaged: {damage}")]
    Damaged {
        /// The kind and the place of the damage.
        damage: Damage,
    },
    /// Not executed: an earlier append had failed, and its failure wasn't yet observed when this job was submitted.
    #[display("skipped: an earlier append failed")]
    Skipped,
}

impl From<FileError> for StoreError {
    fn from(error: FileError) -> StoreError {
        match error.cause {
            FileErrorCause::NoSpace => StoreError::NoSpace,
            FileErrorCause::NotFound | FileErrorCause::Io { .. } => StoreError::Io { error },
        }
    }
}

impl From<Damage> for StoreError {
    fn from(damage: Damage) -> StoreError {
        StoreError::Damaged { damage }
    }
}
