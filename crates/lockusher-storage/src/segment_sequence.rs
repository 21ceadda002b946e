//! Checks that the segments of a log follow each other without a gap.

use crate::file_names::FileKind;
use crate::format::Segment;
use crate::recovery::{Layout, StoredFile};
use crate::segment::OpenSegment;
use crate::{Damage, StoreError};

pub(crate) fn check_first_segment(start: u64, first: Option<u64>, layout: &Layout) -> Result<(), Damage> {
    match first {
        Some(first) if first == start => Ok(()),
        Some(first_frame) if layout.snapshot.is_none() => Err(Damage::MissingSnapshot { first_frame }),
        None if layout.snapshot.is_none() => Err(Damage::MissingSnapshot { first_frame: start }),
        _ => Err(Damage::MissingSegment { first_frame: start }),
    }
}

/// The segments as far as they were read.
pub(crate) struct SegmentSequence {
    pub last_first_frame: u64,
    pub previous: Option<Segment>,
}

impl SegmentSequence {
    /// A segment whose header never became durable may only be the last, begun but not yet counted on.
    pub(crate) fn check_unused(
        &self,
        first_frame: u64,
        is_last: bool,
        layout: &Layout,
    ) -> Result<(), Damage> {
        let may_be_unused = match &self.previous {
            Some(previous) => !previous.sealed,
            None => first_frame == 0 && layout.snapshot.is_none(),
        };
        match is_last && may_be_unused {
            true => Ok(()),
            false => Err(Damage::SegmentHeader { file: FileKind::Segment(first_frame).name() }),
        }
    }

    /// A segment goes on where the one before ends. That one is sealed, unless power was lost between the making of
    /// the new one, which is empty then, and the seal.
    pub(crate) fn check(&self, first_frame: u64, segment: &Segment, is_last: bool) -> Result<(), Damage> {
        let Some(previous) = &self.previous else {
            return Ok(());
        };
        let next_frame = previous.next_frame;
        if previous.sealed {
            return match next_frame == first_frame {
                true => Ok(()),
                false => Err(Damage::MissingSegment { first_frame: next_frame }),
            };
        }
        let seal_under_way = is_last && segment.is_empty() && next_frame + 1 == first_frame;
        match seal_under_way {
            true => Ok(()),
            false => Err(Damage::SegmentEndsEarly {
                file: FileKind::Segment(self.last_first_frame).name(),
                next_frame,
            }),
        }
    }

    pub(crate) fn add(&mut self, first_frame: u64, segment: Segment, layout: &mut Layout) {
        if let Some(tail) = layout.tail.take() {
            layout.closed_segments.push(StoredFile { name: tail.name(), bytes: tail.length });
            let sealed = self.previous.as_ref().is_some_and(|previous| previous.sealed);
            layout.unsealed = (!sealed).then_some(tail);
        }
        layout.tail = Some(OpenSegment::of(first_frame, &segment));
        self.last_first_frame = first_frame;
        self.previous = Some(segment);
    }

    /// A seal says that another segment exists.
    pub(crate) fn finish(&self, layout: &Layout) -> Result<(), StoreError> {
        match (&self.previous, &layout.tail) {
            (Some(last), Some(_)) if last.sealed => {
                Err(Damage::MissingSegment { first_frame: last.next_frame }.into())
            }
            _ => Ok(()),
        }
    }
}
