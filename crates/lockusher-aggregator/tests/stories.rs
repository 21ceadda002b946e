//! The mixer as its clients, searchers and discovery meet it.

mod connections;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use connections::{call, on_connections, up};
use lockusher_aggregator::routing::RouterEvent;
use lockusher_aggregator::routing::searcher_transport::{Permission, SearcherTransport};
use lockusher_aggregator_testbed::stand_in::*;
use lockusher_multiget::list::Place;
use lockusher_policy::interface::*;
use rstest::rstest;
use serde_json::json;

fn values(id: &str, shards: &[u64]) -> Vec<(u64, String)> {
    shards.iter().map(|s| (*s, format!("v{id}.{s}"))).collect()
}

#[rstest]
fn a_calm_multiget_is_answered_whole_with_its_text_unchanged() {
    // Parts that may run once only: others are rightly sent again when they are late, as on a busy machine.
    let world = World::start(Setup {
        effect: "unsafe",
        ..Setup::default()
    });
    let answer = world.client().ask("q1", &[3, 9, 4]);
    assert_eq!(
        (answer.status, answer.values()),
        (200, values("q1", &[3, 9, 4]))
    );
    assert!(answer.body.contains("\"total\":true"), "{answer:?}");
    let sends = world.sends("q1");
    assert_eq!(sends.len(), 3);
    assert!(
        sends
            .iter()
            .all(|(_, p)| p.text == "c41e77d0" && p.list.starts_with("d=")),
        "{sends:?}"
    );
    // Many more on one connection: it is kept, as are those to searchers.
    let mut client = world.client();
    for i in 0..20 {
        assert_eq!(client.ask(&format!("m{i}"), &[i, i + 1]).status, 200);
    }
    assert!(world.searchers.iter().all(|s| s.log().opened <= 2));
    assert!(
        world
            .searchers
            .iter()
            .any(|s| s.log().probes == ["ogood", "p-"]),
        "probes are answered"
    );
}

/// Portions come rounded: three of 0.333333 once stayed under the least share, and all were pushed back.
#[rstest]
fn rounded_portions_make_a_whole() {
    let world = World::start(Setup::default());
    let body = r#"{"ranges":[{"range":1,"portion":0.333333},{"range":2,"portion":0.333333},
        {"range":3,"portion":0.333333}],"predicate":"x"}"#;
    let mut client = world.client();
    client.write(&request("q1", body));
    assert_eq!(
        client.read().expect("an answer").values(),
        values("q1", &[1, 2, 3])
    );
}

#[rstest]
fn a_body_may_come_in_chunks_and_byte_by_byte() {
    let world = World::start(Setup::default());
    let (text, mut client) = (body(&[5, 6]), world.client());
    let (first, second) = text.split_at(text.len() / 2);
    let chunks = format!(
        "{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n",
        first.len(),
        second.len()
    );
    let whole = format!(
        "{}Transfer-Encoding: chunked\r\n\r\n{chunks}",
        head("q1", "4000000u")
    );
    for byte in whole.as_bytes() {
        client.write(&[*byte]);
    }
    assert_eq!(
        client.read().expect("an answer").values(),
        values("q1", &[5, 6])
    );
    assert_eq!(client.ask("q2", &[1]).status, 200, "the connection goes on");
}

#[rstest]
fn the_second_step_goes_to_the_highest_scores_and_names_who_was_in() {
    let world = World::start(Setup {
        second_step: 2,
        ..Setup::default()
    });
    let answer = world.client().ask("q1", &[9, 3, 5, 7]);
    // Scores fall with the shard.
    let mut got = answer.values();
    got.sort();
    assert_eq!(got, [(3, "vq1.3.r".to_owned()), (5, "vq1.5.r".to_owned())]);
    let second: Vec<_> = world
        .sends("q1")
        .into_iter()
        .filter(|(_, p)| p.id.ends_with(".r"))
        .collect();
    assert_eq!(second.len(), 2);
    for (_, part) in second {
        let words: Vec<&str> = part.list.split(',').collect();
        let mut from: Vec<&str> = words[1].trim_start_matches("from=").split('+').collect();
        from.sort();
        assert_eq!((from, words[2]), (vec!["3", "5", "7", "9"], "whole=1"));
    }
}

#[rstest]
#[case::error(Act::Bad)]
#[case::turned_away(Act::Later)]
#[case::reset(Act::Break)]
#[case::silence(Act::Silent)]
#[case::a_frame_that_cannot_be_read(Act::Garbage)]
#[case::a_frame_of_absurd_length(Act::Absurd)]
#[case::told_that_a_frame_is_no_use(Act::Unusable)]
#[case::a_frame_that_never_ends(Act::Endless)]
#[case::an_answer_for_nobody(Act::OtherId)]
#[case::an_end_that_is_none(Act::OtherEnd)]
#[case::a_letter_that_is_none(Act::OtherLetter)]
#[case::a_value_that_swallowed_a_frame(Act::Swallowing)]
fn a_part_that_fails_at_one_searcher_is_served_by_another(#[case] act: Act) {
    // What was sent again is not late itself on a busy machine, as the target is far off.
    let world = World::start(Setup {
        promise_ms: 2_000,
        deadline_ms: 10_000,
        ..Setup::default()
    });
    // The first searcher that any part comes to fails it; the others serve.
    let first = std::sync::Arc::new(AtomicUsize::new(0));
    world.all_do(move |_| {
        if first.fetch_add(1, Ordering::SeqCst) == 0 {
            act
        } else {
            Act::Good
        }
    });
    let answer = world.client().ask("q1", &[3]);
    assert_eq!((answer.status, answer.values()), (200, values("q1", &[3])));
    let sends = world.sends("q1");
    assert!(sends.len() == 2 && sends[0].0 != sends[1].0, "{sends:?}");
}

