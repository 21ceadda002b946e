//! The operator's HTTP interface of a control node: the routing configuration, the node's status and its metrics.
//!
//! Called for each HTTP request by the server that [`crate::serve`] starts. The replica decides on changes and reads;
//! this module translates HTTP requests into its requests and its replies into HTTP responses.

use std::rc::Rc;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request as HttpRequest, Response, StatusCode};
use lockusher_config::configuration::Configuration;
use lockusher_config::configuration_patch::ConfigurationPatch;
use lockusher_transport::http::{FullBody, answer};

use super::change_request::ChangeRequest;
use super::operator_error::OperatorError;
use super::replica_driver::ReplicaDriver;
use super::status;
use crate::document::{ConfigurationDocument, patch_identity};
use crate::request::{Reply, Request};

const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";

/// Handles one HTTP request of the operator.
pub async fn handle(
    driver: Rc<ReplicaDriver>,
    request: HttpRequest<Incoming>,
) -> Response<FullBody> {
    match (request.method(), request.uri().path()) {
        (&Method::PUT, "/api/configuration") => {
            change_response(put_configuration(&driver, request).await)
        }
        (&Method::PATCH, "/api/configuration") => {
            change_response(patch_configuration(&driver, request).await)
        }
        (&Method::GET, "/api/configuration") => read_response(get_configuration(&driver).await),
        (&Method::GET, "/api/status") => answer(StatusCode::OK, JSON, status::report(&driver)),
        (&Method::GET, "/metrics") => answer(StatusCode::OK, TEXT, status::metrics(&driver)),
        (_, "/api/configuration" | "/api/status" | "/metrics") => {
            answer(StatusCode::METHOD_NOT_ALLOWED, TEXT, "method not allowed\n")
        }
        _ => answer(StatusCode::NOT_FOUND, TEXT, "no such interface\n"),
    }
}

/// The response to a change, with the version that it made or the error.
fn change_response(outcome: Result<u64, OperatorError>) -> Response<FullBody> {
    match outcome {
        Ok(version) => answer(StatusCode::OK, JSON, format!("{{\"version\":{version}}}")),
        Err(error) => error.response(),
    }
}

fn read_response(outcome: Result<ConfigurationDocument, OperatorError>) -> Response<FullBody> {
    match outcome {
        Ok(document) => answer(StatusCode::OK, JSON, document.body.to_vec()),
        Err(error) => error.response(),
    }
}

async fn get_configuration(driver: &ReplicaDriver) -> Result<ConfigurationDocument, OperatorError> {
    match driver.request(Request::Read).await {
        Reply::Document(Some(document)) => Ok(document),
        Reply::Document(None) => Err(OperatorError::NoConfiguration),
        _ => Err(OperatorError::Undecided),
    }
}

async fn put_configuration(
    driver: &ReplicaDriver,
    request: HttpRequest<Incoming>,
) -> Result<u64, OperatorError> {
    let change = ChangeRequest::read(request).await?;
    let version = Configuration::parse(&change.body)?.version;
    let document = ConfigurationDocument::new(version, Arc::from(&change.body[..]));
    put_document(driver, change.if_match, document).await
}

/// Applies a patch to the configuration that it is based on, and puts the result under the patch's identity.
async fn patch_configuration(
    driver: &ReplicaDriver,
    request: HttpRequest<Incoming>,
) -> Result<u64, OperatorError> {
    let change = ChangeRequest::read(request).await?;
    let patch = ConfigurationPatch::parse(&change.body)?;
    let (if_match, version) = (change.if_match, patch.version);
    let identity = patch_identity(if_match, &change.body);
    let base = match driver
        .request(Request::PatchBase {
            if_match,
            version,
            request: identity,
        })
        .await
    {
        Reply::Document(Some(base)) => base,
        Reply::Document(None) => return Err(OperatorError::NothingToPatch),
        reply => return change_outcome(reply, if_match, version),
    };
    let body = patch.apply(&base.body)?;
    let document = ConfigurationDocument::patched(version, identity, Arc::from(body));
    put_document(driver, if_match, document).await
}

async fn put_document(
    driver: &ReplicaDriver,
    if_match: u64,
    document: ConfigurationDocument,
) -> Result<u64, OperatorError> {
    let version = document.version;
    let reply = driver.request(Request::Put { if_match, document }).await;
    change_outcome(reply, if_match, version)
}

/// The outcome of a change that is based on `if_match` and makes `version`.
fn change_outcome(reply: Reply, if_match: u64, version: u64) -> Result<u64, OperatorError> {
    match reply {
        Reply::Accepted => Ok(version),
        Reply::Conflict { current } => Err(OperatorError::Conflict { if_match, current }),
        Reply::NotNewer { current } => Err(OperatorError::NotNewer { current, version }),
        Reply::Document(_) | Reply::Unavailable => Err(OperatorError::Undecided),
    }
}
