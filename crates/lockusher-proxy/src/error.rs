//! Why a proxy could not serve.

use std::io;
use std::net::SocketAddrV4;

use derive_more::{Display, Error};

/// A failure that prevents the proxy from serving.
#[derive(Debug, Display, Error)]
pub enum ProxyError {
    /// The settings lack an address that the role needs.
    #[display("the settings name no listenAddresses.{name}")]
    MissingAddress {
        /// Its key below `listenAddresses`.
        name: &'static str,
    },
    /// A listener could not be opened.
    #[display("cannot listen on {address}: {source}")]
    Listen {
        /// Where it was to listen.
        address: SocketAddrV4,
        /// Why the system refused.
        source: io::Error,
    },
}
