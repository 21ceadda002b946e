//! A change of the configuration as the operator sends it: its version precondition and its body.
//!
//! Used by the operator's HTTP interface.

use derive_more::{Display, Error};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, IF_MATCH};
use hyper::{Request, StatusCode};
use lockusher_transport::error::TransportError;
use lockusher_transport::http::read_body;

/// The largest configuration that is accepted, in bytes.
const MAX_CONFIGURATION_BYTES: usize = 8 * 1024 * 1024;

/// A change as the operator sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRequest {
    /// The version that the change builds on.
    pub if_match: u64,
    /// A configuration or a patch, as bytes.
    pub body: Bytes,
}

/// Why a change can't be read. Sending the same again helps only after [`ChangeRequestError::BodyIncomplete`].
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ChangeRequestError {
    /// The header `If-Match` is missing.
    #[display("If-Match: missing")]
    VersionMissing,
    /// The header `If-Match` isn't plain text.
    #[display("If-Match: not a version")]
    VersionNotText,
    /// The header `If-Match` isn't a number.
    #[display("If-Match: expected a version, found {found}")]
    VersionNotNumber {
        /// The header's value.
        found: String,
    },
    /// The body is over the limit.
    #[display("configuration too large")]
    TooLarge,
    /// The connection failed within the body.
    #[display("the body could not be read whole")]
    BodyIncomplete,
}

impl ChangeRequestError {
    /// The status with which it is answered.
    pub fn status(&self) -> StatusCode {
        match self {
            ChangeRequestError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

impl ChangeRequest {
    /// Reads a change to its end.
    ///
    /// # Errors
    ///
    /// [`ChangeRequestError`] if it names no version that it builds on, is too large or doesn't come to its end.
    pub async fn read(request: Request<Incoming>) -> Result<ChangeRequest, ChangeRequestError> {
        let if_match = expected_version(request.headers().get(IF_MATCH))?;
        match read_body(request.into_body(), MAX_CONFIGURATION_BYTES).await {
            Ok(body) => Ok(ChangeRequest { if_match, body }),
            Err(TransportError::BodyTooLong { .. }) => Err(ChangeRequestError::TooLarge),
            Err(_) => Err(ChangeRequestError::BodyIncomplete),
        }
    }
}

/// The version in `If-Match`, plain or in quotes.
///
/// # Errors
///
/// [`ChangeRequestError`] if there is none.
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
