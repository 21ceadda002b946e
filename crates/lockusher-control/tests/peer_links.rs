//! The times of the links between control nodes.

use std::time::Duration;

use lockusher_control::driver::peer_links::LinkTiming;

/// Heartbeats go every twentieth of `acknowledgeMs`; a node is suspected after a fifth of it.
const HEARTBEAT_DIVISOR: u32 = 20;
const SUSPECT_DIVISOR: u32 = 5;

/// After a loss of power at all nodes, the first attempts go to machines that are still down and hang. The attempts that
/// follow must be through before the nodes suspect each other, or the next view waits for that.
#[test]
fn a_hanging_attempt_and_the_next_fit_before_a_node_is_suspected() {
    for acknowledge_ms in [1_000, 2_000, 4_000, 5_000, 20_000] {
        let acknowledge = Duration::from_millis(acknowledge_ms);
        let timing = LinkTiming::new(acknowledge);
        let next_message = acknowledge / HEARTBEAT_DIVISOR;
        let cycle = timing.connect_limit + timing.reconnect_delay + next_message;
        assert!(cycle < acknowledge / SUSPECT_DIVISOR, "{timing:?} at {acknowledge_ms} ms");
    }
}

#[test]
fn an_attempt_has_time_for_a_way_between_regions() {
    assert!(LinkTiming::new(Duration::from_millis(200)).connect_limit >= Duration::from_millis(100));
}
