//! The score of the selector, shared with the mixer.

pub use lockusher_policy::scoring::{NEWEST, blend, score};
