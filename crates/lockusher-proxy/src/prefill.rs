//! The prefill call: has one searcher prefill the prompt, and owns the KV-cache handle until a decode searcher fetches it.

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

/// An answer to a prefill call holds one small object.
const MAX_ANSWER_BYTES: usize = 64 * 1_024;

/// A searcher that does not release a handle in this time lets it lapse.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// KV cache that a prefill searcher reserves for one request. Unless it was transferred, it is released when dropped.
#[derive(Debug)]
pub(crate) struct KvHandle {
    shared: Rc<ProxyState>,
    prefill_searcher: Destination,
    handle: String,
    transferred: bool,
    obtained: Instant,
    /// Decode searchers that rejected it.
    pub(crate) rejections: u32,
}

impl KvHandle {
    /// The value of `Kv-From`.
    pub(crate) fn header_value(&self) -> Option<HeaderValue> {
        HeaderValue::try_from(format!("{}/{}", self.prefill_searcher.address, self.handle)).ok()
    }

    /// How long ago it was obtained.
    pub(crate) fn age(&self) -> Duration {
        self.obtained.elapsed()
    }

    /// A decode searcher has fetched the KV cache, or may have.
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

/// Why a prefill call brought no handle.
#[derive(Debug, Display, Error, From)]
pub(crate) enum PrefillFailure {
    /// The call failed; it may be repeated in any case, as nothing runs.
    #[display("{_0}")]
    Send(SendFailure),
    /// The searcher took no notice of `Stage` and ran the request: its answer is signed.
    #[display("the request ran where it should only have been read")]
    Ran,
}

/// Sends a request with `Stage: prefill` and reads the handle.
///
/// # Errors
///
/// [`PrefillFailure`], which says whether the request ran.
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
        read_small_answer(shared, prefill_searcher, response.into_body(), connection).await?;
    let handle = (status == StatusCode::OK)
        .then(|| handle_in(&body))
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

fn handle_in(body: &[u8]) -> Option<String> {
    let answer: serde_json::Value = serde_json::from_slice(body).ok()?;
    answer.get("promptHandle")?.as_str().map(str::to_owned)
}

/// Reads a small answer completely and gives the connection back.
pub(crate) async fn read_small_answer(
    shared: &ProxyState,
    destination: &Destination,
    body: hyper::body::Incoming,
    mut connection: UpstreamConnection,
) -> Result<Bytes, SendFailure> {
    let complete = connection
        .drive_while(Limited::new(body, MAX_ANSWER_BYTES).collect())
        .await;
    let complete = complete.map_err(|_| SendFailure::Broken)?.to_bytes();
    if connection.is_reusable().await {
        shared.pool.checkin(&destination.identifier, connection);
    }
    Ok(complete)
}

/// Releases a handle that was not transferred. Failures need no care: it lapses by itself.
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
    let answer = compio::time::timeout(RELEASE_TIMEOUT, async {
        let Exchange {
            response,
            connection,
        } = sent.await?;
        read_small_answer(&shared, &prefill_searcher, response.into_body(), connection).await
    });
    if let Ok(Err(error)) = answer.await {
        log::debug!(
            "{}: a handle was not freed: {error}",
            prefill_searcher.address
        );
    }
}
