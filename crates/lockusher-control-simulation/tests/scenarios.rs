//! Scenarios with explicit faults, and bounds for the time of recovery from them.

use lockusher_control::{ConfigurationDocument, InjectedBug, Reply, Request};
use lockusher_control_simulation::{Cluster, DiskSpace, SimulationOptions, Violation};
use yare::parameterized;

use support::{CATCH_UP_MS, started_cluster};

mod support;

/// Bound for the acknowledgement of a write after any tolerated fault, in milliseconds.
const ACKNOWLEDGE_MS: u64 = 4000;
/// Bound for the acknowledgement of a write after the loss of a member, in milliseconds.
const FAILOVER_MS: u64 = 2000;
/// Bound for all nodes to be members again after the end of a fault, in milliseconds.
const CONVERGENCE_MS: u64 = 2000;

/// A cluster whose nodes are all members of the chain and which has acknowledged a write.
fn cluster_of(replicas: usize, seed: u64) -> Cluster {
    let mut cluster = started_cluster(SimulationOptions {
        replicas,
        seed,
        ..SimulationOptions::default()
    });
    assert!(
        cluster.write().is_some(),
        "first write:\n{}",
        cluster.describe()
    );
    cluster
}

fn assert_writes(cluster: &mut Cluster, limit: u64) {
    let elapsed = cluster.write();
    assert!(
        elapsed.is_some_and(|elapsed| elapsed <= limit),
        "write took {elapsed:?}:\n{}",
        cluster.describe()
    );
}

fn assert_all_members(cluster: &mut Cluster, limit: u64) {
    let elapsed = cluster.run_until_all_members(limit);
    assert!(
        elapsed.is_some(),
        "not all are members after {limit} ms:\n{}",
        cluster.describe()
    );
    assert_eq!(cluster.violations(), &[] as &[Violation]);
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
fn a_crashed_member_is_removed_and_rejoins(replicas: usize, position: usize) {
    for seed in 0..10 {
        let mut cluster = cluster_of(replicas, seed);
        let target = cluster.chain()[position];
        cluster.crash(target, 3000);
        assert_writes(&mut cluster, FAILOVER_MS);
        assert!(!cluster.chain().contains(&target));
        cluster.run_until(3000, |cluster| cluster.now() % 10_000 == 0);
        assert_all_members(&mut cluster, CATCH_UP_MS);
    }
}

#[parameterized(
    head_of_3 = { 3, 0 },
    tail_of_3 = { 3, 2 },
    head_of_5 = { 5, 0 },
    middle_of_5 = { 5, 2 },
)]
fn a_member_with_a_lost_disk_rejoins_within_the_bound(replicas: usize, position: usize) {
    for seed in 0..10 {
        let mut cluster = cluster_of(replicas, seed);
        let target = cluster.chain()[position];
        let voters = cluster.voters();
        cluster.crash(target, 200);
        cluster.lose_disk(target);
        assert_writes(&mut cluster, FAILOVER_MS);
        assert_all_members(&mut cluster, CATCH_UP_MS);
        assert_eq!(cluster.voters(), voters);
    }
}

#[parameterized(
    head_announced = { 3, 0, true },
    head_unannounced = { 3, 0, false },
    tail_announced = { 3, 2, true },
    tail_unannounced = { 3, 2, false },
    of_5 = { 5, 1, false },
)]
fn a_removed_machine_is_replaced_at_a_new_address(
    replicas: usize,
    position: usize,
    is_graceful: bool,
) {
    for seed in 0..10 {
        let mut cluster = cluster_of(replicas, seed);
        let target = cluster.chain()[position];
        if is_graceful {
            cluster.stop(target);
        }
        cluster.remove_machine(target);
        cluster.add_machine(300);
        assert_writes(&mut cluster, FAILOVER_MS);
        assert_all_members(&mut cluster, CATCH_UP_MS);
        assert!(
            cluster
                .run_until(CATCH_UP_MS, |cluster| cluster.voters() == replicas)
                .is_some()
        );
    }
}

#[test]
fn all_seeds_can_be_replaced_one_after_another() {
    let mut cluster = cluster_of(5, 3);
    for seed in 0..3 {
        cluster.remove_machine(seed);
        cluster.add_machine(100);
        assert_writes(&mut cluster, FAILOVER_MS);
        assert_all_members(&mut cluster, CATCH_UP_MS);
    }
    for number in cluster.chain() {
        cluster.crash(number, 500);
    }
    assert_writes(&mut cluster, ACKNOWLEDGE_MS);
    assert_all_members(&mut cluster, CATCH_UP_MS);
}

