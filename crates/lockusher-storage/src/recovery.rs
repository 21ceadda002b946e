//! Recovery: reads the files when a store is opened or scrubbed.
//!
//! Reads the newest readable snapshot, then the segments from its end on. Irregularities that [`segment_sequence`] and
//! the format attribute to a power loss are reported and skipped; all others are [`Damage`](crate::Damage). No file is
//! changed, except that an interrupted reset is completed first.
//!
//! [`segment_sequence`]: crate::segment_sequence

use crate::error::{FileError, StoreError};
use crate::file_names::{FileKind, RESERVE_FILE};
use crate::file_system::FileSystem;
use crate::format::{self, DecodedSegment};
use crate::frame_number::FrameNumber;
use crate::layout::{Layout, SnapshotFile, StoredFile};
use crate::reset::complete_reset;
use crate::segment::OpenSegment;
use crate::segment_sequence::SegmentSequence;

/// The content of a store when it was opened or scrubbed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The records that were appended after the snapshot, in order.
    pub records: Vec<Vec<u8>>,
    /// Irregularities and statistics of the recovery.
    pub report: RecoveryReport,
}

/// Irregularities and statistics of a recovery.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    /// Number of segments read.
    pub segments: usize,
    /// Bytes cut off the end of the log: an append that was in flight when power was lost, or a damaged last append.
    pub torn_bytes: u64,
    /// Number of snapshots ignored as incomplete or damaged; the log that they would have replaced is complete.
    pub unreadable_snapshots: usize,
    /// Number of files that are no longer needed and get removed.
    pub obsolete_files: usize,
    /// Whether an interrupted reset was completed.
    pub reset_completed: bool,
}

/// Reads all files of the store.
///
/// # Errors
///
/// [`StoreError::Damaged`] if something acknowledged is unreadable or missing, and the errors of the file system.
pub(crate) fn read<F: FileSystem>(files: &mut F) -> Result<(Layout, Recovered), StoreError> {
    let reset_completed = complete_reset(files)?;
    let mut recovery = Recovery {
        files,
        layout: Layout::default(),
        recovered: Recovered::default(),
    };
    recovery.recovered.report.reset_completed = reset_completed;
    let found = recovery.list_files()?;
    recovery.read_snapshots(&found.snapshots)?;
    recovery.read_segments(&found)?;
    let Recovery {
        layout,
        mut recovered,
        ..
    } = recovery;
    recovered.report.obsolete_files = layout.obsolete.len();
    Ok((layout, recovered))
}

/// Numbers in the names of segments and snapshots, in ascending order.
#[derive(Default)]
struct FoundFiles {
    segments: Vec<FrameNumber>,
    snapshots: Vec<FrameNumber>,
}

/// A recovery in progress.
struct Recovery<'a, F> {
    files: &'a mut F,
    layout: Layout,
    recovered: Recovered,
}

impl<F: FileSystem> Recovery<'_, F> {
    fn list_files(&mut self) -> Result<FoundFiles, FileError> {
        let mut found = FoundFiles::default();
        for name in self.files.list()? {
            match FileKind::parse(&name) {
                Some(FileKind::Segment(first_frame)) => found.segments.push(first_frame),
                Some(FileKind::Snapshot(first_frame)) => found.snapshots.push(first_frame),
                None if name == RESERVE_FILE => {
                    self.layout.reserve_bytes = self.files.length(RESERVE_FILE)?;
                }
                None => log::warn!("{name}: not a file of the store, ignored"),
            }
        }
        found.segments.sort_unstable();
        found.snapshots.sort_unstable();
        Ok(found)
    }

    /// Reads the newest readable snapshot; the others are obsolete.
    fn read_snapshots(&mut self, snapshots: &[FrameNumber]) -> Result<(), FileError> {
        for &first_frame in snapshots.iter().rev() {
            let name = FileKind::Snapshot(first_frame).name();
            let bytes = self.files.length(&name)?;
            if self.layout.snapshot.is_none() {
                let content = self.files.read(&name)?;
                self.recovered.snapshot = format::decode_snapshot(first_frame, content);
                if self.recovered.snapshot.is_some() {
                    self.layout.snapshot = Some(SnapshotFile { first_frame, bytes });
                    continue;
                }
                self.recovered.report.unreadable_snapshots += 1;
            }
            self.layout.obsolete.push(StoredFile { name, bytes });
        }
        Ok(())
    }

    fn read_segments(&mut self, found: &FoundFiles) -> Result<(), StoreError> {
        let snapshot_end = self.layout.snapshot.map(|snapshot| snapshot.first_frame);
        let mut sequence = SegmentSequence::new(snapshot_end);
        let needed_from = found
            .segments
            .partition_point(|&first_frame| first_frame < sequence.start());
        let (obsolete, needed) = found.segments.split_at(needed_from);
        for &first_frame in obsolete {
            let name = FileKind::Segment(first_frame).name();
            let bytes = self.files.length(&name)?;
            self.layout.obsolete.push(StoredFile { name, bytes });
        }
        let is_new_store = needed.is_empty() && found.snapshots.is_empty();
        if is_new_store {
            return Ok(());
        }
        sequence.check_first(needed.first().copied())?;
        for (index, &first_frame) in needed.iter().enumerate() {
            let is_last = index + 1 == needed.len();
            self.read_segment(first_frame, is_last, &mut sequence)?;
        }
        Ok(sequence.finish()?)
    }

    fn read_segment(
        &mut self,
        first_frame: FrameNumber,
        is_last: bool,
        sequence: &mut SegmentSequence,
    ) -> Result<(), StoreError> {
        let name = FileKind::Segment(first_frame).name();
        let content = self.files.read(&name)?;
        let Some(segment) = format::decode_segment(first_frame, &content)? else {
            sequence.check_unused(first_frame, is_last)?;
            self.layout.unused_segment = Some(name);
            return Ok(());
        };
        let previous_is_sealed = sequence.ends_with_seal();
        sequence.push(first_frame, &segment, is_last)?;
        if let Some(previous) = self.layout.tail.take() {
            self.layout.closed_segments.push(StoredFile {
                name: previous.name(),
                bytes: previous.length,
            });
            self.layout.unsealed = (!previous_is_sealed).then_some(previous);
        }
        self.layout.tail = Some(OpenSegment::from_decoded(first_frame, &segment));
        self.take_records(segment);
        Ok(())
    }

    fn take_records(&mut self, segment: DecodedSegment) {
        self.recovered.report.segments += 1;
        self.recovered.report.torn_bytes += segment.torn_bytes;
        self.recovered.records.extend(segment.records);
    }
}
