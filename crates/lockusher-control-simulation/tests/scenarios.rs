//! Single faults, with the time that the control state takes to get over them.

use lockusher_control::{ConfigurationDocument, Reply, Request};
use lockusher_control_simulation::{Room, SimulationOptions, World};
use yare::parameterized;

/// Milliseconds that the operator waits for an acknowledgement, and that a new node has to become a member.
const ACKNOWLEDGE_MS: u64 = 4000;
const CATCH_UP_MS: u64 = 4000;
/// Within this time after a loss, a write is acknowledged.
const FAILOVER_MS: u64 = 2000;
/// Within this time after the end of a trouble, all is as it was.
const SETTLE_MS: u64 = 2000;

/// All nodes are in the chain, and something has been written.
fn whole_system(replicas: usize, seed: u64) -> World {
    let mut world = World::new(SimulationOptions { replicas, seed, ..SimulationOptions::default() });
    assert!(world.run_until_whole(CATCH_UP_MS).is_some(), "first start:\n{}", world.describe());
    assert!(world.write().is_some(), "first write:\n{}", world.describe());
    world
}

fn assert_writes(world: &mut World, limit: u64) {
    let taken = world.write();
    assert!(taken.is_some_and(|taken| taken <= limit), "write took {taken:?}:\n{}", world.describe());
}

fn assert_whole(world: &mut World, limit: u64) {
    let taken = world.run_until_whole(limit);
    assert!(taken.is_some(), "not whole after {limit} ms:\n{}", world.describe());
    assert_eq!(world.violations(), &[] as &[String]);
}

#[parameterized(
    head_of_3 = { 3, 0 },
    middle_of_3 = { 3, 1 },
    tail_of_3 = { 3, 2 },
    head_of_5 = { 5, 0 },
    middle_of_5 = { 5, 2 },
    tail_of_5 = { 5, 4 },
    head_of_9 = { 9, 0 },
)]
fn a_killed_member_is_left_out_and_taken_back(replicas: usize, place: usize) {
    for seed in 0..10 {
        let mut world = whole_system(replicas, seed);
        let victim = world.chain()[place];
        world.kill(victim, 3000);
        assert_writes(&mut world, FAILOVER_MS);
        assert!(!world.chain().contains(&victim));
        world.run_until(3000, |world| world.now() % 10_000 == 0);
        assert_whole(&mut world, CATCH_UP_MS);
    }
}

#[parameterized(
    head_of_3 = { 3, 0 },
    tail_of_3 = { 3, 2 },
    head_of_5 = { 5, 0 },
    middle_of_5 = { 5, 2 },
)]
fn a_lost_disk_is_filled_again_in_time(replicas: usize, place: usize) {
    for seed in 0..10 {
        let mut world = whole_system(replicas, seed);
        let victim = world.chain()[place];
        let voters = world.voters();
        world.kill(victim, 200);
        world.wipe(victim);
        assert_writes(&mut world, FAILOVER_MS);
        assert_whole(&mut world, CATCH_UP_MS);
        assert_eq!(world.voters(), voters);
    }
}

#[parameterized(
    head_told = { 3, 0, true },
    head_untold = { 3, 0, false },
    tail_told = { 3, 2, true },
    tail_untold = { 3, 2, false },
    of_5 = { 5, 1, false },
)]
fn a_replacement_at_a_new_address_takes_the_place(replicas: usize, place: usize, told: bool) {
    for seed in 0..10 {
        let mut world = whole_system(replicas, seed);
        let victim = world.chain()[place];
        if told {
            world.stop(victim);
        }
        world.remove(victim);
        world.add(300);
        assert_writes(&mut world, FAILOVER_MS);
        assert_whole(&mut world, CATCH_UP_MS);
        assert!(world.run_until(CATCH_UP_MS, |world| world.voters() == replicas).is_some());
    }
}