#[parameterized(
    three = { 3, 1 },
    five = { 5, 2 },
)]
fn acknowledged_changes_survive_a_crash_of_all_nodes_and_lost_disks(
    replicas: usize,
    lost_disks: usize,
) {
    for seed in 0..20 {
        let mut cluster = cluster_of(replicas, seed);
        let chain = cluster.chain();
        for (position, number) in chain.iter().enumerate() {
            cluster.crash(*number, 100 + 100 * position as u64);
        }
        let first = seed as usize % replicas;
        for position in 0..lost_disks {
            cluster.lose_disk(chain[(first + position) % replicas]);
        }
        assert_writes(&mut cluster, ACKNOWLEDGE_MS);
        assert_all_members(&mut cluster, CATCH_UP_MS);
    }
}

#[parameterized(
    receives_nothing = { true, false },
    sends_nothing = { false, true },
    both = { true, true },
)]
fn an_isolated_head_answers_neither_reads_nor_writes(receives_nothing: bool, sends_nothing: bool) {
    for seed in 0..10 {
        let mut cluster = cluster_of(3, seed);
        let head = cluster.chain()[0];
        for other in (0..3).filter(|other| *other != head) {
            if receives_nothing {
                cluster.partition_link(other, head);
            }
            if sends_nothing {
                cluster.partition_link(head, other);
            }
        }
        assert!(matches!(
            cluster.read_at(head),
            None | Some(Reply::Unavailable)
        ));
        assert_writes(&mut cluster, FAILOVER_MS + 1000);
        assert!(matches!(
            cluster.read_at(head),
            None | Some(Reply::Unavailable)
        ));
        cluster.heal_network();
        let healed = cluster.read_at(head);
        assert!(
            matches!(healed, Some(Reply::Document(Some(_)))),
            "{healed:?}:\n{}",
            cluster.describe()
        );
        assert_all_members(&mut cluster, CONVERGENCE_MS);
    }
}

#[parameterized(head = { 0 }, middle = { 1 }, tail = { 2 })]
fn a_frozen_member_rejoins(position: usize) {
    for seed in 0..10 {
        let mut cluster = cluster_of(3, seed);
        let target = cluster.chain()[position];
        cluster.freeze(target, 3000);
        assert_writes(&mut cluster, FAILOVER_MS + 1000);
        cluster.run_until(3000, |cluster| cluster.now() % 10_000 == 0);
        assert_all_members(&mut cluster, CONVERGENCE_MS);
    }
}

#[parameterized(head = { 0 }, middle = { 1 }, tail = { 2 })]
fn a_member_with_a_stalled_disk_is_removed(position: usize) {
    for seed in 0..10 {
        let mut cluster = cluster_of(3, seed);
        let target = cluster.chain()[position];
        cluster.stall_disk(target, 6000);
        assert_writes(&mut cluster, FAILOVER_MS + 1000);
        assert!(!cluster.chain().contains(&target));
        cluster.run_until(5000, |cluster| cluster.now() % 100_000 == 0);
        assert_all_members(&mut cluster, CONVERGENCE_MS);
    }
}

#[parameterized(
    head = { 0, DiskSpace::VotesOnly },
    middle = { 1, DiskSpace::VotesOnly },
    tail = { 2, DiskSpace::VotesOnly },
    head_without_votes = { 0, DiskSpace::Full },
    tail_without_votes = { 2, DiskSpace::Full },
)]
fn a_member_with_a_full_disk_is_removed_and_rejoins(position: usize, space: DiskSpace) {
    for seed in 0..10 {
        let mut cluster = cluster_of(3, seed);
        let target = cluster.chain()[position];
        cluster.fill_disk(target, space);
        assert_writes(&mut cluster, FAILOVER_MS + 1000);
        for _ in 0..5 {
            assert_writes(&mut cluster, 500);
        }
        assert!(!cluster.chain().contains(&target));
        cluster.recover_disks();
        assert_all_members(&mut cluster, CONVERGENCE_MS + 1000);
    }
}

