//! The on-disk format: encoding and decoding of segments, frames and snapshots. No I/O.
//!
//! All integers are little-endian; every checksum is a CRC-32 (IEEE). `version` is 1. Sizes are in bytes.
//!
//! **Segment** (`segment-N`): a header of 20 bytes, then frames numbered from N on.
//!
//! | offset | size | field |
//! | --- | --- | --- |
//! | 0 | 4 | magic, `F8 4C 53 F8` (`.LS.`) |
//! | 4 | 4 | version |
//! | 8 | 8 | number of the first frame, N |
//! | 16 | 4 | checksum of bytes 0..16 |
//!
//! **Frame**: a header of 28 bytes, then the payload. A frame holds the records of one append under one checksum,
//! which makes appends atomic.
//!
//! | offset | size | field |
//! | --- | --- | --- |
//! | 0 | 4 | magic, `F8 4C 46 F8` (`.LF.`) |
//! | 4 | 4 | kind: 1 records, 2 seal |
//! | 8 | 8 | number of the frame |
//! | 16 | 4 | size of the payload |
//! | 20 | 4 | checksum of the payload |
//! | 24 | 4 | checksum of bytes 0..24 |
//! | 28 | – | payload: for each record its size in 4 bytes, then the record; empty in a seal |
//!
//! A **seal** is the last frame of a segment that has a successor; it guarantees that the successor exists.
//!
//! **Snapshot** (`snapshot-N`): covers all frames before N.
//!
//! | offset | size | field |
//! | --- | --- | --- |
//! | 0 | 4 | magic, `F8 4C 50 F8` (`.LP.`) |
//! | 4 | 4 | version |
//! | 8 | 8 | N |
//! | 16 | 8 | size of the content |
//! | 24 | 4 | checksum of the content |
//! | 28 | 4 | checksum of bytes 0..28 |
//! | 32 | – | content |
//!
//! # Torn tail or damage
//!
//! A frame is written only after the preceding frame was synced, so a power loss can tear only the last frame of a
//! file. An unreadable frame that is followed by a readable frame with a higher number is therefore [`Damage`].

use crate::error::Damage;
use crate::file_names::FileKind;
use crate::frame_number::FrameNumber;

/// Bytes of a segment's header: magic, version, first frame, checksum.
pub(crate) const SEGMENT_HEADER_BYTES: usize = 4 + 4 + 8 + 4;
/// Bytes of a frame's header: magic, kind, number, length of the payload, its checksum, the header's checksum.
pub(crate) const FRAME_HEADER_BYTES: usize = 4 + 4 + 8 + 4 + 4 + 4;
/// Bytes of a snapshot's header: magic, version, first frame, length, its checksum, the header's checksum.
pub(crate) const SNAPSHOT_HEADER_BYTES: usize = 4 + 4 + 8 + 8 + 4 + 4;
/// Largest payload of a frame, and largest content of a snapshot, in bytes.
pub(crate) const MAX_PAYLOAD_BYTES: u64 = 1 << 30;

const VERSION: u32 = 1;
/// Bytes of the size before each record.
const RECORD_SIZE_BYTES: usize = 4;
/// Bytes of the checksum that ends each header.
const CHECKSUM_BYTES: usize = 4;
// The first byte of each magic never occurs in UTF-8, so that text in a record can't be mistaken for a frame.
const SEGMENT_MAGIC: [u8; 4] = [0xF8, b'L', b'S', 0xF8];
const FRAME_MAGIC: [u8; 4] = [0xF8, b'L', b'F', 0xF8];
const SNAPSHOT_MAGIC: [u8; 4] = [0xF8, b'L', b'P', 0xF8];
const KIND_RECORDS: u32 = 1;
const KIND_SEAL: u32 = 2;

/// Encodes the header of a segment.
pub(crate) fn encode_segment_header(first_frame: FrameNumber) -> Vec<u8> {
    let mut header = Vec::with_capacity(SEGMENT_HEADER_BYTES);
    header.extend(SEGMENT_MAGIC);
    header.extend(VERSION.to_le_bytes());
    header.extend(first_frame.0.to_le_bytes());
    append_header_checksum(&mut header);
    header
}

/// Size in bytes of the frame that [`encode_records`] returns.
pub(crate) fn records_frame_bytes(records: &[Vec<u8>]) -> u64 {
    let payload: u64 = records
        .iter()
        .map(|record| (RECORD_SIZE_BYTES + record.len()) as u64)
        .sum();
    FRAME_HEADER_BYTES as u64 + payload
}

