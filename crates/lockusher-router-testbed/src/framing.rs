//! How the stand-ins of searchers frame the bodies of their responses, and how large these are: drawn from the identifier of the
//! request, so that a request determines its response.

use std::ops::RangeInclusive;

use crate::http::{LAST_CHUNK, Response, chunk};
use crate::record::digest;

/// Number of bits of a random fraction.
const FRACTION_BITS: u32 = 32;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// `Content-Length`.
    Length,
}

impl BodyFraming {
    /// The framing of the response to a request.
    pub fn for_request(request_id: &str) -> BodyFraming {
        match digest(request_id.as_bytes()) % 2 {
            0 => BodyFraming::Chunked,
            _ => BodyFraming::Length,
        }
    }

    /// The head of a response whose body has this length.
    pub fn head(self, response: &Response, length: usize) -> Vec<u8> {
        match self {
            BodyFraming::Chunked => response.chunked_head(),
            BodyFraming::Length => response.sized_head(length),
        }
    }

    /// A part of the body, with what its framing adds.
    pub fn part(self, bytes: &[u8]) -> Vec<u8> {
        match self {
            BodyFraming::Chunked => chunk(bytes),
            BodyFraming::Length => bytes.to_vec(),
        }
    }

    /// What follows the last part of the body.
    pub fn end(self) -> &'static [u8] {
        match self {
            BodyFraming::Chunked => LAST_CHUNK,
            BodyFraming::Length => b"",
        }
    }

    /// A response with its body.
    pub fn encode(self, response: &Response) -> Vec<u8> {
        let mut bytes = self.head(response, response.body.len());
        bytes.extend(self.part(&response.body));
        bytes.extend_from_slice(self.end());
        bytes
    }
}

/// The size of the response to a request, in bytes. Half of the sizes are drawn evenly, half of them on a logarithmic
/// scale, so that all magnitudes occur and many are large.
pub fn body_size(request_id: &str, sizes: &RangeInclusive<usize>) -> usize {
    let (min, max) = (*sizes.start() as f64, *sizes.end() as f64);
    let draw = digest(request_id.as_bytes());
    let fraction = (draw >> (u64::BITS - FRACTION_BITS)) as f64 / 2f64.powi(FRACTION_BITS as i32);
    let is_even = draw & 2 == 0;
    let size = if is_even {
        min + (max - min) * fraction
    } else {
        min * (max / min).powf(fraction)
    };
    (size as usize).clamp(*sizes.start(), *sizes.end())
}
