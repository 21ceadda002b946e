//! Tests of the core that look at what it holds.

use std::collections::BTreeMap;

use super::*;
use proptest::prelude::*;
use rstest::rstest;

const NOW: Time = Time::from_micros(1_700_000_000_000_000);

fn core() -> Core {
    let plan = Plan {
        fleet: "f".into(),
        name: MixerName::new("own"),
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 1),
        zone: "a".into(),
        seeds: Vec::new(),
        probe_every: Span::from_millis(200),
        suspect_for: Span::from_millis(800),
        remember: Span::from_millis(60_000),
        shares: None,
    };
    let mut core = Core::new(NOW, 1, plan, 1, 1);
    core.due(NOW);
    core
}

fn report(name: u8, generation: u64, incarnation: u32, state: State) -> Record {
    Record {
        name: MixerName::new(&format!("m{name}")),
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 100 + u16::from(name)),
        zone: "a".into(),
        generation,
        born: generation,
        incarnation,
        state,
        by: Some(MixerName::new("witness")),
        age: Span::ZERO,
    }
}

fn held(core: &Core) -> BTreeMap<MixerName, (u64, u32, State)> {
    core.view()
        .map(|held| (held.record.name.clone(), held.record.key()))
        .collect()
}

#[rstest]
fn news_of_the_dead_that_comes_after_the_rebirth_buries_nobody() {
    let mut core = core();
    core.take(NOW, report(1, 5, 0, State::Alive));
    core.take(NOW, report(1, 9, 0, State::Alive));
    core.take(NOW, report(1, 5, 7, State::Dead));
    assert_eq!(core.living(), 2);
}

/// One that refutes for ever is held as it last said, and told on no more than a few times in a while.
#[rstest]
fn one_that_refutes_for_ever_does_not_fill_the_news() {
    let (mut core, mut told) = (core(), Vec::new());
    core.take(NOW, report(1, 5, 0, State::Alive));
    core.news.keep(|_| false);
    for nth in 1..=100 {
        let now = NOW + Span::from_millis(150 * u64::from(nth));
        core.take(now, report(1, 5, nth, State::Alive));
        core.news.tell(2, |_| {
            told.push(nth);
            true
        });
        core.news.keep(|_| false);
        assert_eq!(held(&core)[&MixerName::new("m1")], (5, nth, State::Alive));
    }
    assert_eq!(
        told,
        [1, 2, 3, 67, 68, 69],
        "three at once, and three when ten seconds have gone"
    );
}

/// What would have refuted it may wait in the socket: a suspicion that ran out meanwhile is no death yet.
#[rstest]
fn a_suspicion_that_ran_out_while_this_mixer_stood_still_begins_anew() {
    let mut core = core();
    core.take(NOW, report(1, 5, 0, State::Alive));
    core.take(NOW, report(1, 5, 0, State::Suspect));
    let woken = NOW + Span::from_millis(5_000);
    core.due(woken);
    assert_eq!((core.living(), core.counts().stood_still), (2, 1));
    core.take(woken, report(1, 5, 1, State::Alive));
    assert_eq!(held(&core)[&MixerName::new("m1")], (5, 1, State::Alive));
}

proptest! {
    /// The greatest report counts, in whatever order and however often they come; sums follow what is held.
    #[test]
    fn reports_may_come_in_any_order(
        reports in proptest::collection::vec((0..4_u8, 1..4_u64, 0..4_u32, 0..4_usize), 0..30),
        order in any::<u64>(),
    ) {
        let states = [State::Alive, State::Suspect, State::Dead, State::Left];
        let all: Vec<Record> =
            reports.iter().map(|(name, life, count, state)| report(*name, *life, *count, states[*state])).collect();
        let (mut one, mut other) = (core(), core());
        all.iter().for_each(|record| { one.take(NOW, record.clone()); });
        let mut rng = ChaCha8Rng::seed_from_u64(order);
        let mut mixed: Vec<Record> = all.iter().chain(&all).cloned().collect();
        for last in (1..mixed.len()).rev() {
            mixed.swap(last, rng.random_range(0..=last));
        }
        mixed.into_iter().for_each(|record| { other.take(NOW, record); });
        prop_assert_eq!(held(&one), held(&other));
        prop_assert_eq!((one.digest(), one.living()), (other.digest(), other.living()));
        let greatest = all.iter().map(|record| record.name.clone())
            .map(|name| (name.clone(), all.iter().filter(|r| r.name == name).map(Record::key).max()))
            .collect::<BTreeMap<_, _>>();
        for (name, key) in greatest {
            prop_assert_eq!(held(&one).get(&name).copied(), key);
        }
    }
}
