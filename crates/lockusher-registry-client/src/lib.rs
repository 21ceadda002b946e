//! Follows the hosts that a key-value registry holds, and yields the same lists that discovery does.
//!
//! [`core`] decides everything and does no I/O: what view is held at which revision, whether to resume or to rebuild,
//! what differs and is told, which endpoint is asked next and when, when a watch counts as silent. [`io`] carries its
//! acts out: etcd's v3 API over gRPC, Consul's blocking reads over HTTP.

// Not yet finished by the workspace's lints: docs/ROADMAP.md lists what is left.
#![allow(missing_docs, clippy::missing_errors_doc)]

pub mod core;
pub mod io;

/// The messages of etcd's v3 API, made from `proto/etcd.proto`.
pub mod etcdserverpb {
    #![allow(missing_docs, clippy::all)]
    tonic::include_proto!("etcdserverpb");
}
