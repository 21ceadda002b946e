//! Shared state: records merge in any order, verdicts need several witnesses, and invalid input changes nothing.

use std::collections::BTreeMap;

use lockusher_membership::core::table::MixerName;
use lockusher_membership::proto;
use lockusher_membership::shared::consensus::{
    FormerlyAccused, Vote, accusations, agreed_verdicts, local_verdicts,
};
use lockusher_membership::shared::records::{
    Fault, MAX_PUBLISHED, Merged, Verdict, VerdictRecord, VerdictRecords,
};
use lockusher_membership::shared::warm_start::WarmStart;
use lockusher_policy::interface::{SearcherId, SearcherObservation, Span, Time, WarmStartEntry};
use proptest::prelude::*;
use rstest::rstest;

const NOW: Time = Time::from_micros(1_700_000_000_000_000);
const SEARCHER_START: Option<Time> = Some(Time::from_micros(1_600_000_000_000_000));

fn ago(ms: u64) -> Time {
    NOW - Span::from_millis(ms)
}

fn id(number: usize) -> SearcherId {
    SearcherId::new(&format!("s{number}"))
}

fn verdict(fault: Fault, since: Time, at: Time) -> Verdict {
    Verdict {
        searcher_start: SEARCHER_START,
        fault,
        weight: 0.1,
        since,
        at,
    }
}

fn healthy(number: usize) -> SearcherObservation {
    SearcherObservation {
        id: id(number),
        started_at: SEARCHER_START,
        latency: Some(0.01),
        success_ratio: 1.0,
        last_outcome_at: ago(100),
        silent_since: None,
        down_since: None,
        cold_since: None,
    }
}

fn down(number: usize) -> SearcherObservation {
    SearcherObservation {
        success_ratio: 0.1,
        down_since: Some(ago(300)),
        ..healthy(number)
    }
}

/// The number of agreed verdicts if each mixer gives one verdict on searcher 0 from its zone.
fn agreed_count(votes: &[(&str, Fault, u64)], zones: usize) -> usize {
    let names: Vec<MixerName> = (0..votes.len())
        .map(|nth| MixerName::new(&format!("m{nth}")))
        .collect();
    let verdicts: Vec<Verdict> = votes
        .iter()
        .map(|(_, fault, ms)| verdict(*fault, ago(*ms), ago(*ms)))
        .collect();
    let searcher = id(0);
    let all = votes.iter().zip(&names).zip(&verdicts);
    let all = all.map(|(((zone, ..), by), verdict)| (&searcher, Vote { by, zone, verdict }));
    agreed_verdicts(NOW, all, zones).len()
}

#[rstest]
#[case::one_alone(&[("a", Fault::Down, 200)], 1, 0)]
#[case::two(&[("a", Fault::Down, 200), ("a", Fault::Down, 300)], 1, 1)]
#[case::two_of_one_zone_out_of_two(&[("a", Fault::Down, 200), ("a", Fault::Down, 300)], 2, 0)]
#[case::two_of_two_zones(&[("a", Fault::Down, 200), ("b", Fault::Down, 300)], 3, 1)]
#[case::too_old(&[("a", Fault::Down, 8_500), ("b", Fault::Down, 8_600)], 2, 0)]
#[case::contradicted(
    &[("a", Fault::Down, 500), ("b", Fault::Down, 400), ("a", Fault::Fine, 100), ("b", Fault::Fine, 100)], 2, 0)]
#[case::died_just_after_it_answered_others(
    &[("a", Fault::Down, 500), ("b", Fault::Down, 500), ("a", Fault::Fine, 470), ("b", Fault::Fine, 460)], 2, 1)]
#[case::recovered(&[("a", Fault::Fine, 200), ("b", Fault::Fine, 300)], 2, 1)]
#[case::recovered_for_one(&[("a", Fault::Fine, 200)], 1, 0)]
#[case::fine_before_it_died(
    &[("a", Fault::Down, 200), ("b", Fault::Down, 300), ("a", Fault::Fine, 600), ("b", Fault::Fine, 700)], 2, 1)]
fn a_verdict_needs_several_witnesses(
    #[case] votes: &[(&str, Fault, u64)],
    #[case] zones: usize,
    #[case] agreed: usize,
) {
    assert_eq!(agreed_count(votes, zones), agreed);
}

