//! Parameters with which a replica starts. The driver derives them from the settings.

use std::net::SocketAddrV4;

use crate::locality::{Locality, ToleratedDomains};

/// Parameters with which a replica starts.
#[derive(Clone, Debug)]
pub struct ReplicaSetup {
    /// Address of this node's internal listener.
    pub address: SocketAddrV4,
    /// Addresses of the seeds' internal listeners.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// Number of voters that may be lost at the same time.
    pub tolerated_losses: u32,
    /// Zone and region of this node's machine.
    pub locality: Locality,
    /// Zones and regions that may be lost at the same time, instead of single voters.
    pub tolerated_domains: ToleratedDomains,
    /// How long the operator waits for an acknowledgement, in milliseconds. The protocol's intervals are derived from
    /// it.
    pub acknowledge_ms: u64,
    /// Time within which a new node must become a full member, in milliseconds.
    pub catch_up_ms: u64,
    /// Assumed throughput to another node, in bytes per millisecond, by which timeouts are extended for large messages.
    pub bytes_per_ms: u64,
    /// Random seed of the identity (on an empty disk), of the request numbers and of the backoff.
    pub random_seed: u64,
}
