//! The load balancing score, shared with the aggregator.

pub use lockusher_policy::scoring::{NEWEST, blend, score};
