//! The store: appends, snapshots, and how it repairs itself after the disk refused.

use crate::file_names::{FileKind, RESERVE_FILE};
use crate::format;
use crate::options::{LOG_BYTES_PER_SNAPSHOT_BYTE, LOG_DISK_DIVISOR};
use crate::recovery::{self, Layout, StoredFile};
use crate::reset;
use crate::segment::{OpenSegment, create_segment, write_new_file};
use crate::{Damage, FileError, FileSystem, Recovered, StoreError, StoreOptions};

/// A log with snapshots in one folder. Only one store may use a folder at a time.
#[derive(Debug)]
pub struct Store<F> {
    files: F,
    options: StoreOptions,
    tail: OpenSegment,
    /// The segment before the tail, while its seal isn't known to be durable.
    unsealed: Option<OpenSegment>,
    /// Segments before the tail.
    closed_segments: Vec<StoredFile>,
    /// Frame before which the newest snapshot holds everything, and the size of its file.
    snapshot: Option<(u64, u64)>,
    /// Files to be removed. Each may still come back after a loss of power, which does no harm.
    obsolete: Vec<StoredFile>,
    /// A segment that was begun in vain; it must be gone before the tail grows.
    abandoned_segment: Option<String>,
    reserve_bytes: u64,
    /// The disk had no room for an append.
    append_out_of_space: bool,
}

impl<F: FileSystem> Store<F> {
    /// Reads what the folder holds. What is returned is durable.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if something acknowledged is unreadable or missing (nothing is changed then), and the
    /// errors of the file system.
    pub fn open(mut files: F, options: StoreOptions) -> Result<(Store<F>, Recovered), StoreError> {
        let (mut layout, recovered) = recovery::read(&mut files)?;
        let tail = match layout.tail.take() {
            Some(tail) => {
                // A process that was killed may have left bytes that were written but never synced.
                sync_all(&mut files, &layout, &tail)?;
                tail
            }
            None => create_segment(&mut files, 0)?,
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
            reserve_bytes: layout.reserve_bytes,
            append_out_of_space: false,
        };
        store.repair_at_open();
        Ok((store, recovered))
    }

    /// Empties the folder of a damaged store, durably. A loss of power on the way leaves a folder that is emptied
    /// when it is opened.
    pub fn reset(files: &mut F) -> Result<(), StoreError> {
        reset::reset(files)
    }

