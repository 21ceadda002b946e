//! Peer sampling and rumor mongering in a simulated fleet: views stay bounded, random and connected, and rumors reach
//! nearly all agents.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use lockusher_agent::peers::fetch_policy::FetchPolicy;
use lockusher_agent::peers::gossip::{Gossip, IDLE_GOSSIP_INTERVAL_MS, URGENT_GOSSIP_INTERVAL_MS};
use lockusher_agent::peers::message::{PeerEntry, PeerMessage};
use lockusher_agent::peers::rumors::Rumors;
use lockusher_agent::peers::view::{SHUFFLE_SIZE, VIEW_SIZE};
use lockusher_distribution::departures::Departure;
use support::departed;
use support::gossip_fleet::{Fleet, address, rumor};

#[yare::parameterized(
    lossless = { 400, 0.0, 1 },
    lossy = { 400, 0.05, 2 },
    small = { 6, 0.02, 3 },
)]
fn views_stay_bounded_balanced_and_connected(count: usize, loss_probability: f64, seed: u64) {
    let mut fleet = Fleet::new(count, loss_probability, seed);

    fleet.gossip(60);

    for (own, agent) in &fleet.agents {
        let peers: Vec<SocketAddrV4> = agent.gossip.view().addresses().collect();
        assert!(peers.len() <= VIEW_SIZE);
        assert!(!peers.contains(own), "an agent isn't in its own view");
        assert_eq!(
            peers.iter().collect::<BTreeSet<_>>().len(),
            peers.len(),
            "no peer is in a view twice"
        );
    }
    assert_eq!(fleet.connected_agents(), count);
    let degrees = fleet.in_degrees();
    assert!(
        degrees.values().all(|degree| *degree <= 4 * VIEW_SIZE),
        "{degrees:?}"
    );
    let bytes_per_interval = fleet.sent_bytes / 60 / count;
    assert!(
        bytes_per_interval <= 160,
        "{bytes_per_interval} bytes per interval and agent"
    );
}

#[test]
fn terminated_agents_leave_all_views_and_the_others_stay_connected() {
    let mut fleet = Fleet::new(400, 0.0, 4);
    fleet.gossip(20);

    for number in (0..400).step_by(3) {
        fleet.agent(number).is_alive = false;
    }
    fleet.gossip(40);

    assert_eq!(fleet.connected_agents(), fleet.alive().count());
    let terminated = fleet
        .in_degrees()
        .into_keys()
        .filter(|peer| !fleet.agents[peer].is_alive)
        .count();
    assert_eq!(terminated, 0, "no view contains a terminated agent");
}

#[yare::parameterized(
    lossless = { 400, 0.0 },
    lossy = { 400, 0.05 },
    small = { 6, 0.0 },
)]
fn a_rumor_reaches_nearly_all_agents_in_ten_intervals(count: usize, loss_probability: f64) {
    let mut reached = 0;
    for seed in 0..5 {
        let mut fleet = Fleet::new(count, loss_probability, seed);
        fleet.gossip(10);
        fleet.agent(0).observe(rumor(1));
        fleet.gossip(10);
        reached += fleet
            .alive()
            .filter(|agent| agent.known_departed.contains(&rumor(1).identifier))
            .count();
    }

    let fraction = reached as f64 / (5 * count) as f64;
    assert!(fraction >= 0.985, "{fraction} of the agents");
}

#[test]
fn many_rumors_fit_into_datagrams_and_are_eventually_dropped() {
    let mut fleet = Fleet::new(50, 0.0, 5);
    for number in 0..300 {
        fleet
            .agent(0)
            .gossip
            .add_rumor(departed(&rumor(number).identifier, Departure::Gone));
    }

    fleet.gossip(100);
    let longest_while_spreading = fleet.longest_message_bytes;
    fleet.longest_message_bytes = 0;
    fleet.gossip(1);
    let longest_when_idle = fleet.longest_message_bytes;

    assert!(
        longest_while_spreading <= 1_200,
        "{longest_while_spreading} bytes"
    );
    assert!(
        longest_when_idle <= 100,
        "{longest_when_idle} bytes when idle"
    );
}

