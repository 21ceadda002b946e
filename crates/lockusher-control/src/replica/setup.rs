//! What a replica is told at its start. The driver makes it of the settings.

use std::net::SocketAddrV4;

use crate::locality::{Locality, ToleratedDomains};

/// What a replica is told at its start.
#[derive(Clone, Debug)]
pub struct ReplicaSetup {
    /// Its own internal listener.
    pub address: SocketAddrV4,
    /// Internal listeners of the seeds.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// How many voters may be lost at once.
    pub tolerated_losses: u32,
    /// Where this node's machine stands.
    pub locality: Locality,
    /// Zones and regions that may be lost at once, in place of single voters.
    pub tolerated_domains: ToleratedDomains,
    /// How long the operator waits for an acknowledgement, in milliseconds; the intervals of the protocol follow from it.
    pub acknowledge_ms: u64,
    /// Within how long a new node must be a full member, in milliseconds.
    pub catch_up_ms: u64,
    /// Throughput to another node that is counted on, in bytes per millisecond: longer messages are given more time.
    pub bytes_per_ms: u64,
    /// Seed of the identity (on an empty disk), of the request numbers and of the back-off.
    pub random_seed: u64,
}
