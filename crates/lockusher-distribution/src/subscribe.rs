//! The connecting side of subscriptions over TCP.
//!
//! A [`SharedSubscriber`] drives a [`Subscriber`](crate::subscriber::Subscriber); agents and control nodes use it
//! directly. A proxy uses a [`Feed`], which turns the subscriber's changes into a stream of updates.

mod announcement;
mod connection_log;
mod error;
mod feed;
mod shared_subscriber;

pub use announcement::announce_control_nodes;
pub use error::SubscribeError;
pub use feed::{Feed, FeedUpdate, LoadReporter, subscribe};
pub use shared_subscriber::SharedSubscriber;