    /// Appends the records as a whole; they are durable when this returns.
    ///
    /// # Errors
    ///
    /// After [`StoreError::Uncertain`] the records may be found after a restart; after any other error they are not
    /// in the log. The store can be used on after each of them.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), StoreError> {
        if records.is_empty() {
            return Ok(());
        }
        let result = self.append_frame(records);
        self.append_out_of_space = matches!(result, Err(StoreError::NoSpace));
        result
    }

    /// Replaces everything appended so far by a snapshot of it; it is durable when this returns. Then the older
    /// segments and snapshots are removed.
    ///
    /// # Errors
    ///
    /// After any of them the log stands as before.
    pub fn snapshot(&mut self, snapshot: &[u8]) -> Result<(), StoreError> {
        let bytes = (format::SNAPSHOT_HEADER_BYTES + snapshot.len()) as u64;
        if snapshot.len() as u64 > format::MAX_PAYLOAD_BYTES {
            return Err(StoreError::TooLarge { bytes });
        }
        if self.options.disk_bytes > 0 && self.used_bytes() + bytes > self.options.disk_bytes {
            return Err(StoreError::NoSpace);
        }
        let written = self.write_snapshot(snapshot);
        let use_reserve = written == Err(StoreError::NoSpace) && self.reserve_bytes > 0;
        if use_reserve {
            self.release_reserve()?;
            self.write_snapshot(snapshot)?;
        } else {
            written?;
        }
        self.replace_snapshot(bytes);
        self.remove_obsolete();
        // On a disk that was full, appends need the room that the snapshot has made.
        let reserve_bytes = if use_reserve { bytes + bytes / 4 } else { self.options.reserve_bytes(bytes) };
        self.ensure_reserve(bytes, reserve_bytes);
        Ok(())
    }

    /// Reads back all files that the store relies on, and returns what they hold, as an opening would.
    ///
    /// # Errors
    ///
    /// [`StoreError::Damaged`] if something acknowledged is unreadable, missing or not what was written;
    /// [`Store::snapshot`] then replaces every file. Other errors say nothing about what was acknowledged.
    pub fn scrub(&mut self) -> Result<Recovered, StoreError> {
        self.repair()?;
        let (layout, recovered) = recovery::read(&mut self.files)?;
        let found = layout.tail.as_ref().map(|tail| (tail.first_frame, tail.next_frame));
        let expected = (self.tail.first_frame, self.tail.next_frame);
        if layout.snapshot != self.snapshot {
            let first_frame = self.snapshot.map_or(0, |(first_frame, _)| first_frame);
            return Err(Damage::MissingSnapshot { first_frame }.into());
        }
        if found != Some(expected) {
            return Err(Damage::SegmentEndsEarly { file: self.tail.name(), next_frame: expected.1 }.into());
        }
        Ok(recovered)
    }

    /// Bytes of the log since the newest snapshot.
    pub fn log_bytes(&self) -> u64 {
        let full: u64 = self.closed_segments.iter().map(|file| file.bytes).sum();
        full + self.tail.length
    }

    /// Whether a snapshot would be of use now: the log has grown long, or the disk is full.
    pub fn snapshot_due(&self) -> bool {
        let snapshot_bytes = self.snapshot.map_or(0, |(_, bytes)| bytes);
        let efficient_bytes =
            (self.options.disk() / LOG_DISK_DIVISOR).max(LOG_BYTES_PER_SNAPSHOT_BYTE * snapshot_bytes);
        // However large the snapshot is, the log must not grow until appends are refused.
        let limit = efficient_bytes.min(self.options.append_limit() / 2);
        let has_records = self.log_bytes() > format::SEGMENT_HEADER_BYTES as u64;
        has_records && (self.append_out_of_space || self.log_bytes() >= limit)
    }

    /// Gives back the file system.
    pub fn into_files(self) -> F {
        self.files
    }

    /// Bytes of all files, the reserve aside.
    fn used_bytes(&self) -> u64 {
        let snapshot_bytes = self.snapshot.map_or(0, |(_, bytes)| bytes);
        let obsolete: u64 = self.obsolete.iter().map(|file| file.bytes).sum();
        self.log_bytes() + snapshot_bytes + obsolete
    }

    fn append_frame(&mut self, records: &[Vec<u8>]) -> Result<(), StoreError> {
        let bytes = format::records_frame_bytes(records);
        if bytes - format::FRAME_HEADER_BYTES as u64 > format::MAX_PAYLOAD_BYTES {
            return Err(StoreError::TooLarge { bytes });
        }
        if self.options.disk_bytes > 0 && self.used_bytes() + bytes > self.options.append_limit() {
            return Err(StoreError::NoSpace);
        }
        self.repair()?;
        if self.tail_is_used() && self.tail.length + bytes > self.options.segment_bytes() {
            self.roll()?;
        }
        let frame = format::encode_records(self.tail.next_frame, records);
        self.write_to_tail(&frame)?;
        self.tail.next_frame += 1;
        self.tail.length += bytes;
        Ok(())
    }

    fn write_to_tail(&mut self, frame: &[u8]) -> Result<(), StoreError> {
        let name = self.tail.name();
        self.tail.torn = true;
        if let Err(error) = self.files.write(&name, self.tail.length, frame) {
            let repaired = self.repair_tail().is_ok();
            // Without room for all bytes the frame isn't whole, so that it can't be found even if it stays for now.
            let refused = repaired || error == FileError::NoSpace;
            return Err(if refused { error.into() } else { StoreError::Uncertain { error } });
        }
        if let Err(error) = self.files.sync_file(&name) {
            let repaired = self.repair_tail().is_ok();
            return Err(if repaired { error.into() } else { StoreError::Uncertain { error } });
        }
        self.tail.torn = false;
        Ok(())
    }

    fn tail_is_used(&self) -> bool {
        self.tail.next_frame > self.tail.first_frame
    }

    /// Ends the tail and begins a new one. The new one is durable before the seal that promises it.
    fn roll(&mut self) -> Result<(), StoreError> {
        let first_frame = self.tail.next_frame + 1;
        let next = match create_segment(&mut self.files, first_frame) {
            Ok(next) => next,
            Err(error) => {
                self.abandoned_segment = Some(FileKind::Segment(first_frame).name());
                // If this fails, the next operation begins with it.
                let _ = self.remove_abandoned_segment();
                return Err(error.into());
            }
        };
        let full = std::mem::replace(&mut self.tail, next);
        self.closed_segments.push(StoredFile { name: full.name(), bytes: full.length });
        self.unsealed = Some(full);
        self.repair()
    }

    /// Brings the files back to what the store relies on, where an earlier operation failed half-way.
    fn repair(&mut self) -> Result<(), StoreError> {
        self.remove_abandoned_segment()?;
        self.write_missing_seal()?;
        self.repair_tail()?;
        Ok(())
    }

    fn remove_abandoned_segment(&mut self) -> Result<(), FileError> {
        if let Some(name) = &self.abandoned_segment {
            self.files.remove(name)?;
            self.files.sync_directory()?;
            self.abandoned_segment = None;
        }
        Ok(())
    }

    fn write_missing_seal(&mut self) -> Result<(), FileError> {
        let Some(segment) = &mut self.unsealed else {
            return Ok(());
        };
        let name = segment.name();
        if segment.torn {
            self.files.truncate(&name, segment.length)?;
            self.files.sync_file(&name)?;
        }
        segment.torn = true;
        self.files.write(&name, segment.length, &format::encode_seal(segment.next_frame))?;
        self.files.sync_file(&name)?;
        self.unsealed = None;
        Ok(())
    }

    /// Cuts off what a failed append left behind.
    fn repair_tail(&mut self) -> Result<(), FileError> {
        if self.tail.torn {
            let name = self.tail.name();
            self.files.truncate(&name, self.tail.length)?;
            self.files.sync_file(&name)?;
            self.tail.torn = false;
        }
        Ok(())
    }

    /// A full disk is no reason not to open: what fails here is done by the next operation.
    fn repair_at_open(&mut self) {
        if let Err(error) = self.repair() {
            log::warn!("the end of the log can't be repaired yet: {error}");
        }
        self.remove_obsolete();
        let snapshot_bytes = self.snapshot.map_or(0, |(_, bytes)| bytes);
        self.ensure_reserve(snapshot_bytes, self.options.reserve_bytes(snapshot_bytes));
    }

    fn write_snapshot(&mut self, snapshot: &[u8]) -> Result<(), StoreError> {
        self.repair()?;
        let covered_by_snapshot =
            self.snapshot.is_some_and(|(first_frame, _)| first_frame == self.tail.first_frame);
        if covered_by_snapshot || self.tail_is_used() {
            self.roll()?;
        }
        let first_frame = self.tail.first_frame;
        let name = FileKind::Snapshot(first_frame).name();
        self.obsolete.retain(|file| file.name != name);
        let written = self.write_new_file(&name, &format::encode_snapshot(first_frame, snapshot));
        if let Err(error) = written {
            // Should it stay, it is overwritten by the next snapshot or left aside at opening.
            let _ = self.files.remove(&name);
            return Err(error.into());
        }
        Ok(())
    }

    fn write_new_file(&mut self, name: &str, content: &[u8]) -> Result<(), FileError> {
        write_new_file(&mut self.files, name, content)
    }

    /// Lets go of what the snapshot replaces.
    fn replace_snapshot(&mut self, bytes: u64) {
        let first_frame = self.tail.first_frame;
        if let Some((old, bytes)) = self.snapshot.replace((first_frame, bytes)) {
            self.obsolete.push(StoredFile { name: FileKind::Snapshot(old).name(), bytes });
        }
        self.obsolete.append(&mut self.closed_segments);
        self.append_out_of_space = false;
    }

    /// What can't be removed now is removed after the next snapshot or at the next opening.
    fn remove_obsolete(&mut self) {
        if self.obsolete.is_empty() {
            return;
        }
        let files = &mut self.files;
        self.obsolete.retain(|file| files.remove(&file.name).is_err());
        if let Err(error) = self.files.sync_directory() {
            log::warn!("old files of the log may come back: {error}");
        }
    }

    /// Writes a file of zeros, unless there is one of the bytes needed at least or there is no room for it.
    fn ensure_reserve(&mut self, sufficient_bytes: u64, target_bytes: u64) {
        if self.reserve_bytes > sufficient_bytes || self.reserve_bytes >= target_bytes {
            return;
        }
        match self.write_new_file(RESERVE_FILE, &vec![0; target_bytes as usize]) {
            Ok(()) => self.reserve_bytes = target_bytes,
            Err(error) => {
                log::warn!("no room is kept for a snapshot: {error}");
                self.reserve_bytes = 0;
                let _ = self.files.remove(RESERVE_FILE);
            }
        }
    }

    fn release_reserve(&mut self) -> Result<(), StoreError> {
        self.files.remove(RESERVE_FILE)?;
        self.files.sync_directory()?;
        self.reserve_bytes = 0;
        Ok(())
    }
}

fn sync_all<F: FileSystem>(files: &mut F, layout: &Layout, tail: &OpenSegment) -> Result<(), FileError> {
    for segment in &layout.closed_segments {
        files.sync_file(&segment.name)?;
    }
    files.sync_file(&tail.name())?;
    if let Some((first_frame, _)) = layout.snapshot {
        files.sync_file(&FileKind::Snapshot(first_frame).name())?;
    }
    files.sync_directory()
}
