//! Several processes of the program that share what they see, with faults between them. Waits end by what is seen; the
//! long time-outs only keep a failed story from hanging.

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use lockusher_aggregator_testbed::mixers::budget_usage::{
    budget_slack, max_per_second, retry_times,
};
use lockusher_aggregator_testbed::mixers::clients::Outcome as Came;
use lockusher_aggregator_testbed::mixers::harness::{Harness, HarnessConfig, View, name};
use lockusher_aggregator_testbed::mixers::switch::{Endpoint, LinkConditions};
use lockusher_membership::proto;
use prost::Message;
use rstest::rstest;

const LONG: Duration = Duration::from_secs(60);
const CUT: LinkConditions = LinkConditions {
    blocked: true,
    loss: 0.0,
    duplicated: 0.0,
    corrupted: 0.0,
    min_delay: Duration::ZERO,
    max_delay: Duration::ZERO,
};
const SHARED: &str = "  shared { judgements: true warm_starts: true }\n";

/// What the whole fleet may spend on further sends, a second.
const FURTHER: f64 = 12.0;
const BUDGETS: &str = "  shared { budgets { further_per_s: 12 } }\n";

/// Mixers of two zones that hold one view, under some load.
fn settled(mixers: usize, rate: f64) -> Harness {
    shares(mixers, rate, SHARED)
}

fn shares(mixers: usize, rate: f64, shared: &str) -> Harness {
    let plan = HarnessConfig {
        mixers,
        searchers: 8,
        cells: 8,
        seed: 11,
        rate,
        quiet: false,
        shared: shared.to_owned(),
        zones: 2,
        ..HarnessConfig::default()
    };
    let mut harness = Harness::new(plan).expect("a harness");
    harness.start_all(&(0..mixers).collect::<Vec<_>>());
    assert!(
        harness.wait_converged(LONG).is_some(),
        "views differ: {:#?}",
        harness.views()
    );
    harness
}

