//! Revisions of the instance list that a head publishes. Pure, without I/O or clock.

use lockusher_config::instances::InstanceListRevision;

/// A revision above `newest`, of a head in `epoch`. Its sequence is at least the time of day in milliseconds, so that a
/// head that was restarted in the same view counts on from above what it published before.
pub fn next_revision(
    epoch: u64,
    newest: InstanceListRevision,
    time_of_day_ms: u64,
) -> InstanceListRevision {
    let epoch = epoch.max(newest.epoch);
    let incremented = if newest.epoch == epoch {
        newest.sequence + 1
    } else {
        0
    };
    InstanceListRevision {
        epoch,
        sequence: incremented.max(time_of_day_ms),
    }
}

/// Whether the list published is of this epoch and of no lower revision than a subscriber has applied: unless its
/// content has changed, it needs no new revision.
pub fn is_current(
    epoch: u64,
    published: InstanceListRevision,
    highest_applied: InstanceListRevision,
) -> bool {
    published.epoch == epoch && published >= highest_applied
}
