//! The prefill call: lets one searcher prefill the prompt, and owns the KV cache handle until a decode searcher has fetched
//! the KV cache.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};

use crate::headers;
use crate::proxy_state::ProxyState;
use crate::upstream::connection::UpstreamConnection;
use crate::upstream::exchange::{Destination, Exchange, SendFailure, exchange};

/// Limit for a response that is read completely; the response to a prefill call is one small JSON object.
const MAX_RESPONSE_BYTES: usize = 64 * 1_024;

/// Timeout of a release call; a handle that is not released expires at the searcher.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// A handle to the KV cache that a prefill searcher holds for one request. Unless the KV cache was transferred, the handle
/// is released when dropped.
#[derive(Debug)]
pub(crate) struct KvHandle {
    shared: Rc<ProxyState>,
    prefill_searcher: Destination,
    handle: String,
    transferred: bool,
    obtained: Instant,
    /// Number of decode searchers that rejected the handle.
    pub(crate) rejections: u32,
}

impl KvHandle {
    /// The value of the `Kv-From` header; `None` if the handle can't be a header value.
    pub(crate) fn header_value(&self) -> Option<HeaderValue> {
        HeaderValue::try_from(format!("{}/{}", self.prefill_searcher.address, self.handle)).ok()
    }

    /// Time since the handle was obtained.
    pub(crate) fn age(&self) -> Duration {
        self.obtained.elapsed()
    }

    /// Records that a decode searcher has fetched the KV cache or may have, so that it isn't released.
    pub(crate) fn mark_transferred(&mut self) {
        self.transferred = true;
    }
}

impl Drop for KvHandle {
    fn drop(&mut self) {
        if self.transferred {
            return;
        }
        let release = release(
            self.shared.clone(),
            self.prefill_searcher.clone(),
            std::mem::take(&mut self.handle),
        );
        compio::runtime::spawn(release).detach();
    }
}

/// Why a prefill call returned no handle.
#[derive(Debug, Display, Error, From)]
pub(crate) enum PrefillFailure {
    /// The call failed. It may always be retried, as a prefill call doesn't run the request.
    #[display("{_0}")]
    Send(SendFailure),
    /// The searcher ignored `Stage` and ran the request, as its signed response shows.
    #[display("the searcher ran a request that it should only have prefilled")]
    Ran,
}

/// Sends a request with `Stage: prefill` and reads the handle from the response.
///
/// # Errors
///
/// [`PrefillFailure`], which shows whether the request ran.
pub(crate) async fn prefill(
    shared: &Rc<ProxyState>,
    prefill_searcher: &Destination,
    request: Request<Full<Bytes>>,
) -> Result<KvHandle, PrefillFailure> {
    let Exchange {
        response,
        connection,
    } = exchange(shared, prefill_searcher, request).await?;
    let status = response.status();
    if response.headers().contains_key(headers::SERVER_SIGNATURE) {
        return Err(PrefillFailure::Ran);
    }
    let body =
        read_small_response(shared, prefill_searcher, response.into_body(), connection).await?;
    let handle = (status == StatusCode::OK)
        .then(|| parse_handle(&body))
        .flatten();
    let handle = handle.ok_or(SendFailure::Broken)?;
    Ok(KvHandle {
        shared: shared.clone(),
        prefill_searcher: prefill_searcher.clone(),
        handle,
        transferred: false,
        obtained: Instant::now(),
        rejections: 0,
    })
}

/// The handle in the body of a response to a prefill call.
fn parse_handle(body: &[u8]) -> Option<String> {
    let response: serde_json::Value = serde_json::from_slice(body).ok()?;
    response.get("promptHandle")?.as_str().map(str::to_owned)
}

/// Reads a small response completely and returns its connection to the pool.
pub(crate) async fn read_small_response(
    shared: &ProxyState,
    destination: &Destination,
    body: hyper::body::Incoming,
    mut connection: UpstreamConnection,
) -> Result<Bytes, SendFailure> {
    let collected = connection
        .drive_while(Limited::new(body, MAX_RESPONSE_BYTES).collect())
        .await;
    let collected = collected.map_err(|_| SendFailure::Broken)?.to_bytes();
    if connection.is_reusable().await {
        shared.pool.checkin(&destination.identifier, connection);
    }
    Ok(collected)
}

/// Releases a handle whose KV cache was not transferred. Failures are only logged, as the handle expires by itself.
async fn release(shared: Rc<ProxyState>, prefill_searcher: Destination, handle: String) {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::DELETE;
    let Ok(target) = format!("/api/kv-handle/{handle}").parse() else {
        return;
    };
    *request.uri_mut() = target;
    let fields = request.headers_mut();
    let Ok(host) = HeaderValue::try_from(&prefill_searcher.address) else {
        return;
    };
    let Ok(instance) = HeaderValue::try_from(&prefill_searcher.identifier) else {
        return;
    };
    fields.insert(HOST, host);
    fields.insert(headers::EXPECTED_INSTANCE, instance);
    let sent = exchange(&shared, &prefill_searcher, request);
    let released = compio::time::timeout(RELEASE_TIMEOUT, async {
        let Exchange {
            response,
            connection,
        } = sent.await?;
        read_small_response(&shared, &prefill_searcher, response.into_body(), connection).await
    });
    if let Ok(Err(error)) = released.await {
        log::debug!(
            "{}: KV cache handle not released: {error}",
            prefill_searcher.address
        );
    }
}
