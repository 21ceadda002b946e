//! Searchers' frames. A frame's length is put before it and taken off by [`codec`].

use std::fmt::Write;

use bytes::{BufMut, Bytes, BytesMut};
use lockusher_policy::interface::{Outcome, PartId, Shard, Span};
use tokio_util::codec::LengthDelimitedCodec;

use super::MAX_BODY_BYTES;

/// The longest frame that is read: room for a value as large as a body, and its line.
const MAX_FRAME_BYTES: usize = 2 * MAX_BODY_BYTES;
/// The longest line at the head of an answer, many times what its words need.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// The length before each frame that is written: four bytes, most significant first. What the mixer writes is
/// bounded by what it has in hand.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(4)
        .max_frame_length(u32::MAX as usize)
        .new_codec()
}

/// Takes the next whole frame off, less its length; `None` if more of it must come. What can't become a frame is
/// told as soon as that shows, so that nothing absurd is waited for or kept.
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
        return Err("a frame of an unknown letter");
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

/// A part as it goes into a call.
#[derive(Clone, Debug)]
pub struct CallPart {
    pub id: PartId,
    pub shard: Shard,
    /// How long the mixer waits.
    pub wait: Span,
    /// For a part of the second step: the shards that were in, and whether that was whole.
    pub first_step: Option<(std::rc::Rc<[Shard]>, bool)>,
    pub text: Bytes,
}

/// One call: a frame `m`.
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

/// A part is given up: a frame `n`.
pub fn cancel(id: &PartId) -> Bytes {
    Bytes::from(format!("n{}", id.as_str()))
}

/// Asks for a searcher's health.
pub fn probe() -> Bytes {
    Bytes::from_static(b"o")
}

/// What the mixer answers a probe with: it is well; of its load it has nothing to tell.
pub fn probe_answer(probe: Probe) -> Bytes {
    Bytes::from_static(match probe {
        Probe::Health => b"ogood",
        Probe::Load => b"p-",
    })
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Probe {
    Health,
    Load,
}

/// What a searcher sends.
#[derive(Debug, PartialEq)]
pub enum SearcherFrame {
    Answer(PartAnswer),
    Probe(Probe),
    /// An answer to a probe: that it came says what there is to know.
    ProbeAnswer,
    /// A frame could not be used; the connection closes.
    Rejected(String),
}

#[derive(Debug, PartialEq)]
pub struct PartAnswer {
    pub id: PartId,
    pub outcome: Outcome,
    pub score: i64,
    pub value: String,
}

/// `None` if it can't be read.
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

fn decode_answer(rest: &[u8]) -> Option<PartAnswer> {
    let line_end = rest.iter().position(|&b| b == b'\n')?;
    // What follows the score is a report of load, which nothing here reads.
    let mut fields = rest[..line_end]
        .split(|&b| b == b' ')
        .map(std::str::from_utf8);
    let mut next_field = || fields.next()?.ok();
    let (id, status, score) = (next_field()?, next_field()?, next_field()?);
    let outcome = match status {
        "good" => Outcome::Returned,
        "bad" => Outcome::Error,
        "later" => Outcome::Full,
        _ => return None,
    };
    // Where there is nothing to score, a dash may stand.
    let score = if score == "-" { 0 } else { score.parse().ok()? };
    let value = std::str::from_utf8(&rest[line_end + 1..]).ok()?;
    // A value is text: with other control characters in it, it is some other frame's bytes.
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

/// Whose answer a frame was to be that can't be read, if that can.
pub fn answered_part_id(frame: &[u8]) -> Option<PartId> {
    let rest = frame.strip_prefix(b"q")?;
    let id = std::str::from_utf8(rest.split(|&b| b == b' ').next()?).ok()?;
    Some(PartId::new(id))
}
