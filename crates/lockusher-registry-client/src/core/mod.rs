//! The decisions of the follower. Pure: no I/O; the caller passes the time.

pub mod contradictions;
pub mod endpoints;
pub mod entry;
pub mod follow;
pub mod view;
