//! The data plane: an HTTP/1.1 reverse proxy that forwards requests to searchers, which prefill and decode.
//!
//! [`serve::run`] opens the listeners, applies configuration and instance list updates, and forwards requests. A request
//! passes through `client` (accept, parse), `forward` (routing, admission control), `attempts` (sends and retries, over the
//! connections of `upstream`) and `relay` (forwarding of the response body). [`decision`] makes all choices, without I/O and
//! without a clock. A proxy runs on one thread; its tasks share one `ProxyState`.

pub mod decision;
pub mod drain;
pub mod serve;
pub mod traffic_split;
pub mod unserved;

mod attempt_policy;
mod attempts;
mod client;
mod deadline;
mod descriptors;
mod error;
mod events;
mod forward;
mod handle_reuse;
mod headers;
mod memory;
mod prefill;
mod proxy_state;
mod readiness;
mod relay;
mod request;
mod response;
mod response_check;
mod timer;
mod upstream;

pub use error::ProxyError;
