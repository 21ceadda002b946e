//! Position in the log.

use derive_more::Display;

/// Number of a frame. Frames are numbered from 0 through the whole life of a store, across segments and snapshots; a
/// seal has a number, too.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FrameNumber(pub u64);

impl FrameNumber {
    /// The first frame of a store's life.
    pub const FIRST: FrameNumber = FrameNumber(0);

    /// The frame after this one.
    #[must_use]
    pub const fn next(self) -> FrameNumber {
        FrameNumber(self.0 + 1)
    }
}
