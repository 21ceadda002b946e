//! The operator's routing configuration: which requests go to which service, and how.
//!
//! [`configuration_reader`](crate::configuration_reader) makes it from the operator's document; the control plane
//! replicates the document, and agents hand it to the proxies. The readers guarantee that every service that a route
//! names exists, that no two routes share host and prefix, and that the weights of a split don't sum to 0. These types are
//! sent in `bitcode`'s form, which goes by the order and types of fields and variants: neither may change. Source: the
//! operators' pages (PROTOCOL, "Requests" and "The operator's API"). Fields are named after their keys; a duration is in
//! milliseconds, whatever the key's unit.

use bitcode::{Decode, Encode};

/// One version of the routing configuration, checked.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Configuration {
    /// Rises with each change, by uneven steps; key `version`, required, above 0.
    pub version: u64,
    /// The routes; key `routes`, required.
    pub routes: Vec<Route>,
    /// The services to which routes lead; key `services`, required. Names are unique.
    pub services: Vec<Service>,
    /// Limits on clients; key `limits`.
    pub limits: Limits,
}

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RouteKind {
    /// May run more than once: it may be retried and hedged.
    Idempotent,
    /// Must run at most once for each request of a client.
    NonIdempotent,
    /// Answered with a series of events (`text/event-stream`); runs at most once unless the route is `resumable`.
    Streaming,
}

/// A route: requests of one host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// Name of the route, by which a patch refers to it; key `name`, by default empty.
    pub name: String,
    /// The host that requests name in `Host`, compared without letter case and port; key `host`, required.
    pub host: String,
    /// Beginning of the paths, which starts and ends with a slash; key `pathPrefix`, required.
    pub path_prefix: String,
    /// How often a request may run; key `kind`, required.
    pub kind: RouteKind,
    /// Timeout of a request, in milliseconds; key `timeoutMs`, required, above 0.
    pub timeout_ms: u64,
    /// Latency target: the time within which an answer has its full value, to the first event of a stream, in milliseconds;
    /// key `targetLatencyMs`, by default (and if 0) `timeout_ms`.
    pub target_latency_ms: u64,
    /// Priority of the route's requests, of which 0 is the highest; key `priority`, by default 5, at most 255. Load shedding
    /// and searchers go by it.
    pub priority: u8,
    /// The services that take the route's requests, by weight; key `trafficSplit`, or `service` for one alone. Never empty;
    /// weights never sum to 0.
    pub split: Vec<WeightedService>,
    /// The greatest number of searchers that one request of a client may be sent to; key `attempts`, by default 1, above 0.
    pub attempts: u32,
    /// Whether requests name the shared prefixes of their prompts (`Prompt-Prefix`), for affinity to prefix caches; key
    /// `sticky`, by default `false`. The proxy goes by the requests themselves.
    pub sticky: bool,
    /// Whether a stream may be resumed at another searcher with `Last-Event-Id`; key `resumable`, by default `false`.
    pub resumable: bool,
    /// Latency target between events: the longest gap with which a stream is in time, in milliseconds; key `gap_aim_ms`, by
    /// default (and if 0) none.
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

/// One service of a route's traffic split.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct WeightedService {
    /// Name of the service; key `service`, required.
    pub service: String,
    /// Its weight among those of the split, which may be 0; key `weight`, required.
    pub weight: u32,
}

/// A service: searchers that give the same answers.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Service {
    /// Name of the service, by which routes and instances refer to it; key `name`, required.
    pub name: String,
    /// Path of the health check; key `healthCheck`, by default `/health`. No program acts on it.
    pub health_check: String,
    /// Connections that one searcher accepts from all callers together; key `connectionLimit`, by default without limit.
    pub connection_limit: u32,
    /// The inference engine of a service of language models; key `engine`, absent for other services.
    pub engine: Option<Engine>,
}

/// The inference engine of a service's searchers.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Engine {
    /// Requests that run at once in a batch; key `slots`, by default 1.
    pub slots: u32,
    /// Capacity of one searcher's KV cache, in tokens; key `cacheTokens`, by default 0.
    pub cache_tokens: u64,
    /// Size of one token in the KV cache, in bytes; key `cacheTokenBytes`, by default 0.
    pub cache_token_bytes: u64,
    /// Bandwidth with which a searcher fetches KV cache from another, in megabits a second; key `linkMbps`, by default
    /// 10,000.
    pub link_mbps: f64,
    /// Tokens from one event of a stream to the next; key `stride`, by default 1. No program acts on it.
    pub stride: u32,
    /// How long a prefill searcher reserves the KV cache of a prompt for the decode searcher that is to fetch it, in
    /// milliseconds; key `handleHoldS`, by default 1 s.
    pub handle_hold_ms: u64,
    /// How long a searcher takes to change its stage, in milliseconds; key `roleSwitchS`, by default 5 s.
    pub role_switch_ms: u64,
    /// Names of the models that are served; key `models`, by default none.
    pub models: Vec<String>,
}

/// Limits on what a client may send, and on how long it may take or be idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Limits {
    /// Largest head of a request, in bytes; key `headerBytes`, by default 16 KiB, above 0.
    pub header_bytes: u64,
    /// Largest body of a request, in bytes; key `bodyBytes`, by default 4 MiB.
    pub body_bytes: u64,
    /// Within what time a client sends the head of a request, in milliseconds; key `headerTimeoutMs`, by default 3 s.
    pub header_timeout_ms: u64,
    /// How long a client's connection may be idle, in milliseconds; key `idleTimeoutMs`, by default 15 s.
    pub idle_timeout_ms: u64,
}
