//! Numbers for revisions of the list of searchers.
//!
//! The control plane's reader counts in large steps. An agent that has to read the list itself numbers its own
//! readings in the gap above the last revision that it knows, so that the reader's next change is above them all.

use lockusher_config::instances::InstanceListRevision;

/// Distance between two revisions of the control plane's reader: about one reading a second for twelve days.
pub const POLLER_REVISION_STEP: u64 = 1 << 20;

/// The reader's next revision, `epoch` being the one in which it was appointed.
pub fn next_poller_revision(last: InstanceListRevision, epoch: u64) -> InstanceListRevision {
    if epoch != last.epoch {
        return InstanceListRevision { epoch, sequence: POLLER_REVISION_STEP };
    }
    InstanceListRevision {
        epoch,
        sequence: (last.sequence / POLLER_REVISION_STEP + 1) * POLLER_REVISION_STEP,
    }
}

/// A revision just above `last`, for a list that doesn't come from the reader.
pub fn next_agent_revision(last: InstanceListRevision) -> InstanceListRevision {
    InstanceListRevision { epoch: last.epoch, sequence: last.sequence + 1 }
}

/// Whether the control plane's reader made this revision.
pub fn is_poller_revision(revision: InstanceListRevision) -> bool {
    revision.sequence.is_multiple_of(POLLER_REVISION_STEP)
}
