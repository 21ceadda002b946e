//! Counters of a replica, for the status and the metrics.

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Views installed.
    pub views_installed: u64,
    /// View proposals started.
    pub proposals: u64,
    /// Configurations committed while head.
    pub commits: u64,
    /// Full snapshots sent to another replica.
    pub full_snapshots_sent: u64,
    /// Full snapshots received that replaced an existing state.
    pub repairs: u64,
    /// Members found to differ from the head when they confirmed the epoch for a request.
    pub read_repairs: u64,
    /// Members found to differ from the head by their heartbeats.
    pub digest_repairs: u64,
    /// Writes that failed.
    pub persist_failures: u64,
}
