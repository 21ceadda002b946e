//! What mixers share: records merge in any order, judgements rest on several, nonsense moves nothing.

use std::collections::BTreeMap;

use lockusher_membership::core::table::MixerName;
use lockusher_membership::proto;
use lockusher_membership::shared::judge::{OnceAccused, Said, accused, stands, tells};
use lockusher_membership::shared::records::{Fault, MOST_NAMED, Merged, Record, Records, Verdict};
use lockusher_membership::shared::warm::Warming;
use lockusher_policy::interface::{SearcherId, SearcherObservation, Span, Time, WarmStartEntry};
use proptest::prelude::*;
use rstest::rstest;

const NOW: Time = Time::from_micros(1_700_000_000_000_000);
const LIFE: Option<Time> = Some(Time::from_micros(1_600_000_000_000_000));

fn ago(ms: u64) -> Time {
    NOW - Span::from_millis(ms)
}

fn id(number: usize) -> SearcherId {
    SearcherId::new(&format!("s{number}"))
}

fn verdict(fault: Fault, since: Time, at: Time) -> Verdict {
    Verdict {
        life: LIFE,
        fault,
        weight: 0.1,
        since,
        at,
    }
}

fn sound(number: usize) -> SearcherObservation {
    SearcherObservation {
        id: id(number),
        life: LIFE,
        latency: Some(0.01),
        good: 1.0,
        heard: ago(100),
        silent_since: None,
        down_since: None,
        cold_since: None,
    }
}

fn down(number: usize) -> SearcherObservation {
    SearcherObservation {
        good: 0.1,
        down_since: Some(ago(300)),
        ..sound(number)
    }
}

/// What each mixer says of searcher 0, each from its zone.
fn judged(said: &[(&str, Fault, u64)], zones: usize) -> usize {
    let names: Vec<MixerName> = (0..said.len())
        .map(|nth| MixerName::new(&format!("m{nth}")))
        .collect();
    let verdicts: Vec<Verdict> = said
        .iter()
        .map(|(_, fault, ms)| verdict(*fault, ago(*ms), ago(*ms)))
        .collect();
    let searcher = id(0);
    let all = said.iter().zip(&names).zip(&verdicts);
    let all = all.map(|(((zone, ..), by), verdict)| (&searcher, Said { by, zone, verdict }));
    stands(NOW, all, zones).len()
}

#[rstest]
#[case::one_alone(&[("a", Fault::Down, 200)], 1, 0)]
#[case::two(&[("a", Fault::Down, 200), ("a", Fault::Down, 300)], 1, 1)]
#[case::two_of_one_zone_among_several(&[("a", Fault::Down, 200), ("a", Fault::Down, 300)], 2, 0)]
#[case::two_of_two_zones(&[("a", Fault::Down, 200), ("b", Fault::Down, 300)], 3, 1)]
#[case::said_too_long_ago(&[("a", Fault::Down, 8_500), ("b", Fault::Down, 8_600)], 2, 0)]
#[case::fine_for_most(
    &[("a", Fault::Down, 500), ("b", Fault::Down, 400), ("a", Fault::Fine, 100), ("b", Fault::Fine, 100)], 2, 0)]
#[case::died_just_after_it_answered_others(
    &[("a", Fault::Down, 500), ("b", Fault::Down, 500), ("a", Fault::Fine, 470), ("b", Fault::Fine, 460)], 2, 1)]
#[case::found_again(&[("a", Fault::Fine, 200), ("b", Fault::Fine, 300)], 2, 1)]
#[case::found_again_by_one(&[("a", Fault::Fine, 200)], 1, 0)]
#[case::fine_before_it_died(
    &[("a", Fault::Down, 200), ("b", Fault::Down, 300), ("a", Fault::Fine, 600), ("b", Fault::Fine, 700)], 2, 1)]
fn a_judgement_rests_on_several(
    #[case] said: &[(&str, Fault, u64)],
    #[case] zones: usize,
    #[case] stand: usize,
) {
    assert_eq!(judged(said, zones), stand);
}

