//! Datagrams between aggregators are encoded as the recorded bytes of an earlier release, and the core reads them and
//! answers as that release did, so that processes of both releases can form one fleet.

#[path = "../../../tests/support/recorded_bytes.rs"]
mod recorded_bytes;

use std::net::SocketAddrV4;

use lockusher_membership::core::shared_state::SharingConfig;
use lockusher_membership::core::table::{MemberRecord, MixerName, State};
use lockusher_membership::core::{Core, MembershipConfig};
use lockusher_membership::proto;
use lockusher_membership::proto::lending::What as LendingWhat;
use lockusher_membership::proto::message::What;
use lockusher_membership::shared::records::{Fault, Merged, Verdict, VerdictEntry, VerdictRecords};
use lockusher_policy::interface::{Budget, SearcherId, Span, Time};
use prost::Message as _;
use recorded_bytes::{
    assert_bytes_as_recorded, assert_encoded_as_recorded, assert_every_kind_is_sampled, kinds_of,
    read_fixture,
};

const DATAGRAMS: &str = include_str!("recorded_bytes/datagrams.hex");
/// What a core sends at its start and in answer to each datagram. Unlike the datagrams, these bytes also depend on the
/// core's decisions; where a decision is changed on purpose, its answer is recorded again.
const ANSWERS: &str = include_str!("recorded_bytes/answers.hex");

const FLEET: &str = "fleet-7";
const START: Time = Time::from_micros(1_700_000_000_000_000);
const START_MICROS: u64 = 1_700_000_000_000_000;
/// When the datagrams are received.
const NOW: Time = Time::from_micros(1_700_000_000_250_000);
const SEARCHER_START_MICROS: u64 = 1_600_000_000_000_123;
/// The number of bucket sums in an exchange of views.
const BUCKETS: usize = 256;

type ProtoState = proto::State;
type ProtoFault = proto::Fault;

kinds_of!(
    What,
    WHAT_KINDS,
    what_kind,
    [
        Ping, Ack, Ask, Sums, Page, Notice, Told, Want, Recall, Known, Lending
    ]
);
kinds_of!(
    ProtoState,
    STATE_KINDS,
    state_kind,
    [Joining, Alive, Suspect, Dead, Left]
);
kinds_of!(
    ProtoFault,
    FAULT_KINDS,
    fault_kind,
    [Withdrawn, Fine, Down, Errs, Slow, Cold]
);
kinds_of!(
    LendingWhat,
    LENDING_KINDS,
    lending_kind,
    [Nothing, Promise, Promised, Wants, Lent]
);

fn address(last_octet: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 4, 0, last_octet].into(), 7_700 + u16::from(last_octet))
}

/// The member whose name and address have this number.
fn member(number: u8, state: proto::State) -> proto::Member {
    let at = address(number);
    proto::Member {
        name: format!("aggregator-{number}"),
        ip: u32::from(*at.ip()),
        port: at.port().into(),
        zone: format!("zone-{}", number % 2),
        generation: START_MICROS + 3,
        born: START_MICROS + 1,
        incarnation: 300,
        state: state.into(),
        by: String::new(),
        age_ms: 0,
    }
}

fn reported(number: u8, state: proto::State) -> proto::Member {
    proto::Member {
        by: "aggregator-2".to_owned(),
        age_ms: 5_000,
        ..member(number, state)
    }
}

/// The sender of the datagrams.
fn sender() -> proto::Member {
    member(2, proto::State::Alive)
}

fn members() -> Vec<proto::Member> {
    vec![
        member(3, proto::State::Alive),
        reported(4, proto::State::Suspect),
        reported(5, proto::State::Dead),
        proto::Member {
            age_ms: 70,
            ..member(6, proto::State::Left)
        },
        member(7, proto::State::Joining),
    ]
}

