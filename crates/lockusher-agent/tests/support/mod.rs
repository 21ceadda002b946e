//! Helpers shared by the agent's tests.
#![allow(dead_code, reason = "each test file uses a part of it")]

#[path = "../../../lockusher-distribution/tests/support/mod.rs"]
pub mod common;
pub mod edge;
pub mod gossip_fleet;
pub mod list_history;

use lockusher_agent::peers::message::InstanceDeparture;
use lockusher_distribution::departures::Departure;

/// A departure as it is gossiped.
pub fn departed(identifier: &str, departure: Departure) -> InstanceDeparture {
    InstanceDeparture {
        identifier: identifier.to_owned(),
        departure,
    }
}
