//! The fleet's view in virtual time: what breaks it, and that it settles again. No sockets, no real time.

use lockusher_aggregator_testbed::mixers::virtual_time::World;
use lockusher_membership::core::MembershipStatus;
use lockusher_membership::core::table::State;
use lockusher_policy::interface::Span;
use proptest::prelude::*;
use rstest::rstest;

const SECOND: Span = Span::from_millis(1_000);
const FIVE: Span = Span::from_millis(5_000);

/// A fleet that has settled and is sound.
fn settled(mixers: usize, seed: u64) -> World {
    let mut world = World::new(mixers, seed);
    (0..mixers).for_each(|mixer| world.start(mixer));
    assert!(
        world.converge(FIVE).is_some(),
        "all started at once find each other"
    );
    world.mark_all_healthy();
    world.run_for(SECOND);
    world
}

#[rstest]
fn the_same_seed_makes_the_same_bytes() {
    let play = || {
        let mut world = settled(12, 4);
        world.network.loss = 0.2;
        world.kill(3);
        world.run_for(FIVE);
        (world.datagram_hash, world.total_counts())
    };
    assert_eq!(play(), play());
}

/// Guarded by the probes and suspicions: without one of them the dead live on.
#[rstest]
#[case::few(3, 1)]
#[case::some(24, 2)]
#[case::many(120, 3)]
fn a_crash_is_known_to_all_within_three_seconds(#[case] mixers: usize, #[case] seed: u64) {
    let mut world = settled(mixers, seed);
    world.kill(mixers - 1);
    world.run_for(Span::from_millis(4_000));
    assert!(world.has_converged());
    assert!(world.take_crash_delays().iter().max() <= Some(&Span::from_millis(3_000)));
    // Those who count shares go on counting the dead.
    assert_eq!(world.core(0).counted(), mixers);
}

#[rstest]
fn seven_in_ten_killed_and_started_again_within_a_second() {
    let mut world = settled(40, 5);
    let part: Vec<usize> = (0..40).filter(|mixer| mixer % 10 < 7).collect();
    part.iter().for_each(|mixer| world.kill(*mixer));
    world.run_for(Span::from_millis(700));
    part.iter().for_each(|mixer| world.start(*mixer));
    assert!(world.converge(FIVE).is_some());
}

#[rstest]
fn one_joins_through_the_only_seed_that_lives() {
    let mut world = World::new(6, 6);
    (1..5).for_each(|mixer| world.start(mixer));
    assert!(world.converge(FIVE).is_some());
    world.start(5); // Seeds 0 to 2, of which 0 never was.
    assert!(world.converge(FIVE).is_some());
}

/// Guarded by calls on the dead (within their memory) and on the seeds (after it).
#[rstest]
#[case::within_the_memory_of_the_dead(20)]
#[case::longer_than_the_memory(70)]
fn two_halves_find_each_other_after_a_cut(#[case] seconds: u64) {
    let mut world = settled(20, 7);
    world.network.partition = (0..20).map(|mixer| u8::from(mixer >= 10)).collect();
    world.run_for(Span::from_millis(seconds * 1_000));
    assert_eq!(
        (world.core(0).live_count(), world.core(19).live_count()),
        (10, 10)
    );
    assert_eq!(
        world.core(19).counted(),
        20,
        "a half that may be cut off counts the other's shares as in use"
    );
    world.network.partition = vec![0; 20];
    assert!(world.converge(FIVE).is_some());
}

/// With no seed on the other side but the dead remembered, or the dead forgotten but seeds known, one way is left.
#[rstest]
fn the_dead_are_called_on_though_no_seed_is_there() {
    let mut world = World::new(12, 8);
    world.set_seeds(vec![0]);
    world.start(0);
    (1..12).for_each(|mixer| world.start(mixer));
    assert!(world.converge(FIVE).is_some());
    // The seed itself is gone for good: what is left is what they remember.
    world.kill(0);
    assert!(world.converge(FIVE).is_some());
    world.network.partition = (0..12).map(|mixer| u8::from(mixer >= 6)).collect();
    world.run_for(Span::from_millis(15_000));
    assert_eq!(world.core(1).live_count(), 5);
    world.network.partition = vec![0; 12];
    assert!(world.converge(FIVE).is_some());
}

#[rstest]
fn one_cut_off_alone_comes_back() {
    let mut world = settled(12, 9);
    world.network.partition[4] = 1;
    world.run_for(Span::from_millis(10_000));
    assert_eq!(
        (world.core(4).live_count(), world.core(0).live_count()),
        (1, 11)
    );
    assert_eq!(world.core(4).counted(), 12);
    world.network.partition[4] = 0;
    assert!(world.converge(FIVE).is_some());
}