/// Encodes a frame that holds these records.
pub(crate) fn encode_records(number: FrameNumber, records: &[Vec<u8>]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(records_frame_bytes(records) as usize);
    frame.resize(FRAME_HEADER_BYTES, 0);
    for record in records {
        frame.extend((record.len() as u32).to_le_bytes());
        frame.extend(record);
    }
    let header = frame_header(KIND_RECORDS, number, &frame[FRAME_HEADER_BYTES..]);
    frame[..FRAME_HEADER_BYTES].copy_from_slice(&header);
    frame
}

/// Encodes the seal of a segment.
pub(crate) fn encode_seal(number: FrameNumber) -> Vec<u8> {
    frame_header(KIND_SEAL, number, &[])
}

fn frame_header(kind: u32, number: FrameNumber, payload: &[u8]) -> Vec<u8> {
    let mut header = Vec::with_capacity(FRAME_HEADER_BYTES);
    header.extend(FRAME_MAGIC);
    header.extend(kind.to_le_bytes());
    header.extend(number.0.to_le_bytes());
    header.extend((payload.len() as u32).to_le_bytes());
    header.extend(crc32fast::hash(payload).to_le_bytes());
    append_header_checksum(&mut header);
    header
}

/// Encodes the file of a snapshot that covers all frames before `first_frame`.
pub(crate) fn encode_snapshot(first_frame: FrameNumber, snapshot: &[u8]) -> Vec<u8> {
    let mut file = Vec::with_capacity(SNAPSHOT_HEADER_BYTES + snapshot.len());
    file.extend(SNAPSHOT_MAGIC);
    file.extend(VERSION.to_le_bytes());
    file.extend(first_frame.0.to_le_bytes());
    file.extend((snapshot.len() as u64).to_le_bytes());
    file.extend(crc32fast::hash(snapshot).to_le_bytes());
    append_header_checksum(&mut file);
    file.extend(snapshot);
    file
}

/// Decodes a snapshot's file; `None` if the file is torn or damaged.
pub(crate) fn decode_snapshot(first_frame: FrameNumber, mut file: Vec<u8>) -> Option<Vec<u8>> {
    let header = checked_header(&file, SNAPSHOT_HEADER_BYTES, SNAPSHOT_MAGIC)?;
    let is_complete = u32_at(header, 4) == VERSION
        && frame_number_at(header, 8) == first_frame
        && u64_at(header, 16) == (file.len() - SNAPSHOT_HEADER_BYTES) as u64
        && u32_at(header, 24) == crc32fast::hash(&file[SNAPSHOT_HEADER_BYTES..]);
    is_complete.then(|| file.split_off(SNAPSHOT_HEADER_BYTES))
}

/// The decoded content of a segment's file.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct DecodedSegment {
    /// The records of all frames, in order.
    pub records: Vec<Vec<u8>>,
    /// Number of the frame after the last one, the seal included.
    pub next_frame: FrameNumber,
    /// Length of the readable part in bytes.
    pub length: u64,
    /// Bytes after the readable part, left by a torn append.
    pub torn_bytes: u64,
    /// Whether the last frame is a seal.
    pub sealed: bool,
}

impl DecodedSegment {
    /// Whether the segment holds no frames.
    pub(crate) fn is_empty(&self) -> bool {
        self.length == SEGMENT_HEADER_BYTES as u64
    }

    fn push(&mut self, frame: Frame) {
        self.records.extend(frame.records);
        self.sealed = frame.is_seal;
        self.next_frame = self.next_frame.next();
        self.length += frame.bytes as u64;
    }
}

/// Decodes a segment; `None` if its header never became durable, which means that the segment was never used.
///
/// # Errors
///
/// [`Damage::SegmentHeader`] or [`Damage::Frame`] if a power loss can't explain the unreadable part.
pub(crate) fn decode_segment(
    first_frame: FrameNumber,
    file: &[u8],
) -> Result<Option<DecodedSegment>, Damage> {
    if !has_segment_header(first_frame, file)? {
        return Ok(None);
    }
    let mut segment = DecodedSegment {
        next_frame: first_frame,
        length: SEGMENT_HEADER_BYTES as u64,
        ..DecodedSegment::default()
    };
    while (segment.length as usize) < file.len() {
        let rest = &file[segment.length as usize..];
        let is_next = |frame: &Frame| frame.number == segment.next_frame && !segment.sealed;
        let Some(frame) = decode_frame(rest).filter(is_next) else {
            if segment.sealed || is_followed_by_later_frame(rest, segment.next_frame) {
                let file = FileKind::Segment(first_frame).name();
                return Err(Damage::Frame {
                    file,
                    offset: segment.length,
                });
            }
            segment.torn_bytes = rest.len() as u64;
            break;
        };
        segment.push(frame);
    }
    Ok(Some(segment))
}

