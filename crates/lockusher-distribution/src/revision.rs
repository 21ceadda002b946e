//! Numbers for revisions of the instance list.
//!
//! The control plane's poller counts in large steps. An agent that has to poll the platform itself numbers its own
//! lists in the gap above the last revision that it knows. Invariant: the poller's next revision is above them all.

use lockusher_config::instances::InstanceListRevision;

/// Distance between two revisions of the control plane's poller: room for an agent's poll each second for twelve days.
pub const POLLER_REVISION_STEP: u64 = 1 << 20;

/// The poller's revision after `last`, `epoch` being that of the control view in which it was appointed.
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

/// The revision just above `last`, for a list that an agent polled.
pub fn next_agent_revision(last: InstanceListRevision) -> InstanceListRevision {
    InstanceListRevision {
        epoch: last.epoch,
        sequence: last.sequence + 1,
    }
}

/// Whether the control plane's poller made this revision.
pub fn is_poller_revision(revision: InstanceListRevision) -> bool {
    revision.sequence.is_multiple_of(POLLER_REVISION_STEP)
}