#[test]
fn all_seeds_can_be_replaced_one_after_another() {
    let mut world = whole_system(5, 3);
    for seed in 0..3 {
        world.remove(seed);
        world.add(100);
        assert_writes(&mut world, FAILOVER_MS);
        assert_whole(&mut world, CATCH_UP_MS);
    }
    for number in world.chain() {
        world.kill(number, 500);
    }
    assert_writes(&mut world, ACKNOWLEDGE_MS);
    assert_whole(&mut world, CATCH_UP_MS);
}

#[parameterized(
    three = { 3, 1 },
    five = { 5, 2 },
)]
fn what_was_acknowledged_survives_a_kill_of_all_with_lost_disks(replicas: usize, wiped: usize) {
    for seed in 0..20 {
        let mut world = whole_system(replicas, seed);
        let chain = world.chain();
        for (place, number) in chain.iter().enumerate() {
            world.kill(*number, 100 + 100 * place as u64);
        }
        let first = seed as usize % replicas;
        for place in 0..wiped {
            world.wipe(chain[(first + place) % replicas]);
        }
        assert_writes(&mut world, ACKNOWLEDGE_MS);
        assert_whole(&mut world, CATCH_UP_MS);
    }
}

#[parameterized(
    hears_nothing = { true, false },
    is_not_heard = { false, true },
    both = { true, true },
)]
fn a_head_that_is_cut_off_answers_neither_reads_nor_writes(deaf: bool, mute: bool) {
    for seed in 0..10 {
        let mut world = whole_system(3, seed);
        let head = world.chain()[0];
        for other in (0..3).filter(|other| *other != head) {
            if deaf {
                world.cut(other, head);
            }
            if mute {
                world.cut(head, other);
            }
        }
        assert!(matches!(world.read_at(head), None | Some(Reply::Unavailable)));
        assert_writes(&mut world, FAILOVER_MS + 1000);
        assert!(matches!(world.read_at(head), None | Some(Reply::Unavailable)));
        world.heal();
        let healed = world.read_at(head);
        assert!(matches!(healed, Some(Reply::Document(Some(_)))), "{healed:?}:\n{}", world.describe());
        assert_whole(&mut world, SETTLE_MS);
    }
}

#[parameterized(head = { 0 }, middle = { 1 }, tail = { 2 })]
fn a_frozen_member_comes_back(place: usize) {
    for seed in 0..10 {
        let mut world = whole_system(3, seed);
        let victim = world.chain()[place];
        world.freeze(victim, 3000);
        assert_writes(&mut world, FAILOVER_MS + 1000);
        world.run_until(3000, |world| world.now() % 10_000 == 0);
        assert_whole(&mut world, SETTLE_MS);
    }
}

#[parameterized(head = { 0 }, middle = { 1 }, tail = { 2 })]
fn a_stalled_disk_is_left_out(place: usize) {
    for seed in 0..10 {
        let mut world = whole_system(3, seed);
        let victim = world.chain()[place];
        world.stall_disk(victim, 6000);
        assert_writes(&mut world, FAILOVER_MS + 1000);
        assert!(!world.chain().contains(&victim));
        world.run_until(5000, |world| world.now() % 100_000 == 0);
        assert_whole(&mut world, SETTLE_MS);
    }
}

#[parameterized(
    head = { 0, Room::Little },
    middle = { 1, Room::Little },
    tail = { 2, Room::Little },
    head_no_votes = { 0, Room::None },
    tail_no_votes = { 2, Room::None },
)]
fn a_full_disk_is_left_out_and_taken_back(place: usize, room: Room) {
    for seed in 0..10 {
        let mut world = whole_system(3, seed);
        let victim = world.chain()[place];
        world.fill_disk(victim, room);
        assert_writes(&mut world, FAILOVER_MS + 1000);
        for _ in 0..5 {
            assert_writes(&mut world, 500);
        }
        assert!(!world.chain().contains(&victim));
        world.free_disks();
        assert_whole(&mut world, SETTLE_MS + 1000);
    }
}

