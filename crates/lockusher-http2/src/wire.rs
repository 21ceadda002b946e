//! Encodes calls and decodes part ends as length-delimited messages of `proto/parts.proto`.

use bytes::{Buf, Bytes, BytesMut};
use lockusher_policy::interface::{Outcome, PartId, Shard, Span};
use prost::Message;

mod pb {
    #![allow(missing_docs, clippy::all)]
    include!(concat!(env!("OUT_DIR"), "/lockusher.v1.rs"));
}

/// The path that calls are posted to.
pub const PATH: &str = "/lockusher.v1/parts";
/// The content type of a call.
pub const CONTENT_TYPE: &str = "application/x-lockusher-parts";

/// Limit on one message: twice the largest value, which is as large as a body.
pub const MAX_MESSAGE_BYTES: usize = 128 * 1024;

/// A part of a call.
#[derive(Clone, Debug)]
pub struct Part {
    pub id: PartId,
    pub shard: Shard,
    /// How long the mixer waits for a result.
    pub wait: Span,
    /// For a part of the second step: the shards that the first step covered, and whether it was complete.
    pub first_step: Option<(Vec<Shard>, bool)>,
    pub text: Bytes,
}

/// The end of a part, as reported by its searcher.
#[derive(Clone, Debug, PartialEq)]
pub struct PartEnd {
    pub id: PartId,
    pub outcome: Outcome,
    pub score: i64,
    pub value: String,
}

/// Encodes one call.
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

/// Decodes part ends from the chunks of a response body.
#[derive(Default)]
pub struct PartEndDecoder {
    buffer: BytesMut,
}

impl PartEndDecoder {
    /// Appends a chunk.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether an incomplete message is buffered.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next complete message, if any; an error if the buffered bytes can't be the start of one.
    pub fn next_end(&mut self) -> Result<Option<PartEnd>, &'static str> {
        let mut after_prefix = &self.buffer[..];
        let length = match prost::decode_length_delimiter(&mut after_prefix) {
            Ok(length) => length,
            Err(_) if self.buffer.len() < 10 => return Ok(None),
            Err(_) => return Err("message length prefix does not end"),
        };
        if length > MAX_MESSAGE_BYTES {
            return Err("message length exceeds the limit");
        }
        if after_prefix.len() < length {
            return Ok(None);
        }
        let prefix_bytes = self.buffer.len() - after_prefix.len();
        self.buffer.advance(prefix_bytes);
        let message = self.buffer.split_to(length).freeze();
        let end = pb::PartEnd::decode(message).map_err(|_| "malformed message")?;
        let outcome = match end.end() {
            pb::part_end::End::Good => Outcome::Returned,
            pb::part_end::End::Bad => Outcome::Error,
            pb::part_end::End::Later => Outcome::Overloaded,
            pb::part_end::End::Unset => return Err("part end without an outcome"),
        };
        let value = String::from_utf8(end.value).map_err(|_| "value is not valid UTF-8")?;
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

    /// Each message is decoded once, however the body is split.
    #[rstest]
    fn messages_split_into_bytes_are_decoded() {
        let (long, mut decoder, mut received) =
            ("x".repeat(5_000), PartEndDecoder::default(), Vec::new());
        for byte in [end("a"), end(&long), end("")].concat() {
            decoder.push(&[byte]);
            received.extend(decoder.next_end().expect("valid messages"));
        }
        let values: Vec<usize> = received.iter().map(|end| end.value.len()).collect();
        assert_eq!(
            (values, received[0].score, decoder.has_partial_message()),
            (vec![1, 5_000, 0], -7, false)
        );
    }

    #[rstest]
    #[case::too_long(vec![0xff, 0xff, 0xff, 0xff, 0x0f], "exceeds the limit")]
    #[case::unterminated_length(vec![0xff; 12], "does not end")]
    #[case::noise(vec![3, 0xa5, 0xa5, 0xa5], "malformed message")]
    #[case::no_outcome(vec![2, 0x18, 0x00], "part end without an outcome")]
    #[case::not_utf8(vec![6, 0x10, 0x01, 0x2a, 0x02, 0xff, 0xfe], "not valid UTF-8")]
    fn malformed_messages_are_rejected(#[case] bytes: Vec<u8>, #[case] expected: &str) {
        let mut decoder = PartEndDecoder::default();
        decoder.push(&bytes);
        let error = decoder.next_end().expect_err("an error");
        assert!(error.contains(expected), "{error}");
    }
}
