//! The segment that is written to.

use crate::file_names::FileKind;
use crate::format::{self, Segment};
use crate::{FileError, FileSystem};

/// A segment that can be written to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OpenSegment {
    pub first_frame: u64,
    pub next_frame: u64,
    /// Length of what is acknowledged.
    pub length: u64,
    /// Whether the file may hold more than that.
    pub torn: bool,
}

impl OpenSegment {
    pub(crate) fn name(&self) -> String {
        FileKind::Segment(self.first_frame).name()
    }

    pub(crate) fn of(first_frame: u64, segment: &Segment) -> OpenSegment {
        OpenSegment {
            first_frame,
            next_frame: segment.next_frame,
            length: segment.length,
            torn: segment.torn_bytes > 0,
        }
    }
}

pub(crate) fn create_segment<F: FileSystem>(
    files: &mut F,
    first_frame: u64,
) -> Result<OpenSegment, FileError> {
    let header = format::encode_segment_header(first_frame);
    let segment =
        OpenSegment { first_frame, next_frame: first_frame, length: header.len() as u64, torn: false };
    write_new_file(files, &segment.name(), &header)?;
    Ok(segment)
}

/// Makes a file with this content; both are durable when this returns.
pub(crate) fn write_new_file<F: FileSystem>(
    files: &mut F,
    name: &str,
    content: &[u8],
) -> Result<(), FileError> {
    files.create(name)?;
    files.write(name, 0, content)?;
    files.sync_file(name)?;
    files.sync_directory()
}
