//! Transport layer of the fleet: TCP connections, framed internal messages, and small HTTP/1.1 servers and clients.
//!
//! Used by the control, distribution, agent, proxy and node packages. Everything runs on one single-threaded compio
//! runtime per process. The package makes no decisions and keeps no state beyond a connection.
//!
//! | module | content |
//! | --- | --- |
//! | [`tcp`] | connections, listeners and their options |
//! | [`frame`] | length-prefixed messages between the fleet's processes |
//! | [`http`] | servers and clients of the fleet's own interfaces |
//! | [`server`] | connections of a server that are closed without losing a request |
//! | [`clock`] | the monotonic clock of a process |
//! | [`recurrence`] | rate limit for log lines about a persistent condition |
//! | [`error`] | the errors of these modules |

pub mod clock;
pub mod error;
pub mod frame;
pub mod http;
pub mod recurrence;
pub mod server;
pub mod tcp;
