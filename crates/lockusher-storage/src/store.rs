//! The store: opens the files, appends records, rolls segments and scrubs the files in use.
//!
//! One [`Store`] owns a directory. [`snapshots`] replaces the log by a snapshot, [`repair`] restores the files after a
//! failed operation.
//!
//! # Invariants
//!
//! - A frame is written only after the preceding frame was synced, and after every pending repair.
//! - A segment's seal is written only after the next segment's header and name are durable. Until the seal is durable,
//!   nothing is appended to the next segment.
//! - Files are removed only once the snapshot that replaces them is durable, its content before its name.
//! - The segments in use are contiguous, from the end of the newest snapshot to the tail.

mod repair;
mod snapshots;

use crate::error::{Damage, StoreError};
use crate::file_system::FileSystem;
use crate::format;
use crate::frame_number::FrameNumber;
use crate::layout::{SnapshotFile, StoredFile};
use crate::options::StoreOptions;
use crate::recovery;
use crate::recovery::Recovered;
use crate::reserve::Reserve;
use crate::reset;
use crate::segment::OpenSegment;

/// A log with snapshots in one directory. Only one store may use a directory at a time.
#[derive(Debug)]
pub struct Store<F> {
    files: F,
    options: StoreOptions,
    /// The segment that records are appended to.
    tail: OpenSegment,
    /// The segment before the tail, while its seal isn't known to be durable. Also contained in `closed_segments`.
    unsealed: Option<OpenSegment>,
    /// Segments before the tail, oldest first.
    closed_segments: Vec<StoredFile>,
    snapshot: Option<SnapshotFile>,
    /// Files to be removed. Recovery ignores those that reappear after a power loss.
    obsolete: Vec<StoredFile>,
    /// Name of a segment whose creation failed; it must be removed before the next append.
    abandoned_segment: Option<String>,
    reserve: Reserve,
    /// Whether the last append failed for lack of space.
    append_out_of_space: bool,
}

impl<F: FileSystem> Store<F> {
    /// Opens the store of a directory, or creates one. Everything that is returned is durable.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if acknowledged data is unreadable or missing (no file is changed then), and the errors
    /// of the file system.
    pub fn open(mut files: F, options: StoreOptions) -> Result<(Store<F>, Recovered), StoreError> {
        let (layout, recovered) = recovery::read(&mut files)?;
        let tail = match &layout.tail {
            Some(tail) => {
                layout.sync(&mut files)?;
                tail.clone()
            }
            None => OpenSegment::create(&mut files, FrameNumber::FIRST)?,
        };
        let tail_name = tail.name();
        let mut store = Store {
            files,
            options,
            tail,
            unsealed: layout.unsealed,
            closed_segments: layout.closed_segments,
            snapshot: layout.snapshot,
            obsolete: layout.obsolete,
            abandoned_segment: layout.unused_segment.filter(|name| *name != tail_name),
            reserve: Reserve::new(layout.reserve_bytes),
            append_out_of_space: false,
        };
        store.repair_at_open();
        Ok((store, recovered))
    }

    /// Durably empties the directory of a damaged store. A power loss meanwhile leaves a directory that is unchanged or
    /// that is emptied when it is opened.
    ///
    /// # Errors
    ///
    /// The errors of the file system; a retry or [`Store::open`] completes a reset that has started.
    pub fn reset(files: &mut F) -> Result<(), StoreError> {
        reset::reset(files)
    }

    /// Appends the records atomically. They are durable when this returns.
    ///
    /// # Errors
    ///
    /// After [`StoreError::Uncertain`] the records may be found after a restart; after any other error they are not
    /// in the log. The store remains usable after every error.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StoreError> {
        if records.is_empty() {
            return Ok(());
        }
        let result = self.append_frame(records);
        self.append_out_of_space = matches!(result, Err(StoreError::NoSpace));
        result
    }

    /// Reads and checks all files in use, and returns their content as [`Store::open`] does.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if acknowledged data is unreadable, missing or altered; [`Store::snapshot`] then
    /// replaces every file. Other errors don't imply that acknowledged data is damaged.
    pub fn scrub(&mut self) -> Result<Recovered, StoreError> {
        self.repair()?;
        let (layout, recovered) = recovery::read(&mut self.files)?;
        if layout.snapshot != self.snapshot {
            let first_frame = self
                .snapshot
                .map_or(FrameNumber::FIRST, |snapshot| snapshot.first_frame);
            return Err(Damage::MissingSnapshot { first_frame }.into());
        }
        let tail_matches = layout.tail.is_some_and(|found| {
            found.first_frame == self.tail.first_frame && found.next_frame == self.tail.next_frame
        });
        if !tail_matches {
            let next_frame = self.tail.next_frame;
            return Err(Damage::SegmentEndsEarly {
                file: self.tail.name(),
                next_frame,
            }
            .into());
        }
        Ok(recovered)
    }

    /// Size of the log after the newest snapshot, in bytes.
    pub fn log_bytes(&self) -> u64 {
        let closed: u64 = self.closed_segments.iter().map(|file| file.bytes).sum();
        closed + self.tail.length
    }

    /// Whether a snapshot should be taken: the log has reached its threshold, or the disk is full.
    pub fn snapshot_due(&self) -> bool {
        let has_records = self.log_bytes() > format::SEGMENT_HEADER_BYTES as u64;
        let due_bytes = self.options.snapshot_due_bytes(self.snapshot_bytes());
        has_records && (self.append_out_of_space || self.log_bytes() >= due_bytes)
    }

    /// Size of the newest snapshot's file in bytes; 0 if there is none.
    fn snapshot_bytes(&self) -> u64 {
        self.snapshot.map_or(0, |snapshot| snapshot.bytes)
    }

    /// Size of all files except the reserve, in bytes.
    fn used_bytes(&self) -> u64 {
        let obsolete: u64 = self.obsolete.iter().map(|file| file.bytes).sum();
        self.log_bytes() + self.snapshot_bytes() + obsolete
    }

    fn append_frame(&mut self, records: &[Vec<u8>]) -> Result<(), StoreError> {
        let bytes = format::records_frame_bytes(records);
        if bytes - format::FRAME_HEADER_BYTES as u64 > format::MAX_PAYLOAD_BYTES {
            return Err(StoreError::TooLarge { bytes });
        }
        let exceeds_limit = self.used_bytes() + bytes > self.options.append_limit_bytes();
        if self.options.disk_size_is_known() && exceeds_limit {
            return Err(StoreError::NoSpace);
        }
        self.repair()?;
        if self.tail.has_frames() && self.tail.length + bytes > self.options.segment_bytes() {
            self.roll()?;
        }
        let frame = format::encode_records(self.tail.next_frame, records);
        self.tail.append(&mut self.files, &frame)
    }

    /// Closes the tail and creates a new one, which is durable before the seal that refers to it is written.
    fn roll(&mut self) -> Result<(), StoreError> {
        // The seal occupies the number in between.
        let first_frame = self.tail.next_frame.next();
        let next = match OpenSegment::create(&mut self.files, first_frame) {
            Ok(next) => next,
            Err(error) => {
                self.abandon_segment(first_frame);
                return Err(error.into());
            }
        };
        let closed = std::mem::replace(&mut self.tail, next);
        self.closed_segments.push(StoredFile {
            name: closed.name(),
            bytes: closed.length,
        });
        self.unsealed = Some(closed);
        Ok(self.repair()?)
    }
}