#[rstest]
#[case::turned_away_never_ran(Act::Later, true)]
#[case::an_error_may_have_run(Act::Bad, false)]
#[case::a_reset_may_have_run(Act::Break, false)]
fn a_non_retriable_part_is_sent_again_only_if_it_never_ran(#[case] act: Act, #[case] again: bool) {
    let world = World::start(Setup {
        effect: "unsafe",
        ..Setup::default()
    });
    let first = std::sync::Arc::new(AtomicUsize::new(0));
    world.all_do(move |_| {
        if first.fetch_add(1, Ordering::SeqCst) == 0 {
            act
        } else {
            Act::Good
        }
    });
    let answer = world.client().ask("q1", &[3]);
    let sends = world.sends("q1").len();
    // What may have run is neither sent again nor pushed back: it fails, and that is no 429 or 503.
    assert_eq!(
        (answer.status, sends),
        if again { (200, 2) } else { (500, 1) }
    );
}

/// What was never written is known not to have run, even for a non-retriable part.
#[rstest]
fn a_refused_connection_never_ran() {
    let world = World::start(Setup {
        effect: "unsafe",
        searchers: 1,
        ..Setup::default()
    });
    // A port where nobody listens stands for two of the three.
    let nobody = std::net::TcpListener::bind("127.0.0.1:0")
        .expect("a port")
        .local_addr()
        .expect("one");
    let dead = |name: &str, group| {
        let mut line = line(&world.searchers[0], group, "active");
        (line["name"], line["address"]) = (name.into(), nobody.to_string().into());
        line
    };
    let lines = vec![
        line(&world.searchers[0], 0, "active"),
        dead("x", 1),
        dead("y", 2),
    ];
    world.discovery.tell(2, true, lines);
    world.discovery.told(2);
    let mut client = world.client();
    for i in 0..8 {
        let answer = client.ask(&format!("q{i}"), &[i]);
        assert!(answer.status == 200 || answer.status == 503, "{answer:?}");
    }
}

/// A spoilt answer ends its own send as failed, other parts as PROTOCOL says, and its connection is not used again;
/// nor is its searcher taken for one that died and came back cold.
#[rstest]
#[case::noise(Act::Absurd, Outcome::Error, Outcome::Withdrawn)]
#[case::an_end_that_is_none(Act::OtherEnd, Outcome::Error, Outcome::Withdrawn)]
#[case::never_whole(Act::Endless, Outcome::Error, Outcome::Withdrawn)]
#[case::for_nobody(Act::OtherId, Outcome::Error, Outcome::Withdrawn)]
#[case::a_broken_connection(Act::Break, Outcome::Broken, Outcome::Broken)]
fn what_a_spoilt_answer_comes_to(#[case] act: Act, #[case] own: Outcome, #[case] other: Outcome) {
    on_connections(
        Setup::default(),
        async move |searcher, searchers, arrivals| {
            let to = SearcherId::new("s0");
            searcher.does(move |part| if part.id == "q.2" { act } else { Act::Silent });
            for shard in [2, 3] {
                assert!(searchers.send(&to, call(shard)).is_ok());
            }
            let mut ends = HashMap::new();
            for _ in 0..2 {
                let Some(RouterEvent::SendEnded(ended)) = arrivals.recv().await else {
                    panic!("an end")
                };
                ends.insert(ended.part.as_str().to_owned(), ended.outcome);
            }
            assert_eq!(
                ends,
                HashMap::from([("q.2".to_owned(), own), ("q.3".to_owned(), other)])
            );
            searcher.does(|_| Act::Good);
            assert!(searchers.send(&to, call(4)).is_ok());
            assert!(
                matches!(arrivals.recv().await, Some(RouterEvent::SendEnded(e)) if e.outcome == Outcome::Returned)
            );
            assert_eq!(searcher.log().opened, 2);
        },
    );
}

