//! Parts to searchers over HTTP/2. [`pool`] decides (how many connections, which carries the next call, when one is
//! retired, how fast a new one may fill, when to stop cancelling) and does no I/O; [`outcome`] says what an end means;
//! [`wire`] is the mapping; [`tap`] sees what really crossed a socket; [`connection`] carries calls.

// Not yet finished by the workspace's lints: docs/ROADMAP.md lists what is left.
#![allow(missing_docs, clippy::missing_errors_doc)]

pub mod connection;
pub mod outcome;
pub mod pool;
pub mod tap;
pub mod wire;
