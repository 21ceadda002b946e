//! Streams of versioned updates from the control plane to agents and proxies, similar to a small xDS.
//!
//! The routing configuration and the list of searchers are distributed, both as full snapshots and as differences. A
//! [`publisher::Publisher`] has the newest versions and decides which messages each subscriber is sent; a
//! [`subscriber::Subscriber`] applies them. A control node publishes to agents, and an agent, which is both a subscriber
//! and a publisher, to the proxy on the same machine. An [`instance_list_poller::InstanceListPoller`] reads the list from
//! the platform.
//!
//! Invariants: a subscriber never returns to an older version, whichever publisher sends it, and at most one
//! unacknowledged update of each kind is in flight to a subscriber.
//!
//! # Reading order
//!
//! | module | purpose |
//! | --- | --- |
//! | [`message`], [`frame`] | the messages and their encoding |
//! | [`difference`], [`versioned`], [`version_history`] | versions and the differences between them |
//! | [`publisher`], [`subscriber`] | the two ends of a stream, without I/O or clock |
//! | [`reconnect`] | which publisher a subscriber connects to, and when |
//! | [`serve`], [`subscribe`] | the two ends over TCP |
//! | [`instance_list_poller`], [`instance_list_client`], [`revision`] | polling the platform's instance list |
//! | [`departures`] | tombstones of departed searchers |
//! | [`load`] | load reports from proxies to the head |
//!
//! Times are milliseconds on the process's monotonic clock unless a name says otherwise.

pub mod change_notifier;
pub mod departures;
pub mod difference;
pub mod frame;
pub mod instance_list;
pub mod instance_list_client;
pub mod instance_list_poller;
pub mod load;
pub mod message;
pub mod publisher;
pub mod reconnect;
pub mod revision;
pub mod serve;
pub mod subscribe;
pub mod subscriber;
pub mod version_history;
pub mod versioned;
