//! The messages between agents: one datagram each, enclosed in an
//! [`Envelope`](lockusher_distribution::message::Envelope).
//!
//! Encoded by `bitcode`, which goes by the order and the types of fields and variants: agents of different releases
//! understand each other only while these stay (`tests/recorded_bytes.rs`).

use std::net::SocketAddrV4;

use bitcode::{Decode, Encode};
use lockusher_distribution::departures::Departure;

/// An agent that another one knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerEntry {
    /// Where the agent receives gossip (UDP) and serves its configuration (TCP).
    pub address: SocketAddrV4,
    /// Exchanges since the agent itself sent this entry out.
    pub age: u16,
}

/// The departure of a searcher, as an agent observed it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct InstanceDeparture {
    /// The searcher's identifier on the platform, which names one incarnation of it.
    pub identifier: String,
    /// How it departed.
    pub departure: Departure,
}

/// What each message carries besides the entries of the shuffle.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct GossipUpdate {
    /// Newest configuration version that the sender has; 0: none.
    pub configuration_version: u64,
    /// Rumors of departures.
    pub departures: Vec<InstanceDeparture>,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerMessage {
    /// Starts an exchange.
    ShuffleRequest {
        /// Part of the sender's view, and the sender itself.
        entries: Vec<PeerEntry>,
        /// What the sender spreads.
        update: GossipUpdate,
    },
    /// Completes an exchange.
    ShuffleResponse {
        /// Part of the sender's view.
        entries: Vec<PeerEntry>,
        /// What the sender spreads.
        update: GossipUpdate,
    },
}
