//! Several processes of the program that share what they see, with faults between them. Waits end by what is seen; the
//! long time-outs only keep a failed story from hanging.

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use lockusher_aggregator_testbed::mixers::budget_usage::{further_sends, slack, worst_second};
use lockusher_aggregator_testbed::mixers::clients::End as Came;
use lockusher_aggregator_testbed::mixers::harness::{Ground, Plan, View, name};
use lockusher_aggregator_testbed::mixers::switch::{End, Way};
use lockusher_membership::proto;
use prost::Message;
use rstest::rstest;

const LONG: Duration = Duration::from_secs(60);
const CUT: Way = Way {
    cut: true,
    loss: 0.0,
    doubled: 0.0,
    damaged: 0.0,
    least: Duration::ZERO,
    most: Duration::ZERO,
};
const SHARED: &str = "  shared { judgements: true warm_starts: true }\n";

/// What the whole fleet may spend on further sends, a second.
const FURTHER: f64 = 12.0;
const BUDGETS: &str = "  shared { budgets { further_per_s: 12 } }\n";

/// Mixers of two zones that hold one view, under some load.
fn settled(mixers: usize, rate: f64) -> Ground {
    shares(mixers, rate, SHARED)
}

fn shares(mixers: usize, rate: f64, shared: &str) -> Ground {
    let plan = Plan {
        mixers,
        searchers: 8,
        cells: 8,
        seed: 11,
        rate,
        quiet: false,
        shared: shared.to_owned(),
        zones: 2,
        ..Plan::default()
    };
    let mut ground = Ground::new(plan).expect("a ground");
    ground.start_all(&(0..mixers).collect::<Vec<_>>());
    assert!(
        ground.settles(LONG).is_some(),
        "views differ: {:#?}",
        ground.views()
    );
    ground
}

fn until(ground: &Ground, what: &str, mut wanted: impl FnMut(&[Option<View>]) -> bool) {
    assert!(
        ground.until(LONG, |_, views| wanted(views)).is_some(),
        "{what}: {:#?}",
        ground.views()
    );
}

/// The searchers that stand accused, as one mixer holds it.
fn judged(view: &Option<View>) -> Vec<String> {
    let judged = view
        .as_ref()
        .and_then(|view| view.shared["judged"].as_array());
    let accused = judged
        .into_iter()
        .flatten()
        .filter(|of| of["fault"] != "fine");
    accused
        .filter_map(|of| Some(of["searcher"].as_str()?.to_owned()))
        .collect()
}

fn shared(view: &Option<View>, key: &str) -> u64 {
    view.as_ref()
        .and_then(|view| view.shared[key].as_u64())
        .unwrap_or_default()
}

/// Parts of one mixer's clients that came to a searcher since.
fn came(ground: &Ground, searcher: usize, mixer: usize, since: Instant) -> usize {
    let of = format!("m{mixer}n");
    ground.workers[searcher]
        .log()
        .iter()
        .filter(|came| came.at > since && came.part.starts_with(&of))
        .count()
}

/// Multigets of one mixer's clients that ended so since.
fn ended(ground: &Ground, mixer: usize, since: Instant, how: impl Fn(&Came) -> bool) -> usize {
    let done = ground.clients.done.lock().unwrap();
    done.iter()
        .filter(|done| done.mixer == mixer && done.asked > since && how(&done.end))
        .count()
}

fn answered(end: &Came) -> bool {
    matches!(end, Came::Answered(..))
}