#[parameterized(head = { 0 }, middle = { 1 }, tail = { 2 })]
fn a_slow_disk_does_not_stop_writes(place: usize) {
    for seed in 0..10 {
        let mut world = whole_system(3, seed);
        let victim = world.chain()[place];
        world.slow_disk(victim, 400);
        for _ in 0..5 {
            assert_writes(&mut world, FAILOVER_MS);
        }
        world.free_disks();
        assert_whole(&mut world, SETTLE_MS + 1000);
    }
}

#[parameterized(three = { 3 }, five = { 5 })]
fn a_roll_out_hardly_delays_writes(replicas: usize) {
    let mut world = whole_system(replicas, 5);
    for number in 0..replicas {
        world.stop(number);
        assert_writes(&mut world, 200);
        world.kill(number, 200);
        assert_writes(&mut world, 200);
        assert_whole(&mut world, CATCH_UP_MS);
    }
}

#[test]
fn two_nodes_can_join_at_once() {
    let mut world = whole_system(3, 9);
    world.add(10);
    world.add(20);
    assert_writes(&mut world, 500);
    assert_whole(&mut world, SETTLE_MS);
    assert_eq!(world.voters(), 5);
}

#[test]
fn idle_nodes_say_little() {
    let mut world = whole_system(5, 1);
    let (messages, bytes) = (world.messages(), world.bytes());
    let since = world.now();
    world.run_until(10_000, |_| false);
    let seconds = (world.now() - since) / 1000;
    let pairs = 5 * 4;
    assert!((world.messages() - messages) / seconds <= pairs * 5, "{} messages", world.messages() - messages);
    assert!((world.bytes() - bytes) / seconds <= pairs * 1000, "{} bytes", world.bytes() - bytes);
}

/// A member whose disk came back with another configuration is compared with the head by digests and is sent the
/// committed state, without a write; until then it tells nobody what it holds.
#[parameterized(middle_of_3 = { 3, 1 }, tail_of_3 = { 3, 2 }, tail_of_5 = { 5, 4 })]
fn a_member_with_a_false_state_is_repaired(replicas: usize, place: usize) {
    for seed in 0..10 {
        let mut world = whole_system(replicas, seed);
        let chain = world.chain();
        let (head, victim) = (chain[0], chain[place]);
        let history_digest =
            |world: &World, number: usize| world.replica(number).map(|replica| replica.history_digest());
        world.kill(victim, 50);
        assert!(world.falsify_disk(victim));
        assert!(world.run_until(500, |world| world.replica(victim).is_some()).is_some());
        assert_ne!(history_digest(&world, victim), history_digest(&world, head));
        let is_same = |world: &World| history_digest(world, victim) == history_digest(world, head);
        assert!(world.run_until(SETTLE_MS, is_same).is_some(), "{}", world.describe());
        assert_whole(&mut world, CATCH_UP_MS);
        let counters = world.replica(head).expect("the head runs").counters();
        assert!(counters.digest_repairs + counters.read_repairs > 0, "{counters:?}");
    }
}

/// The new machine comes first, then the former one leaves as planned. The new one has had its time by then, so that as many
/// disks as are tolerated may be lost right after the departure.
#[parameterized(
    head_of_3 = { 3, 0, 1 },
    tail_of_3 = { 3, 2, 1 },
    head_of_5 = { 5, 0, 2 },
    middle_of_5 = { 5, 2, 2 },
)]
fn disks_are_lost_right_after_a_planned_departure(replicas: usize, place: usize, lost: usize) {
    for seed in 0..10 {
        let mut world = whole_system(replicas, seed);
        let leaver = world.chain()[place];
        world.add(10);
        assert_whole(&mut world, CATCH_UP_MS);
        assert_eq!(world.voters(), replicas + 1);
        world.stop(leaver);
        world.remove(leaver);
        for victim in world.chain().into_iter().rev().take(lost) {
            world.kill(victim, 200);
            world.wipe(victim);
        }
        assert_writes(&mut world, ACKNOWLEDGE_MS);
        assert_whole(&mut world, CATCH_UP_MS);
        assert_eq!(world.voters(), replicas);
    }
}

