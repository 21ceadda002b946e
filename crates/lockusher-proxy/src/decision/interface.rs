//! The values that go in and out of a `RequestRouter`.
//!
//! The proxy's side of the decisions: the router's settings, the facts of a request, whether it is admitted, and where its
//! next send goes.

use std::collections::BTreeMap;

use lockusher_config::configuration::RouteKind;
use lockusher_config::settings::NodeSettings;

use super::plan::RequestPlan;
use super::types::PromptPart;

/// What a router has to know of its node and of the service level objectives.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRouterSettings {
    /// The zone of this proxy.
    pub zone: String,
    /// The region of each zone; may be empty.
    pub zones: BTreeMap<String, String>,
    /// Sends beyond the first of each request, as a share of the requests.
    pub retry_budget_ratio: f64,
    /// Sends beyond that share, in one window, over all proxies.
    pub retry_budget_slack: f64,
    /// Length of the retry budget's sliding window.
    pub budget_window_ms: u64,
    /// Reading a part of a prompt again within this time is priced.
    pub again_ms: u64,
    /// How long a draining searcher takes requests still.
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
            again_ms: node.bounds.again_ms,
            drain_ms: node.bounds.drain_ms,
        }
    }
}

/// What a request says of itself, and its route of it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestFacts {
    /// The service that the route's traffic split gave it.
    pub service: String,
    /// Whether the answer is streamed, and whether the request may run more than once.
    pub kind: RouteKind,
    /// Whether the request may run more than once (`Route::is_idempotent`).
    pub is_idempotent: bool,
    /// Rank of the route; 0 is the highest.
    pub priority: u8,
    /// The maximum number of searchers that it may be sent to.
    pub attempts: u32,
    /// The time within which an answer earns its full worth.
    pub target_latency_ms: u64,
    /// The time left to the client or to the route's time-out, whichever ends first.
    pub remaining_ms: u64,
    /// The parts of the prompt in order; empty where it names none.
    pub prompt: Vec<PromptPart>,
    /// Tokens of the prompt; 0 if unknown.
    pub tokens_in: u32,
    /// The most tokens of the answer; 0 if unknown.
    pub tokens_out: u32,
}

/// Whether a request is admitted.
#[derive(Debug)]
pub enum Admission {
    /// To be sent.
    Go(RequestPlan),
    /// To be refused at once: 503 with `Retry-After`.
    Refuse {
        /// When the client should send it again.
        retry_after_ms: u64,
    },
}

/// Names one send between its choice and its final outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SendTicket(pub(super) u64);

/// Where to send.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send there and report every outcome with the ticket.
    Send {
        /// The searcher's identifier on the platform.
        identifier: String,
        /// Its address and port.
        address: String,
        /// Its zone.
        zone: String,
        /// Names the send in the reports of its outcomes.
        ticket: SendTicket,
        /// The value of `Priority`, 0 first.
        priority: u8,
    },
    /// No searcher can take it now; the request hasn't run at a searcher that was asked for this purpose.
    Refuse {
        /// When the client should send it again.
        retry_after_ms: u64,
    },
    /// No further send is allowed: attempts or the retry budget are used up, or no time is left.
    Exhausted,
}
