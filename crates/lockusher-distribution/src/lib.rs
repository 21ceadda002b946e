//! Streams of versioned updates from the control plane to agents and proxies.
//!
//! A [`publisher::Publisher`] holds the newest routing configuration and list of searchers and decides what each of
//! its subscribers is sent; a [`subscriber::Subscriber`] applies what arrives and never goes back to an older version.
//! An agent is both: it subscribes to a control node and publishes to the proxy beside it. Neither does I/O nor reads
//! a clock: [`serve`] and [`subscribe`] drive them over TCP.
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
