//! Errors of the operator's HTTP interface and their responses. Pure, without I/O.

use derive_more::{Display, Error, From};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use lockusher_config::fault::Faults;
use lockusher_transport::http::{FullBody, answer};

use super::change_request::ChangeRequestError;

/// Value of `Retry-After` in the response to an undecided request, in seconds.
const RETRY_AFTER_S: &str = "0.3";
const TEXT: &str = "text/plain; charset=utf-8";

/// Why a request of the operator failed. Only [`OperatorError::Undecided`] is worth a retry of the same request.
#[derive(Debug, Display, Error, From)]
pub enum OperatorError {
    /// The request of a change can't be read.
    #[display("{_0}")]
    #[from]
    Unreadable(ChangeRequestError),
    /// The configuration, the patch, or the patched configuration is invalid.
    #[display("{_0}")]
    #[from]
    Invalid(Faults),
    /// There is no configuration yet to apply a patch to.
    #[display("no configuration yet: send a whole one with PUT first")]
    NothingToPatch,
    /// There is no configuration yet to read.
    #[display("no configuration yet")]
    NoConfiguration,
    /// The change is based on another version than the current one.
    #[display("If-Match names version {if_match}; version {current} is in place")]
    Conflict {
        /// The version that the change is based on.
        if_match: u64,
        /// The current version.
        current: u64,
    },
    /// The change's version isn't above the current one.
    #[display("version: expected a number above {current}, found {version}")]
    NotNewer {
        /// The current version.
        current: u64,
        /// The version that the change makes.
        version: u64,
    },
    /// The outcome is unknown: the request may take effect, now or later, or never.
    #[display("undecided; try again")]
    Undecided,
}

impl OperatorError {
    /// The status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            OperatorError::Unreadable(error) => error.status(),
            OperatorError::Invalid(_) | OperatorError::NotNewer { .. } => StatusCode::BAD_REQUEST,
            OperatorError::NothingToPatch => StatusCode::CONFLICT,
            OperatorError::NoConfiguration => StatusCode::NOT_FOUND,
            OperatorError::Conflict { .. } => StatusCode::PRECONDITION_FAILED,
            OperatorError::Undecided => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The response, with the reason as one line of text.
    pub fn response(&self) -> Response<FullBody> {
        let mut response = answer(self.status(), TEXT, format!("{self}\n"));
        if matches!(self, OperatorError::Undecided) {
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
        }
        response
    }
}