fn verdicts() -> Vec<proto::Verdict> {
    let verdict = |version, fault: proto::Fault, weight| proto::Verdict {
        version,
        searcher: format!("searcher-{version}"),
        life: if version % 2 == 0 {
            SEARCHER_START_MICROS
        } else {
            0
        },
        fault: fault.into(),
        weight,
        since_ms: 400 + version,
        age_ms: 10 + version,
    };
    vec![
        verdict(1, proto::Fault::Down, 0.0),
        verdict(2, proto::Fault::Errs, 0.25),
        verdict(3, proto::Fault::Slow, 3.5),
        verdict(4, proto::Fault::Cold, 1.0),
        verdict(5, proto::Fault::Fine, 0.0),
        verdict(300, proto::Fault::Withdrawn, 0.0),
    ]
}

fn delta() -> proto::Delta {
    proto::Delta {
        name: sender().name,
        generation: sender().generation,
        from: 0,
        upto: 301,
        verdicts: verdicts(),
    }
}

fn known() -> proto::Known {
    let searcher = |number: u8, life| proto::KnownSearcher {
        searcher: format!("searcher-{number}"),
        life,
        latency_us: 12_345,
        good: 0.75,
        age_ms: 1_500,
    };
    proto::Known {
        number: 9,
        searchers: vec![searcher(1, SEARCHER_START_MICROS), searcher(2, 0)],
    }
}

fn lendings() -> Vec<(&'static str, proto::Lending)> {
    let lending = |what: LendingWhat, for_ms, amounts, life| proto::Lending {
        number: 70_000,
        for_ms,
        what: what.into(),
        amounts,
        life,
    };
    vec![
        (
            "lending-nothing",
            lending(LendingWhat::Nothing, 0, Vec::new(), 0),
        ),
        (
            "lending-promise",
            lending(LendingWhat::Promise, 900, Vec::new(), 0),
        ),
        (
            "lending-promised",
            lending(LendingWhat::Promised, 0, Vec::new(), START_MICROS),
        ),
        (
            "lending-wants",
            lending(LendingWhat::Wants, 0, vec![12.5, 0.0], 0),
        ),
        (
            "lending-lent",
            lending(
                LendingWhat::Lent,
                1_200,
                vec![6.25, 100_000.0],
                START_MICROS,
            ),
        ),
    ]
}

fn bodies() -> Vec<(&'static str, What)> {
    let to = "aggregator-1".to_owned();
    let target = address(3);
    let ask = proto::Ask {
        number: 13,
        to: "aggregator-3".to_owned(),
        ip: u32::from(*target.ip()),
        port: target.port().into(),
    };
    let page = proto::Page {
        buckets: vec![0, 7, 255],
        members: members(),
        answer: true,
    };
    let want = proto::Want {
        name: to.clone(),
        generation: START_MICROS,
        from: 0,
    };
    let mut bodies = vec![
        ("notice", What::Notice(proto::Notice {})),
        ("ping", What::Ping(proto::Ping { number: 11, to })),
        (
            "ping-to-a-seed",
            What::Ping(proto::Ping {
                number: 70_000,
                to: String::new(),
            }),
        ),
        (
            "ack",
            What::Ack(proto::Ack {
                number: 12,
                of: "aggregator-3".to_owned(),
            }),
        ),
        ("ask", What::Ask(ask)),
        (
            "sums",
            What::Sums(proto::Sums {
                sums: (0..BUCKETS as u32).map(|bucket| bucket * 0x0101).collect(),
            }),
        ),
        ("page", What::Page(page)),
        (
            "told",
            What::Told(proto::Told {
                deltas: vec![delta()],
            }),
        ),
        ("want", What::Want(want)),
        ("recall", What::Recall(proto::Recall { number: 14 })),
        ("known", What::Known(known())),
    ];
    bodies.extend(
        lendings()
            .into_iter()
            .map(|(name, lending)| (name, What::Lending(lending))),
    );
    bodies
}

/// The oldest message format that expresses this.
fn form(what: &What) -> u32 {
    match what {
        What::Ping(_)
        | What::Ack(_)
        | What::Ask(_)
        | What::Sums(_)
        | What::Page(_)
        | What::Notice(_) => 1,
        What::Told(_) | What::Want(_) | What::Recall(_) | What::Known(_) | What::Lending(_) => 2,
    }
}

