//! Several processes of the program with faults between them: what each says of the fleet, read from outside. Waits end
//! by what is seen; the long time-outs only keep a failed story from hanging.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use lockusher_aggregator_testbed::mixers::harness::{Harness, HarnessConfig, View, name};
use lockusher_aggregator_testbed::mixers::switch::{Endpoint, LinkConditions};
use rstest::rstest;

const LONG: Duration = Duration::from_secs(40);
const CUT: LinkConditions = LinkConditions {
    blocked: true,
    loss: 0.0,
    duplicated: 0.0,
    corrupted: 0.0,
    min_delay: Duration::ZERO,
    max_delay: Duration::ZERO,
};

fn start_harness(mixers: usize, seeds: usize) -> Harness {
    let plan = HarnessConfig {
        mixers,
        searchers: 1,
        seed: 7,
        seeds,
        remember_s: 5,
        quiet: false,
        ..HarnessConfig::default()
    };
    Harness::new(plan).expect("a ground")
}

/// A fleet of processes that hold one view.
fn settled(mixers: usize) -> Harness {
    let mut harness = start_harness(mixers, 2);
    harness.start_all(&(0..mixers).collect::<Vec<_>>());
    settles(&harness);
    harness
}

fn settles(harness: &Harness) {
    assert!(
        harness.wait_converged(LONG).is_some(),
        "views differ: {:#?}",
        harness.views()
    );
}

fn until(harness: &Harness, what: &str, wanted: impl Fn(&[Option<View>]) -> bool) {
    assert!(
        harness.wait_until(LONG, |_, views| wanted(views)).is_some(),
        "{what}: {:#?}",
        harness.views()
    );
}

fn state(view: &Option<View>, of: usize) -> &str {
    view.as_ref()
        .and_then(|view| view.members.get(&name(of)))
        .map_or("unknown", |(state, ..)| state)
}

fn count(view: &Option<View>, key: &str) -> u64 {
    view.as_ref()
        .and_then(|view| view.counts[key].as_u64())
        .unwrap_or_default()
}

/// Whether a member is believed dead for longer than it takes to refute that: one that hears too little may bury it
/// for a moment. On a machine that runs all stories at once that is given three times the promised second.
fn buried(view: &Option<View>, of: usize) -> bool {
    let held = view.as_ref().and_then(|view| view.members.get(&name(of)));
    held.is_some_and(|(state, since_ms, _)| state == "dead" && *since_ms > 3_000)
}

/// None of these believes another of them dead, for longer than a moment, while the switch loses so many datagrams.
fn nobody_dies(harness: &Harness, sound: &[usize], lost: u64) {
    let count = || harness.switch.dropped.load(Ordering::Relaxed);
    let before = count();
    let seen = harness.wait_until(LONG, |_, views| {
        let alive = sound
            .iter()
            .all(|by| sound.iter().all(|of| !buried(&views[*by], *of)));
        assert!(alive, "{views:#?}");
        count() - before > lost
    });
    assert!(
        seen.is_some(),
        "the switch lost {} datagrams",
        count() - before
    );
}

fn cut(harness: &Harness, near: &[usize], far: &[usize]) {
    for one in near {
        for other in far {
            harness
                .switch
                .set_both_directions(Endpoint::Mixer(*one), Endpoint::Mixer(*other), CUT);
        }
    }
}

#[rstest]
fn all_started_at_once_with_only_each_other_as_seeds() {
    let mut harness = start_harness(5, 5);
    harness.start_all(&[0, 1, 2, 3, 4]);
    settles(&harness);
    assert!(
        harness
            .views()
            .iter()
            .flatten()
            .all(|view| view.counted == 5)
    );
}

#[rstest]
fn one_killed_is_believed_dead_and_its_next_life_is_another() {
    let mut harness = settled(4);
    let life = |harness: &Harness| harness.view_of(0).expect("a view").members[&name(2)].2;
    let before = life(&harness);
    harness.kill(2);
    until(&harness, "its death", |views| {
        [0, 1, 3].iter().all(|by| state(&views[*by], 2) == "dead")
    });
    assert_eq!(
        harness.view_of(0).expect("a view").counted,
        4,
        "its share may be in use yet"
    );
    harness.start(2);
    settles(&harness);
    assert!(life(&harness) > before);
}

