//! Tests that inspect the state of the core.

use std::collections::BTreeMap;

use super::*;
use proptest::prelude::*;
use rstest::rstest;

const NOW: Time = Time::from_micros(1_700_000_000_000_000);

fn core() -> Core {
    let config = MembershipConfig {
        fleet: "f".into(),
        name: MixerName::new("own"),
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 1),
        zone: "a".into(),
        seeds: Vec::new(),
        probe_interval: Span::from_millis(200),
        suspicion_timeout: Span::from_millis(800),
        retention: Span::from_millis(60_000),
        sharing: None,
    };
    let mut core = Core::new(NOW, 1, config, 1, 1);
    core.handle_timeout(NOW);
    core
}

fn record(name: u8, generation: u64, incarnation: u32, state: State) -> MemberRecord {
    MemberRecord {
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

fn member_ranks(core: &Core) -> BTreeMap<MixerName, (u64, u32, State)> {
    core.members()
        .map(|entry| (entry.record.name.clone(), entry.record.rank()))
        .collect()
}

#[rstest]
fn a_death_of_an_earlier_generation_does_not_affect_a_restarted_member() {
    let mut core = core();
    core.merge_record(NOW, record(1, 5, 0, State::Alive));
    core.merge_record(NOW, record(1, 9, 0, State::Alive));
    core.merge_record(NOW, record(1, 5, 7, State::Dead));
    assert_eq!(core.live_count(), 2);
}

/// The newest refutation of a member that refutes endlessly is stored, but only a few of them are relayed per window.
#[rstest]
fn endless_refutations_of_one_member_are_relayed_a_few_times_per_window() {
    let (mut core, mut relayed) = (core(), Vec::new());
    core.merge_record(NOW, record(1, 5, 0, State::Alive));
    core.gossip.retain(|_| false);
    for nth in 1..=100 {
        let now = NOW + Span::from_millis(150 * u64::from(nth));
        core.merge_record(now, record(1, 5, nth, State::Alive));
        core.gossip.offer(2, |_| {
            relayed.push(nth);
            true
        });
        core.gossip.retain(|_| false);
        assert_eq!(
            member_ranks(&core)[&MixerName::new("m1")],
            (5, nth, State::Alive)
        );
    }
    assert_eq!(
        relayed,
        [1, 2, 3, 67, 68, 69],
        "three at once, and three more after the window of ten seconds"
    );
}

/// The refutation may still wait in the socket, so a suspicion that expired during a stall must not become a death at
/// once.
#[rstest]
fn a_suspicion_that_expired_during_a_local_stall_is_restarted() {
    let mut core = core();
    core.merge_record(NOW, record(1, 5, 0, State::Alive));
    core.merge_record(NOW, record(1, 5, 0, State::Suspect));
    let resumed = NOW + Span::from_millis(5_000);
    core.handle_timeout(resumed);
    assert_eq!((core.live_count(), core.counts().stood_still), (2, 1));
    core.merge_record(resumed, record(1, 5, 1, State::Alive));
    assert_eq!(
        member_ranks(&core)[&MixerName::new("m1")],
        (5, 1, State::Alive)
    );
}

proptest! {
    /// The record with the greatest rank is stored, in whatever order and however often records arrive, and the digests
    /// depend only on what is stored.
    #[test]
    fn records_may_arrive_in_any_order(
        reports in proptest::collection::vec((0..4_u8, 1..4_u64, 0..4_u32, 0..4_usize), 0..30),
        order in any::<u64>(),
    ) {
        let states = [State::Alive, State::Suspect, State::Dead, State::Left];
        let all: Vec<MemberRecord> =
            reports.iter().map(|(name, generation, incarnation, state)|
                record(*name, *generation, *incarnation, states[*state])).collect();
        let (mut one, mut other) = (core(), core());
        all.iter().for_each(|record| { one.merge_record(NOW, record.clone()); });
        let mut rng = ChaCha8Rng::seed_from_u64(order);
        let mut shuffled: Vec<MemberRecord> = all.iter().chain(&all).cloned().collect();
        for last in (1..shuffled.len()).rev() {
            shuffled.swap(last, rng.random_range(0..=last));
        }
        shuffled.into_iter().for_each(|record| { other.merge_record(NOW, record); });
        prop_assert_eq!(member_ranks(&one), member_ranks(&other));
        prop_assert_eq!((one.digest(), one.live_count()), (other.digest(), other.live_count()));
        let greatest = all.iter().map(|record| record.name.clone())
            .map(|name| (name.clone(), all.iter().filter(|r| r.name == name).map(MemberRecord::rank).max()))
            .collect::<BTreeMap<_, _>>();
        for (name, key) in greatest {
            prop_assert_eq!(member_ranks(&one).get(&name).copied(), key);
        }
    }
}