/// More than belongs to a good answer takes nothing from it. Every searcher answers alike, so an answer spoilt by
/// what follows it would be spoilt at each, and the client would not get its value; one taken but not trusted would
/// be sent again after the client had it. The number of sends is not the measure: noise ends each connection, the
/// next send waits for a new one, and on a busy machine that is late enough for the gate to send a copy elsewhere.
#[rstest]
#[case::twice(Act::Twice)]
#[case::noise_behind_it(Act::Noise)]
#[case::a_report_that_cannot_be_read(Act::OddReport)]
fn a_good_answer_with_too_much_is_good(#[case] act: Act) {
    let world = World::start(Setup::default());
    world.all_do(move |_| act);
    let mut client = world.client();
    let mut answered = Vec::new();
    for i in 0..5 {
        let id = format!("q{i}");
        let asked = Instant::now();
        assert_eq!(client.ask(&id, &[1]).values(), values(&id, &[1]));
        answered.push((id, asked.elapsed()));
    }
    // The later multigets give time for a late send of an earlier one to show.
    for (id, took) in answered {
        let sends = world.sends(&id);
        let in_time = |(_, seen): &(String, Seen)| sent_after(seen) <= took + ROUNDING;
        assert!(
            sends.iter().all(in_time),
            "sent after its answer, which took {took:?}: {sends:?}"
        );
    }
}

/// What clients give, 4 s, less what the mixer keeps for its answer: three ticks of 5 ms and 5 ms.
const GIVEN: Duration = Duration::from_millis(3_980);
/// Times on the wire are whole milliseconds.
const ROUNDING: Duration = Duration::from_millis(1);

/// How long after its multiget came a part was sent, by what it says is left of its client's time. When a searcher
/// reads it doesn't matter.
fn sent_after(seen: &Seen) -> Duration {
    let left = seen
        .list
        .strip_prefix("d=")
        .and_then(|rest| rest.split(',').next())
        .expect("time left");
    let left = Duration::from_millis(left.parse().expect("milliseconds"));
    GIVEN.checked_sub(left).expect("no more than was given")
}

/// What is late on a connection that says nothing more is lost with it, once its searcher answers elsewhere; where
/// the connection answers too, the searcher is merely slow. Parts on one that had fallen silent were once waited for
/// until their client's time was up, and more were sent after them. What a searcher says of its own accord on the new
/// connection is no answer: a slow searcher's part was once taken for lost by its greeting.
#[rstest]
#[case::the_connection_fell_silent(Act::Mute, true)]
#[case::the_searcher_is_slow(Act::Silent, false)]
fn a_late_answer_casts_doubt_on_its_connection(#[case] act: Act, #[case] lost: bool) {
    on_connections(
        Setup::default(),
        async move |searcher, searchers, arrivals| {
            let to = SearcherId::new("s0");
            searcher.does(move |part| if part.id == "q.1" { act } else { Act::Good });
            assert!(searchers.send(&to, call(0)).is_ok());
            assert!(
                matches!(arrivals.recv().await, Some(RouterEvent::SendEnded(e)) if e.outcome == Outcome::Returned)
            );
            assert!(searchers.send(&to, call(1)).is_ok());
            while searcher.log().parts.len() < 2 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            searcher.holds_probes();
            searchers.check_liveness(&to, &PartId::new("q.1"), 0);
            // The mixer has answered both probes of the new connection's greeting, so it has read that.
            while searcher.log().probes.len() < 4 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            assert!(
                arrivals.try_recv().is_err(),
                "a greeting tells nothing of the older connection"
            );
            while !searcher.answers_probes(if lost { 2 } else { 1 }) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            if lost {
                assert!(
                    matches!(arrivals.recv().await, Some(RouterEvent::SendEnded(e)) if e.outcome == Outcome::Lost)
                );
            }
            assert!(searchers.send(&to, call(2)).is_ok());
            let Some(RouterEvent::SendEnded(ended)) = arrivals.recv().await else {
                panic!("an end")
            };
            assert_eq!(
                (ended.part.as_str(), ended.outcome),
                ("q.2", Outcome::Returned)
            );
            assert_eq!(searcher.log().opened, 2);
        },
    );
}

/// A mixer that stands still in the middle of a batch writes the rest of it later: by then a client may have gone.
#[rstest]
fn what_nobody_waits_for_any_more_is_not_written() {
    on_connections(
        Setup::default(),
        async move |searcher, searchers, arrivals| {
            let to = SearcherId::new("s0");
            let unwanted = call(1)
                .into_iter()
                .map(|(nth, part, _)| (nth, part, Rc::new(|| Permission::Abandoned) as _))
                .collect();
            assert!(searchers.send(&to, unwanted).is_ok() && searchers.send(&to, call(2)).is_ok());
            assert!(
                matches!(arrivals.recv().await, Some(RouterEvent::SendEnded(e)) if e.part.as_str() == "q.2")
            );
            assert!(
                searchers.cancel_unsent(&to, &PartId::new("q.1"), 0),
                "it can be taken back"
            );
            assert_eq!(searcher.log().parts.len(), 1);
        },
    );
}

/// An answer must not overtake a frame that has just left for a searcher.
#[rstest]
fn what_has_just_left_is_known_to_be_on_its_way() {
    on_connections(
        Setup {
            connect_ms: 500_000,
            ..Setup::default()
        },
        async move |searcher, searchers, _| {
            let (to, part) = (SearcherId::new("s0"), PartId::new("q.1"));
            searcher.does(|_| Act::Silent);
            assert!(searchers.send(&to, call(1)).is_ok());
            assert_eq!(
                searchers.in_transit_until(&to, &part, 0),
                None,
                "it has not left"
            );
            while searcher.log().parts.is_empty() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            assert!(
                searchers
                    .in_transit_until(&to, &part, 0)
                    .is_some_and(|until| until > Instant::now())
            );
            searchers.cancel(&to, &part, 0);
            assert_eq!(searchers.in_transit_until(&to, &part, 0), None);
        },
    );
}

