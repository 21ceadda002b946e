//! Follows the hosts that are registered in a key-value store, and yields the same lists as discovery.
//!
//! [`core`] makes all decisions and does no I/O: it maintains the view and its revision, decides whether to resume a
//! watch or to read everything again, yields updates, selects the next endpoint and its backoff, and detects
//! unresponsive watches. [`io`] executes its actions: etcd's v3 API over gRPC, Consul's blocking reads over HTTP.

// Not yet finished by the workspace's lints: docs/ROADMAP.md lists what is left.
#![allow(missing_docs, clippy::missing_errors_doc)]

pub mod core;
pub mod io;

/// The messages of etcd's v3 API, generated from `proto/etcd.proto`.
pub mod etcdserverpb {
    #![allow(missing_docs, clippy::all)]
    tonic::include_proto!("etcdserverpb");
}
