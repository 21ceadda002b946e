//! The first log line of a process.

use std::time::{Duration, UNIX_EPOCH};

use lockusher_config::settings::NodeSettings;
use lockusher_node::logging::start_line;

#[test]
fn the_first_line_has_the_time_of_day_and_the_seeds() {
    let settings = NodeSettings::parse(
        "node=edge-1\nzone=north\nipAddress=10.0.0.9\ninternalPorts=7660,7675\nseeds=10.0.0.1:8146,10.0.0.2:8146\ncloud.address=10.0.0.4:8142\n",
    )
    .expect("settings");
    let now = UNIX_EPOCH + Duration::from_millis(1_780_000_000_123);

    let line = start_line(&settings, now);

    assert!(line.starts_with("started at 2026-05-28T20:26:40.123Z: process "));
    assert!(line.ends_with("first start false, seeds 10.0.0.1:8146 10.0.0.2:8146"));
}
