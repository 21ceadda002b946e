//! Reads what the files hold when a store is opened, and tells a torn end from damage.

use crate::file_names::{FileKind, RESERVE_FILE};
use crate::format;
use crate::reset::complete_reset;
use crate::segment::OpenSegment;
use crate::segment_sequence::{SegmentSequence, check_first_segment};
use crate::{FileSystem, StoreError};

/// What a store held when it was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
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
    /// Bytes cut off the end of the log: an append that was under way when power was lost, or damage to the last one.
    pub torn_bytes: u64,
    /// Snapshots left aside because they aren't whole; the log they would have replaced is complete.
    pub unreadable_snapshots: usize,
    /// Files removed, or to be removed, since they are no longer needed.
    pub obsolete_files: usize,
    /// A reset had been interrupted and was carried through.
    pub reset_completed: bool,
}

/// A file and its size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredFile {
    pub name: String,
    pub bytes: u64,
}

/// Which files there are and what they are for.
#[derive(Debug, Default)]
pub(crate) struct Layout {
    /// Frame before which the newest snapshot holds everything, and the size of its file.
    pub snapshot: Option<(u64, u64)>,
    /// Segments before the last, oldest first.
    pub closed_segments: Vec<StoredFile>,
    /// The segment before the last, where its seal isn't written yet. It is among the full ones as well.
    pub unsealed: Option<OpenSegment>,
    /// The last segment; `None` in an empty folder.
    pub tail: Option<OpenSegment>,
    /// A segment that was begun but never became durable.
    pub unused_segment: Option<String>,
    /// Files no longer needed.
    pub obsolete: Vec<StoredFile>,
    /// Size of the reserve.
    pub reserve_bytes: u64,
}

/// Numbers in the names of segments and snapshots, in ascending order.
#[derive(Default)]
struct Names {
    segments: Vec<u64>,
    snapshots: Vec<u64>,
}

/// Reads all files. Changes nothing, but for a reset that it carries through.
pub(crate) fn read<F: FileSystem>(files: &mut F) -> Result<(Layout, Recovered), StoreError> {
    let reset_completed = complete_reset(files)?;
    let mut layout = Layout::default();
    let names = list(files, &mut layout)?;
    let mut recovered = Recovered { snapshot: None, records: Vec::new(), report: RecoveryReport::default() };
    recovered.report.reset_completed = reset_completed;
    read_snapshots(files, &names, &mut layout, &mut recovered)?;
    read_segments(files, &names, &mut layout, &mut recovered)?;
    recovered.report.obsolete_files = layout.obsolete.len();
    Ok((layout, recovered))
}

fn list<F: FileSystem>(files: &mut F, layout: &mut Layout) -> Result<Names, StoreError> {
    let mut names = Names::default();
    for name in files.list()? {
        match FileKind::of(&name) {
            Some(FileKind::Segment(first_frame)) => names.segments.push(first_frame),
            Some(FileKind::Snapshot(first_frame)) => names.snapshots.push(first_frame),
            None if name == RESERVE_FILE => layout.reserve_bytes = files.length(RESERVE_FILE)?,
            None => log::warn!("{name}: not a file of the store, left alone"),
        }
    }
    names.segments.sort_unstable();
    names.snapshots.sort_unstable();
    Ok(names)
}

/// Takes the newest snapshot that is whole; the others are obsolete.
fn read_snapshots<F: FileSystem>(
    files: &mut F,
    names: &Names,
    layout: &mut Layout,
    recovered: &mut Recovered,
) -> Result<(), StoreError> {
    for &first_frame in names.snapshots.iter().rev() {
        let name = FileKind::Snapshot(first_frame).name();
        let bytes = files.length(&name)?;
        if layout.snapshot.is_none() {
            recovered.snapshot = format::decode_snapshot(first_frame, files.read(&name)?);
            if recovered.snapshot.is_some() {
                layout.snapshot = Some((first_frame, bytes));
                continue;
            }
            recovered.report.unreadable_snapshots += 1;
        }
        layout.obsolete.push(StoredFile { name, bytes });
    }
    Ok(())
}

fn read_segments<F: FileSystem>(
    files: &mut F,
    names: &Names,
    layout: &mut Layout,
    recovered: &mut Recovered,
) -> Result<(), StoreError> {
    let start = layout.snapshot.map_or(0, |(first_frame, _)| first_frame);
    let (obsolete, needed): (Vec<u64>, Vec<u64>) = names.segments.iter().partition(|&&first| first < start);
    for first_frame in obsolete {
        layout.obsolete.push(stored_segment(files, first_frame)?);
    }
    let folder_is_empty = needed.is_empty() && names.snapshots.is_empty();
    if folder_is_empty {
        return Ok(());
    }
    check_first_segment(start, needed.first().copied(), layout)?;

    let mut sequence = SegmentSequence { last_first_frame: start, previous: None };
    for (index, &first_frame) in needed.iter().enumerate() {
        let content = files.read(&FileKind::Segment(first_frame).name())?;
        let is_last = index + 1 == needed.len();
        let Some(mut segment) = format::decode_segment(first_frame, &content)? else {
            sequence.check_unused(first_frame, is_last, layout)?;
            layout.unused_segment = Some(FileKind::Segment(first_frame).name());
            continue;
        };
        sequence.check(first_frame, &segment, is_last)?;
        recovered.records.append(&mut segment.records);
        recovered.report.segments += 1;
        recovered.report.torn_bytes += segment.torn_bytes;
        sequence.add(first_frame, segment, layout);
    }
    sequence.finish(layout)
}

fn stored_segment<F: FileSystem>(files: &mut F, first_frame: u64) -> Result<StoredFile, StoreError> {
    let name = FileKind::Segment(first_frame).name();
    let bytes = files.length(&name)?;
    Ok(StoredFile { name, bytes })
}