fn until(harness: &Harness, what: &str, mut wanted: impl FnMut(&[Option<View>]) -> bool) {
    assert!(
        harness.wait_until(LONG, |_, views| wanted(views)).is_some(),
        "{what}: {:#?}",
        harness.views()
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
fn came(harness: &Harness, searcher: usize, mixer: usize, since: Instant) -> usize {
    let of = format!("m{mixer}n");
    harness.workers[searcher]
        .log()
        .iter()
        .filter(|came| came.received_at > since && came.part.starts_with(&of))
        .count()
}

/// Multigets of one mixer's clients that ended so since.
fn ended(harness: &Harness, mixer: usize, since: Instant, how: impl Fn(&Came) -> bool) -> usize {
    let done = harness.clients.finished.lock().unwrap();
    done.iter()
        .filter(|done| done.mixer == mixer && done.sent_at > since && how(&done.outcome))
        .count()
}

fn answered(end: &Came) -> bool {
    matches!(end, Came::Answered(..))
}

/// All hear of a searcher that hangs; of one whose process has gone, and find it again though all agreed that it was
/// down and no list says that it is back.
#[rstest]
fn a_searcher_that_dies_is_told_of_and_found_again() {
    let harness = settled(4, 15.0);
    let began = Instant::now();
    until(&harness, "all is well", |_| {
        (0..4).all(|mixer| came(&harness, 0, mixer, began) > 2)
    });
    harness.workers[0].crash();
    harness.workers[1].set_behavior(|behavior| behavior.unresponsive = true);
    until(&harness, "all know", |views| {
        views.iter().all(|view| {
            ["s0", "s1"]
                .iter()
                .all(|of| judged(view).iter().any(|id| id == of))
        })
    });
    harness.workers[0].set_behavior(|behavior| behavior.is_down = false);
    let back = Instant::now();
    until(&harness, "all send to it again", |_| {
        (0..4).all(|mixer| came(&harness, 0, mixer, back) > 2)
    });
}

/// Each half hears of it from its own, and what is cold is not pushed over by both together.
#[rstest]
#[case::as_the_list_says(true)]
#[case::before_any_list_says_so(false)]
fn a_searcher_dies_and_returns_cold_while_half_of_the_mixers_hear_nothing(#[case] listed: bool) {
    let mut harness = settled(4, 15.0);
    let began = Instant::now();
    until(&harness, "all is well", |_| {
        (0..4).all(|mixer| came(&harness, 0, mixer, began) > 2)
    });
    for near in 0..2 {
        (2..4).for_each(|far| {
            harness
                .switch
                .set_both_directions(Endpoint::Mixer(near), Endpoint::Mixer(far), CUT);
        });
    }
    until(&harness, "each half is alone", |views| {
        views.iter().flatten().all(|view| view.live_count == 2)
    });
    harness.workers[0].crash();
    until(&harness, "both halves know", |views| {
        views
            .iter()
            .all(|view| judged(view).contains(&"s0".to_owned()))
    });
    harness.workers[0].restart_cold();
    let back = Instant::now();
    if listed {
        harness.publish_searchers();
    }
    until(&harness, "all send to it again", |_| {
        (0..4).all(|mixer| came(&harness, 0, mixer, back) > 2)
    });
    assert_eq!(
        *harness.workers[0].overload_crashes.lock().unwrap(),
        0,
        "a cold searcher was pushed over"
    );
    harness.switch.set_all_links(LinkConditions::default());
    assert!(
        harness.wait_converged(LONG).is_some(),
        "views differ: {:#?}",
        harness.views()
    );
}

/// One that reaches no searcher judges itself: it says nothing, and nobody leaves a searcher for it.
#[rstest]
fn one_whose_own_path_is_broken_accuses_nobody() {
    let harness = settled(4, 15.0);
    harness.set_searcher_links(0, 0..8, CUT);
    let began = Instant::now();
    until(&harness, "it serves nobody, others do", |views| {
        assert!(
            views.iter().all(|view| judged(view).is_empty()),
            "{views:#?}"
        );
        ended(&harness, 0, began, |end| !answered(end)) > 30
            && (1..4).all(|mixer| ended(&harness, mixer, began, answered) > 60)
    });
}

/// A searcher that some mixers do not reach is served on by the others, who do.
#[rstest]
fn a_searcher_dead_for_a_third_of_the_mixers_only() {
    let harness = settled(6, 15.0);
    let start = Instant::now();
    until(&harness, "all is well", |_| {
        (0..6).all(|mixer| came(&harness, 0, mixer, start) > 2)
    });
    harness.set_searcher_links(0, [0], CUT);
    harness.set_searcher_links(1, [0], CUT);
    let began = Instant::now();
    until(
        &harness,
        "both say so, and the others send to it",
        |views| {
            (0..2).all(|mixer| shared(&views[mixer], "own_entries") > 0)
                && (2..6).all(|mixer| came(&harness, 0, mixer, began) > 8)
        },
    );
    harness.switch.set_all_links(LinkConditions::default());
    until(&harness, "nothing stands", |views| {
        views.iter().all(|view| judged(view).is_empty())
    });
}

/// A mixer that starts knows of searchers from others before its first multiget.
#[rstest]
fn one_that_starts_asks_others_what_they_know() {
    let mut harness = settled(3, 15.0);
    let began = Instant::now();
    until(&harness, "all are known", |_| {
        (0..8).all(|of| came(&harness, of, 1, began) > 0)
    });
    harness.clients.set_rate(0.0);
    harness.kill(0);
    harness.start(0);
    until(&harness, "it remembers", |views| {
        shared(&views[0], "remembered") > 4
    });
}

/// A member that says what no sound one says: of searchers that do not exist, of a thousand, weights that are none,
/// and what others never said.
#[rstest]
fn one_that_reports_nonsense_moves_nothing() {
    let harness = settled(3, 15.0);
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
                .send_to(&bytes, harness.listen_address(mixer))
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
    until(&harness, "it is heard, and nothing comes of it", |views| {
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
            (0..8).all(|searcher| (0..3).all(|mixer| came(&harness, searcher, mixer, began) > 5));
        heard && sent && (0..3).all(|mixer| ended(&harness, mixer, began, answered) > 60)
    });
    let refused = |mixer: usize| ended(&harness, mixer, began, |end| !answered(end));
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
fn wants_all(harness: &Harness) {
    harness
        .workers
        .iter()
        .for_each(|worker| worker.set_behavior(|behavior| behavior.missing_share = 0.4));
}

fn within_the_budget(harness: &Harness, mixers: usize) {
    let logs: Vec<_> = harness.workers.iter().map(|worker| worker.log()).collect();
    let (further, most) = (retry_times(&logs), FURTHER + budget_slack(FURTHER, mixers));
    assert!(further.len() > 20, "{} further sends came", further.len());
    assert!(
        max_per_second(&further) as f64 <= most,
        "{} in one second",
        max_per_second(&further)
    );
}

/// Each half spends what it can: the smaller one what is its own, the larger one what it is lent, until all are one
/// again.
#[rstest]
fn a_cut_in_two_parts_each_of_which_spends_all_it_can() {
    let harness = shares(5, 12.0, BUDGETS);
    wants_all(&harness);
    until(&harness, "shares are lent", |views| {
        views.iter().filter(|view| lent(view).0 > 0.0).count() >= 3
    });
    for near in 0..2 {
        (2..5).for_each(|far| {
            harness
                .switch
                .set_both_directions(Endpoint::Mixer(near), Endpoint::Mixer(far), CUT);
        });
    }
    until(
        &harness,
        "what the smaller part was lent has lapsed, and it knows that it is alone",
        |views| (0..2).all(|mixer| lent(&views[mixer]) == (0.0, false)),
    );
    until(&harness, "the larger part lends on", |views| {
        (2..5).all(|mixer| lent(&views[mixer]).1) && (2..5).any(|mixer| lent(&views[mixer]).0 > 0.0)
    });
    harness.switch.set_all_links(LinkConditions::default());
    until(&harness, "all are lent to again", |views| {
        views.iter().all(|view| lent(view).1) && (0..2).any(|mixer| lent(&views[mixer]).0 > 0.0)
    });
    within_the_budget(&harness, 5);
}

/// One that stood still until what it held had lapsed spends nothing of it; those that were killed and started again
/// add nothing to what their former lives held.
#[rstest]
fn one_that_stands_still_with_what_it_was_lent_and_seven_in_ten_started_again() {
    let mut harness = shares(5, 12.0, BUDGETS);
    wants_all(&harness);
    until(&harness, "shares are lent", |views| {
        views.iter().filter(|view| lent(view).0 > 0.0).count() >= 3
    });
    let holder = (0..5)
        .find(|mixer| lent(&harness.views()[*mixer]).0 > 0.0)
        .expect("one holds some");
    harness.pause(holder);
    until(&harness, "it is missed", |views| {
        views.iter().flatten().all(|view| {
            view.members
                .get(&name(holder))
                .is_some_and(|of| of.0 == "dead")
        })
    });
    harness.resume(holder);
    until(&harness, "it is back", |views| {
        views.iter().all(|view| lent(view).1)
    });
    let part: Vec<usize> = (0..5).filter(|mixer| *mixer != holder).take(3).collect();
    part.iter().for_each(|mixer| harness.kill(*mixer));
    harness.start_all(&part);
    until(&harness, "shares are lent again", |views| {
        views.iter().filter(|view| lent(view).0 > 0.0).count() >= 3
    });
    within_the_budget(&harness, 5);
}
