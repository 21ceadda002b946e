//! Errors of the socket layer.

use std::io;

use derive_more::{Display, Error, From};

/// What went wrong on a socket.
#[derive(Debug, Display, Error, From)]
pub enum TransportError {
    #[display("socket: {_0}")]
    Io(io::Error),
    #[display("HTTP: {_0}")]
    Http(hyper::Error),
    #[display("HTTP request: {_0}")]
    Request(hyper::http::Error),
    #[display("message: {_0}")]
    Decode(bitcode::Error),
    #[from(ignore)]
    #[display("frame of {_0} bytes is over the limit of {_1}")]
    #[error(ignore)]
    FrameTooLong(usize, usize),
    #[from(ignore)]
    #[display("body is over the limit of {_0} bytes")]
    #[error(ignore)]
    BodyTooLong(#[error(not(source))] usize),
    #[display("the peer closed the connection")]
    Closed,
    #[display("no answer in time")]
    TimedOut,
}
