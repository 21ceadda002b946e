//! Configuration documents as the operator sent them, and the digests that identify them.
//!
//! The content is opaque here: the operator's API validates it before it becomes a document.

use std::sync::Arc;

use bitcode::{Decode, Encode};
use derive_more::Display;

/// 128-bit FNV-1a digest of a document's body. It identifies a configuration that is sent again; it isn't cryptographic
/// and doesn't withstand forgery.
#[derive(Clone, Copy, Debug, Decode, Display, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{_0:032x}")]
pub struct Digest(pub u128);

const FNV_OFFSET_BASIS: u128 = 0x6c62272e07bb014262b821756295c58d;
const FNV_PRIME: u128 = 0x0000000001000000000000000000013b;

impl Digest {
    /// Digest of these bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(FNV_OFFSET_BASIS).extended(bytes)
    }

    /// Digest of the bytes digested so far followed by these.
    pub fn extended(self, bytes: &[u8]) -> Self {
        let hash = bytes.iter().fold(self.0, |hash, byte| {
            (hash ^ u128::from(*byte)).wrapping_mul(FNV_PRIME)
        });
        Self(hash)
    }
}

/// A validated configuration with its version.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct ConfigurationDocument {
    /// Version assigned by the operator; versions increase.
    pub version: u64,
    /// Identity of the operator's request that produced it, so that a retry is recognised: the digest of the full
    /// configuration sent, or of a patch with the version that it builds on.
    pub request: Digest,
    /// Digest of `body`.
    pub digest: Digest,
    /// The bytes exactly as the operator sent them, or the result of a patch of the previous configuration.
    pub body: Arc<[u8]>,
}

impl ConfigurationDocument {
    /// A document that the operator sent in full.
    pub fn new(version: u64, body: Arc<[u8]>) -> Self {
        let digest = Digest::of(&body);
        Self {
            version,
            request: digest,
            digest,
            body,
        }
    }

    /// A document produced by a patch, whose [`patch_identity`] is `request`.
    pub fn patched(version: u64, request: Digest, body: Arc<[u8]>) -> Self {
        Self {
            version,
            request,
            digest: Digest::of(&body),
            body,
        }
    }
}

/// Prefix that distinguishes the identities of patches from digests of full configurations.
const PATCH_DOMAIN: &[u8] = b"PATCH\n";

/// Identity of a patch: digest of the version that it builds on and of all its bytes. Its own version alone doesn't
/// identify it, since two operators may assign the same version to different changes.
pub fn patch_identity(if_match: u64, body: &[u8]) -> Digest {
    Digest::of(PATCH_DOMAIN)
        .extended(&if_match.to_le_bytes())
        .extended(body)
}
