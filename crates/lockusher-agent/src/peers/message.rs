//! The messages between agents: one datagram each, enclosed in an
//! [`Envelope`](lockusher_distribution::message::Envelope).
//!
//! Encoded by `bitcode`, whose format depends on the order and types of fields and variants. These must not change, so
//! that agents of different releases remain compatible (`tests/recorded_bytes.rs`).

use std::net::SocketAddrV4;

use bitcode::{Decode, Encode};
use lockusher_distribution::departures::Departure;

/// Entry of a view: the address of an agent and the age of the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerEntry {
    /// The address at which the agent receives gossip (UDP) and serves its configuration (TCP).
    pub address: SocketAddrV4,
    /// Number of exchanges since the agent itself sent this entry.
    pub age: u16,
}

/// The departure of a searcher, as an agent observed it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct InstanceDeparture {
    /// The searcher's identifier on the platform, unique to one incarnation.
    pub identifier: String,
    /// The kind of departure.
    pub departure: Departure,
}

/// The part of each message besides the shuffle entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct GossipUpdate {
    /// Newest configuration version that the sender has; 0 if none.
    pub configuration_version: u64,
    /// Rumors of departures.
    pub departures: Vec<InstanceDeparture>,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerMessage {
    /// Starts an exchange.
    ShuffleRequest {
        /// A sample of the sender's view, and the sender's own entry.
        entries: Vec<PeerEntry>,
        /// The sender's configuration version and rumors.
        update: GossipUpdate,
    },
    /// Completes an exchange.
    ShuffleResponse {
        /// A sample of the sender's view.
        entries: Vec<PeerEntry>,
        /// The sender's configuration version and rumors.
        update: GossipUpdate,
    },
}
