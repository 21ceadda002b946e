//! Network cost of gossip for one agent, as planned in docs/CAPACITY.md.
//! `cargo test --release -p lockusher-agent --test capacity -- --nocapture` prints the figures.

use std::net::{Ipv4Addr, SocketAddrV4};

use lockusher_agent::peers::gossip::IDLE_GOSSIP_INTERVAL_MS;
use lockusher_agent::peers::message::{GossipUpdate, InstanceDeparture, PeerEntry, PeerMessage};
use lockusher_agent::peers::view::SHUFFLE_SIZE;
use lockusher_distribution::departures::Departure;
use lockusher_distribution::message::Envelope;

/// IPv4 and UDP header bytes of a datagram.
const HEADER_BYTES: usize = 28;
/// In a gossip interval each agent starts one exchange and responds to one on average; each has two datagrams.
const DATAGRAMS_PER_INTERVAL: usize = 4;
/// A tenth of the operators' limit for all control traffic at a mixer.
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
fn idle_gossip_uses_at_most_a_tenth_of_the_control_traffic_limit() {
    let idle_datagram_bytes = datagram_bytes(0);
    let bytes_per_s =
        DATAGRAMS_PER_INTERVAL * idle_datagram_bytes * 1_000 / IDLE_GOSSIP_INTERVAL_MS as usize;
    println!(
        "a datagram: {idle_datagram_bytes} bytes when idle, {} with 16 departures; {bytes_per_s} bytes/s when idle",
        datagram_bytes(16)
    );
    assert!(bytes_per_s < MAX_BYTES_PER_S, "{bytes_per_s} bytes/s");
}
