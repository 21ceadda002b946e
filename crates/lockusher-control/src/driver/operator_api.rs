//! The operator's HTTP interface: putting and reading the routing configuration.

use std::rc::Rc;
use std::sync::Arc;

use hyper::body::{Bytes, Incoming};
use hyper::header::{IF_MATCH, RETRY_AFTER};
use hyper::{Method, Request as HttpRequest, Response, StatusCode};
use lockusher_config::configuration::Configuration;
use lockusher_config::configuration_patch::ConfigurationPatch;
use lockusher_config::fault::Faults;
use lockusher_transport::error::TransportError;
use lockusher_transport::http::{FullBody, answer, read_body};

use super::replica_driver::ReplicaDriver;
use super::status;
use crate::document::{ConfigurationDocument, patch_identity};
use crate::request::{Reply, Request};

/// The largest configuration that is taken, in bytes.
const MAX_CONFIGURATION_BYTES: usize = 8 * 1024 * 1024;
/// When to come back after an undecided request, in seconds.
const RETRY_AFTER_S: &str = "0.3";
const NOTHING_TO_PATCH: &str = "no configuration yet: send a whole one with PUT first\n";
const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";

/// Answers one call of the operator.
pub async fn handle(driver: Rc<ReplicaDriver>, request: HttpRequest<Incoming>) -> Response<FullBody> {
    match (request.method(), request.uri().path()) {
        (&Method::PUT, "/api/configuration") => put_configuration(driver, request).await,
        (&Method::PATCH, "/api/configuration") => patch_configuration(driver, request).await,
        (&Method::GET, "/api/configuration") => get_configuration(driver).await,
        (&Method::GET, "/api/status") => answer(StatusCode::OK, JSON, status::report(&driver)),
        (&Method::GET, "/metrics") => answer(StatusCode::OK, TEXT, status::metrics(&driver)),
        (_, "/api/configuration" | "/api/status" | "/metrics") => {
            answer(StatusCode::METHOD_NOT_ALLOWED, TEXT, "method not allowed\n")
        }
        _ => answer(StatusCode::NOT_FOUND, TEXT, "no such interface\n"),
    }
}

async fn put_configuration(driver: Rc<ReplicaDriver>, request: HttpRequest<Incoming>) -> Response<FullBody> {
    let change = match read_change_request(request).await {
        Ok(change) => change,
        Err(response) => return response,
    };
    let version = match Configuration::parse(&change.body) {
        Ok(configuration) => configuration.version,
        Err(faults) => return faults_response(&faults),
    };
    let document = ConfigurationDocument::new(version, Arc::from(&change.body[..]));
    put_document(&driver, change.if_match, document).await
}

/// Applies a patch to the configuration that it builds on and puts what comes of it under the patch's own identity.
async fn patch_configuration(
    driver: Rc<ReplicaDriver>,
    request: HttpRequest<Incoming>,
) -> Response<FullBody> {
    let change = match read_change_request(request).await {
        Ok(change) => change,
        Err(response) => return response,
    };
    let patch = match ConfigurationPatch::parse(&change.body) {
        Ok(patch) => patch,
        Err(faults) => return faults_response(&faults),
    };
    let (if_match, version) = (change.if_match, patch.version);
    let identity = patch_identity(if_match, &change.body);
    let base = match driver.request(Request::Base { if_match, version, request: identity }).await {
        Reply::Document(Some(base)) => base,
        Reply::Document(None) => return answer(StatusCode::CONFLICT, TEXT, NOTHING_TO_PATCH),
        reply => return change_response(reply, if_match, version),
    };
    match patch.apply(&base.body) {
        Ok(body) => {
            put_document(
                &driver,
                if_match,
                ConfigurationDocument::patched(version, identity, Arc::from(body)),
            )
            .await
        }
        Err(faults) => faults_response(&faults),
    }
}

/// A change as the operator sent it.
struct ChangeRequest {
    if_match: u64,
    body: Bytes,
}

/// Reads the call of a change whole, or says why it can't be taken.
async fn read_change_request(request: HttpRequest<Incoming>) -> Result<ChangeRequest, Response<FullBody>> {
    let if_match =
        expected_version(&request).map_err(|fault| answer(StatusCode::BAD_REQUEST, TEXT, fault))?;
    match read_body(request.into_body(), MAX_CONFIGURATION_BYTES).await {
        Ok(body) => Ok(ChangeRequest { if_match, body }),
        Err(TransportError::BodyTooLong(_)) => {
            Err(answer(StatusCode::PAYLOAD_TOO_LARGE, TEXT, "configuration too large\n"))
        }
        Err(_) => Err(answer(StatusCode::BAD_REQUEST, TEXT, "the body could not be read whole\n")),
    }
}

fn faults_response(faults: &Faults) -> Response<FullBody> {
    answer(StatusCode::BAD_REQUEST, TEXT, format!("{faults}\n"))
}

async fn put_document(
    driver: &ReplicaDriver,
    if_match: u64,
    document: ConfigurationDocument,
) -> Response<FullBody> {
    let version = document.version;
    change_response(driver.request(Request::Put { if_match, document }).await, if_match, version)
}

/// The answer to a change of version `version` that builds on `if_match`.
fn change_response(reply: Reply, if_match: u64, version: u64) -> Response<FullBody> {
    match reply {
        Reply::Accepted => answer(StatusCode::OK, JSON, format!("{{\"version\":{version}}}")),
        Reply::Conflict { current } => {
            let fault = format!("If-Match names version {if_match}; version {current} is in place\n");
            answer(StatusCode::PRECONDITION_FAILED, TEXT, fault)
        }
        Reply::NotNewer { current } => {
            let fault = format!("version: expected a number above {current}, found {version}\n");
            answer(StatusCode::BAD_REQUEST, TEXT, fault)
        }
        Reply::Document(_) | Reply::Unavailable => unavailable_response(),
    }
}

/// The version in `If-Match`, plain or in quotes.
fn expected_version(request: &HttpRequest<Incoming>) -> Result<u64, String> {
    let value = request.headers().get(IF_MATCH).ok_or("If-Match: missing\n")?;
    let text = value.to_str().map_err(|_| "If-Match: not a version\n")?;
    let digits = text.trim().trim_matches('"');
    digits.parse().map_err(|_| format!("If-Match: expected a version, found {text}\n"))
}

async fn get_configuration(driver: Rc<ReplicaDriver>) -> Response<FullBody> {
    match driver.request(Request::Read).await {
        Reply::Document(Some(document)) => answer(StatusCode::OK, JSON, document.body.to_vec()),
        Reply::Document(None) => answer(StatusCode::NOT_FOUND, TEXT, "no configuration yet\n"),
        _ => unavailable_response(),
    }
}

fn unavailable_response() -> Response<FullBody> {
    let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, TEXT, "undecided; try again\n");
    let value = hyper::header::HeaderValue::from_static(RETRY_AFTER_S);
    response.headers_mut().insert(RETRY_AFTER, value);
    response
}