/// A connection on which a send waited in vain and nothing has come since takes nothing new; and with no descriptor
/// left, one that is unused elsewhere makes room.
#[rstest]
fn connections_are_given_up_where_they_are_of_no_use() {
    on_connections(
        Setup {
            sockets: 64,
            ..Setup::default()
        },
        async move |searcher, searchers, arrivals| {
            let to = SearcherId::new("s0");
            searcher.does(|part| {
                if part.id == "q.1" {
                    Act::Silent
                } else {
                    Act::Good
                }
            });
            assert!(searchers.send(&to, call(0)).is_ok());
            assert!(
                matches!(arrivals.recv().await, Some(RouterEvent::SendEnded(e)) if e.outcome == Outcome::Returned)
            );
            assert!(searchers.send(&to, call(1)).is_ok());
            while searcher.log().parts.len() < 2 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            assert!(
                searchers
                    .send_timed_out(&to, &PartId::new("q.1"), 0)
                    .is_empty()
            );
            searchers.cancel(&to, &PartId::new("q.1"), 0);
            searcher.does(|_| Act::Good);
            for shard in 2..4 {
                assert!(searchers.send(&to, call(shard)).is_ok());
                assert!(
                    matches!(arrivals.recv().await, Some(RouterEvent::SendEnded(e)) if e.outcome == Outcome::Returned)
                );
            }
            assert_eq!(searcher.log().opened, 2);
            // A quarter of 64 is 16: many more searchers than that are served in turn.
            let start = || {
                (0..30)
                    .map(|i| Searcher::start(&format!("t{i}")))
                    .collect::<Vec<_>>()
            };
            let others = thread::spawn(start).join().expect("searchers");
            for other in &others {
                let to = SearcherId::new(&other.name);
                searchers.set_address(
                    &up(&other.name),
                    Place {
                        address: other.address,
                        http2: false,
                    },
                );
                assert!(searchers.send(&to, call(5)).is_ok());
                assert!(
                    matches!(arrivals.recv().await, Some(RouterEvent::SendEnded(e)) if e.outcome == Outcome::Returned)
                );
            }
        },
    );
}

#[rstest]
fn parts_for_one_searcher_share_a_call() {
    let world = World::start(Setup {
        searchers: 1,
        most_parts: 3,
        ..Setup::default()
    });
    let answer = world.client().ask("q1", &[1, 2, 3, 4, 5]);
    assert_eq!(answer.values(), values("q1", &[1, 2, 3, 4, 5]));
}

#[rstest]
fn parts_of_a_client_that_went_away_are_given_up() {
    let world = World::start(Setup::default());
    world.all_do(|_| Act::Silent);
    let mut client = world.client();
    client.write(&request("q1", &body(&[3])));
    world.until(|| !world.sends("q1").is_empty());
    drop(client);
    world.until(|| world.searchers.iter().any(|s| s.log().given_up == ["q1.3"]));
    // Its id is free again, and the mixer goes on.
    world.all_do(|_| Act::Good);
    assert_eq!(world.client().ask("q1", &[3]).status, 200);
}

/// A mixer gets part of a core: it may stand still while a client asks and leaves, or while a copy falls due.
#[rstest]
fn nothing_leaves_for_a_client_that_has_gone_while_the_mixer_stood_still() {
    let world = World::start(Setup::default());
    let (mut gone, mut waits) = (world.client(), world.client());
    world.all_do(|_| Act::Silent);
    waits.write(&request("q3", &body(&[3])));
    world.until(|| !world.sends("q3").is_empty());
    world.meanwhile(|| {
        gone.write(&request("q4", &body(&[1, 2, 3])));
        drop((gone, waits));
        thread::sleep(Duration::from_millis(1_500));
    });
    world.all_do(|_| Act::Good);
    assert_eq!(world.client().ask("q5", &[3]).status, 200);
    assert_eq!((world.sends("q3").len(), world.sends("q4").len()), (1, 0));
}

