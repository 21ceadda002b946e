//! Settings of a store, and the thresholds that follow from the disk's size.

/// A snapshot is wanted when the log is this part of the disk ...
pub(crate) const LOG_DISK_DIVISOR: u64 = 16;
/// ... and this many times as large as the newest snapshot, so that few bytes are written for one that is appended.
pub(crate) const LOG_BYTES_PER_SNAPSHOT_BYTE: u64 = 2;
/// A segment is ended at this part of the disk.
const SEGMENT_DISK_DIVISOR: u64 = 64;
/// This part of the disk is kept for the next snapshot: appends don't use it.
const SNAPSHOT_DISK_DIVISOR: u64 = 4;
/// The reserve file is at most this part of the disk ...
const RESERVE_DISK_DIVISOR: u64 = 8;
/// ... and at least this many bytes.
const MIN_RESERVE_BYTES: u64 = 64 * 1024;
/// Size that an unknown disk is taken to have, for the thresholds above.
const ASSUMED_DISK_BYTES: u64 = 128 * 1024 * 1024;

/// Settings of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreOptions {
    /// Size of the disk in bytes; 0 if unknown.
    pub disk_bytes: u64,
}

impl StoreOptions {
    pub(crate) fn disk(self) -> u64 {
        match self.disk_bytes {
            0 => ASSUMED_DISK_BYTES,
            bytes => bytes,
        }
    }

    pub(crate) fn segment_bytes(self) -> u64 {
        self.disk() / SEGMENT_DISK_DIVISOR
    }

    /// Most bytes of snapshot and log together.
    pub(crate) fn append_limit(self) -> u64 {
        self.disk() - self.disk() / SNAPSHOT_DISK_DIVISOR
    }

    pub(crate) fn reserve_bytes(self, snapshot_bytes: u64) -> u64 {
        let largest = self.disk() / RESERVE_DISK_DIVISOR;
        (2 * snapshot_bytes).max(MIN_RESERVE_BYTES).min(largest)
    }
}
