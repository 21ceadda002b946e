//! The operator's routing configuration.

use bitcode::{Decode, Encode};

/// One version of the routing configuration, checked.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Configuration {
    /// Rises with each change, by uneven steps.
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub limits: Limits,
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once per try.
    NonIdempotent,
    /// Answers with a series of events; runs at most once unless `resumable`.
    Streaming,
}

/// A route: requests of one host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    pub name: String,
    pub host: String,
    /// Starts and ends with a slash.
    pub path_prefix: String,
    pub kind: RouteKind,
    /// The longest that a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer earns its full worth, in milliseconds.
    pub target_latency_ms: u64,
    /// Rank of the route's requests; 0 is the highest.
    pub priority: u8,
    /// The services that take the route's requests, by weight; never empty, weights never sum to 0.
    pub split: Vec<WeightedService>,
    /// The greatest number of searchers that one try may be sent to; at least 1.
    pub attempts: u32,
    /// Whether requests name the parts of their prompts (`Prompt-Prefix`).
    pub sticky: bool,
    /// Whether a stream may be taken up elsewhere with `Last-Event-Id`.
    pub resumable: bool,
    /// The longest pause between events of an answer in time, in milliseconds.
    pub gap_aim_ms: Option<u64>,
}

impl Route {
    /// Whether a request of this route may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct WeightedService {
    pub service: String,
    pub weight: u32,
}

/// A service: searchers that answer alike.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Service {
    pub name: String,
    /// Path of the health check.
    pub health_check: String,
    /// Connections that one searcher accepts from all callers together.
    pub connection_limit: u32,
    /// The inference engine of a service of language models; absent for plain services.
    pub engine: Option<Engine>,
}

/// What is told of a service's inference engine.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Engine {
    /// Requests that run at once in a batch.
    pub slots: u32,
    /// Tokens that the KV cache of one searcher holds.
    pub cache_tokens: u64,
    /// Bytes of one token in the KV cache.
    pub cache_token_bytes: u64,
    /// Rate of the link over which a searcher fetches KV cache, in megabits a second.
    pub link_mbps: f64,
    /// Tokens between two events of a stream, as told.
    pub stride: u32,
    /// How long a prefilled prompt is held for its decode searcher, in milliseconds.
    pub handle_hold_ms: u64,
    /// How long a change of stage takes, in milliseconds.
    pub role_switch_ms: u64,
    /// Names of the models that are served.
    pub models: Vec<String>,
}

/// What a client may send, and how long it may take or rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Limits {
    pub header_bytes: u64,
    pub body_bytes: u64,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}
