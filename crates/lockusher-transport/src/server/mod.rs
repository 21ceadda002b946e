//! Connections of an HTTP/1.1 server that end between two requests, so that no request is lost when the server closes
//! them.
//!
//! A server that closes a connection by dropping it loses what is in transit: a request that has arrived but has not been
//! read, and, since closing a socket with unread bytes resets the connection, the end of the last response. Here a
//! connection is closed by ending its *input*: [`ServerStream`] reports the end of the stream to the HTTP library once
//! the last response has been written to the kernel and nothing more can be read. The HTTP library then shuts down the
//! write side, and the stream discards what still arrives for a limited time before the socket is closed.
//!
//! Used by the proxy for its clients and by [`http`](crate::http) for operators.
//!
//! | module | content |
//! | --- | --- |
//! | `acceptor` | accepts connections; those that the kernel holds are accepted before the listener is closed |
//! | `state` | what a connection is doing, and whether it is to be closed |
//! | `registry` | all connections of a server: closes idle ones, and waits until all have ended |
//! | `request` | marks a request as in progress until its response's body has ended |
//! | `stream` | the byte stream that the HTTP library reads from and writes to |

mod acceptor;
mod registry;
mod request;
mod state;
mod stream;

pub use acceptor::{AcceptedSocket, Acceptor};
pub use registry::{ConnectionRegistry, RegisteredConnection, SWEEP_INTERVAL};
pub use request::{RequestInProgress, TrackedBody};
pub use state::ConnectionState;
pub use stream::ServerStream;