#[parameterized(head = { 0 }, middle = { 1 }, tail = { 2 })]
fn a_slow_disk_does_not_stop_writes(position: usize) {
    for seed in 0..10 {
        let mut cluster = cluster_of(3, seed);
        let target = cluster.chain()[position];
        cluster.slow_disk(target, 400);
        for _ in 0..5 {
            assert_writes(&mut cluster, FAILOVER_MS);
        }
        cluster.recover_disks();
        assert_all_members(&mut cluster, CONVERGENCE_MS + 1000);
    }
}

#[parameterized(three = { 3 }, five = { 5 })]
fn a_rolling_restart_hardly_delays_writes(replicas: usize) {
    let mut cluster = cluster_of(replicas, 5);
    for number in 0..replicas {
        cluster.stop(number);
        assert_writes(&mut cluster, 200);
        cluster.crash(number, 200);
        assert_writes(&mut cluster, 200);
        assert_all_members(&mut cluster, CATCH_UP_MS);
    }
}

#[test]
fn two_nodes_can_join_at_the_same_time() {
    let mut cluster = cluster_of(3, 9);
    cluster.add_machine(10);
    cluster.add_machine(20);
    assert_writes(&mut cluster, 500);
    assert_all_members(&mut cluster, CONVERGENCE_MS);
    assert_eq!(cluster.voters(), 5);
}

#[test]
fn idle_nodes_send_few_messages() {
    let mut cluster = cluster_of(5, 1);
    let (messages, bytes) = (cluster.messages(), cluster.bytes());
    let since = cluster.now();
    cluster.run_until(10_000, |_| false);
    let seconds = (cluster.now() - since) / 1000;
    let pairs = 5 * 4;
    assert!(
        (cluster.messages() - messages) / seconds <= pairs * 5,
        "{} messages",
        cluster.messages() - messages
    );
    assert!(
        (cluster.bytes() - bytes) / seconds <= pairs * 1000,
        "{} bytes",
        cluster.bytes() - bytes
    );
}

/// A member that restarts with another configuration on its disk is detected by a comparison of digests with the head, and
/// is sent the committed state without a write. Until then it doesn't report its stored configuration as committed.
#[parameterized(middle_of_3 = { 3, 1 }, tail_of_3 = { 3, 2 }, tail_of_5 = { 5, 4 })]
fn a_member_with_a_corrupted_state_is_repaired(replicas: usize, position: usize) {
    for seed in 0..10 {
        let mut cluster = cluster_of(replicas, seed);
        let chain = cluster.chain();
        let (head, target) = (chain[0], chain[position]);
        let history_digest = |cluster: &Cluster, number: usize| {
            cluster
                .replica(number)
                .map(lockusher_control::Replica::history_digest)
        };
        cluster.crash(target, 50);
        assert!(cluster.corrupt_disk(target));
        assert!(
            cluster
                .run_until(500, |cluster| cluster.replica(target).is_some())
                .is_some()
        );
        assert_ne!(
            history_digest(&cluster, target),
            history_digest(&cluster, head)
        );
        let is_same =
            |cluster: &Cluster| history_digest(cluster, target) == history_digest(cluster, head);
        assert!(
            cluster.run_until(CONVERGENCE_MS, is_same).is_some(),
            "{}",
            cluster.describe()
        );
        assert_all_members(&mut cluster, CATCH_UP_MS);
        let counters = cluster.replica(head).expect("the head runs").counters();
        assert!(
            counters.digest_repairs + counters.read_repairs > 0,
            "{counters:?}"
        );
    }
}

/// A machine is added, then another one shuts down gracefully. The new one has had the time to catch up by then, so that the
/// tolerated number of disks may be lost right after the departure.
#[parameterized(
    head_of_3 = { 3, 0, 1 },
    tail_of_3 = { 3, 2, 1 },
    head_of_5 = { 5, 0, 2 },
    middle_of_5 = { 5, 2, 2 },
)]
fn disks_lost_right_after_a_planned_departure_are_tolerated(
    replicas: usize,
    position: usize,
    lost: usize,
) {
    for seed in 0..10 {
        let mut cluster = cluster_of(replicas, seed);
        let leaving = cluster.chain()[position];
        cluster.add_machine(10);
        assert_all_members(&mut cluster, CATCH_UP_MS);
        assert_eq!(cluster.voters(), replicas + 1);
        cluster.stop(leaving);
        cluster.remove_machine(leaving);
        for target in cluster.chain().into_iter().rev().take(lost) {
            cluster.crash(target, 200);
            cluster.lose_disk(target);
        }
        assert_writes(&mut cluster, ACKNOWLEDGE_MS);
        assert_all_members(&mut cluster, CATCH_UP_MS);
        assert_eq!(cluster.voters(), replicas);
    }
}

