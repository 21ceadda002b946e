//! Recovery: reads what the files hold when a store is opened or scrubbed.
//!
//! The newest readable snapshot is taken, then the segments from its end on. What [`segment_sequence`] and the format
//! accept as the trace of a power loss is cut off or ignored; everything else is [`Damage`](crate::Damage). Nothing is
//! changed here, except that a reset that was interrupted is completed first.
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

/// What a store held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The records that were appended after it, in order.
    pub records: Vec<Vec<u8>>,
    /// What was found on the way.
    pub report: RecoveryReport,
}

/// What was found at opening besides the content.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    /// Segments read.
    pub segments: usize,
    /// Bytes cut off the end of the log: an append that was in flight when power was lost, or damage to the last one.
    pub torn_bytes: u64,
    /// Snapshots ignored because they are incomplete or damaged; the log they would have replaced is complete.
    pub unreadable_snapshots: usize,
    /// Files removed, or to be removed, since they are no longer needed.
    pub obsolete_files: usize,
    /// A reset had been interrupted and was completed.
    pub reset_completed: bool,
}

/// Reads all files.
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
                None => log::warn!("{name}: not a file of the store, left alone"),
            }
        }
        found.segments.sort_unstable();
        found.snapshots.sort_unstable();
        Ok(found)
    }

    /// Takes the newest readable snapshot; the others are obsolete.
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
