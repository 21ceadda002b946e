//! What gossip costs an agent at the size that docs/CAPACITY.md plans for.
//! `cargo test --release -p lockusher-agent --test capacity -- --nocapture` prints the figures.

use std::net::{Ipv4Addr, SocketAddrV4};

use lockusher_agent::peers::gossip::IDLE_GOSSIP_INTERVAL_MS;
use lockusher_agent::peers::message::{GossipUpdate, InstanceDeparture, PeerEntry, PeerMessage};
use lockusher_agent::peers::view::SHUFFLE_SIZE;
use lockusher_distribution::departures::Departure;
use lockusher_distribution::message::Envelope;

/// Header bytes of a datagram over IPv4.
const HEADER_BYTES: usize = 28;
/// In a gossip interval each agent starts one exchange and, on average, answers one; both datagrams of both count.
const DATAGRAMS_PER_INTERVAL: usize = 4;
/// What the operators allow for all of control at a mixer is ten times this.
const MAX_BYTES_PER_S: usize = 500;

fn datagram_bytes(rumors: usize) -> usize {
    let entry = |number: u8| PeerEntry {
        address: SocketAddrV4::new(Ipv4Addr::new(10, number, 3, 200), 7_661),
        age: 300 + u16::from(number),
    };
    let rumor = |number: usize| InstanceDeparture {
        identifier: format!("i-{number:010x}"),
        departure: Departure::Draining,
    };
    let update = GossipUpdate {
        configuration_version: 2_300_000,
        departures: (0..rumors).map(rumor).collect(),
    };
    let entries = (1..=SHUFFLE_SIZE as u8).map(entry).collect();
    HEADER_BYTES
        + bitcode::encode(&Envelope::encode(&PeerMessage::ShuffleRequest {
            entries,
            update,
        }))
        .len()
}

#[test]
fn gossip_at_rest_costs_a_tenth_of_what_control_may() {
    let at_rest = datagram_bytes(0);
    let bytes_per_s = DATAGRAMS_PER_INTERVAL * at_rest * 1_000 / IDLE_GOSSIP_INTERVAL_MS as usize;
    println!(
        "a datagram: {at_rest} bytes at rest, {} with 16 departures; {bytes_per_s} bytes/s at rest",
        datagram_bytes(16)
    );
    assert!(
        bytes_per_s < MAX_BYTES_PER_S,
        "{bytes_per_s} bytes a second"
    );
}
