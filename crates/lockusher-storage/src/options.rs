//! Settings of a store, and the thresholds derived from the disk's size.

/// A snapshot is due once the log reaches the size of the disk divided by this ...
const LOG_DISK_DIVISOR: u64 = 16;
/// ... and this multiple of the newest snapshot's size, which bounds the write amplification.
const LOG_BYTES_PER_SNAPSHOT_BYTE: u64 = 2;
/// A segment is closed once it reaches the size of the disk divided by this.
const SEGMENT_DISK_DIVISOR: u64 = 64;
/// Appends leave the size of the disk divided by this free for the next snapshot.
const SNAPSHOT_DISK_DIVISOR: u64 = 4;
/// The reserve file occupies at most the size of the disk divided by this ...
const RESERVE_DISK_DIVISOR: u64 = 8;
/// ... and, within this limit, at least this many bytes ...
const MIN_RESERVE_BYTES: u64 = 64 * 1024;
/// ... and this multiple of the newest snapshot's size.
const RESERVE_BYTES_PER_SNAPSHOT_BYTE: u64 = 2;
/// Assumed size of a disk whose size is unknown, for the thresholds above.
const ASSUMED_DISK_BYTES: u64 = 128 * 1024 * 1024;

/// Settings of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreOptions {
    /// Size of the disk in bytes; 0 if unknown.
    pub disk_bytes: u64,
}

impl StoreOptions {
    /// Whether the size of the disk is known, so that the store itself rejects writes that wouldn't fit.
    pub(crate) fn disk_size_is_known(self) -> bool {
        self.disk_bytes > 0
    }

    /// Size in bytes at which a segment is closed.
    pub(crate) fn segment_bytes(self) -> u64 {
        self.assumed_disk_bytes() / SEGMENT_DISK_DIVISOR
    }

    /// Maximum size of snapshot and log together, in bytes.
    pub(crate) fn append_limit_bytes(self) -> u64 {
        self.assumed_disk_bytes() - self.assumed_disk_bytes() / SNAPSHOT_DISK_DIVISOR
    }

    /// Size of the log at which a snapshot is due, given the size of the newest snapshot.
    pub(crate) fn snapshot_due_bytes(self, snapshot_bytes: u64) -> u64 {
        let threshold_bytes = (self.assumed_disk_bytes() / LOG_DISK_DIVISOR)
            .max(LOG_BYTES_PER_SNAPSHOT_BYTE * snapshot_bytes);
        // However large the snapshot is, a new one must be due before the log is so large that appends are rejected.
        threshold_bytes.min(self.append_limit_bytes() / 2)
    }

    /// Size of the reserve file, given the size of the newest snapshot.
    pub(crate) fn reserve_bytes(self, snapshot_bytes: u64) -> u64 {
        let max_bytes = self.assumed_disk_bytes() / RESERVE_DISK_DIVISOR;
        (RESERVE_BYTES_PER_SNAPSHOT_BYTE * snapshot_bytes)
            .max(MIN_RESERVE_BYTES)
            .min(max_bytes)
    }

    fn assumed_disk_bytes(self) -> u64 {
        match self.disk_bytes {
            0 => ASSUMED_DISK_BYTES,
            bytes => bytes,
        }
    }
}
