//! Input and output types of a `RequestRouter`.
//!
//! The router's settings, the attributes of a request, the admission result, and the choice for the next send.

use std::collections::BTreeMap;

use lockusher_config::configuration::RouteKind;
use lockusher_config::settings::NodeSettings;

use super::plan::RequestPlan;
use super::types::PromptPart;

/// Settings that the router takes from the node and from the service level objectives.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRouterSettings {
    /// The zone of this proxy.
    pub zone: String,
    /// The region of each zone; may be empty.
    pub zones: BTreeMap<String, String>,
    /// Retries allowed as a fraction of the requests.
    pub retry_budget_ratio: f64,
    /// Retries allowed in addition to that fraction, per window, over all proxies.
    pub retry_budget_slack: f64,
    /// Length of the retry budget's sliding window.
    pub budget_window_ms: u64,
    /// Prefilling part of a prompt again within this time incurs a cost.
    pub repeated_prefill_window_ms: u64,
    /// How long a draining searcher still accepts requests.
    pub drain_ms: u64,
}

impl From<&NodeSettings> for RequestRouterSettings {
    fn from(node: &NodeSettings) -> Self {
        RequestRouterSettings {
            zone: node.zone.clone(),
            zones: node.zones.clone(),
            retry_budget_ratio: node.bounds.retry_budget_ratio,
            retry_budget_slack: node.bounds.retry_budget_slack,
            budget_window_ms: node.bounds.budget_window_ms,
            repeated_prefill_window_ms: node.bounds.repeated_prefill_window_ms,
            drain_ms: node.bounds.drain_ms,
        }
    }
}

/// The properties of a request and of its route that the decisions depend on.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestAttributes {
    /// The service that the route's traffic split assigned to the request.
    pub service: String,
    /// Whether the response is streamed, and whether the request is idempotent.
    pub kind: RouteKind,
    /// Whether the request may run more than once (`Route::is_idempotent`).
    pub is_idempotent: bool,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// The maximum number of searchers that the request may be sent to.
    pub attempts: u32,
    /// The time within which a response has its full value.
    pub target_latency_ms: u64,
    /// The time until the client's deadline or the route's timeout, whichever is earlier.
    pub remaining_ms: u64,
    /// The parts of the prompt in order; empty if the request names none.
    pub prompt: Vec<PromptPart>,
    /// Number of prompt tokens; 0 if unknown.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens; 0 if unknown.
    pub max_output_tokens: u32,
}

/// The result of admission control for one request.
#[derive(Debug)]
pub enum Admission {
    /// The request is admitted.
    Admitted(RequestPlan),
    /// The request is refused at once: 503 with `Retry-After`.
    Refused {
        /// When the client should retry.
        retry_after_ms: u64,
    },
}

/// Identifies one send from its choice to its final outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SendTicket(pub(super) u64);

/// The choice for the next send of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send to this searcher and report every outcome with the ticket.
    Send {
        /// The searcher's identifier on the platform.
        identifier: String,
        /// Its address and port.
        address: String,
        /// Its zone.
        zone: String,
        /// Identifies the send when its outcomes are reported.
        ticket: SendTicket,
        /// The value of the `Priority` header; 0 is the highest.
        priority: u8,
    },
    /// No searcher is available; no searcher that the request was sent to for this purpose has run it.
    Unavailable {
        /// When the client should retry.
        retry_after_ms: u64,
    },
    /// No further send is allowed: the attempts or the retry budget are used up, or the deadline has passed.
    Exhausted,
}