#[rstest]
fn one_told_to_stop_has_left() {
    let mut harness = settled(3);
    harness.terminate(&[1]);
    until(&harness, "its farewell", |views| {
        [0, 2].iter().all(|by| state(&views[*by], 1) == "left")
    });
    until(&harness, "its share is free", |views| {
        views[0].as_ref().is_some_and(|view| view.counted == 2)
    });
}

#[rstest]
fn seven_in_ten_killed_at_once_and_started_again() {
    let mut harness = settled(7);
    [0, 1, 2, 3, 4]
        .iter()
        .for_each(|mixer| harness.kill(*mixer));
    harness.start_all(&[0, 1, 2, 3, 4]);
    settles(&harness);
}

#[rstest]
fn a_join_though_one_of_two_seeds_is_dead() {
    let mut harness = start_harness(4, 2);
    harness.start_all(&[1, 2]);
    settles(&harness);
    harness.start(3);
    settles(&harness);
}

/// The memory of the dead lasts five seconds here, the cut until all have forgotten: the seeds bring them together.
#[rstest]
fn a_cut_longer_than_the_memory_of_the_dead() {
    let harness = settled(4);
    cut(&harness, &[0, 1], &[2, 3]);
    until(&harness, "the other half is forgotten", |views| {
        views.iter().enumerate().all(|(by, view)| {
            let others = if by < 2 { [2, 3] } else { [0, 1] };
            others.iter().all(|of| state(view, *of) == "unknown")
        })
    });
    // Neither may be sure that it is the larger part.
    assert!(
        harness
            .views()
            .iter()
            .flatten()
            .all(|view| view.counted == 4)
    );
    harness.switch.set_all_links(LinkConditions::default());
    settles(&harness);
}

#[rstest]
fn one_cut_off_alone() {
    let harness = settled(4);
    cut(&harness, &[3], &[0, 1, 2]);
    until(&harness, "it is missed, and misses all", |views| {
        (0..3).all(|by| state(&views[by], 3) == "dead" && state(&views[3], by) == "dead")
    });
    harness.switch.set_all_links(LinkConditions::default());
    settles(&harness);
}

/// Probes by way of others reach it: it is never believed dead, for as long as either probes the other.
#[rstest]
fn a_one_way_cut() {
    let harness = settled(4);
    harness
        .switch
        .set_link(Endpoint::Mixer(1), Endpoint::Mixer(3), CUT);
    nobody_dies(&harness, &[0, 1, 2, 3], 20);
    settles(&harness);
}

#[rstest]
fn a_ring_in_which_each_reaches_only_its_neighbours() {
    let harness = settled(5);
    for one in 0..5 {
        harness.switch.set_both_directions(
            Endpoint::Mixer(one),
            Endpoint::Mixer((one + 2) % 5),
            CUT,
        );
    }
    // In a ring of five any two have a neighbour in common, who asks for them: nobody is believed dead.
    nobody_dies(&harness, &[0, 1, 2, 3, 4], 50);
    harness.switch.set_all_links(LinkConditions::default());
    settles(&harness);
}

#[rstest]
fn a_zone_that_loses_half_of_its_datagrams_among_three() {
    let harness = settled(6);
    let way = LinkConditions {
        loss: 0.5,
        ..LinkConditions::default()
    };
    for other in 0..6 {
        harness
            .switch
            .set_both_directions(Endpoint::Mixer(4), Endpoint::Mixer(other), way);
        harness
            .switch
            .set_both_directions(Endpoint::Mixer(5), Endpoint::Mixer(other), way);
    }
    nobody_dies(&harness, &[0, 1, 2, 3], 200);
    harness.switch.set_all_links(LinkConditions::default());
    settles(&harness);
}