/// A mixer that finds most of the searchers it tried faulty publishes nothing: the fault is on its own path.
#[rstest]
#[case::one_of_eight(1, 1)]
#[case::three_of_eight(3, 3)]
#[case::five_of_eight(5, 0)]
fn a_mixer_that_finds_most_searchers_faulty_publishes_nothing(
    #[case] bad: usize,
    #[case] published: usize,
) {
    let seen: Vec<SearcherObservation> = (0..8)
        .map(|nth| if nth < bad { down(nth) } else { healthy(nth) })
        .collect();
    assert_eq!(
        local_verdicts(NOW, &seen, &BTreeMap::new()).len(),
        published
    );
}

/// Mixers that hear enough witnesses of their zone withdraw their verdicts, but not all at once: the first few of each
/// zone keep publishing.
#[rstest]
fn the_first_witnesses_of_each_zone_keep_publishing() {
    let names: Vec<MixerName> = (0..30)
        .map(|nth| MixerName::new(&format!("m{nth}")))
        .collect();
    let accusing = verdict(Fault::Down, ago(300), ago(100));
    let seen: Vec<SearcherObservation> = (0..8)
        .map(|nth| if nth == 0 { down(nth) } else { healthy(nth) })
        .collect();
    let searcher = id(0);
    let mut published_per_zone = BTreeMap::new();
    for (nth, me) in names.iter().enumerate() {
        let zone = |nth: usize| if nth.is_multiple_of(2) { "a" } else { "b" };
        let others = names.iter().enumerate().filter(|(other, _)| *other != nth);
        let others = others.map(|(other, by)| {
            (
                &searcher,
                Vote {
                    by,
                    zone: zone(other),
                    verdict: &accusing,
                },
            )
        });
        let published = local_verdicts(
            NOW,
            &seen,
            &accusations(NOW, me, zone(nth), others, &mut FormerlyAccused::default()),
        );
        *published_per_zone.entry(zone(nth)).or_insert(0) += published.len();
    }
    assert_eq!(published_per_zone, BTreeMap::from([("a", 3), ("b", 3)]));
}

/// A mixer that was answered by a searcher after others accused it publishes that it is fine.
#[rstest]
#[case::since(100, true)]
#[case::before(900, false)]
fn a_mixer_with_a_newer_answer_defends_an_accused_searcher(
    #[case] heard_ms: u64,
    #[case] defends: bool,
) {
    let (by, me) = (MixerName::new("a"), MixerName::new("b"));
    let (accusing, searcher) = (verdict(Fault::Down, ago(500), ago(50)), id(0));
    let votes = [(
        &searcher,
        Vote {
            by: &by,
            zone: "z",
            verdict: &accusing,
        },
    )];
    let accusations = accusations(
        NOW,
        &me,
        "z",
        votes.into_iter(),
        &mut FormerlyAccused::default(),
    );
    let published = local_verdicts(
        NOW,
        &[
            SearcherObservation {
                last_outcome_at: ago(heard_ms),
                ..healthy(0)
            },
            healthy(1),
        ],
        &accusations,
    );
    assert_eq!(
        published
            .iter()
            .any(|(_, verdict)| verdict.fault == Fault::Fine),
        defends
    );
}

/// A mixer that finds a searcher answering after it was accused publishes this, even when nobody accuses it any more.
#[rstest]
#[case::heard_since(20_000, 1)]
#[case::after_the_retention_time(70_000, 0)]
fn a_recovered_searcher_is_published_as_fine(#[case] after_ms: u64, #[case] published: usize) {
    let (by, me, mut formerly_accused) = (
        MixerName::new("a"),
        MixerName::new("b"),
        FormerlyAccused::default(),
    );
    let (accusing, searcher) = (verdict(Fault::Down, ago(500), ago(50)), id(0));
    let votes = [(
        &searcher,
        Vote {
            by: &by,
            zone: "z",
            verdict: &accusing,
        },
    )];
    accusations(NOW, &me, "z", votes.into_iter(), &mut formerly_accused);
    let now = NOW + Span::from_millis(after_ms);
    let accusations = accusations(now, &me, "z", std::iter::empty(), &mut formerly_accused);
    let seen: Vec<SearcherObservation> = (0..2)
        .map(|nth| SearcherObservation {
            last_outcome_at: now,
            ..healthy(nth)
        })
        .collect();
    let verdicts = local_verdicts(now, &seen, &accusations);
    assert_eq!(
        verdicts
            .iter()
            .filter(|(id, verdict)| *id == searcher && verdict.fault == Fault::Fine)
            .count(),
        published
    );
}

