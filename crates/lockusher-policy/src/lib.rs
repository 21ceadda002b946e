//! The decisions of an aggregator that serves a multiget from many shards.
//!
//! [`policy`] holds every decision; [`interface`] holds the plain values that go in and come out.

pub mod interface;
pub mod policy;
pub mod scoring;