/// All hear of a searcher that hangs; of one whose process has gone, and find it again though all agreed that it was
/// down and no list says that it is back.
#[rstest]
fn a_searcher_that_dies_is_told_of_and_found_again() {
    let ground = settled(4, 15.0);
    let began = Instant::now();
    until(&ground, "all is well", |_| {
        (0..4).all(|mixer| came(&ground, 0, mixer, began) > 2)
    });
    ground.workers[0].down();
    ground.workers[1].set(|temper| temper.hangs = true);
    until(&ground, "all know", |views| {
        views.iter().all(|view| {
            ["s0", "s1"]
                .iter()
                .all(|of| judged(view).iter().any(|id| id == of))
        })
    });
    ground.workers[0].set(|temper| temper.down = false);
    let back = Instant::now();
    until(&ground, "all send to it again", |_| {
        (0..4).all(|mixer| came(&ground, 0, mixer, back) > 2)
    });
}

/// Each half hears of it from its own, and what is cold is not pushed over by both together.
#[rstest]
#[case::as_the_list_says(true)]
#[case::before_any_list_says_so(false)]
fn a_searcher_dies_and_returns_cold_while_half_of_the_mixers_hear_nothing(#[case] listed: bool) {
    let mut ground = settled(4, 15.0);
    let began = Instant::now();
    until(&ground, "all is well", |_| {
        (0..4).all(|mixer| came(&ground, 0, mixer, began) > 2)
    });
    for near in 0..2 {
        (2..4).for_each(|far| {
            ground
                .switch
                .both_ways(End::Mixer(near), End::Mixer(far), CUT);
        });
    }
    until(&ground, "each half is alone", |views| {
        views.iter().flatten().all(|view| view.living == 2)
    });
    ground.workers[0].down();
    until(&ground, "both halves know", |views| {
        views
            .iter()
            .all(|view| judged(view).contains(&"s0".to_owned()))
    });
    ground.workers[0].up();
    let back = Instant::now();
    if listed {
        ground.tell();
    }
    until(&ground, "all send to it again", |_| {
        (0..4).all(|mixer| came(&ground, 0, mixer, back) > 2)
    });
    assert_eq!(
        *ground.workers[0].fell.lock().unwrap(),
        0,
        "a cold searcher was pushed over"
    );
    ground.switch.everywhere(Way::default());
    assert!(
        ground.settles(LONG).is_some(),
        "views differ: {:#?}",
        ground.views()
    );
}

/// One that reaches no searcher judges itself: it says nothing, and nobody leaves a searcher for it.
#[rstest]
fn one_whose_own_path_is_broken_accuses_nobody() {
    let ground = settled(4, 15.0);
    ground.path(0, 0..8, CUT);
    let began = Instant::now();
    until(&ground, "it serves nobody, others do", |views| {
        assert!(
            views.iter().all(|view| judged(view).is_empty()),
            "{views:#?}"
        );
        ended(&ground, 0, began, |end| !answered(end)) > 30
            && (1..4).all(|mixer| ended(&ground, mixer, began, answered) > 60)
    });
}

/// A searcher that some mixers do not reach is served on by the others, who do.
#[rstest]
fn a_searcher_dead_for_a_third_of_the_mixers_only() {
    let ground = settled(6, 15.0);
    let start = Instant::now();
    until(&ground, "all is well", |_| {
        (0..6).all(|mixer| came(&ground, 0, mixer, start) > 2)
    });
    ground.path(0, [0], CUT);
    ground.path(1, [0], CUT);
    let began = Instant::now();
    until(&ground, "both say so, and the others send to it", |views| {
        (0..2).all(|mixer| shared(&views[mixer], "own_entries") > 0)
            && (2..6).all(|mixer| came(&ground, 0, mixer, began) > 8)
    });
    ground.switch.everywhere(Way::default());
    until(&ground, "nothing stands", |views| {
        views.iter().all(|view| judged(view).is_empty())
    });
}

/// A mixer that starts knows of searchers from others before its first multiget.
#[rstest]
fn one_that_starts_asks_others_what_they_know() {
    let mut ground = settled(3, 15.0);
    let began = Instant::now();
    until(&ground, "all are known", |_| {
        (0..8).all(|of| came(&ground, of, 1, began) > 0)
    });
    ground.clients.rate(0.0);
    ground.kill(0);
    ground.start(0);
    until(&ground, "it remembers", |views| {
        shared(&views[0], "remembered") > 4
    });
}

