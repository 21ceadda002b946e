//! What comes on the socket and is not for us, or not sound: dropped by cause, never believed, never a panic.

use std::net::SocketAddrV4;

use lockusher_membership::core::table::MixerName;
use lockusher_membership::core::wire::MOST_BYTES;
use lockusher_membership::core::{Core, Plan, Standing};
use lockusher_policy::interface::{Span, Time};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const BEGAN: Time = Time::from_micros(1_700_000_000_000_000);

fn at(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

fn core(fleet: &str, name: &str, port: u16, seed: u16) -> Core {
    let plan = Plan {
        fleet: fleet.into(),
        name: MixerName::new(name),
        address: at(port),
        zone: "a".into(),
        seeds: vec![at(seed)],
        probe_every: Span::from_millis(200),
        suspect_for: Span::from_millis(800),
        remember: Span::from_millis(60_000),
        shares: None,
    };
    Core::new(
        BEGAN,
        BEGAN.since(Time::from_micros(0)).as_micros(),
        plan,
        1,
        port.into(),
    )
}

/// Two members that know each other, and the datagrams that made them.
fn pair() -> (Core, Core, Vec<Vec<u8>>, Time) {
    let (mut one, mut other) = (core("f", "one", 1, 2), core("f", "other", 2, 1));
    let (mut now, mut all) = (BEGAN, Vec::new());
    while one.living() < 2 || other.living() < 2 {
        now = now + Span::from_millis(50);
        one.due(now);
        other.due(now);
        for _ in 0..4 {
            for (_, bytes) in one.take_out() {
                other.hear(now, at(1), &bytes);
                all.push(bytes);
            }
            for (_, bytes) in other.take_out() {
                one.hear(now, at(2), &bytes);
                all.push(bytes);
            }
        }
    }
    (one, other, all, now)
}

/// The same bytes with a checksum that fits them.
fn sealed(mut bytes: Vec<u8>) -> Vec<u8> {
    // Tag and checksum take five bytes, then the message's tag and length.
    let long = usize::from(bytes.get(6).is_some_and(|byte| byte & 0x80 != 0));
    if bytes.len() > 8 {
        let sum = crc32fast::hash(&bytes[7 + long..]);
        bytes[1..5].copy_from_slice(&sum.to_le_bytes());
    }
    bytes
}

#[rstest]
fn another_fleet_is_not_believed() {
    let (mut one, ..) = pair();
    let mut stranger = core("g", "stranger", 3, 1);
    stranger.due(BEGAN);
    let asked = stranger.take_out();
    assert!(!asked.is_empty());
    asked
        .iter()
        .for_each(|(_, bytes)| one.hear(BEGAN, at(3), bytes));
    assert_eq!((one.counts().drops.other_fleet, one.living()), (1, 2));
    assert!(
        one.take_out().iter().all(|(to, _)| *to != at(3)),
        "it is not answered either"
    );
}

#[rstest]
fn what_is_meant_for_another_name_at_this_address_is_dropped() {
    let (mut one, mut other, .., now) = pair();
    let mut newcomer = core("f", "newcomer", 2, 1);
    one.due(now + Span::from_millis(400));
    let pings = one.take_out();
    assert!(!pings.is_empty());
    pings
        .iter()
        .for_each(|(_, bytes)| newcomer.hear(now, at(1), bytes));
    assert!(newcomer.counts().drops.misdirected > 0 && newcomer.take_out().is_empty());
    pings
        .iter()
        .for_each(|(_, bytes)| other.hear(now, at(1), bytes));
    assert_eq!(other.counts().drops.all(), 0);
}

#[rstest]
#[case::empty(Vec::new())]
#[case::of_another_protocol(b"GET / HTTP/1.1\r\n\r\n".to_vec())]
#[case::huge(vec![0x0d; 60_000])]
#[case::just_beyond(vec![0; MOST_BYTES + 1])]
fn what_is_no_message_is_counted(#[case] bytes: Vec<u8>) {
    let (mut one, .., now) = pair();
    one.hear(now, at(9), &bytes);
    assert_eq!((one.counts().drops.all(), one.living()), (1, 2));
}

/// A million datagrams, damaged with the checksum left as it was, or made to fit: nobody is believed dead or new by
/// what was damaged in transit, and what was altered on purpose stays within bounds.
#[rstest]
fn a_million_damaged_datagrams() {
    let (mut one, _, sound, now) = pair();
    let mut rng = ChaCha8Rng::seed_from_u64(23);
    for _ in 0..1_000_000 {
        let mut bytes = sound[rng.random_range(0..sound.len())].clone();
        let place = rng.random_range(0..bytes.len());
        bytes[place] ^= 1 << rng.random_range(0..8);
        one.hear(now, at(9), &bytes);
    }
    assert_eq!((one.living(), one.view().count()), (2, 2));
    assert_eq!(
        one.counts().drops.damaged + one.counts().drops.misdirected,
        one.counts().drops.all()
    );
    assert!(
        one.counts().drops.damaged > 999_000,
        "{:?}",
        one.counts().drops
    );
    one.take_out();
    for _ in 0..20_000 {
        let mut bytes = sound[rng.random_range(0..sound.len())].clone();
        for _ in 0..rng.random_range(1..4) {
            let place = rng.random_range(0..bytes.len());
            bytes[place] = rng.random();
        }
        bytes.truncate(rng.random_range(bytes.len() / 2..=bytes.len()));
        one.hear(now, at(9), &sealed(bytes));
        one.due(now);
        assert!(
            one.take_out()
                .iter()
                .all(|(_, bytes)| bytes.len() <= MOST_BYTES)
        );
    }
    assert_eq!(one.standing(), Standing::Member);
}

proptest! {
    #[test]
    fn nothing_that_comes_makes_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1_500)) {
        let (mut one, .., now) = pair();
        one.hear(now, at(9), &bytes);
        one.hear(now, at(9), &sealed(bytes));
        prop_assert_eq!(one.living(), 2);
    }
}
