//! Sockets of the fleet: TCP options, framed internal messages, and small HTTP/1.1 servers and clients.
//!
//! The lowest layer of the fleet's I/O, called by the control, distribution, agent, proxy and node packages. Everything runs
//! on one compio runtime per process, on one thread; nothing here makes decisions or keeps state beyond a connection.
//!
//! | module | job |
//! | --- | --- |
//! | [`tcp`] | connections and their options |
//! | [`frame`] | messages between the fleet's processes |
//! | [`http`] | servers and clients of the fleet's own interfaces |
//! | [`clock`] | the monotonic clock that drives the decision modules |
//! | [`recurrence`] | how often a condition that lasts is logged |
//! | [`error`] | what fails in all of these |

pub mod clock;
pub mod error;
pub mod frame;
pub mod http;
pub mod recurrence;
pub mod tcp;
