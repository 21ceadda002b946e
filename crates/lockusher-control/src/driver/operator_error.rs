//! Why a call of the operator isn't carried out, and how that is answered.
//!
//! Used by the operator's HTTP interface. Pure, without I/O.

use derive_more::{Display, Error, From};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use lockusher_config::fault::Faults;
use lockusher_transport::http::{FullBody, answer};

use super::change_request::ChangeRequestError;

/// When to send an undecided request again, in seconds.
const RETRY_AFTER_S: &str = "0.3";
const TEXT: &str = "text/plain; charset=utf-8";

/// Why a call isn't carried out. Only [`OperatorError::Undecided`] is worth sending again unchanged.
#[derive(Debug, Display, Error, From)]
pub enum OperatorError {
    /// The change can't be read.
    #[display("{_0}")]
    #[from]
    Unreadable(ChangeRequestError),
    /// The configuration, the patch, or what comes of the patch isn't valid.
    #[display("{_0}")]
    #[from]
    Faulty(Faults),
    /// There is no configuration that a patch could build on.
    #[display("no configuration yet: send a whole one with PUT first")]
    NothingToPatch,
    /// Nothing was put yet.
    #[display("no configuration yet")]
    NoConfiguration,
    /// The change builds on another version than the current one.
    #[display("If-Match names version {if_match}; version {current} is in place")]
    Conflict {
        /// The version that the change builds on.
        if_match: u64,
        /// The version in place.
        current: u64,
    },
    /// The change's version isn't above the current one.
    #[display("version: expected a number above {current}, found {version}")]
    NotNewer {
        /// The version in place.
        current: u64,
        /// The version that the change makes.
        version: u64,
    },
    /// The request may be carried out, now or later, or not at all.
    #[display("undecided; try again")]
    Undecided,
}

impl OperatorError {
    /// The status with which it is answered.
    pub fn status(&self) -> StatusCode {
        match self {
            OperatorError::Unreadable(error) => error.status(),
            OperatorError::Faulty(_) | OperatorError::NotNewer { .. } => StatusCode::BAD_REQUEST,
            OperatorError::NothingToPatch => StatusCode::CONFLICT,
            OperatorError::NoConfiguration => StatusCode::NOT_FOUND,
            OperatorError::Conflict { .. } => StatusCode::PRECONDITION_FAILED,
            OperatorError::Undecided => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The answer: the reason as a line of text.
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