fn message(what: What) -> proto::Message {
    proto::Message {
        form: form(&what),
        fleet: FLEET.to_owned(),
        me: Some(sender()),
        digest: 0x0102_0304_0506_0708,
        what: Some(what),
        rates: None,
        news: Vec::new(),
    }
}

fn messages() -> Vec<(&'static str, proto::Message)> {
    let rates = proto::Rates {
        multigets: 125.5,
        parts: 1_000.25,
        further: 3.0,
        pushed_back: 0.5,
    };
    let notice = message(What::Notice(proto::Notice {}));
    let with_news = proto::Message {
        news: members(),
        rates: Some(rates),
        ..notice
    };
    let messages = bodies()
        .into_iter()
        .map(|(name, what)| (name, message(what)));
    messages
        .chain([("notice-with-news-and-rates", with_news)])
        .collect()
}

fn encode(message: &proto::Message) -> Vec<u8> {
    let message = message.encode_to_vec();
    proto::Datagram {
        checksum: crc32fast::hash(&message),
        message,
    }
    .encode_to_vec()
}

fn decode(datagram: &[u8]) -> proto::Message {
    let datagram = proto::Datagram::decode(datagram).expect("a readable datagram");
    assert_eq!(datagram.checksum, crc32fast::hash(&datagram.message));
    proto::Message::decode(datagram.message.as_slice()).expect("a readable message")
}

/// A core that shares all state.
fn core() -> Core {
    let shares = SharingConfig {
        judgements: true,
        warm_starts: true,
        budgets: vec![(Budget::Retries, 100.0), (Budget::Cold, 40.0)],
        mixers: 3,
        tenants: false,
    };
    let config = MembershipConfig {
        fleet: FLEET.into(),
        name: MixerName::new("aggregator-1"),
        address: address(1),
        zone: "zone-1".into(),
        seeds: vec![address(2)],
        probe_interval: Span::from_millis(200),
        suspicion_timeout: Span::from_millis(800),
        retention: Span::from_millis(60_000),
        sharing: Some(shares),
    };
    Core::new(START, START_MICROS, config, 3, 57)
}

/// A core that received these recorded datagrams, and what it then sent.
fn core_after(names: &[&str]) -> (Core, Vec<Vec<u8>>) {
    let recorded = read_fixture(DATAGRAMS);
    let mut core = core();
    core.handle_timeout(START);
    core.take_datagrams();
    for name in names {
        core.handle_datagram(NOW, address(2), &recorded[*name]);
    }
    let sent = core
        .take_datagrams()
        .into_iter()
        .map(|(_, datagram)| datagram)
        .collect();
    (core, sent)
}

#[test]
fn every_kind_of_message_has_a_sample() {
    assert_every_kind_is_sampled(WHAT_KINDS, bodies().iter().map(|(_, what)| what_kind(what)));
}

#[test]
fn every_kind_of_message_field_has_a_sample() {
    let states = members().into_iter().map(|member| member.state());
    assert_every_kind_is_sampled(STATE_KINDS, states.map(|state| state_kind(&state)));
    let faults = verdicts().into_iter().map(|verdict| verdict.fault());
    assert_every_kind_is_sampled(FAULT_KINDS, faults.map(|fault| fault_kind(&fault)));
    let lendings = lendings().into_iter().map(|(_, lending)| lending.what());
    assert_every_kind_is_sampled(LENDING_KINDS, lendings.map(|what| lending_kind(&what)));
}

#[test]
fn datagrams_are_encoded_as_recorded() {
    assert_encoded_as_recorded(DATAGRAMS, &messages(), encode, decode);
}

#[test]
fn no_recorded_datagram_is_dropped_as_invalid() {
    let recorded = read_fixture(DATAGRAMS);
    assert_eq!(recorded.len(), messages().len());
    for (name, datagram) in recorded {
        let mut core = core();
        core.handle_datagram(NOW, address(2), &datagram);
        let drops = core.counts().drops;
        assert_eq!(
            (
                drops.damaged,
                drops.other_form,
                drops.other_fleet,
                drops.absurd
            ),
            (0, 0, 0, 0),
            "{name}"
        );
        let sender = MixerName::new("aggregator-2");
        assert!(
            core.members().any(|entry| entry.record.name == sender),
            "{name}"
        );
    }
}