/// A removed machine leaves the chain; all processes are killed, so that no node knows for how long it has been unreachable;
/// and another machine becomes unreachable before the successor joins. If the successor replaces the latter, lost disks
/// leave no majority, as in seed 106470 of `chain --replicas 5`.
#[parameterized(
    of_5 = { 5, None, true },
    of_5_latest_departure_replaced = { 5, Some(InjectedBug::LatestDepartureReplaced), false },
    of_7 = { 7, None, true },
)]
fn a_new_node_replaces_the_voter_that_left_the_chain_first(
    replicas: usize,
    injected_bug: Option<InjectedBug>,
    recovers: bool,
) {
    for seed in 0..10 {
        let mut cluster = started_cluster(SimulationOptions {
            replicas,
            seed,
            injected_bug,
            ..SimulationOptions::default()
        });
        assert!(cluster.write().is_some(), "{}", cluster.describe());
        let [removed, unreachable] = [cluster.chain()[1], cluster.chain()[replicas - 1]];
        cluster.remove_machine(removed);
        let has_left = |cluster: &Cluster| !cluster.chain().contains(&removed);
        assert!(cluster.run_until(FAILOVER_MS, has_left).is_some());
        for number in (0..replicas).filter(|number| *number != removed) {
            cluster.crash(number, 200);
        }
        cluster.freeze(unreachable, 3 * CATCH_UP_MS);
        cluster.add_machine(3000);
        cluster.run_until(2 * CATCH_UP_MS, |_| false);
        let running = cluster.chain();
        assert_eq!(running.len(), replicas - 1, "{}", cluster.describe());
        let lost = cluster.tolerated_losses();
        for target in running.into_iter().rev().take(lost) {
            cluster.crash(target, 200);
            cluster.lose_disk(target);
        }
        cluster.end_faults();
        assert_eq!(
            cluster.write().is_some(),
            recovers,
            "{}",
            cluster.describe()
        );
    }
}

/// A member restarts before any peer suspects it, in an epoch without a write. It must learn the committed configuration, so
/// that it continues to serve its subscribers.
#[parameterized(middle_of_3 = { 3, 1 }, tail_of_3 = { 3, 2 }, middle_of_5 = { 5, 2 })]
fn a_member_restarted_before_it_is_suspected_learns_the_committed_version(
    replicas: usize,
    position: usize,
) {
    for seed in 0..10 {
        let mut cluster = cluster_of(replicas, seed);
        let other = cluster.chain()[0];
        cluster.crash(other, 2000);
        assert!(
            cluster
                .run_until(FAILOVER_MS, |cluster| !cluster.chain().contains(&other))
                .is_some()
        );
        cluster.run_until(2000, |_| false);
        assert_all_members(&mut cluster, CATCH_UP_MS);
        let target = cluster.chain()[position];
        cluster.crash(target, 20);
        assert!(
            cluster
                .run_until(500, |cluster| cluster.replica(target).is_some())
                .is_some()
        );
        assert_all_members(&mut cluster, CONVERGENCE_MS);
    }
}

/// A node is isolated for twenty seconds while the others continue with changes. It must not answer from its outdated state,
/// and a change in flight from it must not take effect after the network has healed.
#[parameterized(
    head_both_ways = { 0, true, true },
    head_receives_nothing = { 0, true, false },
    head_sends_nothing = { 0, false, true },
    tail_both_ways = { 4, true, true },
    tail_sends_nothing = { 4, false, true },
)]
fn an_isolated_node_never_answers_from_outdated_state(
    position: usize,
    receives_nothing: bool,
    sends_nothing: bool,
) {
    for seed in 0..4 {
        let mut cluster = cluster_of(5, seed);
        let target = cluster.chain()[position];
        for other in (0..5).filter(|other| *other != target) {
            if receives_nothing {
                cluster.partition_link(other, target);
            }
            if sends_nothing {
                cluster.partition_link(target, other);
            }
        }
        let outdated = Request::Put {
            if_match: 0,
            document: ConfigurationDocument::new(1_000_000, b"{}".as_slice().into()),
        };
        assert_eq!(
            cluster.request_within(target, outdated, 1),
            None,
            "a rejection needs a majority"
        );
        let until = cluster.now() + 20_000;
        while cluster.now() < until {
            assert_writes(&mut cluster, FAILOVER_MS + 1000);
            let newest = cluster.version();
            match cluster.read_at(target) {
                None | Some(Reply::Unavailable) => {}
                Some(Reply::Document(Some(document))) => assert!(document.version >= newest),
                other => panic!("{other:?}"),
            }
        }
        let newest = cluster.version();
        cluster.heal_network();
        assert_all_members(&mut cluster, CATCH_UP_MS);
        assert_eq!(
            cluster.version(),
            newest,
            "the change sent to the isolated node was committed"
        );
    }
}

