//! Errors of the operator's HTTP interface: status, text and `Retry-After`.

use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use lockusher_control::driver::change_request::{ChangeRequestError, expected_version};
use lockusher_control::driver::operator_error::OperatorError;
use yare::parameterized;

#[parameterized(
    plain = { "12", Ok(12) },
    in_quotes = { " \"12\" ", Ok(12) },
    weak = { "W/\"12\"", Err(ChangeRequestError::VersionNotNumber { found: "W/\"12\"".to_owned() }) },
    word = { "one", Err(ChangeRequestError::VersionNotNumber { found: "one".to_owned() }) },
)]
fn the_version_in_if_match_is_parsed(header: &str, expected: Result<u64, ChangeRequestError>) {
    let header = HeaderValue::from_str(header).expect("a header");

    assert_eq!(expected_version(Some(&header)), expected);
}

#[test]
fn a_missing_if_match_is_an_error() {
    assert_eq!(
        expected_version(None),
        Err(ChangeRequestError::VersionMissing)
    );
}

#[parameterized(
    too_large = { ChangeRequestError::TooLarge.into(), 413, "configuration too large" },
    no_version = { ChangeRequestError::VersionMissing.into(), 400, "If-Match: missing" },
    nothing_to_patch = { OperatorError::NothingToPatch, 409, "no configuration yet: send a whole one with PUT first" },
    no_configuration = { OperatorError::NoConfiguration, 404, "no configuration yet" },
    conflict = {
        OperatorError::Conflict { if_match: 3, current: 5 }, 412, "If-Match names version 3; version 5 is in place"
    },
    not_newer = {
        OperatorError::NotNewer { current: 5, version: 4 }, 400, "version: expected a number above 5, found 4"
    },
    undecided = { OperatorError::Undecided, 503, "undecided; try again" },
)]
fn an_error_has_a_status_and_a_reason(error: OperatorError, status: u16, reason: &str) {
    assert_eq!(error.status().as_u16(), status);
    assert_eq!(error.to_string(), reason);
}

#[test]
fn only_an_undecided_request_is_answered_with_retry_after() {
    let undecided = OperatorError::Undecided.response();
    assert_eq!(undecided.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        undecided.headers().get(RETRY_AFTER),
        Some(&HeaderValue::from_static("0.3"))
    );

    let conflict = OperatorError::Conflict {
        if_match: 3,
        current: 5,
    }
    .response();
    assert_eq!(conflict.headers().get(RETRY_AFTER), None);
}
