//! An operator's request to change the configuration: its version precondition and its body.
//!
//! Used by the operator's HTTP interface.

use derive_more::{Display, Error};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, IF_MATCH};
use hyper::{Request, StatusCode};
use lockusher_transport::error::TransportError;
use lockusher_transport::http::read_body;

/// Size limit of a configuration or patch, in bytes.
const MAX_CONFIGURATION_BYTES: usize = 8 * 1024 * 1024;

/// A change of the configuration as received from the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRequest {
    /// The version that the change is based on.
    pub if_match: u64,
    /// The bytes of a configuration or a patch.
    pub body: Bytes,
}

/// Why a change can't be read. Only [`ChangeRequestError::BodyIncomplete`] is worth a retry of the same request.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ChangeRequestError {
    /// The header `If-Match` is missing.
    #[display("If-Match: missing")]
    VersionMissing,
    /// The header `If-Match` contains other than visible ASCII characters.
    #[display("If-Match: not a version")]
    VersionNotText,
    /// The header `If-Match` isn't a number.
    #[display("If-Match: expected a version, found {found}")]
    VersionNotNumber {
        /// The header's value.
        found: String,
    },
    /// The body exceeds the size limit.
    #[display("configuration too large")]
    TooLarge,
    /// The connection failed before the end of the body.
    #[display("the body could not be read whole")]
    BodyIncomplete,
}

impl ChangeRequestError {
    /// The status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            ChangeRequestError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

impl ChangeRequest {
    /// Reads a change from a request.
    ///
    /// # Errors
    ///
    /// [`ChangeRequestError`] if `If-Match` holds no version, or the body is too large or incomplete.
    pub async fn read(request: Request<Incoming>) -> Result<ChangeRequest, ChangeRequestError> {
        let if_match = expected_version(request.headers().get(IF_MATCH))?;
        match read_body(request.into_body(), MAX_CONFIGURATION_BYTES).await {
            Ok(body) => Ok(ChangeRequest { if_match, body }),
            Err(TransportError::BodyTooLong { .. }) => Err(ChangeRequestError::TooLarge),
            Err(_) => Err(ChangeRequestError::BodyIncomplete),
        }
    }
}

/// Parses the version in `If-Match`, with or without quotes.
///
/// # Errors
///
/// [`ChangeRequestError`] if the header is missing or holds no version.
pub fn expected_version(header: Option<&HeaderValue>) -> Result<u64, ChangeRequestError> {
    let value = header.ok_or(ChangeRequestError::VersionMissing)?;
    let text = value
        .to_str()
        .map_err(|_| ChangeRequestError::VersionNotText)?;
    let digits = text.trim().trim_matches('"');
    digits
        .parse()
        .map_err(|_| ChangeRequestError::VersionNotNumber {
            found: text.to_owned(),
        })
}
