//! Sends parts to searchers over HTTP/2. [`pool`] decides without I/O how many connections there are, which one carries
//! the next call, how fast a new one ramps up, when one is drained and whether a call may be reset; [`outcome`] maps
//! the end of a stream to outcomes; [`wire`] encodes calls and decodes part ends; [`tap`] observes the frames that
//! cross a socket; [`connection`] runs the calls.

// Not yet finished by the workspace's lints: docs/ROADMAP.md lists what is left.
#![allow(missing_docs, clippy::missing_errors_doc)]

pub mod connection;
pub mod outcome;
pub mod pool;
pub mod tap;
pub mod wire;
