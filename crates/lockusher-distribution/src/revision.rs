//! Numbers for revisions of the list of searchers.
//!
//! The control plane's reader counts in large steps. An agent that has to read the list itself numbers its own
//! readings in the gap above the last revision that it knows, so that the reader's next change is above them all.

use lockusher_config::instances::ListRevision;

/// Distance between two revisions of the control plane's reader: about one reading a second for twelve days.
pub const READER_STEP: u64 = 1 << 20;

/// The reader's next revision, `epoch` being the one in which it was appointed.
pub fn next_of_reader(last: ListRevision, epoch: u64) -> ListRevision {
    if epoch != last.epoch {
        return ListRevision { epoch, sequence: READER_STEP };
    }
    ListRevision { epoch, sequence: (last.sequence / READER_STEP + 1) * READER_STEP }
}

/// A revision just above `last`, for a list that doesn't come from the reader.
pub fn next_of_agent(last: ListRevision) -> ListRevision {
    ListRevision { epoch: last.epoch, sequence: last.sequence + 1 }
}

/// Whether the control plane's reader made this revision.
pub fn is_of_reader(revision: ListRevision) -> bool {
    revision.sequence.is_multiple_of(READER_STEP)
}
