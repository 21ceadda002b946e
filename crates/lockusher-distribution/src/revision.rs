//! Numbering of the instance list's revisions.
//!
//! The control plane's poller increments the sequence by a large step. An agent that polls the platform itself numbers
//! its lists in the gap above the last revision that it has received. Invariant: the poller's next revision is greater
//! than all of those.

use lockusher_config::instances::InstanceListRevision;

/// Distance between two revisions of the control plane's poller: enough for one poll of an agent per second over twelve
/// days.
pub const POLLER_REVISION_STEP: u64 = 1 << 20;

/// Returns the poller's revision after `last`; `epoch` is that of the control view in which the poller started.
pub fn next_poller_revision(last: InstanceListRevision, epoch: u64) -> InstanceListRevision {
    if epoch != last.epoch {
        return InstanceListRevision {
            epoch,
            sequence: POLLER_REVISION_STEP,
        };
    }
    InstanceListRevision {
        epoch,
        sequence: (last.sequence / POLLER_REVISION_STEP + 1) * POLLER_REVISION_STEP,
    }
}

/// Returns the revision directly after `last`, for a list that an agent polled.
pub fn next_agent_revision(last: InstanceListRevision) -> InstanceListRevision {
    InstanceListRevision {
        epoch: last.epoch,
        sequence: last.sequence + 1,
    }
}

/// Whether a revision was made by the control plane's poller.
pub fn is_poller_revision(revision: InstanceListRevision) -> bool {
    revision.sequence.is_multiple_of(POLLER_REVISION_STEP)
}
