//! Sockets of the fleet: TCP options, framed internal messages, and small HTTP/1.1 servers and clients.
//!
//! Everything runs on one compio runtime per process; nothing here decides.

pub mod clock;
pub mod error;
pub mod frame;
pub mod http;
pub mod tcp;