/// Parts that wait for connections which are slow to come up are answered elsewhere meanwhile. Once they left after
/// all, when the connections came up: five in the middle of a long day.
#[rstest]
#[case::another_part_is_still_awaited(0)]
#[case::the_second_step_is_on(2)]
fn a_part_that_is_in_is_not_sent_any_more(#[case] second_step: usize) {
    let world = World::start(Setup {
        searchers: 1,
        connect_ms: 10_000,
        second_step,
        ..Setup::default()
    });
    let clogged = [Searcher::clogged("x"), Searcher::clogged("y")];
    let mut lines = vec![line(&world.searchers[0], 0, "active")];
    lines.extend(
        clogged
            .iter()
            .enumerate()
            .map(|(i, (s, _))| line(s, i + 1, "active")),
    );
    world.discovery.tell(2, true, lines);
    world.discovery.told(2);
    // One part is in nowhere: part 4, or a second step's.
    let last = move |part: &Seen| {
        if second_step > 0 {
            part.id.ends_with(".r")
        } else {
            part.shard == 4
        }
    };
    world.all_do(move |part| if last(part) { Act::Silent } else { Act::Good });
    let mut client = world.client();
    client.write(&request("q1", &body(&[0, 1, 2, 3, 4, 5])));
    let others = |sends: &[(String, Seen)]| sends.iter().filter(|(_, part)| !last(part)).count();
    world.until(|| {
        others(&world.sends("q1")) >= 5 && world.sends("q1").iter().any(|(_, part)| last(part))
    });
    let clogged = clogged.map(|(searcher, unclog)| {
        unclog();
        searcher
    });
    // Of the one that is awaited some leave.
    let came = || {
        clogged
            .iter()
            .flat_map(|searcher| searcher.log().parts)
            .collect::<Vec<_>>()
    };
    world.until(|| !came().is_empty());
    assert!(came().iter().all(last), "{:?}", came());
}

#[rstest]
fn an_id_in_hand_is_not_taken_twice() {
    let world = World::start(Setup::default());
    world.all_do(|_| Act::Silent);
    let mut first = world.client();
    first.write(&request("q1", &body(&[3])));
    world.until(|| !world.sends("q1").is_empty());
    assert_eq!(world.client().ask("q1", &[3]).status, 409);
    world.all_do(|_| Act::Good);
    assert_eq!(
        first.read().expect("an answer").values(),
        values("q1", &[3])
    );
}

#[rstest]
#[case::draining("leaving")]
#[case::gone("left")]
fn nothing_new_goes_to_a_searcher_that_leaves(#[case] status: &str) {
    let world = World::start(Setup::default());
    world
        .discovery
        .tell(2, false, vec![line(&world.searchers[0], 0, status)]);
    world.discovery.told(2);
    let before = world.searchers[0].log().parts.len();
    let mut client = world.client();
    for i in 0..20 {
        assert_eq!(client.ask(&format!("q{i}"), &[i]).status, 200);
    }
    assert_eq!(world.searchers[0].log().parts.len(), before);
}

#[rstest]
#[case::errors(Says::Errors)]
#[case::nonsense(Says::Nonsense)]
#[case::silence(Says::Nothing)]
fn the_last_list_serves_while_discovery_is_down(#[case] says: Says) {
    let world = World::start(Setup::default());
    world.discovery.says(says);
    assert_eq!(world.client().ask("q1", &[1, 2]).status, 200);
    // Back, its versions begin anew: the whole list counts, one searcher is missing from it.
    let left: Vec<_> = (1..3)
        .map(|i| line(&world.searchers[i], i, "active"))
        .collect();
    world.discovery.tell(0, true, left);
    world.discovery.says(Says::Lists);
    world.discovery.told(0);
    let before = world.searchers[0].log().parts.len();
    for i in 0..10 {
        assert_eq!(world.client().ask(&format!("r{i}"), &[i]).status, 200);
    }
    assert_eq!(world.searchers[0].log().parts.len(), before);
}

/// Where discovery tells only those that ask, a refusal goes to the module, which asks again.
#[rstest]
#[case::errors(Says::Errors)]
#[case::nonsense(Says::Nonsense)]
fn a_watch_that_was_refused_is_asked_for_again(#[case] says: Says) {
    let world = World::start(Setup {
        asks: true,
        ..Setup::default()
    });
    world.discovery.says(says);
    assert_eq!(world.client().ask("q1", &[1]).status, 200);
    world
        .discovery
        .tell(7, true, vec![line(&world.searchers[1], 1, "active")]);
    world.discovery.says(Says::Lists);
    world.discovery.told(7);
    assert_eq!(world.client().ask("q2", &[1]).status, 200);
    assert!(world.sends("q2").iter().all(|(to, _)| to == "s1"));
}

/// SIGHUP once ended the process. What is in hand and what was learned stay, and news comes from the new address.
#[rstest]
#[case::told(false)]
#[case::on_asking(true)]
fn a_configuration_read_again_moves_discovery_and_nothing_else(#[case] asks: bool) {
    let mut world = World::start(Setup {
        asks,
        ..Setup::default()
    });
    world.discovery.told(1);
    world.all_do(|_| Act::Silent);
    let mut busy = world.client();
    busy.write(&request("q1", &body(&[3])));
    world.until(|| !world.sends("q1").is_empty());
    let lines = |left: std::ops::Range<usize>| {
        left.map(|i| line(&world.searchers[i], i, "active"))
            .collect()
    };
    let (old, new) = (world.discovery.clone(), Discovery::start(lines(0..3)));
    new.tell(2, false, vec![line(&world.searchers[0], 0, "left")]);
    world.discovery = new.clone();
    // A faulty file changes nothing; of several in a row the last one counts.
    world.reload("seed", "no digits");
    world.reload("seed", "5eed");
    world.reload("discovery", new.address.to_string());
    new.told(2);
    // What the old one says now is no longer heard.
    old.tell(9, true, Vec::new());
    world.all_do(|_| Act::Good);
    assert_eq!(busy.read().expect("an answer").status, 200);
    let before = world.searchers[0].log().parts.len();
    let mut client = world.client();
    for i in 0..10 {
        assert_eq!(client.ask(&format!("r{i}"), &[i]).status, 200);
    }
    assert_eq!(world.searchers[0].log().parts.len(), before);
    world.terminate();
    world.reload("seed", "5eed");
    assert!(world.ended().success());
}