/// The standstill is the fault itself; what follows is waited for.
#[rstest]
#[case::for_half_a_second(500)]
#[case::for_two(2_000)]
#[case::for_ten(10_000)]
fn one_that_stood_still_blames_nobody_and_is_the_same_life(#[case] ms: u64) {
    let mut harness = settled(4);
    let life = |harness: &Harness| harness.view_of(0).expect("a view").members[&name(1)].2;
    let (before, suspected) = (life(&harness), count(&harness.views()[1], "suspected"));
    let began = Instant::now();
    harness.pause(1);
    if ms > 2_000 {
        until(&harness, "it is missed", |views| {
            [0, 2, 3].iter().all(|by| state(&views[*by], 1) == "dead")
        });
    }
    std::thread::sleep(Duration::from_millis(ms).saturating_sub(began.elapsed()));
    harness.resume(1);
    if ms > 1_000 {
        // Half a second less what was left to the next probe may be too little to notice, and needs no notice.
        until(&harness, "it notices", |views| {
            count(&views[1], "stood_still") > 0
        });
    }
    settles(&harness);
    assert_eq!(
        (life(&harness), count(&harness.views()[1], "suspected")),
        (before, suspected)
    );
}

/// The later of two of one name stays outside and says so; when the first has gone, it comes in.
#[rstest]
fn the_same_name_twice_at_once() {
    let mut harness = start_harness(4, 2);
    harness.start_all(&[0, 1, 2]);
    settles(&harness);
    harness.rename(3, 2);
    harness.start(3);
    until(&harness, "it stays out", |views| {
        views[3]
            .as_ref()
            .is_some_and(|view| view.status == "outside")
    });
    let views = harness.views();
    assert!(
        (0..3).all(|by| views[by].as_ref().is_some_and(|view| view.live_count == 3)),
        "{views:#?}"
    );
    harness.kill(2);
    settles(&harness);
}

#[rstest]
fn damaged_doubled_and_late_datagrams_are_counted_and_change_nothing() {
    let harness = settled(4);
    let way = LinkConditions {
        corrupted: 0.2,
        duplicated: 0.2,
        max_delay: Duration::from_millis(40),
        ..LinkConditions::default()
    };
    harness.switch.set_all_links(way);
    until(&harness, "each met some", |views| {
        assert!(
            views.iter().all(|view| (0..4).all(|of| !buried(view, of))),
            "{views:#?}"
        );
        views
            .iter()
            .flatten()
            .all(|view| view.counts["dropped"]["damaged"].as_u64() > Some(10))
    });
    harness.switch.set_all_links(LinkConditions::default());
    settles(&harness);
}

/// A flood of datagrams takes a share of a mixer's turns: clients are served meanwhile, and others still see it live.
#[rstest]
fn a_flood_of_datagrams() {
    let harness = settled(3);
    let (at, over) = (
        harness.listen_address(0),
        std::sync::atomic::AtomicBool::new(false),
    );
    let cpu = harness.cpu_us()[&0];
    let began = Instant::now();
    std::thread::scope(|scope| {
        let flood = scope.spawn(|| {
            let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
            let mut sent = 0_u64;
            while !over.load(Ordering::Relaxed) {
                sent += u64::from(socket.send_to(&[0x0d; 1_200], at).is_ok());
            }
            sent
        });
        let mut client = harness.client(0);
        for nth in 0..40 {
            let answer = client.ask(&format!("q{nth}"), &[0, 3, 6]);
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        until(&harness, "it takes some of the flood in", |views| {
            views[0]
                .as_ref()
                .is_some_and(|view| view.counts["dropped"]["damaged"].as_u64() > Some(2_000))
        });
        over.store(true, Ordering::Relaxed);
        assert!(flood.join().expect("it floods") > 2_000);
    });
    let share = (harness.cpu_us()[&0] - cpu) as f64 / began.elapsed().as_micros() as f64;
    assert!(share < 0.8, "it spends {share:.2} of its core");
    settles(&harness);
}
