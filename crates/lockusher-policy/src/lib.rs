//! The decisions of an aggregator that serves a multiget from many shards.
//!
//! [`policy`] holds every decision; [`interface`] holds the plain values that go in and come out.

// Not yet finished by the workspace's lints: docs/ROADMAP.md lists what is left.
#![allow(missing_docs, clippy::wildcard_imports)]

pub mod interface;
pub mod policy;
pub mod scoring;