/// Whether the segment has a header. A file that is no longer than an invalid header was never used; any other invalid
/// header, and that of another segment, is damage.
fn has_segment_header(first_frame: FrameNumber, file: &[u8]) -> Result<bool, Damage> {
    let is_valid = match checked_header(file, SEGMENT_HEADER_BYTES, SEGMENT_MAGIC) {
        Some(header) => u32_at(header, 4) == VERSION && frame_number_at(header, 8) == first_frame,
        None if file.len() <= SEGMENT_HEADER_BYTES => return Ok(false),
        None => false,
    };
    match is_valid {
        true => Ok(true),
        false => Err(Damage::SegmentHeader {
            file: FileKind::Segment(first_frame).name(),
        }),
    }
}

/// A readable frame.
struct Frame {
    number: FrameNumber,
    is_seal: bool,
    records: Vec<Vec<u8>>,
    /// Size of header and payload in bytes.
    bytes: usize,
}

fn decode_frame(bytes: &[u8]) -> Option<Frame> {
    let header = checked_header(bytes, FRAME_HEADER_BYTES, FRAME_MAGIC)?;
    let end = FRAME_HEADER_BYTES + u32_at(header, 16) as usize;
    let payload = bytes.get(FRAME_HEADER_BYTES..end)?;
    if u32_at(header, 20) != crc32fast::hash(payload) {
        return None;
    }
    let is_seal = u32_at(header, 4) == KIND_SEAL;
    let records = split_records(payload)?;
    Some(Frame {
        number: frame_number_at(header, 8),
        is_seal,
        records,
        bytes: end,
    })
}

fn split_records(mut payload: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !payload.is_empty() {
        let (length, rest) = payload.split_first_chunk::<RECORD_SIZE_BYTES>()?;
        let (record, rest) = rest.split_at_checked(u32::from_le_bytes(*length) as usize)?;
        records.push(record.to_vec());
        payload = rest;
    }
    Some(records)
}

/// Whether a readable frame with a higher number follows the unreadable one, which a power loss can't explain.
fn is_followed_by_later_frame(bytes: &[u8], unreadable: FrameNumber) -> bool {
    // If the header is readable, its payload is skipped: a record may contain the bytes of a frame.
    let search_from = checked_header(bytes, FRAME_HEADER_BYTES, FRAME_MAGIC)
        .filter(|header| frame_number_at(header, 8) == unreadable)
        .map_or(1, |header| FRAME_HEADER_BYTES + u32_at(header, 16) as usize);
    let rest = bytes.get(search_from..).unwrap_or_default();
    (0..rest.len()).any(|offset| {
        let candidate = &rest[offset..];
        candidate.starts_with(&FRAME_MAGIC)
            && decode_frame(candidate).is_some_and(|frame| frame.number > unreadable)
    })
}

/// Appends the checksum of a header to it.
fn append_header_checksum(header: &mut Vec<u8>) {
    let checksum = crc32fast::hash(header);
    header.extend(checksum.to_le_bytes());
}

/// The header at the start of `bytes`, if its magic and checksum are valid.
fn checked_header(bytes: &[u8], length: usize, magic: [u8; 4]) -> Option<&[u8]> {
    let header = bytes.get(..length)?;
    let (fields, checksum) = header.split_at(length - CHECKSUM_BYTES);
    let valid = header.starts_with(&magic) && checksum == crc32fast::hash(fields).to_le_bytes();
    valid.then_some(header)
}

fn frame_number_at(bytes: &[u8], offset: usize) -> FrameNumber {
    FrameNumber(u64_at(bytes, offset))
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(
        bytes[offset..offset + 4]
            .try_into()
            .expect("the range has four bytes"),
    )
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from_le_bytes(
        bytes[offset..offset + 8]
            .try_into()
            .expect("the range has eight bytes"),
    )
}