/// A mixer that finds most of those it tried bad says nothing: it is its own path.
#[rstest]
#[case::one_of_eight(1, 1)]
#[case::three_of_eight(3, 3)]
#[case::five_of_eight(5, 0)]
fn who_finds_most_bad_judges_itself(#[case] bad: usize, #[case] told: usize) {
    let seen: Vec<SearcherObservation> = (0..8)
        .map(|nth| if nth < bad { down(nth) } else { sound(nth) })
        .collect();
    assert_eq!(tells(NOW, &seen, &BTreeMap::new()).len(), told);
}

/// Those who hear enough witnesses of their zone fall silent, and not all at once: the first few of each zone go on.
#[rstest]
fn enough_witnesses_of_each_zone_go_on() {
    let names: Vec<MixerName> = (0..30)
        .map(|nth| MixerName::new(&format!("m{nth}")))
        .collect();
    let said = verdict(Fault::Down, ago(300), ago(100));
    let seen: Vec<SearcherObservation> = (0..8)
        .map(|nth| if nth == 0 { down(nth) } else { sound(nth) })
        .collect();
    let searcher = id(0);
    let mut go_on = BTreeMap::new();
    for (nth, me) in names.iter().enumerate() {
        let zone = |nth: usize| if nth.is_multiple_of(2) { "a" } else { "b" };
        let others = names.iter().enumerate().filter(|(other, _)| *other != nth);
        let others = others.map(|(other, by)| {
            (
                &searcher,
                Said {
                    by,
                    zone: zone(other),
                    verdict: &said,
                },
            )
        });
        let told = tells(
            NOW,
            &seen,
            &accused(NOW, me, zone(nth), others, &mut OnceAccused::default()),
        );
        *go_on.entry(zone(nth)).or_insert(0) += told.len();
    }
    assert_eq!(go_on, BTreeMap::from([("a", 3), ("b", 3)]));
}

/// One that reaches a searcher which others accuse says so, if it heard of it since.
#[rstest]
#[case::since(100, true)]
#[case::before(900, false)]
fn who_is_answered_speaks_for_the_accused(#[case] heard_ms: u64, #[case] speaks: bool) {
    let (by, me) = (MixerName::new("a"), MixerName::new("b"));
    let (said, searcher) = (verdict(Fault::Down, ago(500), ago(50)), id(0));
    let said = [(
        &searcher,
        Said {
            by: &by,
            zone: "z",
            verdict: &said,
        },
    )];
    let accused = accused(NOW, &me, "z", said.into_iter(), &mut OnceAccused::default());
    let told = tells(
        NOW,
        &[
            SearcherObservation {
                heard: ago(heard_ms),
                ..sound(0)
            },
            sound(1),
        ],
        &accused,
    );
    assert_eq!(
        told.iter().any(|(_, verdict)| verdict.fault == Fault::Fine),
        speaks
    );
}

/// Who finds one answering that was accused a while ago says so, when nobody accuses it any more.
#[rstest]
#[case::heard_since(20_000, 1)]
#[case::long_forgotten(70_000, 0)]
fn one_that_is_found_again_is_told_of(#[case] after_ms: u64, #[case] told: usize) {
    let (by, me, mut once) = (
        MixerName::new("a"),
        MixerName::new("b"),
        OnceAccused::default(),
    );
    let (said, searcher) = (verdict(Fault::Down, ago(500), ago(50)), id(0));
    let said = [(
        &searcher,
        Said {
            by: &by,
            zone: "z",
            verdict: &said,
        },
    )];
    accused(NOW, &me, "z", said.into_iter(), &mut once);
    let now = NOW + Span::from_millis(after_ms);
    let accused = accused(now, &me, "z", std::iter::empty(), &mut once);
    let seen: Vec<SearcherObservation> = (0..2)
        .map(|nth| SearcherObservation {
            heard: now,
            ..sound(nth)
        })
        .collect();
    let says = tells(now, &seen, &accused);
    assert_eq!(
        says.iter()
            .filter(|(id, verdict)| *id == searcher && verdict.fault == Fault::Fine)
            .count(),
        told
    );
}

