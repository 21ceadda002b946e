//! Layout of segments and snapshots; all integers are little-endian.
//!
//! A segment is a header and then frames. A frame holds what one append brought, under one checksum, so that an append
//! is there as a whole or not at all. Frames are numbered through the whole life of the store. The last frame of a
//! segment that has a successor is a seal.

use crate::Damage;
use crate::file_names::FileKind;

/// Bytes of a segment's header: magic, version, first frame, checksum.
pub(crate) const SEGMENT_HEADER_BYTES: usize = 4 + 4 + 8 + 4;
/// Bytes of a frame's header: magic, kind, number, length of the payload, its checksum, the header's checksum.
pub(crate) const FRAME_HEADER_BYTES: usize = 4 + 4 + 8 + 4 + 4 + 4;
/// Bytes of a snapshot's header: magic, version, first frame, length, its checksum, the header's checksum.
pub(crate) const SNAPSHOT_HEADER_BYTES: usize = 4 + 4 + 8 + 8 + 4 + 4;
/// Largest payload of a frame or a snapshot.
pub(crate) const MAX_PAYLOAD_BYTES: u64 = 1 << 30;

const VERSION: u32 = 1;
// The first byte never occurs in UTF-8 text, so that no text is mistaken for a frame.
const SEGMENT_MAGIC: [u8; 4] = [0xF8, b'L', b'S', 0xF8];
const FRAME_MAGIC: [u8; 4] = [0xF8, b'L', b'F', 0xF8];
const SNAPSHOT_MAGIC: [u8; 4] = [0xF8, b'L', b'P', 0xF8];
const KIND_RECORDS: u32 = 1;
const KIND_SEAL: u32 = 2;

pub(crate) fn encode_segment_header(first_frame: u64) -> Vec<u8> {
    let mut header = Vec::with_capacity(SEGMENT_HEADER_BYTES);
    header.extend(SEGMENT_MAGIC);
    header.extend(VERSION.to_le_bytes());
    header.extend(first_frame.to_le_bytes());
    append_header_checksum(&mut header);
    header
}

/// Size of the frame that [`encode_records`] makes.
pub(crate) fn records_frame_bytes(records: &[Vec<u8>]) -> u64 {
    let payload: u64 = records.iter().map(|record| 4 + record.len() as u64).sum();
    FRAME_HEADER_BYTES as u64 + payload
}

pub(crate) fn encode_records(number: u64, records: &[Vec<u8>]) -> Vec<u8> {
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

pub(crate) fn encode_seal(number: u64) -> Vec<u8> {
    frame_header(KIND_SEAL, number, &[])
}

fn frame_header(kind: u32, number: u64, payload: &[u8]) -> Vec<u8> {
    let mut header = Vec::with_capacity(FRAME_HEADER_BYTES);
    header.extend(FRAME_MAGIC);
    header.extend(kind.to_le_bytes());
    header.extend(number.to_le_bytes());
    header.extend((payload.len() as u32).to_le_bytes());
    header.extend(crc32fast::hash(payload).to_le_bytes());
    append_header_checksum(&mut header);
    header
}

pub(crate) fn encode_snapshot(first_frame: u64, snapshot: &[u8]) -> Vec<u8> {
    let mut file = Vec::with_capacity(SNAPSHOT_HEADER_BYTES + snapshot.len());
    file.extend(SNAPSHOT_MAGIC);
    file.extend(VERSION.to_le_bytes());
    file.extend(first_frame.to_le_bytes());
    file.extend((snapshot.len() as u64).to_le_bytes());
    file.extend(crc32fast::hash(snapshot).to_le_bytes());
    append_header_checksum(&mut file);
    file.extend(snapshot);
    file
}

/// The snapshot in a file, or `None` if the file is torn or damaged.
pub(crate) fn decode_snapshot(first_frame: u64, mut file: Vec<u8>) -> Option<Vec<u8>> {
    let header = checked_header(&file, SNAPSHOT_HEADER_BYTES, SNAPSHOT_MAGIC)?;
    let whole = u32_at(header, 4) == VERSION
        && u64_at(header, 8) == first_frame
        && u64_at(header, 16) == (file.len() - SNAPSHOT_HEADER_BYTES) as u64
        && u32_at(header, 24) == crc32fast::hash(&file[SNAPSHOT_HEADER_BYTES..]);
    whole.then(|| file.split_off(SNAPSHOT_HEADER_BYTES))
}

/// What a segment's file holds.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Segment {
    pub records: Vec<Vec<u8>>,
    /// Number of the frame after the last one, the seal included.
    pub next_frame: u64,
    /// Length of the readable part.
    pub length: u64,
    /// Bytes after the readable part: a torn append.
    pub torn_bytes: u64,
    pub sealed: bool,
}

