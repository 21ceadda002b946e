//! Positions in the log.

use derive_more::Display;

/// Sequence number of a frame. Numbers start at 0 and increase by 1 over the lifetime of a store, across segments and
/// snapshots; seals are numbered as well.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FrameNumber(pub u64);

impl FrameNumber {
    /// The first frame of a store.
    pub const FIRST: FrameNumber = FrameNumber(0);

    /// The frame after this one.
    #[must_use]
    pub const fn next(self) -> FrameNumber {
        FrameNumber(self.0 + 1)
    }
}
