//! State of a simulated machine: its disk and, while it is up, its process.

use std::net::SocketAddrV4;

use lockusher_control::{Millis, Replica};

use crate::disk::Disk;

/// Longest sync of a healthy disk.
const MAX_SYNC_MS: Millis = 6;

/// A simulated machine.
#[derive(Debug)]
pub struct Node {
    /// Address of its internal listener.
    pub address: SocketAddrV4,
    /// Number of its zone.
    pub zone: usize,
    pub disk: Disk,
    /// State machine of the process; `None` while it is down.
    pub replica: Option<Replica>,
    /// The process is alive but takes no events until then.
    pub frozen_until: Millis,
    /// When a process that is down starts; `None` while it is up, and for a removed machine.
    pub start_at: Option<Millis>,
    /// When the next tick is due.
    pub next_tick: Millis,
    /// When this machine was last seen unhealthy.
    pub unhealthy_at: Millis,
    /// Whether it was removed permanently.
    pub removed: bool,
    /// Whether its next start is the first start of the deployment.
    pub first_start: bool,
    /// Version that this incarnation of the process last reported as committed.
    pub committed_version: u64,
    /// Epoch of the newest view that this incarnation has adopted.
    pub adopted_epoch: u64,
    /// Whether its disk was lost, or it is new, and it hasn't had the time to catch up since.
    pub disk_lost: bool,
    /// Whether nodes couldn't distinguish it from a removed machine, so that a successor may have replaced it as a voter,
    /// and it hasn't returned to a chain since.
    pub looks_removed: bool,
    /// When its disk was last empty.
    pub disk_created_at: Millis,
}

impl Node {
    /// Creates a machine whose process starts at `start_at`.
    pub fn new(address: SocketAddrV4, first_start: bool, start_at: Millis) -> Self {
        Self {
            address,
            zone: 0,
            disk: Disk::new(MAX_SYNC_MS),
            replica: None,
            frozen_until: 0,
            start_at: Some(start_at),
            next_tick: start_at,
            unhealthy_at: start_at,
            removed: false,
            first_start,
            committed_version: 0,
            adopted_epoch: 0,
            disk_lost: true,
            looks_removed: false,
            disk_created_at: start_at,
        }
    }

    /// Whether the process is up and not frozen.
    pub fn runs(&self, now: Millis) -> bool {
        self.replica.is_some() && now >= self.frozen_until
    }
}
