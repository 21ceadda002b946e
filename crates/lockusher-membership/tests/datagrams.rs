//! Datagrams that are invalid or meant for others are dropped and counted by reason; they never change the view and
//! never cause a panic.

use std::net::SocketAddrV4;

use lockusher_membership::core::table::MixerName;
use lockusher_membership::core::wire::MAX_DATAGRAM_BYTES;
use lockusher_membership::core::{Core, MembershipConfig, MembershipStatus};
use lockusher_policy::interface::{Span, Time};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const START: Time = Time::from_micros(1_700_000_000_000_000);

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

fn core(fleet: &str, name: &str, port: u16, seed: u16) -> Core {
    let config = MembershipConfig {
        fleet: fleet.into(),
        name: MixerName::new(name),
        address: address(port),
        zone: "a".into(),
        seeds: vec![address(seed)],
        probe_interval: Span::from_millis(200),
        suspicion_timeout: Span::from_millis(800),
        retention: Span::from_millis(60_000),
        sharing: None,
    };
    Core::new(
        START,
        START.since(Time::from_micros(0)).as_micros(),
        config,
        1,
        port.into(),
    )
}

/// Two members that know each other, and the datagrams they exchanged to join.
fn joined_pair() -> (Core, Core, Vec<Vec<u8>>, Time) {
    let (mut one, mut other) = (core("f", "one", 1, 2), core("f", "other", 2, 1));
    let (mut now, mut exchanged) = (START, Vec::new());
    while one.live_count() < 2 || other.live_count() < 2 {
        now = now + Span::from_millis(50);
        one.handle_timeout(now);
        other.handle_timeout(now);
        for _ in 0..4 {
            for (_, bytes) in one.take_datagrams() {
                other.handle_datagram(now, address(1), &bytes);
                exchanged.push(bytes);
            }
            for (_, bytes) in other.take_datagrams() {
                one.handle_datagram(now, address(2), &bytes);
                exchanged.push(bytes);
            }
        }
    }
    (one, other, exchanged, now)
}

/// The same bytes with a matching checksum.
fn with_valid_checksum(mut bytes: Vec<u8>) -> Vec<u8> {
    // The tag and the checksum take five bytes, followed by the message's tag and length.
    let long_length = usize::from(bytes.get(6).is_some_and(|byte| byte & 0x80 != 0));
    if bytes.len() > 8 {
        let sum = crc32fast::hash(&bytes[7 + long_length..]);
        bytes[1..5].copy_from_slice(&sum.to_le_bytes());
    }
    bytes
}

#[rstest]
fn datagrams_of_another_fleet_are_dropped() {
    let (mut one, ..) = joined_pair();
    let mut stranger = core("g", "stranger", 3, 1);
    stranger.handle_timeout(START);
    let sent = stranger.take_datagrams();
    assert!(!sent.is_empty());
    sent.iter()
        .for_each(|(_, bytes)| one.handle_datagram(START, address(3), bytes));
    assert_eq!((one.counts().drops.other_fleet, one.live_count()), (1, 2));
    assert!(
        one.take_datagrams().iter().all(|(to, _)| *to != address(3)),
        "it is not answered"
    );
}

#[rstest]
fn datagrams_for_another_name_at_this_address_are_dropped() {
    let (mut one, mut other, .., now) = joined_pair();
    let mut newcomer = core("f", "newcomer", 2, 1);
    one.handle_timeout(now + Span::from_millis(400));
    let pings = one.take_datagrams();
    assert!(!pings.is_empty());
    pings
        .iter()
        .for_each(|(_, bytes)| newcomer.handle_datagram(now, address(1), bytes));
    assert!(newcomer.counts().drops.misdirected > 0 && newcomer.take_datagrams().is_empty());
    pings
        .iter()
        .for_each(|(_, bytes)| other.handle_datagram(now, address(1), bytes));
    assert_eq!(other.counts().drops.total(), 0);
}

#[rstest]
#[case::empty(Vec::new())]
#[case::of_another_protocol(b"GET / HTTP/1.1\r\n\r\n".to_vec())]
#[case::huge(vec![0x0d; 60_000])]
#[case::just_above_the_limit(vec![0; MAX_DATAGRAM_BYTES + 1])]
fn invalid_datagrams_are_counted(#[case] bytes: Vec<u8>) {
    let (mut one, .., now) = joined_pair();
    one.handle_datagram(now, address(9), &bytes);
    assert_eq!((one.counts().drops.total(), one.live_count()), (1, 2));
}

/// A million datagrams, damaged with the old checksum: none of them adds a member or kills one. Then altered datagrams
/// with a valid checksum, which must not break any bound.
#[rstest]
fn a_million_damaged_datagrams_are_dropped_and_altered_ones_stay_within_bounds() {
    let (mut one, _, valid, now) = joined_pair();
    let mut rng = ChaCha8Rng::seed_from_u64(23);
    for _ in 0..1_000_000 {
        let mut bytes = valid[rng.random_range(0..valid.len())].clone();
        let position = rng.random_range(0..bytes.len());
        bytes[position] ^= 1 << rng.random_range(0..8);
        one.handle_datagram(now, address(9), &bytes);
    }
    assert_eq!((one.live_count(), one.members().count()), (2, 2));
    assert_eq!(
        one.counts().drops.damaged + one.counts().drops.misdirected,
        one.counts().drops.total()
    );
    assert!(
        one.counts().drops.damaged > 999_000,
        "{:?}",
        one.counts().drops
    );
    one.take_datagrams();
    for _ in 0..20_000 {
        let mut bytes = valid[rng.random_range(0..valid.len())].clone();
        for _ in 0..rng.random_range(1..4) {
            let position = rng.random_range(0..bytes.len());
            bytes[position] = rng.random();
        }
        bytes.truncate(rng.random_range(bytes.len() / 2..=bytes.len()));
        one.handle_datagram(now, address(9), &with_valid_checksum(bytes));
        one.handle_timeout(now);
        assert!(
            one.take_datagrams()
                .iter()
                .all(|(_, bytes)| bytes.len() <= MAX_DATAGRAM_BYTES)
        );
    }
    assert_eq!(one.status(), MembershipStatus::Member);
}

proptest! {
    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1_500)) {
        let (mut one, .., now) = joined_pair();
        one.handle_datagram(now, address(9), &bytes);
        one.handle_datagram(now, address(9), &with_valid_checksum(bytes));
        prop_assert_eq!(one.live_count(), 2);
    }
}
