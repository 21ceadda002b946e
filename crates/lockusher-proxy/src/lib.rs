//! The data plane: an HTTP/1.1 reverse proxy that forwards requests to searchers, which prefill and decode.
//!
//! [`serve::run`] listens, applies the updates of its feed and forwards. The way of a request: `client` accepts and parses
//! it, `forward` routes it and has it admitted, `attempts` sends it by way of `upstream`, `relay` forwards the answer. All
//! choices are made in [`decision`], without I/O and clock. A proxy runs on one thread; its tasks share one `ProxyState`.

pub mod decision;
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