/// Guarded by the indirect probes.
#[rstest]
fn a_one_way_cut_makes_nobody_dead() {
    let mut world = settled(10, 10);
    world.network.blocked.insert((2, 7));
    world.network.blocked.insert((5, 1));
    world.run_for(Span::from_millis(20_000));
    assert!(
        world.false_deaths.is_empty() && world.has_converged(),
        "{:?}",
        world.false_deaths
    );
    let suspected: Vec<u64> = (0..10)
        .map(|mixer| world.core(mixer).counts().suspected)
        .collect();
    assert_eq!(
        suspected, [0; 10],
        "others reach it, so it is not even suspected"
    );
}

#[rstest]
fn a_ring_heals() {
    let mut world = settled(8, 11);
    world.records_false_deaths = false;
    world.network.ring = true;
    world.run_for(Span::from_millis(15_000));
    world.network.ring = false;
    assert!(world.converge(FIVE).is_some());
}

#[rstest]
fn a_zone_that_loses_half_of_its_datagrams() {
    let mut world = settled(30, 12);
    world.network.receive_loss = (20..30).map(|mixer| (mixer, 0.5)).collect();
    world.run_for(Span::from_millis(15_000));
    let among_sound = |death: &&lockusher_aggregator_testbed::mixers::virtual_time::FalseDeath| {
        death.subject < 20 && death.observer < 20
    };
    assert_eq!(world.false_deaths.iter().filter(among_sound).count(), 0);
    world.network.receive_loss.clear();
    assert!(world.converge(FIVE).is_some());
}

/// Guarded by the notice of an own standstill: what such a mixer waited for tells nothing of others.
#[rstest]
#[case::for_half_a_second(500)]
#[case::for_two_seconds(2_000)]
#[case::for_ten(10_000)]
fn one_that_stood_still_blames_nobody_and_is_the_same_life(#[case] ms: u64) {
    let mut world = settled(16, 13);
    let life = |world: &World| {
        let own = world
            .core(6)
            .members()
            .find(|held| held.record.name.as_str() == "mixer-6");
        own.map(|held| held.record.generation)
    };
    let before = life(&world);
    world.pause(6, Span::from_millis(ms));
    world.run_for(Span::from_millis(ms));
    let suspected = world.core(6).counts().suspected;
    assert!(world.converge(FIVE).is_some());
    world.run_for(SECOND);
    assert_eq!(
        world.core(6).counts().suspected,
        suspected,
        "it blames nobody"
    );
    assert_eq!(life(&world), before);
    assert!(world.false_deaths.is_empty());
}

#[rstest]
fn one_whose_every_second_turn_is_late() {
    let mut world = settled(12, 14);
    for _ in 0..40 {
        world.pause(3, Span::from_millis(220));
        world.run_for(Span::from_millis(440));
    }
    assert!(world.converge(FIVE).is_some());
    assert!(world.false_deaths.is_empty(), "{:?}", world.false_deaths);
}

#[rstest]
#[case::at_one_in_a_hundred(0.01)]
#[case::at_one_in_ten(0.1)]
fn sound_mixers_are_not_believed_dead(#[case] loss: f64) {
    let mut world = settled(60, 15);
    world.network.loss = loss;
    world.network.duplication = 0.05;
    world.network.max_delay = Span::from_millis(30);
    world.run_for(Span::from_millis(60_000));
    assert!(world.false_deaths.is_empty(), "{:?}", world.false_deaths);
    assert!(world.has_converged());
}

#[rstest]
fn a_restart_on_another_port_and_one_with_its_clock_set_back() {
    let mut world = settled(8, 16);
    world.kill(2);
    world.set_address(2, 900);
    world.start(2);
    assert!(
        world.converge(FIVE).is_some(),
        "under its name at the new address, once the old life is believed dead"
    );
    world.kill(3);
    world.set_clock_lag(3, Span::from_millis(3_600_000));
    world.start(3);
    assert!(
        world.converge(FIVE).is_some(),
        "the new life comes after the old one though its clock is behind"
    );
    world.run_for(SECOND);
    assert!(world.has_converged());
}

/// The later of two of one name waits outside, and comes in when the first has gone.
#[rstest]
fn the_same_name_twice_at_once() {
    let mut world = World::new(7, 17);
    (0..6).for_each(|mixer| world.start(mixer));
    assert!(world.converge(FIVE).is_some());
    world.rename(6, 4);
    world.start(6);
    world.run_for(Span::from_millis(10_000));
    assert!(
        matches!(world.core(6).status(), MembershipStatus::NameTaken(_)),
        "{:?}",
        world.core(6).status()
    );
    assert_eq!(world.core(4).status(), MembershipStatus::Member);
    assert!((0..6).all(
        |mixer| world.core(mixer).live_count() == 6 && world.core(mixer).counts().refuted == 0
    ));
    world.kill(4);
    assert!(
        world.converge(Span::from_millis(8_000)).is_some(),
        "its turn has come"
    );
}