#[rstest]
fn a_searcher_that_moves_is_found_at_its_new_address() {
    let world = World::start(Setup {
        searchers: 1,
        ..Setup::default()
    });
    assert_eq!(world.client().ask("q1", &[1]).status, 200);
    let moved = Searcher::start("s0");
    world
        .discovery
        .tell(2, false, vec![line(&moved, 0, "active")]);
    world.discovery.told(2);
    assert_eq!(world.client().ask("q2", &[1]).status, 200);
    assert_eq!(moved.log().parts.len(), 1);
    world.searchers[0].until(|log| log.closed == log.opened);
}

#[rstest]
#[case::told(false)]
#[case::on_asking(true)]
fn without_a_remembered_list_it_serves_once_discovery_has_told_one(#[case] asks: bool) {
    let world = World::start(Setup {
        knows: false,
        asks,
        ..Setup::default()
    });
    assert_eq!(world.client().ask("q1", &[1, 2]).status, 200);
}

#[rstest]
fn an_unused_connection_is_closed_before_its_searcher_would() {
    let world = World::start(Setup {
        searchers: 1,
        idle_ms: 600,
        ..Setup::default()
    });
    assert_eq!(world.client().ask("q1", &[1]).status, 200);
    world.searchers[0].until(|log| log.opened == 1 && log.closed == 1);
    assert_eq!(world.client().ask("q2", &[1]).status, 200);
    assert_eq!(world.searchers[0].log().opened, 2);
}

#[rstest]
#[case::no_json(request("q1", "{"), 400)]
#[case::no_parts(request("q1", &body(&[])), 400)]
#[case::a_part_named_twice(request("q1", &body(&[1, 1])), 400)]
#[case::a_shard_out_of_range(request("q1", &body(&[24])), 400)]
#[case::portions_that_are_no_whole(request("q1", r#"{"ranges":[{"range":1,"portion":0.5}]}"#), 400)]
#[case::an_unknown_path(b"POST /other HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".to_vec(), 404)]
#[case::another_method(b"GET /look HTTP/1.1\r\nHost: a\r\n\r\n".to_vec(), 405)]
#[case::an_op_type_unlike_the_path(b"POST /look HTTP/1.1\r\nHost: a\r\nReq-Kind: a\r\nContent-Length: 0\r\n\r\n".to_vec(), 400)]
#[case::no_headers(b"POST /look HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".to_vec(), 400)]
#[case::an_unknown_tenant(replaced("acme", "nobody"), 400)]
#[case::a_deadline_without_a_unit(replaced("4000m", "4000"), 400)]
#[case::a_deadline_beyond_counting(replaced("4000m", "99999999999999999999m"), 400)]
#[case::an_id_that_breaks_frames(replaced("q1", "q 1"), 400)]
#[case::a_body_too_large(request("q1", &"x".repeat(70_000)), 413)]
#[case::a_body_of_a_length_too_large(replaced("Content-Length: ", "Content-Length: 60000"), 413)]
#[case::a_negative_length(replaced("Content-Length: ", "Content-Length: -"), 400)]
#[case::two_lengths(replaced("Req-Kind", "Content-Length: 5\r\nReq-Kind"), 400)]
#[case::a_length_and_chunks(replaced("Req-Kind", "Transfer-Encoding: chunked\r\nReq-Kind"), 400)]
#[case::a_header_given_twice(replaced("Req-Kind", "Req-Id: q1\r\nReq-Kind"), 400)]
#[case::an_upgrade(replaced("Req-Kind", "Upgrade: websocket\r\nReq-Kind"), 400)]
#[case::more_behind_the_path(replaced("/look", "/look/more"), 404)]
#[case::no_time(replaced("4000m", "0m"), 400)]
#[case::time_beyond_reason(replaced("4000m", "999999999999m"), 400)]
#[case::nothing_to_carry(replaced("predicate", "whatever!"), 400)]
#[case::a_portion_of_nothing(
    request(
        "q1",
        r#"{"ranges":[{"range":1,"portion":1},{"range":2,"portion":0}],"predicate":""}"#
    ),
    400
)]
#[case::a_price_below_nothing(
    request(
        "q1",
        r#"{"ranges":[{"range":1,"portion":1,"price":-4}],"predicate":""}"#
    ),
    400
)]
#[case::not_http(b"what is this\r\n\r\n".to_vec(), 400)]
fn what_cannot_be_used_gets_one_plain_refusal_at_once(#[case] bytes: Vec<u8>, #[case] status: u16) {
    let mut world = World::start(Setup::default());
    let mut client = world.client();
    client.write(&bytes);
    assert_eq!(client.read().expect("an answer").status, status);
    assert!(world.sends("q1").is_empty());
    assert_eq!(world.client().ask("q2", &[1]).status, 200);
    assert!(world.runs());
}

