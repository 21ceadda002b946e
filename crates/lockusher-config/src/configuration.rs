//! The operator's routing configuration: which requests go to which service, and how.
//!
//! [`configuration_reader`](crate::configuration_reader) parses it from the operator's document; the control plane
//! replicates the document, and agents distribute it to the proxies. The reader guarantees that every service that a
//! route names exists, that no two routes share host and prefix, and that the weights of a traffic split don't sum
//! to 0. These types are encoded with `bitcode`, which identifies fields and variants by order and type: neither may
//! change. Source: the operators' pages (PROTOCOL, "Requests" and "The operator's API"). Durations are in milliseconds,
//! whatever the unit of the key.

use bitcode::{Decode, Encode};

/// One validated version of the routing configuration.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Configuration {
    /// Increases with every change, not necessarily by 1; key `version`, required, above 0.
    pub version: u64,
    /// The routes, in the order of the document; key `routes`, required.
    pub routes: Vec<Route>,
    /// The services that routes refer to; key `services`, required. Names are unique.
    pub services: Vec<Service>,
    /// Limits on clients' requests and connections; key `limits`.
    pub limits: Limits,
}

/// Whether a request of a route may be executed more than once, and whether it is answered with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RouteKind {
    /// May be executed more than once: it may be retried and hedged.
    Idempotent,
    /// Is executed at most once for each request of a client.
    NonIdempotent,
    /// Answered with a stream of events (`text/event-stream`); executed at most once unless the route is `resumable`.
    Streaming,
}

/// A route: matches the requests for one host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// Name of the route, by which a patch refers to it; key `name`, by default empty.
    pub name: String,
    /// Host that requests name in `Host`, compared regardless of letter case and port; key `host`, required.
    pub host: String,
    /// Prefix of the paths, which starts and ends with a slash; key `pathPrefix`, required.
    pub path_prefix: String,
    /// Whether requests may be executed more than once, and whether they are answered with a stream; key `kind`,
    /// required.
    pub kind: RouteKind,
    /// Timeout of a request, in milliseconds; key `timeoutMs`, required, above 0.
    pub timeout_ms: u64,
    /// Latency target of a response, or of the first event of a stream, in milliseconds: a later one has less value;
    /// key `targetLatencyMs`, by default (and if 0) `timeout_ms`.
    pub target_latency_ms: u64,
    /// Priority of the route's requests, of which 0 is the highest; key `priority`, by default 5, at most 255. Used for
    /// load shedding, and by the searchers.
    pub priority: u8,
    /// The services that serve the route's requests, by weight; key `trafficSplit`, or `service` for a single one.
    /// Never empty; the weights never sum to 0.
    pub split: Vec<WeightedService>,
    /// Maximum number of searchers to which one request of a client is sent; key `attempts`, by default 1, above 0.
    pub attempts: u32,
    /// Whether requests name the shared prefixes of their prompts (`Prompt-Prefix`), for prefix-cache affinity; key
    /// `sticky`, by default `false`. The proxy relies on the header of each request instead.
    pub sticky: bool,
    /// Whether a stream may be resumed at another searcher with `Last-Event-Id`; key `resumable`, by default `false`.
    pub resumable: bool,
    /// Latency target between the events of a stream, in milliseconds; key `gap_aim_ms`, by default (and if 0) none.
    pub target_gap_ms: Option<u64>,
}

impl Route {
    /// Whether a request of this route may be executed more than once.
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
    /// Its weight relative to the others of the split, which may be 0; key `weight`, required.
    pub weight: u32,
}

/// A service: a set of interchangeable searchers.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Service {
    /// Name of the service, by which routes and instances refer to it; key `name`, required.
    pub name: String,
    /// Path of the health check; key `healthCheck`, by default `/health`. Not used by any program.
    pub health_check: String,
    /// Maximum number of connections that a searcher accepts, from all clients together; key `connectionLimit`, by
    /// default unlimited.
    pub connection_limit: u32,
    /// The inference engine of a service that serves language models; key `engine`, absent for other services.
    pub engine: Option<Engine>,
}

/// The inference engine of a service's searchers.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Engine {
    /// Maximum number of requests in a batch; key `slots`, by default 1.
    pub slots: u32,
    /// Capacity of one searcher's KV cache, in tokens; key `cacheTokens`, by default 0.
    pub cache_tokens: u64,
    /// Size of one token in the KV cache, in bytes; key `cacheTokenBytes`, by default 0.
    pub cache_token_bytes: u64,
    /// Bandwidth at which a searcher transfers KV cache from another, in megabits per second; key `linkMbps`, by
    /// default 10,000.
    pub link_mbps: f64,
    /// Tokens per event of a stream; key `stride`, by default 1. Not used by any program.
    pub stride: u32,
    /// How long a prefill searcher reserves the KV cache of a prompt for transfer to the decode searcher, in
    /// milliseconds; key `handleHoldS`, by default 1 s.
    pub handle_hold_ms: u64,
    /// How long a searcher takes to change its stage, in milliseconds; key `roleSwitchS`, by default 5 s.
    pub role_switch_ms: u64,
    /// Names of the models that the searchers serve; key `models`, by default none.
    pub models: Vec<String>,
}

/// Limits on the size of a client's requests, and timeouts of its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes; key `headerBytes`, by default 16 KiB, above 0.
    pub header_bytes: u64,
    /// Maximum size of a request's body, in bytes; key `bodyBytes`, by default 4 MiB.
    pub body_bytes: u64,
    /// Timeout for receiving the head of a request, in milliseconds; key `headerTimeoutMs`, by default 3 s.
    pub header_timeout_ms: u64,
    /// Idle timeout of a client's connection, in milliseconds; key `idleTimeoutMs`, by default 15 s.
    pub idle_timeout_ms: u64,
}
