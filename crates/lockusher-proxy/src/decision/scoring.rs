//! The score of the load balancing, shared with the aggregator.

pub use lockusher_policy::scoring::{NEWEST, blend, score};
