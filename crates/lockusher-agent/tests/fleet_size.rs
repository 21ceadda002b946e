//! The number of proxies that budgets rely on.

use lockusher_agent::fleet_size::FleetSize;

#[test]
fn nothing_is_relied_on_before_a_count_was_received() {
    assert_eq!(FleetSize::default().proxies(), 0);
}

#[test]
fn a_rise_counts_at_once_and_a_fall_only_when_it_lasts() {
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
