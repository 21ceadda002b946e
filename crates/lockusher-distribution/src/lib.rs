//! Streams of versioned updates from the control plane to agents and proxies, like a small xDS.
//!
//! What is distributed are the routing configuration and the list of searchers, each as full snapshots and differences.
//! A [`publisher::Publisher`] has the newest versions and decides what each of its subscribers is sent; a
//! [`subscriber::Subscriber`] applies what arrives. A control node publishes to agents, an agent to the proxy beside it:
//! an agent is a subscriber and a publisher. The list is made by an [`instance_list_poller::InstanceListPoller`], which
//! polls the platform.
//!
//! Invariants: a subscriber never goes back to an older version, whoever sends it, and at most one unacknowledged update
//! of each kind is in flight to a subscriber.
//!
//! # Reading order
//!
//! | module | job |
//! | --- | --- |
//! | [`message`], [`frame`] | what is sent, and how it is encoded |
//! | [`difference`], [`versioned`], [`version_history`] | versions, and what leads from one to the next |
//! | [`publisher`], [`subscriber`] | the two ends, without I/O or clock |
//! | [`reconnect`] | which publisher a subscriber connects to, and when |
//! | [`serve`], [`subscribe`] | the two ends over TCP |
//! | [`instance_list_poller`], [`instance_list_client`], [`revision`] | polling the platform |
//! | [`departures`] | searchers that must not come back by an older list |
//! | [`load`] | loads on their way from proxies to the head |
//!
//! Times are milliseconds on the process's own steady clock unless a name says otherwise.

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