/// A member that is back before anybody missed it, in an epoch in which nothing was written: it is told what is committed, so
/// that it goes on feeding its agents.
#[parameterized(middle_of_3 = { 3, 1 }, tail_of_3 = { 3, 2 }, middle_of_5 = { 5, 2 })]
fn a_member_back_at_once_knows_what_is_committed(replicas: usize, place: usize) {
    for seed in 0..10 {
        let mut world = whole_system(replicas, seed);
        let other = world.chain()[0];
        world.kill(other, 2000);
        assert!(world.run_until(FAILOVER_MS, |world| !world.chain().contains(&other)).is_some());
        world.run_until(2000, |_| false);
        assert_whole(&mut world, CATCH_UP_MS);
        let victim = world.chain()[place];
        world.kill(victim, 20);
        assert!(world.run_until(500, |world| world.replica(victim).is_some()).is_some());
        assert_whole(&mut world, SETTLE_MS);
    }
}

/// Cut off for twenty seconds, while the others go on with changes: it answers nothing by its old state, and once the links are
/// back nothing that it held takes effect.
#[parameterized(
    head_both_ways = { 0, true, true },
    head_hears_nothing = { 0, true, false },
    head_is_not_heard = { 0, false, true },
    tail_both_ways = { 4, true, true },
    tail_is_not_heard = { 4, false, true },
)]
fn a_node_cut_off_for_twenty_seconds_answers_by_the_newest_or_not_at_all(
    place: usize,
    deaf: bool,
    mute: bool,
) {
    for seed in 0..4 {
        let mut world = whole_system(5, seed);
        let victim = world.chain()[place];
        for other in (0..5).filter(|other| *other != victim) {
            if deaf {
                world.cut(other, victim);
            }
            if mute {
                world.cut(victim, other);
            }
        }
        let outdated = Request::Put {
            if_match: 0,
            document: ConfigurationDocument::new(1_000_000, b"{}".as_slice().into()),
        };
        assert_eq!(world.ask_for(victim, outdated, 1), None, "a refusal needs a majority");
        let until = world.now() + 20_000;
        while world.now() < until {
            assert_writes(&mut world, FAILOVER_MS + 1000);
            let newest = world.version();
            match world.read_at(victim) {
                None | Some(Reply::Unavailable) => {}
                Some(Reply::Document(Some(document))) => assert!(document.version >= newest),
                other => panic!("{other:?}"),
            }
        }
        let newest = world.version();
        world.heal();
        assert_whole(&mut world, CATCH_UP_MS);
        assert_eq!(world.version(), newest, "what the node was asked before is in force nowhere");
    }
}

/// Three hundred changes; then all are killed, and one comes back without its disk, one was away for half of the changes, and one
/// is replaced. Every change that was acknowledged is known, to be told again.
#[parameterized(three = { 3 }, five = { 5 })]
fn hundreds_of_changes_outlast_a_restart(replicas: usize) {
    let mut world = whole_system(replicas, 1);
    let absent = world.chain()[1];
    for number in 0..300 {
        if number == 150 {
            world.kill(absent, 1_000_000);
        }
        assert_writes(&mut world, FAILOVER_MS);
    }
    let newest = world.version();
    let changes = world.acknowledged_changes();
    assert_eq!(changes.len(), 301);
    world.end_faults();
    assert_whole(&mut world, CATCH_UP_MS);
    let chain = world.chain();
    for (place, number) in chain.iter().enumerate() {
        world.kill(*number, 100 + 50 * place as u64);
    }
    world.wipe(chain[0]);
    assert!(world.run_until_whole(ACKNOWLEDGE_MS + CATCH_UP_MS).is_some(), "{}", world.describe());
    assert_eq!(world.version(), newest);
    world.remove(chain[1]);
    let successor = world.add(300);
    assert_writes(&mut world, FAILOVER_MS);
    assert_whole(&mut world, CATCH_UP_MS);
    for change in changes.into_iter().step_by(30) {
        assert_eq!(world.ask_for(successor, change, ACKNOWLEDGE_MS), Some(Reply::Accepted));
    }
}