/// A new life of a searcher wipes what was said of the old one: it is of another.
#[rstest]
fn judgements_are_of_one_life() {
    let names = [MixerName::new("a"), MixerName::new("b")];
    let old = verdict(Fault::Down, ago(300), ago(100));
    let new = Verdict {
        life: Some(ago(50)),
        ..old.clone()
    };
    let searcher = id(0);
    let said = |verdicts: [&Verdict; 2]| {
        let all = names.iter().zip(verdicts);
        let all: Vec<_> = all
            .map(|(by, verdict)| {
                (
                    &searcher,
                    Said {
                        by,
                        zone: "z",
                        verdict,
                    },
                )
            })
            .collect();
        stands(NOW, all.into_iter(), 1)
    };
    assert_eq!(said([&old, &new]).len(), 0, "one witness of each");
    assert_eq!(said([&old, &old])[0].judged.life, LIFE);
}

fn delta(from: u32, upto: u32, verdicts: Vec<proto::Verdict>) -> proto::Delta {
    proto::Delta {
        name: "m".into(),
        generation: 1,
        from,
        upto,
        verdicts,
    }
}

fn told(version: u32, searcher: &str) -> proto::Verdict {
    let fault = proto::Fault::Down.into();
    proto::Verdict {
        version,
        searcher: searcher.into(),
        life: 0,
        fault,
        weight: 0.1,
        since_ms: 20,
        age_ms: 10,
    }
}

#[rstest]
#[case::not_a_number(proto::Verdict { weight: f32::NAN, ..told(1, "s") })]
#[case::negative(proto::Verdict { weight: -1.0, ..told(1, "s") })]
#[case::huge(proto::Verdict { weight: f32::INFINITY, ..told(1, "s") })]
#[case::of_nobody(told(1, ""))]
#[case::of_a_long_name(told(1, &"s".repeat(65)))]
#[case::of_no_kind(proto::Verdict { fault: 99, ..told(1, "s") })]
#[case::seen_before_it_began(proto::Verdict { since_ms: 5, ..told(1, "s") })]
#[case::of_another_version(told(9, "s"))]
fn nonsense_is_not_held(#[case] verdict: proto::Verdict) {
    let mut records = Records::new(1);
    assert_eq!(
        records.merge(NOW, delta(0, 2, vec![told(2, "t"), verdict])),
        Merged::Absurd
    );
    assert!(
        records
            .others()
            .all(|(_, record)| record.entries.is_empty())
    );
}

/// A thousand searchers named by one mixer: as many are held as a sound one may name, the others counted.
#[rstest]
fn a_record_is_bounded() {
    let mut records = Records::new(1);
    for page in 0..40_u32 {
        let verdicts = (1..=25)
            .map(|nth| told(page * 25 + nth, &format!("s{page}-{nth}")))
            .collect();
        records.merge(NOW, delta(page * 25, page * 25 + 25, verdicts));
    }
    let (_, record) = records.others().next().expect("held");
    assert!(record.entries.len() <= 2 * MOST_NAMED);
    assert!(records.crowded > 900);
    let many = (0..1_000)
        .map(|nth| (id(nth), verdict(Fault::Down, ago(10), NOW)))
        .collect();
    records.publish(NOW, many);
    assert_eq!(records.own().fresh(NOW).count(), MOST_NAMED);
}