/// A member that says what no sound one says: of searchers that do not exist, of a thousand, weights that are none,
/// and what others never said.
#[rstest]
fn one_that_reports_nonsense_moves_nothing() {
    let ground = settled(3, 15.0);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket
        .set_read_timeout(Some(Duration::from_millis(20)))
        .expect("a time-out");
    let port = socket.local_addr().expect("an address").port();
    let me = proto::Member {
        name: "liar".to_owned(),
        ip: u32::from(std::net::Ipv4Addr::LOCALHOST),
        port: port.into(),
        zone: "z9".to_owned(),
        generation: 77,
        born: 77,
        state: proto::State::Alive.into(),
        ..proto::Member::default()
    };
    let says = |form: u32, what: proto::message::What, rates: Option<proto::Rates>| {
        let message = proto::Message {
            form,
            fleet: "lab".to_owned(),
            me: Some(me.clone()),
            what: Some(what),
            rates,
            ..proto::Message::default()
        };
        let message = message.encode_to_vec();
        let bytes = proto::Datagram {
            checksum: crc32fast::hash(&message),
            message,
        }
        .encode_to_vec();
        for mixer in 0..3 {
            socket
                .send_to(&bytes, ground.listens(mixer))
                .expect("it leaves");
        }
    };
    let began = Instant::now();
    let mut version = 0;
    let mut lies = |weight: f32, searcher: &dyn Fn(u32) -> String, of: &str| {
        let verdicts = (0..12).map(|nth| {
            version += 1;
            proto::Verdict {
                version,
                searcher: searcher(nth),
                fault: proto::Fault::Down.into(),
                weight,
                since_ms: 900,
                age_ms: 1,
                ..proto::Verdict::default()
            }
        });
        let verdicts: Vec<proto::Verdict> = verdicts.collect();
        let (name, generation) = (of.to_owned(), 77);
        let delta = proto::Delta {
            name,
            generation,
            from: version - 12,
            upto: version,
            verdicts,
        };
        proto::message::What::Told(proto::Told {
            deltas: vec![delta],
        })
    };
    let mut round = 0;
    until(&ground, "it is heard, and nothing comes of it", |views| {
        round += 1;
        says(1, proto::message::What::Notice(proto::Notice {}), None);
        says(2, lies(0.1, &|nth| format!("s{}", nth % 8), "liar"), None);
        says(2, lies(f32::NAN, &|nth| format!("s{nth}"), "liar"), None);
        says(2, lies(-3.0, &|_| "s1".to_owned(), "liar"), None);
        says(
            2,
            lies(0.1, &|nth| format!("nobody-{round}-{nth}"), "liar"),
            None,
        );
        says(2, lies(0.1, &|nth| format!("s{}", nth % 8), &name(1)), None);
        let rates = proto::Rates {
            multigets: f32::INFINITY,
            ..proto::Rates::default()
        };
        says(
            1,
            proto::message::What::Notice(proto::Notice {}),
            Some(rates),
        );
        let heard = views.iter().flatten().all(|view| {
            view.counts["dropped"]["absurd"].as_u64() > Some(100)
                && view.shared["entries"]
                    .as_u64()
                    .is_some_and(|entries| (1..=64).contains(&entries))
        });
        // A sound mixer that errs for a moment may be the second witness: it is spoken for at once.
        let sent =
            (0..8).all(|searcher| (0..3).all(|mixer| came(&ground, searcher, mixer, began) > 5));
        heard && sent && (0..3).all(|mixer| ended(&ground, mixer, began, answered) > 60)
    });
    let refused = |mixer: usize| ended(&ground, mixer, began, |end| !answered(end));
    assert_eq!(
        (0..3).map(refused).sum::<usize>(),
        0,
        "clients are served as if it were not there"
    );
}

