//! Searchers' frames. A frame's length is put before it and taken off by [`codec`].

use std::fmt::Write;

use bytes::{BufMut, Bytes, BytesMut};
use lockusher_policy::interface::{Outcome, PartId, Shard, Span};
use tokio_util::codec::LengthDelimitedCodec;

use super::MOST_BODY;

/// The longest frame that is read: room for a value as large as a body, and its line.
const MOST: usize = 2 * MOST_BODY;
/// The longest line at the head of an answer, many times what its words need.
const MOST_LINE: usize = 4 * 1024;

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
    let Some((length, come)) = buffer.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > MOST {
        return Err("a frame of absurd length");
    }
    if come.first().is_some_and(|letter| !b"opqr".contains(letter)) {
        return Err("a frame of an unknown letter");
    }
    let answer = come.first() == Some(&b'q');
    if answer && come.len() > MOST_LINE && !come[..MOST_LINE].contains(&b'\n') {
        return Err("a line that does not end");
    }
    if come.len() < length {
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
            let names: Vec<String> = shards.iter().map(|s| s.0.to_string()).collect();
            let _ = write!(line, ",from={},whole={}", names.join("+"), u8::from(*whole));
        }
        let _ = writeln!(line, " {}", part.text.len());
        frame.put_slice(line.as_bytes());
        frame.put_slice(&part.text);
    }
    frame.freeze()
}

/// A part is given up: a frame `n`.
pub fn given_up(id: &PartId) -> Bytes {
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
pub enum FromSearcher {
    Ended(PartEnded),
    Probe(Probe),
    /// An answer to a probe: that it came says what there is to know.
    Nothing,
    /// A frame could not be used; the connection closes.
    Unusable(String),
}

#[derive(Debug, PartialEq)]
pub struct PartEnded {
    pub id: PartId,
    pub outcome: Outcome,
    pub score: i64,
    pub value: String,
}

/// `None` if it can't be read.
pub fn decode(frame: &[u8]) -> Option<FromSearcher> {
    let (letter, rest) = frame.split_first()?;
    Some(match letter {
        b'q' => FromSearcher::Ended(ended(rest)?),
        b'o' if rest.is_empty() => FromSearcher::Probe(Probe::Health),
        b'p' if rest.is_empty() => FromSearcher::Probe(Probe::Load),
        b'o' | b'p' => FromSearcher::Nothing,
        b'r' => FromSearcher::Unusable(String::from_utf8_lossy(rest).into_owned()),
        _ => return None,
    })
}

fn ended(rest: &[u8]) -> Option<PartEnded> {
    let end = rest.iter().position(|&b| b == b'\n')?;
    // What follows the score is a report of load, which nothing here reads.
    let mut words = rest[..end].split(|&b| b == b' ').map(std::str::from_utf8);
    let mut word = || words.next()?.ok();
    let (id, how, score) = (word()?, word()?, word()?);
    let outcome = match how {
        "good" => Outcome::Returned,
        "bad" => Outcome::Error,
        "later" => Outcome::Full,
        _ => return None,
    };
    // Where there is nothing to score, a dash may stand.
    let score = if score == "-" { 0 } else { score.parse().ok()? };
    let value = std::str::from_utf8(&rest[end + 1..]).ok()?;
    // A value is text: with other control characters in it, it is some other frame's bytes.
    let text = !value
        .chars()
        .any(|c| c.is_control() && !"\n\r\t".contains(c));
    (!id.is_empty() && text).then(|| PartEnded {
        id: PartId::new(id),
        outcome,
        score,
        value: value.to_owned(),
    })
}

/// Whose answer a frame was to be that can't be read, if that can.
pub fn meant(frame: &[u8]) -> Option<PartId> {
    let rest = frame.strip_prefix(b"q")?;
    let id = std::str::from_utf8(rest.split(|&b| b == b' ').next()?).ok()?;
    Some(PartId::new(id))
}
