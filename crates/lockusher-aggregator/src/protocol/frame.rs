//! Frames exchanged with searchers. Each frame is preceded by its length; see [`codec`].

use std::fmt::Write;

use bytes::{BufMut, Bytes, BytesMut};
use lockusher_policy::interface::{Outcome, PartId, Shard, Span};
use tokio_util::codec::LengthDelimitedCodec;

use super::MAX_BODY_BYTES;

/// Maximum size of a frame that is read: a value as large as a request body, and its line.
const MAX_FRAME_BYTES: usize = 2 * MAX_BODY_BYTES;
/// Maximum size of the first line of an answer, many times what its fields need.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// Codec for written frames: a length of four bytes in big-endian order precedes each frame. Written frames are
/// bounded by the requests in flight, so the codec sets no limit of its own.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(4)
        .max_frame_length(u32::MAX as usize)
        .new_codec()
}

/// Removes and returns the next complete frame without its length, or `None` if more bytes are needed. Bytes that
/// cannot become a valid frame are reported as early as possible, so that the mixer neither waits for nor buffers
/// them.
pub fn next(buffer: &mut BytesMut) -> Result<Option<BytesMut>, &'static str> {
    let Some((length, available)) = buffer.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err("a frame of absurd length");
    }
    if available
        .first()
        .is_some_and(|kind| !b"opqr".contains(kind))
    {
        return Err("a frame of an unknown type");
    }
    let answer = available.first() == Some(&b'q');
    if answer && available.len() > MAX_LINE_BYTES && !available[..MAX_LINE_BYTES].contains(&b'\n') {
        return Err("a line that does not end");
    }
    if available.len() < length {
        return Ok(None);
    }
    let _ = buffer.split_to(4);
    Ok(Some(buffer.split_to(length)))
}

/// A part as it is encoded in a call.
#[derive(Clone, Debug)]
pub struct CallPart {
    pub id: PartId,
    pub shard: Shard,
    /// How long the mixer waits for the answer.
    pub wait: Span,
    /// For a part of the second step: the shards that were answered in the first step, and whether that step was
    /// complete.
    pub first_step: Option<(std::rc::Rc<[Shard]>, bool)>,
    pub text: Bytes,
}

/// Encodes a call with one or more parts: a frame `m`.
pub fn call<'a>(parts: impl Iterator<Item = &'a CallPart>) -> Bytes {
    let mut frame = BytesMut::from(&b"m"[..]);
    for part in parts {
        let mut line = format!(
            "{} {} d={}",
            part.id.as_str(),
            part.shard.0,
            part.wait.as_micros() / 1_000
        );
        if let Some((shards, whole)) = &part.first_step {
            let shards: Vec<String> = shards.iter().map(|s| s.0.to_string()).collect();
            let _ = write!(
                line,
                ",from={},whole={}",
                shards.join("+"),
                u8::from(*whole)
            );
        }
        let _ = writeln!(line, " {}", part.text.len());
        frame.put_slice(line.as_bytes());
        frame.put_slice(&part.text);
    }
    frame.freeze()
}

/// Encodes the cancellation of a part: a frame `n`.
pub fn cancel(id: &PartId) -> Bytes {
    Bytes::from(format!("n{}", id.as_str()))
}

/// Encodes a health probe to a searcher.
pub fn probe() -> Bytes {
    Bytes::from_static(b"o")
}

/// Encodes the answer to a searcher's probe: always healthy, no load reported.
pub fn probe_answer(probe: Probe) -> Bytes {
    Bytes::from_static(match probe {
        Probe::Health => b"ogood",
        Probe::Load => b"p-",
    })
}

/// A probe sent by a searcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Probe {
    Health,
    Load,
}

/// A frame received from a searcher.
#[derive(Debug, PartialEq)]
pub enum SearcherFrame {
    Answer(PartAnswer),
    Probe(Probe),
    /// An answer to a probe; only its arrival matters.
    ProbeAnswer,
    /// The searcher could not use a frame and closes the connection.
    Rejected(String),
}

/// The answer to one part.
#[derive(Debug, PartialEq)]
pub struct PartAnswer {
    pub id: PartId,
    pub outcome: Outcome,
    pub score: i64,
    pub value: String,
}

/// Decodes a frame; `None` if it is malformed.
pub fn decode(frame: &[u8]) -> Option<SearcherFrame> {
    let (kind, rest) = frame.split_first()?;
    Some(match kind {
        b'q' => SearcherFrame::Answer(decode_answer(rest)?),
        b'o' if rest.is_empty() => SearcherFrame::Probe(Probe::Health),
        b'p' if rest.is_empty() => SearcherFrame::Probe(Probe::Load),
        b'o' | b'p' => SearcherFrame::ProbeAnswer,
        b'r' => SearcherFrame::Rejected(String::from_utf8_lossy(rest).into_owned()),
        _ => return None,
    })
}

/// Decodes the rest of a frame `q`, the answer to a part.
fn decode_answer(rest: &[u8]) -> Option<PartAnswer> {
    let line_end = rest.iter().position(|&b| b == b'\n')?;
    // The load report after the score is ignored.
    let mut fields = rest[..line_end]
        .split(|&b| b == b' ')
        .map(std::str::from_utf8);
    let mut next_field = || fields.next()?.ok();
    let (id, status, score) = (next_field()?, next_field()?, next_field()?);
    let outcome = match status {
        "good" => Outcome::Returned,
        "bad" => Outcome::Error,
        "later" => Outcome::Overloaded,
        _ => return None,
    };
    // A dash stands for a missing score.
    let score = if score == "-" { 0 } else { score.parse().ok()? };
    let value = std::str::from_utf8(&rest[line_end + 1..]).ok()?;
    // Values are text; other control characters mean that the bytes of another frame are mixed in.
    let is_text = !value
        .chars()
        .any(|c| c.is_control() && !"\n\r\t".contains(c));
    (!id.is_empty() && is_text).then(|| PartAnswer {
        id: PartId::new(id),
        outcome,
        score,
        value: value.to_owned(),
    })
}

/// Extracts the part id from an answer that is otherwise malformed, if possible.
pub fn answered_part_id(frame: &[u8]) -> Option<PartId> {
    let rest = frame.strip_prefix(b"q")?;
    let id = std::str::from_utf8(rest.split(|&b| b == b' ').next()?).ok()?;
    Some(PartId::new(id))
}
