//! Counters of a replica, for the status page and the metrics.

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Views installed.
    pub views_adopted: u64,
    /// Attempts to agree on a view.
    pub proposals: u64,
    /// Configurations committed while head.
    pub commits: u64,
    /// Full snapshots sent to another replica.
    pub full_snapshots_sent: u64,
    /// States received that replaced a differing one.
    pub repairs: u64,
    /// Members found to differ from the head when a request had them confirm the epoch.
    pub read_repairs: u64,
    /// Members found to differ from the head by their heartbeats.
    pub digest_repairs: u64,
    /// Writes that the disk refused.
    pub persist_failures: u64,
}