fn replaced(what: &str, by: &str) -> Vec<u8> {
    String::from_utf8(request("q1", &body(&[1])))
        .expect("text")
        .replace(what, by)
        .into_bytes()
}

#[rstest]
fn more_than_may_be_in_hand_is_pushed_back_at_once() {
    let world = World::start(Setup {
        most_open: 5,
        ..Setup::default()
    });
    world.all_do(|_| Act::Silent);
    let mut first = world.client();
    first.write(&request("q1", &body(&[1, 2])));
    world.until(|| world.sends("q1").len() >= 2);
    assert_eq!(world.client().ask("q2", &[1, 2]).status, 503);
    world.all_do(|_| Act::Good);
    assert_eq!(first.read().expect("an answer").status, 200);
    assert_eq!(
        world.client().ask("q3", &[1, 2]).status,
        200,
        "there is room again"
    );
}

/// Connections that never ask for anything, or only how the mixer is, must not shut others out, nor take the descriptors that
/// searchers and discovery need.
#[rstest]
fn a_flood_of_idle_connections_leaves_room_for_those_that_ask() {
    let mut world = World::start(Setup {
        sockets: 80,
        ..Setup::default()
    });
    let mut used = world.client();
    assert_eq!(used.ask("q0", &[1]).status, 200);
    let mut flood: Vec<Client> = (0..300).map(|_| world.client()).collect();
    for _ in 0..100 {
        let mut health = world.client();
        health.write(b"GET /up HTTP/1.1\r\nHost: app\r\n\r\n");
        assert_eq!(health.read().expect("an answer").status, 200);
        flood.push(health);
    }
    assert_eq!(world.client().ask("q1", &[1, 2, 3]).status, 200);
    assert_eq!(
        used.ask("q2", &[1]).status,
        200,
        "one that was used is kept before those that never were"
    );
    // Those that were closed for it were told so, and none was answered what it never asked.
    assert!(flood[0].read().is_none());
    assert!(world.runs());
}

/// Clients may hold a third of the descriptors for requests; those that ask once and stay once held them all.
#[rstest]
fn a_crowd_that_asks_once_and_stays_is_let_go() {
    let world = World::start(Setup {
        sockets: 128,
        ..Setup::default()
    });
    let mut crowd = Vec::new();
    for i in 0..40 {
        let mut client = world.client();
        assert_eq!(client.ask(&format!("q{i}"), &[1]).status, 200);
        crowd.push(client);
    }
    // A quarter is kept, of these the last.
    assert!(crowd[0].read().is_none());
    assert_eq!(crowd[39].ask("last", &[1]).status, 200);
}

/// Requests that never end take every place and all room for bodies, at which usual ones were once pushed back; each is closed once no client would still wait for its answer. One
/// that was accepted but not read yet was once taken for unused, and all waited for it to close.
#[rstest]
fn a_flood_of_half_requests_does_not_shut_others_out() {
    let mut world = World::start(Setup {
        sockets: 256,
        memory_mb: 32,
        ..Setup::default()
    });
    // First large ones, then ones that fill what these leave of the room for bodies.
    let sizes = [[63_000; 70].as_slice(), &[1_000; 60], &[50; 60]].concat();
    let mut flood: Vec<Client> = sizes.iter().map(|_| world.client()).collect();
    for (i, (client, size)) in flood.iter_mut().zip(sizes).enumerate() {
        let head = head(&format!("f{i}"), "900m");
        client.try_write(
            format!("{head}Content-Length: 64000\r\n\r\n{}", "x".repeat(size)).as_bytes(),
        );
    }
    assert!(
        world.most_memory() < 32 * 1024,
        "{} KB",
        world.most_memory()
    );
    assert_eq!(world.client().ask("q1", &[1, 2, 3]).status, 200);
    assert!(world.runs());
}

/// Those that don't get to the point are owed an end within 3 s; meanwhile others are served, and a connection that
/// was used is kept.
#[rstest]
#[case::silence("", "")]
#[case::a_head_that_never_ends("POST /look HTTP/1.1\r\nHost: a\r\n", "A: b\r\n")]
#[case::a_head_beyond_sense("POST /look HTTP/1.1\r\nHost: a\r\nA: ", "many more letters")]
#[case::a_body_in_drops(
    "POST /look HTTP/1.1\r\nHost: a\r\nReq-Id: q\r\nReq-Kind: look\r\nReq-Owner: acme\r\nReq-Deadline: 4000m\r\nContent-Length: 60000\r\n\r\n",
    "x"
)]
fn who_does_not_get_to_the_point_is_closed(#[case] begin: &str, #[case] goes_on: &str) {
    let world = World::start(Setup::default());
    let (mut used, mut client, began) = (world.client(), world.client(), Instant::now());
    assert_eq!(used.ask("q0", &[1]).status, 200);
    let taken = client.try_write(begin.as_bytes());
    while taken && began.elapsed() < LONG && client.try_write(goes_on.as_bytes()) {
        thread::sleep(Duration::from_millis(10));
        if goes_on.is_empty() {
            assert!(client.read().is_none());
            break;
        }
    }
    assert!(began.elapsed() < LONG / 2, "it was never closed");
    assert_eq!(used.ask("q1", &[1]).status, 200);
}

