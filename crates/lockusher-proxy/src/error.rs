//! Errors that prevent a proxy from serving.

use std::io;
use std::net::SocketAddrV4;

use derive_more::{Display, Error};

/// An error that prevents the proxy from serving.
#[derive(Debug, Display, Error)]
pub enum ProxyError {
    /// The settings lack an address that the proxy listens on.
    #[display("the settings contain no listenAddresses.{name}")]
    MissingAddress {
        /// The key below `listenAddresses`.
        name: &'static str,
    },
    /// A listener could not be opened.
    #[display("cannot listen on {address}: {source}")]
    Listen {
        /// The address to listen on.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: io::Error,
    },
}