#[test]
fn rumors_sent_least_often_are_sent_first() {
    let mut rumors = Rumors::default();
    rumors.add(rumor(1));
    rumors.take_for_message();
    rumors.add(rumor(2));

    assert_eq!(rumors.take_for_message(), [rumor(2), rumor(1)]);
}

#[test]
fn a_rumor_replaces_an_earlier_one_about_the_same_searcher() {
    let mut rumors = Rumors::default();
    let gone = departed(&rumor(1).identifier, Departure::Gone);
    rumors.add(rumor(1));
    rumors.add(rumor(2));
    rumors.add(gone.clone());

    assert_eq!(rumors.take_for_message(), [rumor(2), gone]);
}

#[test]
fn a_rumor_with_an_overlong_identifier_is_not_spread() {
    let mut rumors = Rumors::default();
    rumors.add(rumor(1));
    rumors.add(rumor(2));
    rumors.add(departed(&"x".repeat(100), Departure::Gone));

    assert_eq!(
        rumors.take_for_message().len(),
        2,
        "the overlong identifier isn't spread"
    );
}

#[test]
fn a_rumor_is_dropped_after_a_number_of_transmissions() {
    let mut rumors = Rumors::default();
    rumors.add(rumor(1));
    rumors.add(rumor(2));

    for _ in 0..12 {
        rumors.take_for_message();
    }

    assert!(rumors.is_empty());
}

#[test]
fn exchanges_are_more_frequent_while_partitioned_with_rumors_to_spread() {
    let mut gossip = Gossip::new(address(1), 1);
    assert!(gossip.next_exchange_ms(true) >= IDLE_GOSSIP_INTERVAL_MS);

    gossip.add_rumor(rumor(1));

    assert_eq!(gossip.next_exchange_ms(true), URGENT_GOSSIP_INTERVAL_MS);
    assert!(gossip.next_exchange_ms(false) >= IDLE_GOSSIP_INTERVAL_MS);
}

/// A peer sends more entries than allowed, with duplicates, its own entry and that of the receiver.
#[test]
fn excess_duplicate_and_own_entries_are_ignored() {
    let mut gossip = Gossip::new(address(0), 1);
    let entries = (0..1_000)
        .map(|number| PeerEntry {
            address: address(number / 2),
            age: 0,
        })
        .collect();
    let message = PeerMessage::ShuffleRequest {
        entries,
        update: Default::default(),
    };

    gossip.receive(0, address(7), message);

    assert!(gossip.view().addresses().count() <= SHUFFLE_SIZE);
    assert!(gossip.view().addresses().all(|peer| peer != address(0)));
}

#[test]
fn a_version_that_is_not_newer_is_not_fetched() {
    let mut policy = FetchPolicy::default();
    policy.record_advertised(0, address(1), 5, 5);

    assert_eq!(
        policy.take_due(10_000, 5),
        None,
        "nothing newer was advertised"
    );
}

#[test]
fn the_newest_configuration_is_fetched_once_if_the_control_plane_does_not_deliver_it() {
    let mut policy = FetchPolicy::default();
    policy.record_advertised(10_000, address(1), 7, 5);
    policy.record_advertised(10_100, address(2), 9, 5);
    policy.record_advertised(10_200, address(3), 8, 5);

    assert_eq!(
        policy.take_due(10_300, 5),
        None,
        "the control plane may still deliver it"
    );
    assert_eq!(policy.take_due(10_800, 5), Some(address(2)));
    assert_eq!(policy.take_due(20_000, 5), None);
}

#[test]
fn a_configuration_that_the_control_plane_delivered_is_not_fetched() {
    let mut policy = FetchPolicy::default();
    policy.record_advertised(30_000, address(2), 9, 5);

    assert_eq!(
        policy.take_due(40_000, 9),
        None,
        "the control plane delivered it"
    );
}