#[test]
fn a_core_sends_and_answers_as_recorded() {
    let mut joining = core();
    joining.handle_timeout(START);
    let join_requests: Vec<Vec<u8>> = joining
        .take_datagrams()
        .into_iter()
        .map(|(_, datagram)| datagram)
        .collect();
    let mut sent = vec![("asks-to-join".to_owned(), join_requests)];
    for (name, _) in messages() {
        sent.push((
            format!("answer-to-{name}"),
            core_after(&["notice-with-news-and-rates", name]).1,
        ));
    }
    let sent: Vec<(String, Vec<u8>)> = sent
        .into_iter()
        .flat_map(|(name, datagrams)| {
            let numbered = datagrams.into_iter().enumerate();
            numbered.map(move |(number, datagram)| (format!("{name}-{number}"), datagram))
        })
        .collect();
    let sent: Vec<(&str, Vec<u8>)> = sent
        .iter()
        .map(|(name, datagram)| (name.as_str(), datagram.clone()))
        .collect();
    for (name, datagram) in &sent {
        assert_eq!(&encode(&decode(datagram)), datagram, "{name}");
    }
    assert_bytes_as_recorded(ANSWERS, &sent);
}

#[test]
fn members_are_decoded_with_their_values() {
    let (core, _) = core_after(&["notice-with-news-and-rates"]);
    let stored = |number: u8| -> MemberRecord {
        let name = MixerName::new(&format!("aggregator-{number}"));
        core.members()
            .find(|entry| entry.record.name == name)
            .expect("it is stored")
            .record
            .clone()
    };
    let by = Some(MixerName::new("aggregator-2"));
    let expected = |number: u8, state, by| MemberRecord {
        name: MixerName::new(&format!("aggregator-{number}")),
        address: address(number),
        zone: format!("zone-{}", number % 2).as_str().into(),
        generation: START_MICROS + 3,
        born: START_MICROS + 1,
        incarnation: 300,
        state,
        by,
        age: stored(number).age,
    };
    assert_eq!(stored(2), expected(2, State::Alive, None));
    assert_eq!(stored(3), expected(3, State::Alive, None));
    assert_eq!(stored(4), expected(4, State::Suspect, by.clone()));
    assert_eq!(stored(5), expected(5, State::Dead, by));
    assert_eq!(stored(6), expected(6, State::Left, None));
    assert_eq!(
        core.members().count(),
        5,
        "a joining mixer is not stored as a member"
    );
}

#[test]
fn verdicts_are_decoded_and_encoded_again_unchanged() {
    let recorded = read_fixture(DATAGRAMS);
    let Some(What::Told(told)) = decode(&recorded["told"]).what else {
        panic!("not a message with deltas")
    };
    let delta = told.deltas.into_iter().next().expect("a delta");
    let mut records = VerdictRecords::new(START_MICROS);
    assert_eq!(records.merge(NOW, delta.clone()), Merged::Updated(0));
    let name = MixerName::new("aggregator-2");
    let record = records.get(&name).expect("it is stored");
    let entry = |version: u32, fault, weight| {
        let searcher_start = version
            .is_multiple_of(2)
            .then_some(Time::from_micros(SEARCHER_START_MICROS));
        let ago = |ms: u32| NOW - Span::from_millis(ms.into());
        let verdict = Verdict {
            searcher_start,
            fault,
            weight,
            since: ago(400 + version),
            at: ago(10 + version),
        };
        (
            SearcherId::new(&format!("searcher-{version}")),
            VerdictEntry { version, verdict },
        )
    };
    let expected = [
        entry(1, Fault::Down, 0.0),
        entry(2, Fault::Errs, 0.25),
        entry(3, Fault::Slow, 3.5),
        entry(4, Fault::Cold, 1.0),
        entry(5, Fault::Fine, 0.0),
        entry(300, Fault::Withdrawn, 0.0),
    ];
    assert_eq!(record.entries, expected.into());
    assert_eq!(record.delta(&name, 0, NOW), delta);
}