/// What a mixer was lent of the further sends, and whether it hears from more than half of the fleet.
fn lent(view: &Option<View>) -> (f64, bool) {
    let shared = view.as_ref().map(|view| &view.shared);
    let lent = shared.and_then(|shared| shared["portions"][0]["lent"].as_f64());
    let contact = shared.and_then(|shared| shared["in_contact"].as_bool());
    (lent.unwrap_or_default(), contact.unwrap_or_default())
}

/// Searchers that leave much unanswered, so that each mixer would send further as often as it may; no more than the
/// budget and its slack comes to them in any second.
fn wants_all(ground: &Ground) {
    ground
        .workers
        .iter()
        .for_each(|worker| worker.set(|temper| temper.missing = 0.4));
}

fn within_the_budget(ground: &Ground, mixers: usize) {
    let logs: Vec<_> = ground.workers.iter().map(|worker| worker.log()).collect();
    let (further, most) = (further_sends(&logs), FURTHER + slack(FURTHER, mixers));
    assert!(further.len() > 20, "{} further sends came", further.len());
    assert!(
        worst_second(&further) as f64 <= most,
        "{} in one second",
        worst_second(&further)
    );
}

/// Each half spends what it can: the smaller one what is its own, the larger one what it is lent, until all are one
/// again.
#[rstest]
fn a_cut_in_two_parts_each_of_which_spends_all_it_can() {
    let ground = shares(5, 12.0, BUDGETS);
    wants_all(&ground);
    until(&ground, "shares are lent", |views| {
        views.iter().filter(|view| lent(view).0 > 0.0).count() >= 3
    });
    for near in 0..2 {
        (2..5).for_each(|far| {
            ground
                .switch
                .both_ways(End::Mixer(near), End::Mixer(far), CUT);
        });
    }
    until(
        &ground,
        "what the smaller part was lent has lapsed, and it knows that it is alone",
        |views| (0..2).all(|mixer| lent(&views[mixer]) == (0.0, false)),
    );
    until(&ground, "the larger part lends on", |views| {
        (2..5).all(|mixer| lent(&views[mixer]).1) && (2..5).any(|mixer| lent(&views[mixer]).0 > 0.0)
    });
    ground.switch.everywhere(Way::default());
    until(&ground, "all are lent to again", |views| {
        views.iter().all(|view| lent(view).1) && (0..2).any(|mixer| lent(&views[mixer]).0 > 0.0)
    });
    within_the_budget(&ground, 5);
}

/// One that stood still until what it held had lapsed spends nothing of it; those that were killed and started again
/// add nothing to what their former lives held.
#[rstest]
fn one_that_stands_still_with_what_it_was_lent_and_seven_in_ten_started_again() {
    let mut ground = shares(5, 12.0, BUDGETS);
    wants_all(&ground);
    until(&ground, "shares are lent", |views| {
        views.iter().filter(|view| lent(view).0 > 0.0).count() >= 3
    });
    let holder = (0..5)
        .find(|mixer| lent(&ground.views()[*mixer]).0 > 0.0)
        .expect("one holds some");
    ground.halt(holder);
    until(&ground, "it is missed", |views| {
        views.iter().flatten().all(|view| {
            view.members
                .get(&name(holder))
                .is_some_and(|of| of.0 == "dead")
        })
    });
    ground.resume(holder);
    until(&ground, "it is back", |views| {
        views.iter().all(|view| lent(view).1)
    });
    let part: Vec<usize> = (0..5).filter(|mixer| *mixer != holder).take(3).collect();
    part.iter().for_each(|mixer| ground.kill(*mixer));
    ground.start_all(&part);
    until(&ground, "shares are lent again", |views| {
        views.iter().filter(|view| lent(view).0 > 0.0).count() >= 3
    });
    within_the_budget(&ground, 5);
}
