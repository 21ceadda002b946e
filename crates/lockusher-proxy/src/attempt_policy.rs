//! The rules of a route for the attempts of its requests, and how long clients wait for a stream.

use std::time::Duration;

use lockusher_config::configuration::{Route, RouteKind};

/// The minimum inactivity timeout of clients for a stream.
const MIN_CLIENT_INACTIVITY_TIMEOUT: Duration = Duration::from_secs(2);

/// Clients' inactivity timeout is at least this many target latencies.
const INACTIVITY_TARGET_LATENCIES: u64 = 4;

/// Clients' inactivity timeout is at least this many targets for the gap between events.
const INACTIVITY_GAP_TARGETS: u64 = 8;

/// The rules of a route for the attempts of its requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptPolicy {
    /// Whether the request may run more than once.
    pub(crate) is_idempotent: bool,
    /// Whether a broken stream may be resumed at another searcher within the response.
    pub(crate) resumable: bool,
    /// How long a prefill searcher holds KV cache for a decode searcher.
    pub(crate) handle_lifetime: Duration,
    /// How long the client waits for the first event of a stream; `None` for other responses.
    pub(crate) first_event_timeout: Option<Duration>,
}

impl AttemptPolicy {
    pub(crate) fn new(route: &Route, handle_hold_ms: u64) -> Self {
        AttemptPolicy {
            is_idempotent: route.is_idempotent(),
            resumable: route.resumable,
            handle_lifetime: Duration::from_millis(handle_hold_ms),
            first_event_timeout: (route.kind == RouteKind::Streaming)
                .then(|| client_inactivity_timeout(route)),
        }
    }
}

/// How long a stream may be inactive, also before its first event, until clients give up (PROTOCOL, "Requests").
fn client_inactivity_timeout(route: &Route) -> Duration {
    let by_latency = Duration::from_millis(INACTIVITY_TARGET_LATENCIES * route.target_latency_ms);
    let by_gap = Duration::from_millis(INACTIVITY_GAP_TARGETS * route.target_gap_ms.unwrap_or(0));
    MIN_CLIENT_INACTIVITY_TIMEOUT.max(by_latency).max(by_gap)
}