/// Old records played again, with a fresh age: what was held and withdrawn since does not come back.
#[rstest]
fn what_is_replayed_changes_nothing() {
    let (mut owner, mut other, name) = (Records::new(1), Records::new(1), MixerName::new("m"));
    owner.publish(NOW, vec![(id(0), verdict(Fault::Down, NOW, NOW))]);
    let old = owner.own().delta(&name, 0, NOW);
    assert_eq!(other.merge(NOW, old.clone()), Merged::News(0));
    let later = NOW + Span::from_millis(500);
    owner.publish(later, Vec::new());
    other.merge(later, owner.own().delta(&name, 1, later));
    let much_later = NOW + Span::from_millis(20_000);
    owner.publish(
        much_later,
        vec![(id(1), verdict(Fault::Down, much_later, much_later))],
    );
    other.merge(much_later, owner.own().delta(&name, 2, much_later));
    assert_eq!(other.merge(much_later, old.clone()), Merged::Old);
    assert_eq!(other.get(&name).expect("held").fresh(much_later).count(), 1);
    let reborn = proto::Delta {
        generation: 2,
        ..delta(0, 0, Vec::new())
    };
    other.merge(much_later, reborn);
    other.merge(much_later, old);
    assert_eq!(
        other.get(&name).expect("held").entries.len(),
        0,
        "a new life wipes what the old one said"
    );
}

/// One that lies about what it knew is outvoted by two others.
#[rstest]
fn a_warm_start_takes_the_middle() {
    let known = |latency| {
        vec![WarmStartEntry {
            id: id(0),
            life: LIFE,
            latency,
            good: 1.0,
            at: ago(100),
        }]
    };
    let names = [1, 2, 3].map(|number| (number, MixerName::new(&format!("m{number}"))));
    let mut warming = Warming::default();
    assert!(warming.asks());
    warming.asked(NOW, names.into_iter());
    warming.hears(1, known(0.010));
    warming.hears(2, known(59.0));
    warming.hears(3, known(0.012));
    warming.hears(9, known(0.001));
    assert_eq!(warming.gives(NOW), None, "answers may still come");
    let given = warming
        .gives(NOW + Span::from_millis(300))
        .expect("given once");
    assert_eq!(given[0].latency, 0.012);
    assert_eq!(warming.gives(NOW + Span::from_millis(400)), None);
}

fn live(record: &Record) -> BTreeMap<SearcherId, (u32, Fault)> {
    let entries = record
        .entries
        .iter()
        .filter(|(_, entry)| entry.verdict.fault != Fault::Withdrawn);
    entries
        .map(|(id, entry)| (id.clone(), (entry.version, entry.verdict.fault)))
        .collect()
}

proptest! {
    /// Whatever is lost, doubled or put out of order: once what is missing was asked for, all hold what is published.
    #[test]
    fn records_end_alike(
        steps in proptest::collection::vec(proptest::collection::vec((0..8_usize, 0..3_u8), 0..6), 1..20),
        order in proptest::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 0..60),
    ) {
        let name = MixerName::new("m");
        let (mut owner, mut deltas) = (Records::new(1), Vec::new());
        for (nth, step) in steps.iter().enumerate() {
            let now = NOW + Span::from_millis(nth as u64 * 100);
            let faults = [Fault::Down, Fault::Errs, Fault::Slow];
            let told: BTreeMap<SearcherId, Verdict> =
                step.iter().map(|(of, kind)| (id(*of), verdict(faults[usize::from(*kind)], now, now))).collect();
            if let Some(before) = owner.publish(now, told.into_iter().collect()) {
                deltas.push(owner.own().delta(&name, before, now));
            }
        }
        let end = NOW + Span::from_millis(steps.len() as u64 * 100);
        let mut other = Records::new(1);
        for (which, twice) in order.iter().filter(|_| !deltas.is_empty()) {
            for _ in 0..=usize::from(*twice) {
                if let Merged::Gap(have) = other.merge(end, which.get(&deltas).clone()) {
                    prop_assert!(have <= owner.own().upto);
                }
            }
        }
        let have = other.get(&name).map_or(0, |record| record.upto);
        other.merge(end, owner.own().delta(&name, have, end));
        prop_assert_eq!(live(other.get(&name).expect("held")), live(owner.own()));
        prop_assert_eq!(other.get(&name).expect("held").upto, owner.own().upto);
    }
}
