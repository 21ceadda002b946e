//! Writes one segment: its header, frames and seal; repairs a torn tail.
//!
//! An [`OpenSegment`] knows how many bytes of its file are acknowledged. The file may be longer after a failed
//! write ([`torn`](OpenSegment::torn)); the excess bytes are cut off before the next append.

use crate::error::{FileError, FileErrorCause, StoreError};
use crate::file_names::FileKind;
use crate::file_system::FileSystem;
use crate::format::{self, DecodedSegment};
use crate::frame_number::FrameNumber;

/// A segment that can be written to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OpenSegment {
    pub first_frame: FrameNumber,
    /// Number of the next frame to be appended.
    pub next_frame: FrameNumber,
    /// Acknowledged bytes of the file.
    pub length: u64,
    /// Whether the file may be longer than that.
    pub torn: bool,
}

impl OpenSegment {
    /// Creates a segment without frames. It is durable when this returns.
    pub(crate) fn create<F: FileSystem>(
        files: &mut F,
        first_frame: FrameNumber,
    ) -> Result<OpenSegment, FileError> {
        let header = format::encode_segment_header(first_frame);
        let segment = OpenSegment {
            first_frame,
            next_frame: first_frame,
            length: header.len() as u64,
            torn: false,
        };
        write_new_file(files, &segment.name(), &header)?;
        Ok(segment)
    }

    /// The segment that recovery has read.
    pub(crate) fn from_decoded(first_frame: FrameNumber, segment: &DecodedSegment) -> OpenSegment {
        OpenSegment {
            first_frame,
            next_frame: segment.next_frame,
            length: segment.length,
            torn: segment.torn_bytes > 0,
        }
    }

    /// Name of the file.
    pub(crate) fn name(&self) -> String {
        FileKind::Segment(self.first_frame).name()
    }

    /// Whether the segment holds any frames.
    pub(crate) fn has_frames(&self) -> bool {
        self.next_frame > self.first_frame
    }

    /// Appends an encoded frame; it is durable when this returns. The segment must not be torn.
    ///
    /// # Errors
    ///
    /// After [`StoreError::Uncertain`] the frame may be found after a restart; after any other error it isn't.
    pub(crate) fn append<F: FileSystem>(
        &mut self,
        files: &mut F,
        frame: &[u8],
    ) -> Result<(), StoreError> {
        let name = self.name();
        self.torn = true;
        if let Err(error) = files.write(&name, self.length, frame) {
            let repaired = self.repair(files).is_ok();
            // A full disk leaves an incomplete frame, which recovery ignores even if its bytes can't be removed now.
            let absent = repaired || error.cause == FileErrorCause::NoSpace;
            return Err(if absent {
                error.into()
            } else {
                StoreError::Uncertain { error }
            });
        }
        if let Err(error) = files.sync_file(&name) {
            let repaired = self.repair(files).is_ok();
            return Err(if repaired {
                error.into()
            } else {
                StoreError::Uncertain { error }
            });
        }
        self.torn = false;
        self.next_frame = self.next_frame.next();
        self.length += frame.len() as u64;
        Ok(())
    }

    /// Durably cuts off the bytes that a failed append left behind.
    pub(crate) fn repair<F: FileSystem>(&mut self, files: &mut F) -> Result<(), FileError> {
        if self.torn {
            let name = self.name();
            files.truncate(&name, self.length)?;
            files.sync_file(&name)?;
            self.torn = false;
        }
        Ok(())
    }

    /// Writes the seal, which guarantees that the next segment exists. It is durable when this returns. Can be repeated
    /// after a failure.
    pub(crate) fn seal<F: FileSystem>(&mut self, files: &mut F) -> Result<(), FileError> {
        self.repair(files)?;
        let name = self.name();
        self.torn = true;
        files.write(&name, self.length, &format::encode_seal(self.next_frame))?;
        files.sync_file(&name)
    }
}

/// Creates a file with this content. When this returns the content and the name are durable, the content first.
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