/// Verdicts on an earlier process of a searcher do not apply to its new one.
#[rstest]
fn verdicts_apply_to_one_process_of_a_searcher() {
    let names = [MixerName::new("a"), MixerName::new("b")];
    let old = verdict(Fault::Down, ago(300), ago(100));
    let new = Verdict {
        searcher_start: Some(ago(50)),
        ..old.clone()
    };
    let searcher = id(0);
    let agreed = |verdicts: [&Verdict; 2]| {
        let all = names.iter().zip(verdicts);
        let all: Vec<_> = all
            .map(|(by, verdict)| {
                (
                    &searcher,
                    Vote {
                        by,
                        zone: "z",
                        verdict,
                    },
                )
            })
            .collect();
        agreed_verdicts(NOW, all.into_iter(), 1)
    };
    assert_eq!(
        agreed([&old, &new]).len(),
        0,
        "one witness for each process"
    );
    assert_eq!(agreed([&old, &old])[0].health.started_at, SEARCHER_START);
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

fn encoded_verdict(version: u32, searcher: &str) -> proto::Verdict {
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
#[case::not_a_number(proto::Verdict { weight: f32::NAN, ..encoded_verdict(1, "s") })]
#[case::negative(proto::Verdict { weight: -1.0, ..encoded_verdict(1, "s") })]
#[case::huge(proto::Verdict { weight: f32::INFINITY, ..encoded_verdict(1, "s") })]
#[case::without_a_searcher(encoded_verdict(1, ""))]
#[case::long_name(encoded_verdict(1, &"s".repeat(65)))]
#[case::unknown_fault(proto::Verdict { fault: 99, ..encoded_verdict(1, "s") })]
#[case::age_above_duration(proto::Verdict { since_ms: 5, ..encoded_verdict(1, "s") })]
#[case::version_beyond_the_delta(encoded_verdict(9, "s"))]
fn invalid_verdicts_are_rejected(#[case] verdict: proto::Verdict) {
    let mut records = VerdictRecords::new(1);
    assert_eq!(
        records.merge(NOW, delta(0, 2, vec![encoded_verdict(2, "t"), verdict])),
        Merged::Invalid
    );
    assert!(
        records
            .others()
            .all(|(_, record)| record.entries.is_empty())
    );
}

/// A mixer names a thousand searchers: no more are stored than a correct mixer may name, and the others are counted.
#[rstest]
fn a_record_is_bounded() {
    let mut records = VerdictRecords::new(1);
    for page in 0..40_u32 {
        let verdicts = (1..=25)
            .map(|nth| encoded_verdict(page * 25 + nth, &format!("s{page}-{nth}")))
            .collect();
        records.merge(NOW, delta(page * 25, page * 25 + 25, verdicts));
    }
    let (_, record) = records.others().next().expect("the record is stored");
    assert!(record.entries.len() <= 2 * MAX_PUBLISHED);
    assert!(records.crowded > 900);
    let many = (0..1_000)
        .map(|nth| (id(nth), verdict(Fault::Down, ago(10), NOW)))
        .collect();
    records.publish(NOW, many);
    assert_eq!(records.own().fresh(NOW).count(), MAX_PUBLISHED);
}

/// Replayed old deltas with a fresh age do not restore withdrawn entries.
#[rstest]
fn replayed_deltas_change_nothing() {
    let (mut owner, mut other, name) = (
        VerdictRecords::new(1),
        VerdictRecords::new(1),
        MixerName::new("m"),
    );
    owner.publish(NOW, vec![(id(0), verdict(Fault::Down, NOW, NOW))]);
    let old = owner.own().delta(&name, 0, NOW);
    assert_eq!(other.merge(NOW, old.clone()), Merged::Updated(0));
    let later = NOW + Span::from_millis(500);
    owner.publish(later, Vec::new());
    other.merge(later, owner.own().delta(&name, 1, later));
    let much_later = NOW + Span::from_millis(20_000);
    owner.publish(
        much_later,
        vec![(id(1), verdict(Fault::Down, much_later, much_later))],
    );
    other.merge(much_later, owner.own().delta(&name, 2, much_later));
    assert_eq!(other.merge(much_later, old.clone()), Merged::Unchanged);
    assert_eq!(
        other
            .get(&name)
            .expect("the record is stored")
            .fresh(much_later)
            .count(),
        1
    );
    let restarted = proto::Delta {
        generation: 2,
        ..delta(0, 0, Vec::new())
    };
    other.merge(much_later, restarted);
    other.merge(much_later, old);
    assert_eq!(
        other
            .get(&name)
            .expect("the record is stored")
            .entries
            .len(),
        0,
        "a new generation replaces the record of the earlier one"
    );
}

/// A false answer is outvoted by two others.
#[rstest]
fn a_warm_start_uses_the_median() {
    let known = |latency| {
        vec![WarmStartEntry {
            id: id(0),
            started_at: SEARCHER_START,
            latency,
            success_ratio: 1.0,
            at: ago(100),
        }]
    };
    let names = [1, 2, 3].map(|number| (number, MixerName::new(&format!("m{number}"))));
    let mut warm_start = WarmStart::default();
    assert!(warm_start.should_ask());
    warm_start.record_requests(NOW, names.into_iter());
    warm_start.handle_answer(1, known(0.010));
    warm_start.handle_answer(2, known(59.0));
    warm_start.handle_answer(3, known(0.012));
    warm_start.handle_answer(9, known(0.001));
    assert_eq!(warm_start.take_result(NOW), None, "answers may still come");
    let result = warm_start
        .take_result(NOW + Span::from_millis(300))
        .expect("the result is returned once");
    assert_eq!(result[0].latency, 0.012);
    assert_eq!(warm_start.take_result(NOW + Span::from_millis(400)), None);
}

fn entries(record: &VerdictRecord) -> BTreeMap<SearcherId, (u32, Fault)> {
    let entries = record
        .entries
        .iter()
        .filter(|(_, entry)| entry.verdict.fault != Fault::Withdrawn);
    entries
        .map(|(id, entry)| (id.clone(), (entry.version, entry.verdict.fault)))
        .collect()
}

proptest! {
    /// Whatever is lost, duplicated or reordered: once the missing changes are requested, the copy equals the published
    /// record.
    #[test]
    fn records_converge(
        steps in proptest::collection::vec(proptest::collection::vec((0..8_usize, 0..3_u8), 0..6), 1..20),
        order in proptest::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 0..60),
    ) {
        let name = MixerName::new("m");
        let (mut owner, mut deltas) = (VerdictRecords::new(1), Vec::new());
        for (nth, step) in steps.iter().enumerate() {
            let now = NOW + Span::from_millis(nth as u64 * 100);
            let faults = [Fault::Down, Fault::Errs, Fault::Slow];
            let published: BTreeMap<SearcherId, Verdict> =
                step.iter().map(|(of, kind)| (id(*of), verdict(faults[usize::from(*kind)], now, now))).collect();
            if let Some(before) = owner.publish(now, published.into_iter().collect()) {
                deltas.push(owner.own().delta(&name, before, now));
            }
        }
        let end = NOW + Span::from_millis(steps.len() as u64 * 100);
        let mut other = VerdictRecords::new(1);
        for (which, twice) in order.iter().filter(|_| !deltas.is_empty()) {
            for _ in 0..=usize::from(*twice) {
                if let Merged::Gap(known_version) = other.merge(end, which.get(&deltas).clone()) {
                    prop_assert!(known_version <= owner.own().upto);
                }
            }
        }
        let known_version = other.get(&name).map_or(0, |record| record.upto);
        other.merge(end, owner.own().delta(&name, known_version, end));
        prop_assert_eq!(entries(other.get(&name).expect("the record is stored")), entries(owner.own()));
        prop_assert_eq!(other.get(&name).expect("the record is stored").upto, owner.own().upto);
    }
}
