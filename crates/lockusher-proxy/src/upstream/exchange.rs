//! One request sent to one searcher, up to the head of its answer, which is checked: it must name the request.
//!
//! Called by `attempts` and `prefill`. A [`SendFailure`] says whether the request may have run. Source: the operators' pages
//! (PROTOCOL, "Searchers").

use std::error::Error as _;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};

use super::connection::{ExchangeError, UpstreamConnection};
use super::pool::CheckoutError;
use crate::decision::SendOutcome;
use crate::headers;
use crate::proxy_state::ProxyState;
use crate::unserved::UnservedReason;

/// A rejection whose body is longer is not read for the sake of its connection.
const MAX_REJECTION_BYTES: usize = 16 * 1_024;

/// Nor is one that takes longer.
const REJECTION_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Where a request is sent.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    pub(crate) identifier: String,
    pub(crate) address: String,
}

/// Why a send came to no answer that may be used.
#[derive(Debug, Display, Error)]
pub(crate) enum SendFailure {
    /// This proxy may not open another connection to that searcher now.
    #[display("no connection to spare")]
    AtLimit,
    /// No connection came up, or it closed before a byte of the request was written.
    #[display("unreachable")]
    Unreachable,
    /// The searcher rejected the request without running it.
    #[display("rejected with {status}")]
    Rejected { status: StatusCode },
    /// The address or the stage is another's (421).
    #[display("misdirected")]
    Misdirected,
    /// Anything else: the request may have run.
    #[display("broken")]
    Broken,
}

impl SendFailure {
    /// Whether it is certain that the request has not run and never will.
    pub(crate) fn proves_not_run(&self) -> bool {
        !matches!(self, SendFailure::Broken)
    }

    /// Why a request isn't served if no other send succeeds.
    pub(crate) fn unserved_reason(&self) -> UnservedReason {
        match self {
            SendFailure::AtLimit => UnservedReason::ConnectionLimit,
            SendFailure::Unreachable => UnservedReason::Unreachable,
            SendFailure::Rejected { .. } => UnservedReason::Rejected,
            SendFailure::Misdirected => UnservedReason::Misdirected,
            SendFailure::Broken => UnservedReason::Broken,
        }
    }

    /// The outcome that is reported to the request router.
    pub(crate) fn outcome(&self) -> SendOutcome {
        match self {
            SendFailure::AtLimit | SendFailure::Unreachable => SendOutcome::Unreachable,
            SendFailure::Rejected { .. } => SendOutcome::Rejected,
            SendFailure::Misdirected => SendOutcome::Misdirected,
            SendFailure::Broken => SendOutcome::Failed,
        }
    }
}

/// The head of an answer that names the request, with the connection that carries its body.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: UpstreamConnection,
}

/// Sends a request to a searcher and checks the head of the answer.
///
/// # Errors
///
/// A [`SendFailure`] that says whether the request may have run.
pub(crate) async fn exchange(
    shared: &Rc<ProxyState>,
    destination: &Destination,
    request: Request<Full<Bytes>>,
) -> Result<Exchange, SendFailure> {
    let identifier = request.headers().get(headers::REQUEST_IDENTIFIER).cloned();
    let checkout = shared
        .pool
        .checkout(&destination.identifier, &destination.address)
        .await;
    let mut connection = checkout.map_err(|error| failed_checkout(shared, destination, &error))?;
    let sent = connection.send(request).await;
    let response = sent.map_err(|error| failed_exchange(shared, destination, &error))?;
    let checked = check_answer_head(
        destination,
        response.headers(),
        response.status(),
        identifier.as_ref(),
    );
    if let Err(failure) = checked {
        if matches!(failure, SendFailure::Rejected { .. }) {
            let body = response.into_body();
            compio::runtime::spawn(drain_rejection(
                shared.clone(),
                destination.clone(),
                body,
                connection,
            ))
            .detach();
        }
        return Err(failure);
    }
    Ok(Exchange {
        response,
        connection,
    })
}

/// Reads the rest of a rejection in a task of its own, so that its connection can serve another request.
async fn drain_rejection(
    shared: Rc<ProxyState>,
    destination: Destination,
    body: Incoming,
    mut connection: UpstreamConnection,
) {
    let body_read = connection.drive_while(Limited::new(body, MAX_REJECTION_BYTES).collect());
    let body_read = compio::time::timeout(REJECTION_READ_TIMEOUT, body_read).await;
    if matches!(body_read, Ok(Ok(_))) && connection.is_reusable().await {
        shared.pool.checkin(&destination.identifier, connection);
    }
}

fn failed_checkout(
    shared: &ProxyState,
    destination: &Destination,
    error: &CheckoutError,
) -> SendFailure {
    log::debug!("{}: {error}", destination.address);
    match error {
        CheckoutError::AtLimit => SendFailure::AtLimit,
        CheckoutError::BadAddress { .. } => SendFailure::Unreachable,
        CheckoutError::Unreachable(_) => {
            shared.pool.close_idle_to(&destination.identifier);
            SendFailure::Unreachable
        }
    }
}

fn failed_exchange(
    shared: &ProxyState,
    destination: &Destination,
    error: &ExchangeError,
) -> SendFailure {
    log::debug!("{}: {error}", destination.address);
    match error {
        ExchangeError::NotWritten => SendFailure::Unreachable,
        ExchangeError::Broken(error) => {
            if is_acknowledgement_timeout(error) {
                shared.pool.close_idle_to(&destination.identifier);
            }
            SendFailure::Broken
        }
    }
}

/// Whether the kernel gave the connection up because nothing was acknowledged: the machine may be dead.
pub(crate) fn is_acknowledgement_timeout(error: &hyper::Error) -> bool {
    let cause = error
        .source()
        .and_then(|cause| cause.downcast_ref::<io::Error>());
    cause.is_some_and(|cause| cause.kind() == io::ErrorKind::TimedOut)
}

/// Whether the head of an answer is this request's, and no rejection.
fn check_answer_head(
    destination: &Destination,
    answer: &HeaderMap,
    status: StatusCode,
    identifier: Option<&HeaderValue>,
) -> Result<(), SendFailure> {
    if headers::single(answer, &headers::REQUEST_IDENTIFIER) != identifier {
        log::debug!("{}: the answer names another request", destination.address);
        return Err(SendFailure::Broken);
    }
    if !headers::has_plain_framing(answer) {
        log::debug!("{}: the answer's framing is ambiguous", destination.address);
        return Err(SendFailure::Broken);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err(SendFailure::Misdirected);
    }
    if answer.contains_key(headers::NOT_EXECUTED) {
        return Err(SendFailure::Rejected { status });
    }
    Ok(())
}
