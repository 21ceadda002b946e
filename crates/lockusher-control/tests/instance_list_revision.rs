//! Revisions of the published instance list: they increase across restarts and from one head to the next.

use lockusher_config::instances::InstanceListRevision;
use lockusher_control::driver::instance_list_revision::{is_current, next_revision};
use yare::parameterized;

const TIME_OF_DAY_MS: u64 = 1_700_000_000_000;

fn revision(epoch: u64, sequence: u64) -> InstanceListRevision {
    InstanceListRevision { epoch, sequence }
}

#[parameterized(
    first_of_the_fleet = { revision(0, 0), revision(4, TIME_OF_DAY_MS) },
    first_of_a_head = { revision(3, TIME_OF_DAY_MS + 70), revision(4, TIME_OF_DAY_MS) },
    next_of_a_head = { revision(4, TIME_OF_DAY_MS - 250), revision(4, TIME_OF_DAY_MS) },
    clock_behind_the_newest = { revision(4, TIME_OF_DAY_MS + 70), revision(4, TIME_OF_DAY_MS + 71) },
    newest_of_a_later_head = { revision(5, TIME_OF_DAY_MS + 70), revision(5, TIME_OF_DAY_MS + 71) },
)]
fn the_next_revision_is_above_the_newest(
    newest: InstanceListRevision,
    expected: InstanceListRevision,
) {
    let next = next_revision(4, newest, TIME_OF_DAY_MS);
    assert_eq!(next, expected);
    assert!(next > newest);
}

#[parameterized(
    same_epoch = { revision(4, 9), revision(4, 9), true },
    subscribers_behind = { revision(4, 9), revision(3, 12), true },
    subscribers_ahead = { revision(4, 9), revision(4, 10), false },
    list_of_a_former_head = { revision(3, 9), revision(3, 9), false },
)]
fn an_unchanged_list_needs_a_new_revision_unless_it_is_current(
    published: InstanceListRevision,
    highest_applied: InstanceListRevision,
    expected: bool,
) {
    assert_eq!(is_current(4, published, highest_applied), expected);
}
