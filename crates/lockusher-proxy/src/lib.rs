//! The data plane: forwards requests to searchers that prefill and decode.
//!
//! [`serve::run`] listens, takes updates from its feed and forwards; [`decision`] decides, without I/O.

pub mod decision;
pub mod serve;
pub mod traffic_split;

mod answer;
mod answer_check;
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
mod timer;
mod upstream;

pub use error::ProxyError;
