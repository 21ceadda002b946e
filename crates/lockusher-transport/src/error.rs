//! Errors of the socket layer.

use std::io;
use std::net::SocketAddrV4;

use derive_more::{Display, Error, From};

/// What was tried on a socket.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Operation {
    /// Listen for connections.
    #[display("listen")]
    Listen,
    /// Connect to a peer.
    #[display("connect")]
    Connect,
    /// Prepare a connection: its options, or its registration with the runtime.
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
/// After `Io`, `Http`, `Closed` and `TimedOut` a retry on a new connection may help, if the request is idempotent. The
/// other errors mean that one of both sides breaks the protocol, or a limit: a retry fails likewise.
#[derive(Debug, Display, Error, From)]
pub enum TransportError {
    /// The operating system refused.
    #[from(ignore)]
    #[display("{operation}{}: {source}", on(*address))]
    Io {
        /// What was tried.
        operation: Operation,
        /// The peer, or the own address when listening; `None` where only the caller knows it.
        address: Option<SocketAddrV4>,
        /// What the operating system said.
        source: io::Error,
    },
    /// An HTTP exchange failed on an open connection.
    #[display("HTTP: {_0}")]
    Http(hyper::Error),
    /// The request can't be expressed in HTTP.
    #[display("HTTP request: {_0}")]
    Request(hyper::http::Error),
    /// The bytes of a frame aren't a message of the expected type.
    #[display("message: {_0}")]
    Decode(bitcode::Error),
    /// The peer announced a frame that is too long.
    #[from(ignore)]
    #[display("frame of {bytes} bytes is over the limit of {max_bytes}")]
    FrameTooLong {
        /// Length as announced.
        bytes: usize,
        /// The limit, [`MAX_FRAME_BYTES`](crate::frame::MAX_FRAME_BYTES).
        max_bytes: usize,
    },
    /// A body is too long, or ended early.
    #[from(ignore)]
    #[display("body is over the limit of {max_bytes} bytes")]
    BodyTooLong {
        /// The limit.
        max_bytes: usize,
    },
    /// The peer closed the connection.
    #[display("the peer closed the connection")]
    Closed,
    /// The operation took too long.
    #[from(ignore)]
    #[display("{operation}{}: no answer in time", on(*address))]
    TimedOut {
        /// What was tried.
        operation: Operation,
        /// The peer; `None` where only the caller knows it.
        address: Option<SocketAddrV4>,
    },
}

impl TransportError {
    /// Makes an error of `operation` on a connection whose peer only the caller knows.
    pub(crate) fn io(operation: Operation) -> impl FnOnce(io::Error) -> TransportError {
        move |source| TransportError::Io {
            operation,
            address: None,
            source,
        }
    }

    /// Makes an error of `operation` on `address`.
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

fn on(address: Option<SocketAddrV4>) -> String {
    address.map_or_else(String::new, |address| format!(" {address}"))
}
