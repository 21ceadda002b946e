//! What agents say to each other; one datagram each, enclosed in an
//! [`Envelope`](lockusher_distribution::message::Envelope).

use std::net::SocketAddrV4;

use bitcode::{Decode, Encode};
use lockusher_distribution::departures::Departure;

/// An agent that another one knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerEntry {
    pub address: SocketAddrV4,
    /// Rounds since the agent itself sent this entry out.
    pub age: u16,
}

/// A searcher whose end was seen.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct InstanceDeparture {
    pub identifier: String,
    pub departure: Departure,
}

/// What is told with every exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct GossipUpdate {
    /// Newest configuration version that the sender holds; 0: none.
    pub configuration_version: u64,
    pub departures: Vec<InstanceDeparture>,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerMessage {
    /// Begins an exchange.
    ShuffleRequest { entries: Vec<PeerEntry>, update: GossipUpdate },
    /// Ends it.
    ShuffleResponse { entries: Vec<PeerEntry>, update: GossipUpdate },
}
