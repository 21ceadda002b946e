//! Keeps subscriptions alive over TCP: a [`SharedSubscriber`] for an agent, a [`Feed`] for a proxy.

mod error;
mod feed;
mod shared_subscriber;

pub use error::SubscribeError;
pub use feed::{Feed, FeedUpdate, LoadReporter, subscribe};
pub use shared_subscriber::SharedSubscriber;
