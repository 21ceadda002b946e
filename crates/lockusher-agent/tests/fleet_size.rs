//! The number of proxies by which budgets are divided.

use lockusher_agent::fleet_size::FleetSize;

#[test]
fn the_fleet_size_is_unknown_before_a_count_is_received() {
    assert_eq!(FleetSize::default().proxies(), 0);
}

#[test]
fn an_increase_applies_at_once_and_a_decrease_only_after_the_window() {
    let mut size = FleetSize::default();

    size.record(0, 40);
    size.record(1_000, 0);
    size.record(2_000, 25);
    assert_eq!(size.proxies(), 40);

    size.record(3_000, 50);
    assert_eq!(size.proxies(), 50);

    size.record(4_000, 30);
    size.record(17_000, 30);
    assert_eq!(size.proxies(), 50);

    size.record(18_000, 30);
    assert_eq!(size.proxies(), 30);
}

#[test]
fn the_last_count_stays_valid_while_none_is_received() {
    let mut size = FleetSize::default();
    size.record(0, 40);

    size.record(1_000_000, 0);

    assert_eq!(size.proxies(), 40);
}
