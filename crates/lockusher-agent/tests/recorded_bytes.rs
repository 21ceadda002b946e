//! Compatibility of the gossip messages: they are encoded exactly as the recorded bytes of an earlier release, so that
//! agents of both releases can communicate.

#[path = "../../../tests/support/recorded_bytes.rs"]
mod recorded_bytes;

use lockusher_agent::peers::message::{GossipUpdate, InstanceDeparture, PeerEntry, PeerMessage};
use lockusher_distribution::departures::Departure;
use lockusher_distribution::message::Envelope;
use recorded_bytes::{assert_encoded_as_recorded, assert_every_kind_is_sampled, kinds_of};

const DATAGRAMS: &str = include_str!("recorded_bytes/datagrams.hex");

kinds_of!(
    PeerMessage,
    MESSAGE_KINDS,
    message_kind,
    [ShuffleRequest, ShuffleResponse]
);
kinds_of!(Departure, DEPARTURE_KINDS, departure_kind, [Draining, Gone]);

fn entries() -> Vec<PeerEntry> {
    let entry = |address: &str, age| PeerEntry {
        address: address.parse().expect("a valid address"),
        age,
    };
    vec![
        entry("10.3.0.7:7670", 0),
        entry("10.3.0.8:7671", 12),
        entry("10.3.1.9:65535", u16::MAX),
    ]
}

fn departures() -> Vec<InstanceDeparture> {
    let rumor = |identifier: &str, departure| InstanceDeparture {
        identifier: identifier.to_owned(),
        departure,
    };
    vec![
        rumor("chat-3-1", Departure::Draining),
        rumor("search-0-17", Departure::Gone),
        rumor("search-0-18", Departure::Gone),
    ]
}

fn messages() -> Vec<(&'static str, PeerMessage)> {
    let update = || GossipUpdate {
        configuration_version: 70_000,
        departures: departures(),
    };
    vec![
        (
            "shuffle",
            PeerMessage::ShuffleRequest {
                entries: entries(),
                update: update(),
            },
        ),
        (
            "shuffle-empty",
            PeerMessage::ShuffleRequest {
                entries: Vec::new(),
                update: GossipUpdate::default(),
            },
        ),
        (
            "answer",
            PeerMessage::ShuffleResponse {
                entries: entries(),
                update: update(),
            },
        ),
        (
            "answer-empty",
            PeerMessage::ShuffleResponse {
                entries: Vec::new(),
                update: GossipUpdate::default(),
            },
        ),
    ]
}

/// Encodes a message as a datagram, enclosed in an envelope.
fn encode(message: &PeerMessage) -> Vec<u8> {
    bitcode::encode(&Envelope::encode(message))
}

fn decode(datagram: &[u8]) -> PeerMessage {
    let envelope: Envelope = bitcode::decode(datagram).expect("a readable envelope");
    envelope.decode().expect("a readable message")
}

#[test]
fn every_kind_of_message_has_a_sample() {
    assert_every_kind_is_sampled(
        MESSAGE_KINDS,
        messages().iter().map(|(_, message)| message_kind(message)),
    );
    assert_every_kind_is_sampled(
        DEPARTURE_KINDS,
        departures()
            .iter()
            .map(|rumor| departure_kind(&rumor.departure)),
    );
}

#[test]
fn datagrams_between_agents_are_encoded_as_recorded() {
    assert_encoded_as_recorded(DATAGRAMS, &messages(), encode, decode);
}
