//! Sends one request to one searcher and receives the head of the response, which must carry the request's identifier.
//!
//! Called by `attempts` and `prefill`. A [`SendFailure`] shows whether the request may have run; the rules for that are
//! in the protocol documentation (PROTOCOL, "Searchers").

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

/// If the body of a rejection is longer, the connection is closed instead of reused.
const MAX_REJECTION_BYTES: usize = 16 * 1_024;

/// If reading the body of a rejection takes longer, the connection is closed instead of reused.
const REJECTION_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// The searcher that a request is sent to.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    pub(crate) identifier: String,
    pub(crate) address: String,
}

/// Why a send produced no valid response.
#[derive(Debug, Display, Error)]
pub(crate) enum SendFailure {
    /// This proxy has reached its limit of connections to the searcher.
    #[display("connection limit reached")]
    AtLimit,
    /// No connection was established, or it closed before a byte of the request was written.
    #[display("unreachable")]
    Unreachable,
    /// The searcher rejected the request without running it.
    #[display("rejected with {status}")]
    Rejected { status: StatusCode },
    /// The address belongs to another searcher or stage (421).
    #[display("misdirected")]
    Misdirected,
    /// Any other failure: the request may have run.
    #[display("broken")]
    Broken,
}

impl SendFailure {
    /// Whether the failure proves that the request has not run and will not run.
    pub(crate) fn proves_not_run(&self) -> bool {
        !matches!(self, SendFailure::Broken)
    }

    /// The reason to count if the request isn't served in the end.
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

/// A response whose head belongs to the request, with the connection that its body is read from.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: UpstreamConnection,
}

/// Sends a request to a searcher and validates the head of the response.
///
/// # Errors
///
/// A [`SendFailure`], which shows whether the request may have run.
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
    let mut connection = checkout.map_err(|error| checkout_failure(shared, destination, &error))?;
    let sent = connection.send(request).await;
    let response = sent.map_err(|error| exchange_failure(shared, destination, &error))?;
    let checked = check_response_head(
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

/// Reads the body of a rejection in a separate task, so that its connection can be reused.
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

/// Logs a failed checkout and converts it; closes the idle connections to an unreachable searcher.
fn checkout_failure(
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

/// Logs a failed exchange and converts it; closes the idle connections to a searcher that acknowledges nothing.
fn exchange_failure(
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

/// Whether the kernel closed the connection because sent bytes weren't acknowledged: the machine may be dead.
pub(crate) fn is_acknowledgement_timeout(error: &hyper::Error) -> bool {
    let cause = error
        .source()
        .and_then(|cause| cause.downcast_ref::<io::Error>());
    cause.is_some_and(|cause| cause.kind() == io::ErrorKind::TimedOut)
}

/// Checks that the head of a response belongs to the request, has unambiguous framing and is no rejection.
fn check_response_head(
    destination: &Destination,
    response: &HeaderMap,
    status: StatusCode,
    identifier: Option<&HeaderValue>,
) -> Result<(), SendFailure> {
    if headers::single_value(response, &headers::REQUEST_IDENTIFIER) != identifier {
        log::debug!(
            "{}: the response carries another request identifier",
            destination.address
        );
        return Err(SendFailure::Broken);
    }
    if !headers::has_unambiguous_framing(response) {
        log::debug!(
            "{}: the response has ambiguous framing",
            destination.address
        );
        return Err(SendFailure::Broken);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err(SendFailure::Misdirected);
    }
    if response.contains_key(headers::NOT_EXECUTED) {
        return Err(SendFailure::Rejected { status });
    }
    Ok(())
}
