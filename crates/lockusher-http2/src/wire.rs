//! The mapping of `proto/parts.proto`: a call and its parts' ends as length-delimited messages.

use bytes::{Buf, Bytes, BytesMut};
use lockusher_policy::interface::{Outcome, PartId, Shard, Span};
use prost::Message;

mod pb {
    #![allow(missing_docs, clippy::all)]
    include!(concat!(env!("OUT_DIR"), "/lockusher.v1.rs"));
}

/// Where calls are posted.
pub const PATH: &str = "/lockusher.v1/parts";
pub const CONTENT_TYPE: &str = "application/x-lockusher-parts";

/// The longest message that is read: a value as large as a body, twice over.
pub const MOST_MESSAGE: usize = 128 * 1024;

/// A part as it goes into a call.
#[derive(Clone, Debug)]
pub struct Part {
    pub id: PartId,
    pub shard: Shard,
    pub wait: Span,
    /// For a part of the second step: the shards that were in, and whether that was whole.
    pub first_step: Option<(Vec<Shard>, bool)>,
    pub text: Bytes,
}

/// How a part ended, as its searcher says.
#[derive(Clone, Debug, PartialEq)]
pub struct PartEnd {
    pub id: PartId,
    pub outcome: Outcome,
    pub score: i64,
    pub value: String,
}

pub fn encode<'a>(parts: impl Iterator<Item = &'a Part>) -> Bytes {
    let part = |part: &Part| pb::Part {
        id: part.id.as_str().to_owned(),
        shard: part.shard.0 as u32,
        wait_ms: u32::try_from(part.wait.as_micros() / 1_000).unwrap_or(u32::MAX),
        text: part.text.to_vec(),
        first_step: part
            .first_step
            .as_ref()
            .map(|(shards, whole)| pb::FirstStep {
                shards: shards.iter().map(|shard| shard.0 as u32).collect(),
                whole: *whole,
            }),
    };
    pb::Call {
        parts: parts.map(part).collect(),
    }
    .encode_length_delimited_to_vec()
    .into()
}

/// Takes messages off what comes.
#[derive(Default)]
pub struct Ends {
    buffer: BytesMut,
}

impl Ends {
    pub fn push(&mut self, come: &[u8]) {
        self.buffer.extend_from_slice(come);
    }

    /// Whether some of a message has come, and not all.
    pub fn partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next whole message; an error once what has come can't become one.
    pub fn take(&mut self) -> Result<Option<PartEnd>, &'static str> {
        let mut peek = &self.buffer[..];
        let length = match prost::decode_length_delimiter(&mut peek) {
            Ok(length) => length,
            Err(_) if self.buffer.len() < 10 => return Ok(None),
            Err(_) => return Err("a length that does not end"),
        };
        if length > MOST_MESSAGE {
            return Err("a message of absurd length");
        }
        if peek.len() < length {
            return Ok(None);
        }
        let head = self.buffer.len() - peek.len();
        self.buffer.advance(head);
        let message = self.buffer.split_to(length).freeze();
        let end = pb::PartEnd::decode(message).map_err(|_| "a message that can't be read")?;
        let outcome = match end.end() {
            pb::part_end::End::Good => Outcome::Returned,
            pb::part_end::End::Bad => Outcome::Error,
            pb::part_end::End::Later => Outcome::Overloaded,
            pb::part_end::End::Unset => return Err("an end that is none"),
        };
        let value = String::from_utf8(end.value).map_err(|_| "a value that is no text")?;
        Ok(Some(PartEnd {
            id: PartId::new(&end.id),
            outcome,
            score: end.score,
            value,
        }))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn end(value: &str) -> Vec<u8> {
        let end = pb::PartEnd {
            id: "q.1".into(),
            end: pb::part_end::End::Good as i32,
            score: -7,
            report: "load=1".into(),
            value: value.as_bytes().to_vec(),
        };
        end.encode_length_delimited_to_vec()
    }

    /// However it is cut, each message comes out once and whole.
    #[rstest]
    fn messages_come_byte_by_byte() {
        let (long, mut ends, mut got) = ("x".repeat(5_000), Ends::default(), Vec::new());
        for byte in [end("a"), end(&long), end("")].concat() {
            ends.push(&[byte]);
            got.extend(ends.take().expect("good"));
        }
        let values: Vec<usize> = got.iter().map(|end| end.value.len()).collect();
        assert_eq!(
            (values, got[0].score, ends.partial()),
            (vec![1, 5_000, 0], -7, false)
        );
    }

    #[rstest]
    #[case::absurd(vec![0xff, 0xff, 0xff, 0xff, 0x0f], "absurd")]
    #[case::endless(vec![0xff; 12], "does not end")]
    #[case::noise(vec![3, 0xa5, 0xa5, 0xa5], "can't be read")]
    #[case::no_end(vec![2, 0x18, 0x00], "an end that is none")]
    #[case::no_text(vec![6, 0x10, 0x01, 0x2a, 0x02, 0xff, 0xfe], "no text")]
    fn what_cannot_be_read(#[case] bytes: Vec<u8>, #[case] says: &str) {
        let mut ends = Ends::default();
        ends.push(&bytes);
        let fault = ends.take().expect_err("a fault");
        assert!(fault.contains(says), "{fault}");
    }
}
