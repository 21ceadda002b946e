//! What a route says of the attempts of its requests, and how long clients wait.

use std::time::Duration;

use lockusher_config::configuration::{Route, RouteKind};

/// Clients give no stream up after a shorter inactivity.
const MIN_CLIENT_INACTIVITY_TIMEOUT: Duration = Duration::from_secs(2);

/// Clients bear an inactivity of this many latency targets.
const INACTIVITY_LATENCY_TARGETS: u64 = 4;

/// Clients bear an inactivity of this many latency targets between events.
const INACTIVITY_GAP_TARGETS: u64 = 8;

/// What a route says of the attempts of its requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptPolicy {
    /// Whether the request may run more than once.
    pub(crate) is_idempotent: bool,
    /// Whether a stream may be resumed at another searcher within one answer.
    pub(crate) resumable: bool,
    /// How long a prefill searcher reserves KV cache for a decode searcher.
    pub(crate) handle_lifetime: Duration,
    /// How long the client waits for the first event of a stream; absent for other answers.
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

/// How long a stream may be inactive before clients give it up, also before its first event (PROTOCOL, "Requests").
fn client_inactivity_timeout(route: &Route) -> Duration {
    let by_target = Duration::from_millis(INACTIVITY_LATENCY_TARGETS * route.target_latency_ms);
    let by_gap = Duration::from_millis(INACTIVITY_GAP_TARGETS * route.gap_aim_ms.unwrap_or(0));
    MIN_CLIENT_INACTIVITY_TIMEOUT.max(by_target).max(by_gap)
}
