//! Checks that the segments found at recovery form one log without gaps. Does no I/O.
//!
//! The log begins at the newest snapshot, or at frame 0 without one. Each segment but the last ends with a seal, and
//! the next segment begins right after it. Two irregularities are accepted, since a power loss during the creation of a
//! segment explains them: a last segment without a durable header, and an empty last segment after one that isn't
//! sealed yet. Everything else is [`Damage`].

use crate::error::Damage;
use crate::file_names::FileKind;
use crate::format::DecodedSegment;
use crate::frame_number::FrameNumber;

/// The segments that were checked so far.
#[derive(Debug)]
pub(crate) struct SegmentSequence {
    /// Frame at which the log begins.
    start: FrameNumber,
    has_snapshot: bool,
    previous: Option<CheckedSegment>,
}

/// The last segment that was checked.
#[derive(Debug)]
struct CheckedSegment {
    first_frame: FrameNumber,
    next_frame: FrameNumber,
    sealed: bool,
}

impl SegmentSequence {
    /// A log that begins where the snapshot ends, if there is one.
    pub(crate) fn new(snapshot_end: Option<FrameNumber>) -> SegmentSequence {
        SegmentSequence {
            start: snapshot_end.unwrap_or(FrameNumber::FIRST),
            has_snapshot: snapshot_end.is_some(),
            previous: None,
        }
    }

    /// Frame at which the log begins.
    pub(crate) fn start(&self) -> FrameNumber {
        self.start
    }

    /// Whether the last segment that was checked ends with a seal.
    pub(crate) fn ends_with_seal(&self) -> bool {
        self.previous
            .as_ref()
            .is_some_and(|previous| previous.sealed)
    }

    /// Checks that the oldest segment (`None` if there are no segments) begins where the log begins.
    ///
    /// # Errors
    ///
    /// [`Damage::MissingSegment`] or [`Damage::MissingSnapshot`] if it doesn't.
    pub(crate) fn check_first(&self, first: Option<FrameNumber>) -> Result<(), Damage> {
        match first {
            Some(first) if first == self.start => Ok(()),
            _ if self.has_snapshot => Err(Damage::MissingSegment {
                first_frame: self.start,
            }),
            Some(first_frame) => Err(Damage::MissingSnapshot { first_frame }),
            None => Err(Damage::MissingSnapshot {
                first_frame: self.start,
            }),
        }
    }

    /// Checks a segment without a durable header: it must be the last one, created but not yet in use.
    ///
    /// # Errors
    ///
    /// [`Damage::SegmentHeader`] if it was in use.
    pub(crate) fn check_unused(
        &self,
        first_frame: FrameNumber,
        is_last: bool,
    ) -> Result<(), Damage> {
        let may_be_unused = match &self.previous {
            Some(previous) => !previous.sealed,
            None => first_frame == FrameNumber::FIRST && !self.has_snapshot,
        };
        match is_last && may_be_unused {
            true => Ok(()),
            false => Err(Damage::SegmentHeader {
                file: FileKind::Segment(first_frame).name(),
            }),
        }
    }

    /// Checks that a segment begins where the previous one ends, and adds it.
    ///
    /// # Errors
    ///
    /// [`Damage::MissingSegment`] or [`Damage::SegmentEndsEarly`] if there is a gap.
    pub(crate) fn push(
        &mut self,
        first_frame: FrameNumber,
        segment: &DecodedSegment,
        is_last: bool,
    ) -> Result<(), Damage> {
        if let Some(previous) = &self.previous {
            previous.check_successor(first_frame, segment, is_last)?;
        }
        self.previous = Some(CheckedSegment {
            first_frame,
            next_frame: segment.next_frame,
            sealed: segment.sealed,
        });
        Ok(())
    }

    /// Checks the end of the log.
    ///
    /// # Errors
    ///
    /// [`Damage::MissingSegment`] if the last segment has a seal, which requires a successor.
    pub(crate) fn finish(&self) -> Result<(), Damage> {
        match &self.previous {
            Some(last) if last.sealed => Err(Damage::MissingSegment {
                first_frame: last.next_frame,
            }),
            _ => Ok(()),
        }
    }
}

impl CheckedSegment {
    fn check_successor(
        &self,
        first_frame: FrameNumber,
        segment: &DecodedSegment,
        is_last: bool,
    ) -> Result<(), Damage> {
        if self.sealed {
            return match self.next_frame == first_frame {
                true => Ok(()),
                false => Err(Damage::MissingSegment {
                    first_frame: self.next_frame,
                }),
            };
        }
        // Power was lost between the creation of the new segment and the write of the seal, which occupies one number.
        let seal_is_pending =
            is_last && segment.is_empty() && self.next_frame.next() == first_frame;
        match seal_is_pending {
            true => Ok(()),
            false => Err(Damage::SegmentEndsEarly {
                file: FileKind::Segment(self.first_frame).name(),
                next_frame: self.next_frame,
            }),
        }
    }
}
