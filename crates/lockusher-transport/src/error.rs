//! Errors of the transport layer.

use std::io;
use std::net::SocketAddrV4;

use derive_more::{Display, Error, From};

/// The operation on a socket that failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Operation {
    /// Listen for connections.
    #[display("listen")]
    Listen,
    /// Connect to a peer.
    #[display("connect")]
    Connect,
    /// Set up a connection: set its options, or register it with the runtime.
    #[display("set up the connection")]
    SetUp,
    /// Read a frame.
    #[display("read")]
    Read,
    /// Write a frame.
    #[display("write")]
    Write,
    /// Send an HTTP request and receive its response.
    #[display("HTTP request")]
    HttpRequest,
}

/// Why an operation on a connection failed.
///
/// After `Io`, `Http`, `Closed` and `TimedOut`, a retry on a new connection may succeed; it is safe if the request is
/// idempotent. The other errors mean that a side violates the protocol or exceeds a limit: a retry fails as well.
#[derive(Debug, Display, Error, From)]
pub enum TransportError {
    /// The operating system returned an error.
    #[from(ignore)]
    #[display("{operation}{}: {source}", suffix(*address))]
    Io {
        /// The operation that failed.
        operation: Operation,
        /// The peer's address, or the local address for [`Operation::Listen`]; `None` where only the caller knows it.
        address: Option<SocketAddrV4>,
        /// The error of the operating system.
        source: io::Error,
    },
    /// An HTTP exchange failed on an open connection.
    #[display("HTTP: {_0}")]
    Http(hyper::Error),
    /// The request isn't valid HTTP.
    #[display("invalid HTTP request: {_0}")]
    Request(hyper::http::Error),
    /// The content of a frame can't be decoded as the expected type.
    #[display("cannot decode message: {_0}")]
    Decode(bitcode::Error),
    /// The peer announced a frame that exceeds the limit.
    #[from(ignore)]
    #[display("frame of {bytes} bytes exceeds the limit of {max_bytes}")]
    FrameTooLong {
        /// The announced length of the message.
        bytes: usize,
        /// The limit, [`MAX_FRAME_BYTES`](crate::frame::MAX_FRAME_BYTES).
        max_bytes: usize,
    },
    /// The body of an HTTP message exceeds the limit.
    #[from(ignore)]
    #[display("body exceeds the limit of {max_bytes} bytes")]
    BodyTooLong {
        /// The limit.
        max_bytes: usize,
    },
    /// The peer closed the connection.
    #[display("the peer closed the connection")]
    Closed,
    /// The operation exceeded its time limit.
    #[from(ignore)]
    #[display("{operation}{}: timed out", suffix(*address))]
    TimedOut {
        /// The operation that failed.
        operation: Operation,
        /// The peer's address; `None` where only the caller knows it.
        address: Option<SocketAddrV4>,
    },
}

impl TransportError {
    /// Converts an error of `operation` on a connection whose peer only the caller knows.
    pub(crate) fn io(operation: Operation) -> impl FnOnce(io::Error) -> TransportError {
        move |source| TransportError::Io {
            operation,
            address: None,
            source,
        }
    }

    /// Converts an error of `operation` on `address`.
    pub(crate) fn io_on(
        operation: Operation,
        address: SocketAddrV4,
    ) -> impl FnOnce(io::Error) -> TransportError {
        move |source| TransportError::Io {
            operation,
            address: Some(address),
            source,
        }
    }
}

/// The address as a suffix of the operation in a message; empty if it is unknown.
fn suffix(address: Option<SocketAddrV4>) -> String {
    address.map_or_else(String::new, |address| format!(" {address}"))
}