/// Two of one name that each joined its half: the one that was there first keeps it.
#[rstest]
fn the_same_name_in_both_halves() {
    let mut world = World::new(9, 18);
    world.rename(8, 1);
    (0..8).for_each(|mixer| world.start(mixer));
    assert!(world.converge(FIVE).is_some());
    world.network.partition = vec![0, 0, 0, 0, 1, 1, 1, 1, 1];
    world.set_seeds(vec![5]);
    world.run_for(Span::from_millis(6_000));
    world.start(8);
    world.run_for(Span::from_millis(4_000));
    assert_eq!(world.core(8).status(), MembershipStatus::Member);
    world.network.partition = vec![0; 9];
    world.run_for(Span::from_millis(6_000));
    assert!(matches!(
        world.core(8).status(),
        MembershipStatus::NameTaken(_)
    ));
    assert_eq!(
        (world.core(1).status(), world.core(0).live_count()),
        (MembershipStatus::Member, 8)
    );
}

#[rstest]
fn one_that_leaves_is_told_apart_from_one_that_is_dead() {
    let mut world = settled(9, 19);
    world.leave(1);
    world.kill(2);
    world.run_for(FIVE);
    assert_eq!(
        (world.member_state(0, 1), world.member_state(0, 2)),
        (Some(State::Left), Some(State::Dead))
    );
    assert_eq!(
        world.core(0).counted(),
        8,
        "one that left uses its share no longer, the dead one may"
    );
    world.run_for(Span::from_millis(61_000));
    assert_eq!(
        (world.member_state(0, 1), world.member_state(0, 2)),
        (None, None),
        "both are forgotten in time"
    );
}

/// Guarded by the exchange of views: news alone leaves out those it missed.
#[rstest]
fn what_news_missed_is_healed_by_pages() {
    let mut world = settled(40, 20);
    world.network.partition[7] = 1;
    world.run_for(Span::from_millis(300)); // Too short for anybody to miss it, long enough for news to.
    world.leave(3);
    world.run_for(Span::from_millis(900));
    world.network.partition[7] = 0;
    assert!(world.converge(FIVE).is_some());
}

#[rstest]
#[case::three_hundred(300, 0.3)]
fn many_members_settle_though_three_in_ten_datagrams_are_lost(
    #[case] members: usize,
    #[case] loss: f64,
) {
    let mut world = World::new(members, 21);
    world.network.loss = loss;
    (0..members).for_each(|mixer| world.start(mixer));
    assert!(world.converge(Span::from_millis(10_000)).is_some());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens to whom, in whatever order: once it is over, all that live agree.
    #[test]
    fn views_settle_after_any_faults(seed in any::<u64>(), mixers in 3..14_usize,
        faults in proptest::collection::vec((0..6_u8, 0..14_usize, 100..4_000_u64), 1..10)) {
        let mut world = settled(mixers, seed);
        world.records_false_deaths = false;
        for (kind, whom, ms) in faults {
            let (whom, span) = (whom % mixers, Span::from_millis(ms));
            let up = world.running().any(|mixer| mixer == whom);
            match kind {
                0 if up => world.kill(whom),
                1 if up => world.leave(whom),
                2 if up => world.pause(whom, span),
                3 => world.network.partition[whom] ^= 1,
                4 => world.network.loss = ms as f64 / 10_000.0,
                _ if !up => world.start(whom),
                _ => {}
            }
            world.run_for(span);
        }
        world.network.partition = vec![0; mixers];
        world.network.loss = 0.0;
        (0..mixers).for_each(|mixer| if !world.running().any(|up| up == mixer) { world.start(mixer) });
        world.run_for(Span::from_millis(4_000)); // Those that stand still come back.
        prop_assert!(world.converge(FIVE).is_some());
    }
}

/// One that sends and hears nothing, or little, finds all others dead and says so: nobody believes it, since those it
/// suspected first have refuted that by then.
#[rstest]
#[case::nothing(1.0, 0.0)]
#[case::little_while_others_lose_some(0.8, 0.1)]
fn one_that_hears_too_little_buries_nobody(#[case] deaf: f64, #[case] loss: f64) {
    let mut world = settled(40, 22);
    world.network.receive_loss.insert(7, deaf);
    world.network.loss = loss;
    world.run_for(Span::from_millis(20_000));
    let of_others = |death: &&lockusher_aggregator_testbed::mixers::virtual_time::FalseDeath| {
        death.observer != 7 && death.subject != 7
    };
    assert_eq!(world.false_deaths.iter().filter(of_others).count(), 0);
}