/// Answers keep the order of their requests, whatever stands between and behind them.
#[rstest]
fn many_requests_at_once_on_one_connection_are_all_answered_in_order() {
    let world = World::start(Setup::default());
    let mut client = world.client();
    let mut all = Vec::new();
    for i in 0..30 {
        let parts: &[usize] = if i % 3 == 0 { &[99] } else { &[1, 2] };
        all.extend(request(&format!("q{i}"), &body(parts)));
    }
    all.extend(b"and then\0 noise\r\n\r\n");
    client.write(&all);
    for i in 0..30 {
        let answer = client.read().expect("an answer");
        if i % 3 == 0 {
            assert_eq!(answer.status, 400);
        } else {
            assert_eq!(answer.values(), values(&format!("q{i}"), &[1, 2]));
        }
    }
    assert!(client.read().is_none_or(|answer| answer.status == 400));
}

/// With two mixers stopped one after the other, clients that have a connection are served until shortly before it
/// would be killed.
#[rstest]
fn told_to_stop_it_serves_on_for_a_while_answers_what_it_has_and_ends_well() {
    let mut world = World::start(Setup::default());
    world.all_do(|_| Act::Silent);
    let (mut busy, mut used, mut stuck) = (world.client(), world.client(), world.client());
    busy.write(&request("q1", &body(&[3])));
    world.until(|| !world.sends("q1").is_empty());
    world.terminate();
    let told = Instant::now();
    world.until(|| world.get("/up").status != 200);
    world.all_do(|part| {
        if part.id.starts_with("q9") {
            Act::Silent
        } else {
            Act::Good
        }
    });
    assert_eq!(busy.read().expect("an answer").status, 200);
    for i in 0..10 {
        assert_eq!(used.ask(&format!("r{i}"), &[1]).status, 200);
        thread::sleep(Duration::from_millis(100));
    }
    // What is still in hand near the end is given up, not left unanswered.
    stuck.write(&request("q9", &body(&[3])));
    assert!(used.read().is_none(), "an unused connection is closed");
    assert_eq!(stuck.read().expect("an answer").status, 503);
    assert!(world.ended().success());
    assert!(told.elapsed() < Duration::from_millis(3_700) + LONG / 4);
}

#[rstest]
fn a_client_that_never_ends_its_request_does_not_hold_up_the_end() {
    let mut world = World::start(Setup::default());
    let mut slow = world.client();
    slow.write(b"POST /look HTTP/1.1\r\nHost: a\r\nReq-");
    thread::sleep(Duration::from_millis(50));
    world.terminate();
    assert!(world.ended().success());
}

/// A frame stuck half written must not arrive after its multiget has its final answer: giving it up ends the
/// connection.
#[rstest]
fn a_searcher_that_stops_reading_is_broken_off() {
    let world = World::start(Setup {
        searchers: 1,
        most_calls: 200,
        ..Setup::default()
    });
    let stuck = &world.searchers[0];
    stuck.reads(false);
    let ranges: Vec<_> = (0..4)
        .map(|s| json!({ "range": s, "portion": 0.25 }))
        .collect();
    let body = json!({ "ranges": ranges, "predicate": "x".repeat(60_000) }).to_string();
    // More than the system holds between two ends.
    let mut clients: Vec<Client> = (0..50).map(|_| world.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        let head = head(&format!("q{i}"), "1000m");
        client.write(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
    }
    for client in &mut clients {
        assert_eq!(client.read().expect("an answer").status, 503);
    }
    stuck.reads(true);
    stuck.until(|log| log.closed >= 1);
}

/// A copy that waits for its connection must not leave once another's answer has ended its multiget, nor once
/// the list says that its searcher drains.
#[rstest]
fn what_is_taken_back_before_it_has_left_never_arrives() {
    on_connections(
        Setup::default(),
        async move |searcher, searchers, arrivals| {
            let (to, id) = (SearcherId::new("s0"), |shard: usize| {
                PartId::new(&format!("q.{shard}"))
            });
            for shard in 0..2 {
                assert!(searchers.send(&to, call(shard)).is_ok());
            }
            assert!(searchers.cancel_unsent(&to, &id(0), 0));
            assert!(
                matches!(arrivals.recv().await, Some(RouterEvent::SendEnded(ended)) if ended.part == id(1))
            );
            assert!(
                !searchers.cancel_unsent(&to, &id(1), 0),
                "it has left and come back"
            );
            assert!(searchers.send(&to, call(2)).is_ok());
            assert_eq!(searchers.drain(&to), [(id(2), 0)]);
            assert!(searchers.send(&to, call(3)).is_err());
            let came: Vec<String> = searcher.log().parts.into_iter().map(|p| p.id).collect();
            assert_eq!(came, ["q.1"]);
        },
    );
}
