//! A simulated machine: its disk, and the process if it runs.

use std::net::SocketAddrV4;

use lockusher_control::{Millis, Replica};

use crate::disk::Disk;

/// Longest time that a sync of a healthy disk takes.
const MAX_SYNC_MS: Millis = 6;

/// One machine.
#[derive(Debug)]
pub struct Node {
    pub address: SocketAddrV4,
    /// Number of its zone.
    pub zone: usize,
    pub disk: Disk,
    pub replica: Option<Replica>,
    /// The process doesn't run until then, though it isn't dead.
    pub frozen_until: Millis,
    /// When a process that is down starts again; `None` for a removed machine.
    pub start_at: Option<Millis>,
    pub next_tick: Millis,
    /// When this machine was last unhealthy.
    pub unhealthy_at: Millis,
    /// Removed for good.
    pub removed: bool,
    /// Starts as part of the first start.
    pub first_start: bool,
    /// Version last reported as committed by this incarnation of the process.
    pub committed_version: u64,
    /// Epoch of the newest view that it was seen to adopt.
    pub adopted_epoch: u64,
    /// Its disk was lost, or it is new, and it hasn't had the time to catch up.
    pub disk_lost: bool,
    /// Nodes couldn't tell it from a removed machine, so that a successor may have taken its place, and it isn't back.
    pub looks_removed: bool,
    /// When its disk was new.
    pub disk_created_at: Millis,
}

impl Node {
    /// A machine whose process starts at this time.
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

    /// Whether the process runs now.
    pub fn runs(&self, now: Millis) -> bool {
        self.replica.is_some() && now >= self.frozen_until
    }
}