/// After three hundred changes all nodes are killed: one was down for half of the changes, one restarts without its disk,
/// and one is replaced later. Every acknowledged change must be acknowledged again when it is resent.
#[parameterized(three = { 3 }, five = { 5 })]
fn acknowledged_changes_survive_a_restart_of_all_nodes(replicas: usize) {
    let mut cluster = cluster_of(replicas, 1);
    let absent = cluster.chain()[1];
    for number in 0..300 {
        if number == 150 {
            cluster.crash(absent, 1_000_000);
        }
        assert_writes(&mut cluster, FAILOVER_MS);
    }
    let newest = cluster.version();
    let changes = cluster.acknowledged_changes();
    assert_eq!(changes.len(), 301);
    cluster.end_faults();
    assert_all_members(&mut cluster, CATCH_UP_MS);
    let chain = cluster.chain();
    for (position, number) in chain.iter().enumerate() {
        cluster.crash(*number, 100 + 50 * position as u64);
    }
    cluster.lose_disk(chain[0]);
    assert!(
        cluster
            .run_until_all_members(ACKNOWLEDGE_MS + CATCH_UP_MS)
            .is_some(),
        "{}",
        cluster.describe()
    );
    assert_eq!(cluster.version(), newest);
    cluster.remove_machine(chain[1]);
    let successor = cluster.add_machine(300);
    assert_writes(&mut cluster, FAILOVER_MS);
    assert_all_members(&mut cluster, CATCH_UP_MS);
    for change in changes.into_iter().step_by(30) {
        assert_eq!(
            cluster.request_within(successor, change, ACKNOWLEDGE_MS),
            Some(Reply::Accepted)
        );
    }
}

fn views_installed(cluster: &Cluster) -> u64 {
    let replica = cluster.replica(0).expect("it runs");
    replica.counters().views_installed
}

/// Bandwidth of a link of 10 Mbit/s, in bytes per millisecond.
const SLOW_LINK_BYTES_PER_MS: u64 = 1250;

/// A large configuration is replicated over slow links, and transferred to a joining machine, in little more time than its
/// copies take: one to the head, two down the chain and one to the joiner. The view must not change during the replication.
#[parameterized(
    small = { 100_000 },
    medium = { 1_000_000 },
    large = { 4_000_000 },
    largest = { 8_000_000 },
)]
fn a_large_configuration_is_replicated_over_slow_links(bytes: usize) {
    let one_link = bytes as u64 / SLOW_LINK_BYTES_PER_MS;
    let mut cluster = started_cluster(SimulationOptions {
        replicas: 3,
        seed: 1,
        link_bytes_per_ms: Some(SLOW_LINK_BYTES_PER_MS),
        ..SimulationOptions::default()
    });
    let epochs_before = views_installed(&cluster);
    let caller = cluster.chain()[1];
    let limit = 3 * one_link + 100;
    let acknowledged = cluster.write_document(caller, 1, bytes, limit);
    let epochs = views_installed(&cluster) - epochs_before;
    let joiner = cluster.add_machine(1);
    let joined = cluster.run_until(one_link + 700, |cluster| cluster.is_member(joiner));
    println!(
        "{bytes} bytes: {one_link} ms over one link, acknowledged after {acknowledged:?} ms, joined after {joined:?} ms"
    );
    assert!(acknowledged.is_some(), "{}", cluster.describe());
    assert!(joined.is_some(), "{}", cluster.describe());
    assert_eq!(epochs, 0);
}
