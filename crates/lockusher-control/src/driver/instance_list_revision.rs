//! Revisions of the instance list that a head publishes. Pure, without I/O or clock.

use lockusher_config::instances::InstanceListRevision;

/// Returns a revision above `newest` for a head in `epoch`. Its sequence is at least the time of day in milliseconds,
/// so that the revisions of a head that was restarted in the same view are above those it published before.
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

/// Whether the published list has this epoch and at least the highest revision that a subscriber has applied. It then
/// needs a new revision only if its content has changed.
pub fn is_current(
    epoch: u64,
    published: InstanceListRevision,
    highest_applied: InstanceListRevision,
) -> bool {
    published.epoch == epoch && published >= highest_applied
}