impl Segment {
    /// Whether the segment holds no frame.
    pub(crate) fn is_empty(&self) -> bool {
        self.length == SEGMENT_HEADER_BYTES as u64
    }
}

/// Reads a segment; `None` if its header never became durable, so that it was never used.
pub(crate) fn decode_segment(first_frame: u64, file: &[u8]) -> Result<Option<Segment>, Damage> {
    let name = || FileKind::Segment(first_frame).name();
    let Some(header) = checked_header(file, SEGMENT_HEADER_BYTES, SEGMENT_MAGIC) else {
        return match file.len() > SEGMENT_HEADER_BYTES {
            true => Err(Damage::SegmentHeader { file: name() }),
            false => Ok(None),
        };
    };
    if u32_at(header, 4) != VERSION || u64_at(header, 8) != first_frame {
        return Err(Damage::SegmentHeader { file: name() });
    }
    let mut segment =
        Segment { next_frame: first_frame, length: SEGMENT_HEADER_BYTES as u64, ..Segment::default() };
    while (segment.length as usize) < file.len() {
        let rest = &file[segment.length as usize..];
        let frame = decode_frame(rest).filter(|frame| frame.number == segment.next_frame && !segment.sealed);
        let Some(frame) = frame else {
            if segment.sealed || is_followed_by_later_frame(rest, segment.next_frame) {
                return Err(Damage::Frame { file: name(), offset: segment.length });
            }
            segment.torn_bytes = rest.len() as u64;
            break;
        };
        segment.records.extend(frame.records);
        segment.sealed = frame.is_seal;
        segment.next_frame += 1;
        segment.length += frame.bytes as u64;
    }
    Ok(Some(segment))
}

struct Frame {
    number: u64,
    is_seal: bool,
    records: Vec<Vec<u8>>,
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
    Some(Frame { number: u64_at(header, 8), is_seal, records, bytes: end })
}

fn split_records(mut payload: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !payload.is_empty() {
        let (length, rest) = payload.split_first_chunk::<4>()?;
        let (record, rest) = rest.split_at_checked(u32::from_le_bytes(*length) as usize)?;
        records.push(record.to_vec());
        payload = rest;
    }
    Some(records)
}

/// Whether a readable frame with a higher number lies behind an unreadable one. A torn append is the last in its
/// file, since the next is written only after a sync.
fn is_followed_by_later_frame(bytes: &[u8], unreadable: u64) -> bool {
    let own_payload = checked_header(bytes, FRAME_HEADER_BYTES, FRAME_MAGIC)
        .filter(|header| u64_at(header, 8) == unreadable)
        .map_or(1, |header| FRAME_HEADER_BYTES + u32_at(header, 16) as usize);
    let rest = bytes.get(own_payload..).unwrap_or_default();
    (0..rest.len()).any(|offset| {
        let candidate = &rest[offset..];
        candidate.starts_with(&FRAME_MAGIC)
            && decode_frame(candidate).is_some_and(|frame| frame.number > unreadable)
    })
}

/// Ends a header with its checksum.
fn append_header_checksum(header: &mut Vec<u8>) {
    let checksum = crc32fast::hash(header);
    header.extend(checksum.to_le_bytes());
}

fn checked_header(bytes: &[u8], length: usize, magic: [u8; 4]) -> Option<&[u8]> {
    let header = bytes.get(..length)?;
    let (fields, checksum) = header.split_at(length - 4);
    let valid = header.starts_with(&magic) && checksum == crc32fast::hash(fields).to_le_bytes();
    valid.then_some(header)
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(bytes[offset..offset + 4].try_into().expect("four bytes"))
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from_le_bytes(bytes[offset..offset + 8].try_into().expect("eight bytes"))
}
