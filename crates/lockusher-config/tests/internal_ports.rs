//! The ports of internal listeners within a machine's range.

use lockusher_config::settings::{InternalListener, PortRange};
use yare::parameterized;

#[parameterized(
    subscriptions = { InternalListener::Subscriptions, 7_660 },
    replicas = { InternalListener::Replicas, 7_661 },
    agents = { InternalListener::Agents, 7_662 },
)]
fn each_listener_has_its_position_in_the_range(listener: InternalListener, port: u16) {
    let range = PortRange {
        first: 7_660,
        last: 7_662,
    };

    assert_eq!(range.port_of(listener), Ok(port));
}

#[parameterized(
    one_port = { PortRange { first: 7_660, last: 7_660 } },
    at_the_end_of_all_ports = { PortRange { first: u16::MAX, last: u16::MAX } },
)]
fn the_error_for_a_short_range_states_how_many_ports_are_needed(range: PortRange) {
    let error = range.port_of(InternalListener::Replicas).unwrap_err();

    assert_eq!(error.listener, InternalListener::Replicas);
    assert_eq!(
        error.to_string(),
        "settings: internalPorts: expected 2 ports at least"
    );
}
