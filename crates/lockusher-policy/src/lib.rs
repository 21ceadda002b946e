//! The decisions of an aggregator that serves a multiget from many shards.
//!
//! [`policy`] makes all decisions; [`interface`] defines the input and output types.

// Lints of the workspace that this package does not satisfy yet; docs/ROADMAP.md lists what remains.
#![allow(missing_docs, clippy::wildcard_imports)]

pub mod interface;
pub mod policy;
pub mod scoring;
