//! End-to-end tests of the mixer with clients, searchers and discovery.

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
use lockusher_multiget::list::SearcherEndpoint;
use lockusher_policy::interface::*;
use rstest::rstest;
use serde_json::json;

fn values(id: &str, shards: &[u64]) -> Vec<(u64, String)> {
    shards.iter().map(|s| (*s, format!("v{id}.{s}"))).collect()
}

#[rstest]
fn a_multiget_is_answered_completely_and_its_text_is_forwarded_unchanged() {
    // Non-retriable parts: others may be retried when they are late, as on a busy machine.
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
    // Further requests reuse the client connection, and the connections to searchers.
    let mut client = world.client();
    for i in 0..20 {
        assert_eq!(client.ask(&format!("m{i}"), &[i, i + 1]).status, 200);
    }
    assert!(world.searchers.iter().all(|s| s.log().opened <= 2));
    assert!(
        world
            .searchers
            .iter()
            .any(|s| s.log().other_frames == ["ogood", "p-"]),
        "probes are answered"
    );
}

/// Portions are rounded in decimal notation: three of 0.333333 must not fall below the minimum share, or the
/// multiget is pushed back.
#[rstest]
fn rounded_portions_count_as_a_whole() {
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
fn a_chunked_body_sent_byte_by_byte_is_read() {
    let world = World::start(Setup::default());
    let (text, mut client) = (body(&[5, 6]), world.client());
    let (first, second) = text.split_at(text.len() / 2);
    let chunks = format!(
        "{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n",
        first.len(),
        second.len()
    );
    let request_text = format!(
        "{}Transfer-Encoding: chunked\r\n\r\n{chunks}",
        head("q1", "4000000u")
    );
    for byte in request_text.as_bytes() {
        client.write(&[*byte]);
    }
    assert_eq!(
        client.read().expect("an answer").values(),
        values("q1", &[5, 6])
    );
    assert_eq!(
        client.ask("q2", &[1]).status,
        200,
        "the connection stays open"
    );
}

#[rstest]
fn the_second_step_goes_to_the_highest_scores_and_lists_the_answered_shards() {
    let world = World::start(Setup {
        second_step: 2,
        ..Setup::default()
    });
    let answer = world.client().ask("q1", &[9, 3, 5, 7]);
    // Scores decrease with the shard number.
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
#[case::error(PartAction::Bad)]
#[case::rejected(PartAction::Later)]
#[case::reset(PartAction::Break)]
#[case::silence(PartAction::Silent)]
#[case::malformed_frame(PartAction::MalformedAnswer)]
#[case::frame_of_invalid_length(PartAction::ExcessiveLength)]
#[case::frame_rejected_by_the_searcher(PartAction::UnusedFrame)]
#[case::incomplete_frame(PartAction::Endless)]
#[case::answer_to_an_unknown_part(PartAction::UnknownPart)]
#[case::unknown_status(PartAction::UnknownEnd)]
#[case::unknown_frame_type(PartAction::UnknownFrameType)]
#[case::value_containing_another_frame(PartAction::EmbeddedFrame)]
fn a_part_that_fails_at_one_searcher_is_served_by_another(#[case] act: PartAction) {
    // A distant target keeps retries from being late themselves on a busy machine.
    let world = World::start(Setup {
        latency_target_ms: 2_000,
        deadline_ms: 10_000,
        ..Setup::default()
    });
    // The first searcher that receives a part fails it; the others serve.
    let first = std::sync::Arc::new(AtomicUsize::new(0));
    world.set_all_scripts(move |_| {
        if first.fetch_add(1, Ordering::SeqCst) == 0 {
            act
        } else {
            PartAction::Good
        }
    });
    let answer = world.client().ask("q1", &[3]);
    assert_eq!((answer.status, answer.values()), (200, values("q1", &[3])));
    let sends = world.sends("q1");
    assert!(sends.len() == 2 && sends[0].0 != sends[1].0, "{sends:?}");
}

#[rstest]
#[case::a_rejection_never_ran(PartAction::Later, true)]
#[case::an_error_may_have_run(PartAction::Bad, false)]
#[case::a_reset_may_have_run(PartAction::Break, false)]
fn a_non_retriable_part_is_retried_only_if_it_never_ran(
    #[case] act: PartAction,
    #[case] retried: bool,
) {
    let world = World::start(Setup {
        effect: "unsafe",
        ..Setup::default()
    });
    let first = std::sync::Arc::new(AtomicUsize::new(0));
    world.set_all_scripts(move |_| {
        if first.fetch_add(1, Ordering::SeqCst) == 0 {
            act
        } else {
            PartAction::Good
        }
    });
    let answer = world.client().ask("q1", &[3]);
    let sends = world.sends("q1").len();
    // A part that may have run is neither retried nor pushed back: it fails, with a status other than 429 or 503.
    assert_eq!(
        (answer.status, sends),
        if retried { (200, 2) } else { (500, 1) }
    );
}

/// A part that was never written is known not to have run, even if it is non-retriable.
#[rstest]
fn a_part_whose_connection_is_refused_is_known_not_to_have_run() {
    let world = World::start(Setup {
        effect: "unsafe",
        searchers: 1,
        ..Setup::default()
    });
    // A port without a listener stands for two of the three searchers.
    let unused_port = std::net::TcpListener::bind("127.0.0.1:0")
        .expect("a port")
        .local_addr()
        .expect("an address");
    let dead = |name: &str, group| {
        let mut line = line(&world.searchers[0], group, "active");
        (line["name"], line["address"]) = (name.into(), unused_port.to_string().into());
        line
    };
    let lines = vec![
        line(&world.searchers[0], 0, "active"),
        dead("x", 1),
        dead("y", 2),
    ];
    world.discovery.publish(2, true, lines);
    world.discovery.wait_watched(2);
    let mut client = world.client();
    for i in 0..8 {
        let answer = client.ask(&format!("q{i}"), &[i]);
        assert!(answer.status == 200 || answer.status == 503, "{answer:?}");
    }
}

/// A malformed answer fails its own part; other parts on the connection end as the protocol defines, the connection
/// is not used again, and the searcher is not taken for one that died and restarted cold.
#[rstest]
#[case::invalid_length(PartAction::ExcessiveLength, Outcome::Error, Outcome::Cancelled)]
#[case::unknown_status(PartAction::UnknownEnd, Outcome::Error, Outcome::Cancelled)]
#[case::incomplete_frame(PartAction::Endless, Outcome::Error, Outcome::Cancelled)]
#[case::unknown_part(PartAction::UnknownPart, Outcome::Error, Outcome::Cancelled)]
#[case::a_broken_connection(PartAction::Break, Outcome::ConnectionLost, Outcome::ConnectionLost)]
fn a_malformed_answer_fails_its_part_and_withdraws_the_others_on_its_connection(
    #[case] act: PartAction,
    #[case] own: Outcome,
    #[case] other: Outcome,
) {
    on_connections(
        Setup::default(),
        async move |searcher, searchers, arrivals| {
            let to = SearcherId::new("s0");
            searcher.set_script(move |part| {
                if part.id == "q.2" {
                    act
                } else {
                    PartAction::Silent
                }
            });
            for shard in [2, 3] {
                assert!(searchers.send(&to, call(shard)).is_ok());
            }
            let mut ends = HashMap::new();
            for _ in 0..2 {
                let Some(RouterEvent::SendEnded(ended)) = arrivals.recv().await else {
                    panic!("expected the end of a send")
                };
                ends.insert(ended.part.as_str().to_owned(), ended.outcome);
            }
            assert_eq!(
                ends,
                HashMap::from([("q.2".to_owned(), own), ("q.3".to_owned(), other)])
            );
            searcher.set_script(|_| PartAction::Good);
            assert!(searchers.send(&to, call(4)).is_ok());
            assert!(
                matches!(arrivals.recv().await, Some(RouterEvent::SendEnded(e)) if e.outcome == Outcome::Returned)
            );
            assert_eq!(searcher.log().opened, 2);
        },
    );
}

/// Surplus data after a valid answer must not invalidate it. Every searcher answers alike, so an answer invalidated
/// by what follows it would fail everywhere and the client would not get its value; one that is accepted but not
/// trusted would be retried after the client has it. The number of sends is not checked: garbage ends each
/// connection, the next send waits for a new one, and on a busy machine that is late enough for a hedged request.
#[rstest]
#[case::answer_repeated(PartAction::Twice)]
#[case::followed_by_garbage(PartAction::Noise)]
#[case::malformed_load_report(PartAction::OddReport)]
fn a_valid_answer_followed_by_surplus_data_counts(#[case] act: PartAction) {
    let world = World::start(Setup::default());
    world.set_all_scripts(move |_| act);
    let mut client = world.client();
    let mut answered = Vec::new();
    for i in 0..5 {
        let id = format!("q{i}");
        let sent_at = Instant::now();
        assert_eq!(client.ask(&id, &[1]).values(), values(&id, &[1]));
        answered.push((id, sent_at.elapsed()));
    }
    // The later multigets leave time for a late send of an earlier one to show.
    for (id, took) in answered {
        let sends = world.sends(&id);
        let in_time = |(_, seen): &(String, PartRequest)| sent_after(seen) <= took + ROUNDING;
        assert!(
            sends.iter().all(in_time),
            "sent after its answer, which took {took:?}: {sends:?}"
        );
    }
}

/// The clients' time limit of 4 s, less the mixer's reserve for its answer: three ticks of 5 ms, and 5 ms.
const TIME_BUDGET: Duration = Duration::from_millis(3_980);
/// Times on the wire are whole milliseconds.
const ROUNDING: Duration = Duration::from_millis(1);

/// How long after its multiget arrived a part was sent, computed from the remaining time in the call, so that it
/// does not depend on when the searcher reads it.
fn sent_after(seen: &PartRequest) -> Duration {
    let left = seen
        .list
        .strip_prefix("d=")
        .and_then(|rest| rest.split(',').next())
        .expect("time left");
    let left = Duration::from_millis(left.parse().expect("milliseconds"));
    TIME_BUDGET
        .checked_sub(left)
        .expect("no more than the time budget")
}

/// A late part is lost together with its connection if the searcher answers a probe on a new connection only; if
/// the old one answers as well, the searcher is merely slow. Without the probe, parts on a dead connection are
/// waited for until the client's time is up. Frames that the searcher sends unasked on the new connection are no
/// answer: a greeting must not make a slow searcher's part count as lost.
#[rstest]
#[case::the_connection_is_dead(PartAction::Mute, true)]
#[case::the_searcher_is_slow(PartAction::Silent, false)]
fn a_late_answer_triggers_a_liveness_check_of_its_connection(
    #[case] act: PartAction,
    #[case] connection_dead: bool,
) {
    on_connections(
        Setup::default(),
        async move |searcher, searchers, arrivals| {
            let to = SearcherId::new("s0");
            searcher.set_script(move |part| {
                if part.id == "q.1" {
                    act
                } else {
                    PartAction::Good
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
            searcher.hold_health_checks();
            searchers.check_liveness(&to, &PartId::new("q.1"), 0);
            // The mixer has answered both probes of the new connection's greeting, so it has read the greeting.
            while searcher.log().other_frames.len() < 4 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            assert!(
                arrivals.try_recv().is_err(),
                "a greeting is no answer on the older connection"
            );
            while !searcher.answer_health_checks(if connection_dead { 2 } else { 1 }) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            if connection_dead {
                assert!(
                    matches!(arrivals.recv().await, Some(RouterEvent::SendEnded(e)) if e.outcome == Outcome::ConnectionStalled)
                );
            }
            assert!(searchers.send(&to, call(2)).is_ok());
            let Some(RouterEvent::SendEnded(ended)) = arrivals.recv().await else {
                panic!("expected the end of a send")
            };
            assert_eq!(
                (ended.part.as_str(), ended.outcome),
                ("q.2", Outcome::Returned)
            );
            assert_eq!(searcher.log().opened, 2);
        },
    );
}

/// A mixer that stalls in the middle of a batch writes the rest of it later, when a client may have disconnected.
#[rstest]
fn abandoned_parts_are_not_written() {
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
                "it can be cancelled"
            );
            assert_eq!(searcher.log().parts.len(), 1);
        },
    );
}

/// An answer must not overtake a frame that has just been written to a searcher.
#[rstest]
fn a_frame_just_written_is_reported_as_in_transit() {
    on_connections(
        Setup {
            connect_ms: 500_000,
            ..Setup::default()
        },
        async move |searcher, searchers, _| {
            let (to, part) = (SearcherId::new("s0"), PartId::new("q.1"));
            searcher.set_script(|_| PartAction::Silent);
            assert!(searchers.send(&to, call(1)).is_ok());
            assert_eq!(
                searchers.in_transit_until(&to, &part, 0),
                None,
                "it has not been written"
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

/// A connection on which a send timed out and nothing has been received since takes no new calls; with no
/// descriptor left, an idle connection elsewhere is closed to make room.
#[rstest]
fn silent_connections_take_no_new_calls_and_idle_ones_make_room() {
    on_connections(
        Setup {
            sockets: 64,
            ..Setup::default()
        },
        async move |searcher, searchers, arrivals| {
            let to = SearcherId::new("s0");
            searcher.set_script(|part| {
                if part.id == "q.1" {
                    PartAction::Silent
                } else {
                    PartAction::Good
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
            searcher.set_script(|_| PartAction::Good);
            for shard in 2..4 {
                assert!(searchers.send(&to, call(shard)).is_ok());
                assert!(
                    matches!(arrivals.recv().await, Some(RouterEvent::SendEnded(e)) if e.outcome == Outcome::Returned)
                );
            }
            assert_eq!(searcher.log().opened, 2);
            // A quarter of 64 is 16: many more searchers than that are called in turn.
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
                    SearcherEndpoint {
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
        max_parts_per_call: 3,
        ..Setup::default()
    });
    let answer = world.client().ask("q1", &[1, 2, 3, 4, 5]);
    assert_eq!(answer.values(), values("q1", &[1, 2, 3, 4, 5]));
}

#[rstest]
fn parts_of_a_disconnected_client_are_cancelled() {
    let world = World::start(Setup::default());
    world.set_all_scripts(|_| PartAction::Silent);
    let mut client = world.client();
    client.write(&request("q1", &body(&[3])));
    world.until(|| !world.sends("q1").is_empty());
    drop(client);
    world.until(|| {
        world
            .searchers
            .iter()
            .any(|s| s.log().cancellations == ["q1.3"])
    });
    // The id can be used again, and the mixer keeps serving.
    world.set_all_scripts(|_| PartAction::Good);
    assert_eq!(world.client().ask("q1", &[3]).status, 200);
}

/// A mixer with a share of a core may be stalled while a client sends a request and disconnects, or while a hedged
/// request falls due.
#[rstest]
fn nothing_is_sent_for_a_client_that_disconnects_while_the_mixer_is_stalled() {
    let world = World::start(Setup::default());
    let (mut leaving_client, mut waiting_client) = (world.client(), world.client());
    world.set_all_scripts(|_| PartAction::Silent);
    waiting_client.write(&request("q3", &body(&[3])));
    world.until(|| !world.sends("q3").is_empty());
    world.while_paused(|| {
        leaving_client.write(&request("q4", &body(&[1, 2, 3])));
        drop((leaving_client, waiting_client));
        thread::sleep(Duration::from_millis(1_500));
    });
    world.set_all_scripts(|_| PartAction::Good);
    assert_eq!(world.client().ask("q5", &[3]).status, 200);
    assert_eq!((world.sends("q3").len(), world.sends("q4").len()), (1, 0));
}

/// Parts that wait for connections which come up slowly are answered elsewhere meanwhile, and must not be written
/// when the connections come up after all.
#[rstest]
#[case::another_part_is_pending(0)]
#[case::during_the_second_step(2)]
fn an_answered_part_is_not_sent_again(#[case] second_step: usize) {
    let world = World::start(Setup {
        searchers: 1,
        connect_ms: 10_000,
        second_step,
        ..Setup::default()
    });
    let with_full_backlog = [
        Searcher::with_full_backlog("x"),
        Searcher::with_full_backlog("y"),
    ];
    let mut lines = vec![line(&world.searchers[0], 0, "active")];
    lines.extend(
        with_full_backlog
            .iter()
            .enumerate()
            .map(|(i, (s, _))| line(s, i + 1, "active")),
    );
    world.discovery.publish(2, true, lines);
    world.discovery.wait_watched(2);
    // One part is never answered: part 4, or a part of the second step.
    let silent = move |part: &PartRequest| {
        if second_step > 0 {
            part.id.ends_with(".r")
        } else {
            part.shard == 4
        }
    };
    world.set_all_scripts(move |part| {
        if silent(part) {
            PartAction::Silent
        } else {
            PartAction::Good
        }
    });
    let mut client = world.client();
    client.write(&request("q1", &body(&[0, 1, 2, 3, 4, 5])));
    let others =
        |sends: &[(String, PartRequest)]| sends.iter().filter(|(_, part)| !silent(part)).count();
    world.until(|| {
        others(&world.sends("q1")) >= 5 && world.sends("q1").iter().any(|(_, part)| silent(part))
    });
    let with_full_backlog = with_full_backlog.map(|(searcher, unclog)| {
        unclog();
        searcher
    });
    // Sends of the pending part are written.
    let received = || {
        with_full_backlog
            .iter()
            .flat_map(|searcher| searcher.log().parts)
            .collect::<Vec<_>>()
    };
    world.until(|| !received().is_empty());
    assert!(received().iter().all(silent), "{:?}", received());
}

#[rstest]
fn an_id_in_flight_is_rejected() {
    let world = World::start(Setup::default());
    world.set_all_scripts(|_| PartAction::Silent);
    let mut first = world.client();
    first.write(&request("q1", &body(&[3])));
    world.until(|| !world.sends("q1").is_empty());
    assert_eq!(world.client().ask("q1", &[3]).status, 409);
    world.set_all_scripts(|_| PartAction::Good);
    assert_eq!(
        first.read().expect("an answer").values(),
        values("q1", &[3])
    );
}

#[rstest]
#[case::draining("leaving")]
#[case::gone("left")]
fn a_draining_or_removed_searcher_receives_no_new_parts(#[case] status: &str) {
    let world = World::start(Setup::default());
    world
        .discovery
        .publish(2, false, vec![line(&world.searchers[0], 0, status)]);
    world.discovery.wait_watched(2);
    let before = world.searchers[0].log().parts.len();
    let mut client = world.client();
    for i in 0..20 {
        assert_eq!(client.ask(&format!("q{i}"), &[i]).status, 200);
    }
    assert_eq!(world.searchers[0].log().parts.len(), before);
}

#[rstest]
#[case::errors(DiscoveryBehavior::Errors)]
#[case::nonsense(DiscoveryBehavior::Nonsense)]
#[case::silence(DiscoveryBehavior::Nothing)]
fn the_last_list_is_used_while_discovery_fails(#[case] says: DiscoveryBehavior) {
    let world = World::start(Setup::default());
    world.discovery.set_behavior(says);
    assert_eq!(world.client().ask("q1", &[1, 2]).status, 200);
    // After its return, versions start anew: the complete list applies, and one searcher is missing from it.
    let left: Vec<_> = (1..3)
        .map(|i| line(&world.searchers[i], i, "active"))
        .collect();
    world.discovery.publish(0, true, left);
    world.discovery.set_behavior(DiscoveryBehavior::Lists);
    world.discovery.wait_watched(0);
    let before = world.searchers[0].log().parts.len();
    for i in 0..10 {
        assert_eq!(world.client().ask(&format!("r{i}"), &[i]).status, 200);
    }
    assert_eq!(world.searchers[0].log().parts.len(), before);
}

/// If discovery sends lists on request only, a failure is reported to the decision module, which requests a list
/// again.
#[rstest]
#[case::errors(DiscoveryBehavior::Errors)]
#[case::nonsense(DiscoveryBehavior::Nonsense)]
fn a_failed_watch_is_requested_again(#[case] says: DiscoveryBehavior) {
    let world = World::start(Setup {
        lists_on_request: true,
        ..Setup::default()
    });
    world.discovery.set_behavior(says);
    assert_eq!(world.client().ask("q1", &[1]).status, 200);
    world
        .discovery
        .publish(7, true, vec![line(&world.searchers[1], 1, "active")]);
    world.discovery.set_behavior(DiscoveryBehavior::Lists);
    world.discovery.wait_watched(7);
    assert_eq!(world.client().ask("q2", &[1]).status, 200);
    assert!(world.sends("q2").iter().all(|(to, _)| to == "s1"));
}

/// SIGHUP must not end the process: multigets in flight and learned state are kept, and changes come from the new
/// address.
#[rstest]
#[case::pushed(false)]
#[case::on_request(true)]
fn a_reload_changes_the_discovery_address_and_nothing_else(#[case] lists_on_request: bool) {
    let mut world = World::start(Setup {
        lists_on_request,
        ..Setup::default()
    });
    world.discovery.wait_watched(1);
    world.set_all_scripts(|_| PartAction::Silent);
    let mut busy = world.client();
    busy.write(&request("q1", &body(&[3])));
    world.until(|| !world.sends("q1").is_empty());
    let lines = |left: std::ops::Range<usize>| {
        left.map(|i| line(&world.searchers[i], i, "active"))
            .collect()
    };
    let (old, new) = (world.discovery.clone(), Discovery::start(lines(0..3)));
    new.publish(2, false, vec![line(&world.searchers[0], 0, "left")]);
    world.discovery = new.clone();
    // An invalid file changes nothing; of several reloads in a row the last one counts.
    world.reload("seed", "no digits");
    world.reload("seed", "5eed");
    world.reload("discovery", new.address.to_string());
    new.wait_watched(2);
    // The old address is no longer watched.
    old.publish(9, true, Vec::new());
    world.set_all_scripts(|_| PartAction::Good);
    assert_eq!(busy.read().expect("an answer").status, 200);
    let before = world.searchers[0].log().parts.len();
    let mut client = world.client();
    for i in 0..10 {
        assert_eq!(client.ask(&format!("r{i}"), &[i]).status, 200);
    }
    assert_eq!(world.searchers[0].log().parts.len(), before);
    world.terminate();
    world.reload("seed", "5eed");
    assert!(world.wait_ended().success());
}

#[rstest]
fn a_searcher_that_moves_is_called_at_its_new_address() {
    let world = World::start(Setup {
        searchers: 1,
        ..Setup::default()
    });
    assert_eq!(world.client().ask("q1", &[1]).status, 200);
    let moved = Searcher::start("s0");
    world
        .discovery
        .publish(2, false, vec![line(&moved, 0, "active")]);
    world.discovery.wait_watched(2);
    assert_eq!(world.client().ask("q2", &[1]).status, 200);
    assert_eq!(moved.log().parts.len(), 1);
    world.searchers[0].until(|log| log.closed == log.opened);
}

#[rstest]
#[case::pushed(false)]
#[case::on_request(true)]
fn without_a_known_list_it_serves_once_discovery_has_sent_one(#[case] lists_on_request: bool) {
    let world = World::start(Setup {
        has_known_list: false,
        lists_on_request,
        ..Setup::default()
    });
    assert_eq!(world.client().ask("q1", &[1, 2]).status, 200);
}

#[rstest]
fn an_idle_connection_is_closed_before_the_searcher_closes_it() {
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
#[case::portions_that_do_not_sum_to_one(
    request("q1", r#"{"ranges":[{"range":1,"portion":0.5}]}"#),
    400
)]
#[case::an_unknown_path(b"POST /other HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".to_vec(), 404)]
#[case::another_method(b"GET /look HTTP/1.1\r\nHost: a\r\n\r\n".to_vec(), 405)]
#[case::an_op_type_other_than_the_path(b"POST /look HTTP/1.1\r\nHost: a\r\nReq-Kind: a\r\nContent-Length: 0\r\n\r\n".to_vec(), 400)]
#[case::no_headers(b"POST /look HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".to_vec(), 400)]
#[case::an_unknown_tenant(replaced("acme", "nobody"), 400)]
#[case::a_deadline_without_a_unit(replaced("4000m", "4000"), 400)]
#[case::a_deadline_that_overflows(replaced("4000m", "99999999999999999999m"), 400)]
#[case::an_id_with_a_separator(replaced("q1", "q 1"), 400)]
#[case::a_body_too_large(request("q1", &"x".repeat(70_000)), 413)]
#[case::a_body_of_a_length_too_large(replaced("Content-Length: ", "Content-Length: 60000"), 413)]
#[case::a_negative_length(replaced("Content-Length: ", "Content-Length: -"), 400)]
#[case::two_lengths(replaced("Req-Kind", "Content-Length: 5\r\nReq-Kind"), 400)]
#[case::a_length_and_chunks(replaced("Req-Kind", "Transfer-Encoding: chunked\r\nReq-Kind"), 400)]
#[case::a_header_given_twice(replaced("Req-Kind", "Req-Id: q1\r\nReq-Kind"), 400)]
#[case::an_upgrade(replaced("Req-Kind", "Upgrade: websocket\r\nReq-Kind"), 400)]
#[case::a_path_with_a_suffix(replaced("/look", "/look/more"), 404)]
#[case::a_deadline_of_zero(replaced("4000m", "0m"), 400)]
#[case::a_deadline_beyond_a_day(replaced("4000m", "999999999999m"), 400)]
#[case::no_predicate(replaced("predicate", "whatever!"), 400)]
#[case::a_portion_of_zero(
    request(
        "q1",
        r#"{"ranges":[{"range":1,"portion":1},{"range":2,"portion":0}],"predicate":""}"#
    ),
    400
)]
#[case::a_negative_price(
    request(
        "q1",
        r#"{"ranges":[{"range":1,"portion":1,"price":-4}],"predicate":""}"#
    ),
    400
)]
#[case::not_http(b"what is this\r\n\r\n".to_vec(), 400)]
fn an_invalid_request_is_rejected_at_once(#[case] bytes: Vec<u8>, #[case] status: u16) {
    let mut world = World::start(Setup::default());
    let mut client = world.client();
    client.write(&bytes);
    assert_eq!(client.read().expect("an answer").status, status);
    assert!(world.sends("q1").is_empty());
    assert_eq!(world.client().ask("q2", &[1]).status, 200);
    assert!(world.is_running());
}

fn replaced(what: &str, by: &str) -> Vec<u8> {
    String::from_utf8(request("q1", &body(&[1])))
        .expect("text")
        .replace(what, by)
        .into_bytes()
}

#[rstest]
fn requests_beyond_the_in_flight_limit_are_pushed_back_at_once() {
    let world = World::start(Setup {
        max_in_flight: 5,
        ..Setup::default()
    });
    world.set_all_scripts(|_| PartAction::Silent);
    let mut first = world.client();
    first.write(&request("q1", &body(&[1, 2])));
    world.until(|| world.sends("q1").len() >= 2);
    assert_eq!(world.client().ask("q2", &[1, 2]).status, 503);
    world.set_all_scripts(|_| PartAction::Good);
    assert_eq!(first.read().expect("an answer").status, 200);
    assert_eq!(
        world.client().ask("q3", &[1, 2]).status,
        200,
        "capacity is free again"
    );
}

/// Connections that never send a request, or only check readiness, must not shut others out, nor use up the
/// descriptors for searchers and discovery.
#[rstest]
fn idle_connections_do_not_shut_out_active_ones() {
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
        "a connection that carried a multiget is kept longer"
    );
    // Connections closed to make room see a regular close, and no unsolicited response.
    assert!(flood[0].read().is_none());
    assert!(world.is_running());
}

/// Clients may hold a third of the descriptors for requests; connections that send one request and stay open must
/// not use up all of them.
#[rstest]
fn connections_kept_open_after_one_request_are_limited() {
    let world = World::start(Setup {
        sockets: 128,
        ..Setup::default()
    });
    let mut clients = Vec::new();
    for i in 0..40 {
        let mut client = world.client();
        assert_eq!(client.ask(&format!("q{i}"), &[1]).status, 200);
        clients.push(client);
    }
    // A quarter is kept: the most recently used.
    assert!(clients[0].read().is_none());
    assert_eq!(clients[39].ask("last", &[1]).status, 200);
}

/// Incomplete requests occupy every slot and all the memory for bodies. Usual requests must not be pushed back
/// because of them; each is closed once no client would still wait for its answer. A connection that was accepted
/// but not read yet must not be taken for an idle one.
#[rstest]
fn incomplete_requests_do_not_shut_out_others() {
    let mut world = World::start(Setup {
        sockets: 256,
        memory_mb: 32,
        ..Setup::default()
    });
    // First large bodies, then small ones that fill the remaining memory for bodies.
    let sizes = [[63_000; 70].as_slice(), &[1_000; 60], &[50; 60]].concat();
    let mut flood: Vec<Client> = sizes.iter().map(|_| world.client()).collect();
    for (i, (client, size)) in flood.iter_mut().zip(sizes).enumerate() {
        let head = head(&format!("f{i}"), "900m");
        client.try_write(
            format!("{head}Content-Length: 64000\r\n\r\n{}", "x".repeat(size)).as_bytes(),
        );
    }
    assert!(
        world.peak_memory_kb() < 32 * 1024,
        "{} KB",
        world.peak_memory_kb()
    );
    assert_eq!(world.client().ask("q1", &[1, 2, 3]).status, 200);
    assert!(world.is_running());
}

/// Connections without a complete request must be closed within 3 s; meanwhile others are served, and a connection
/// that carried a multiget is kept.
#[rstest]
#[case::silence("", "")]
#[case::an_endless_head("POST /look HTTP/1.1\r\nHost: a\r\n", "A: b\r\n")]
#[case::an_endless_header("POST /look HTTP/1.1\r\nHost: a\r\nA: ", "many more letters")]
#[case::a_slow_body(
    "POST /look HTTP/1.1\r\nHost: a\r\nReq-Id: q\r\nReq-Kind: look\r\nReq-Owner: acme\r\nReq-Deadline: 4000m\r\nContent-Length: 60000\r\n\r\n",
    "x"
)]
fn connections_without_a_complete_request_are_closed_in_time(
    #[case] first_bytes: &str,
    #[case] repeated: &str,
) {
    let world = World::start(Setup::default());
    let (mut used, mut client, started) = (world.client(), world.client(), Instant::now());
    assert_eq!(used.ask("q0", &[1]).status, 200);
    let taken = client.try_write(first_bytes.as_bytes());
    while taken && started.elapsed() < LONG && client.try_write(repeated.as_bytes()) {
        thread::sleep(Duration::from_millis(10));
        if repeated.is_empty() {
            assert!(client.read().is_none());
            break;
        }
    }
    assert!(started.elapsed() < LONG / 2, "it was not closed in time");
    assert_eq!(used.ask("q1", &[1]).status, 200);
}

/// Answers keep the order of their requests, whatever comes between and after them.
#[rstest]
fn pipelined_requests_are_all_answered_in_order() {
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

/// With two mixers stopped one after the other, clients with a connection are served until shortly before the
/// process would be killed.
#[rstest]
fn a_graceful_shutdown_keeps_serving_for_a_while_then_answers_requests_in_flight_and_exits() {
    let mut world = World::start(Setup::default());
    world.set_all_scripts(|_| PartAction::Silent);
    let (mut busy, mut used, mut stuck) = (world.client(), world.client(), world.client());
    busy.write(&request("q1", &body(&[3])));
    world.until(|| !world.sends("q1").is_empty());
    world.terminate();
    let stop_requested = Instant::now();
    world.until(|| world.get("/up").status != 200);
    world.set_all_scripts(|part| {
        if part.id.starts_with("q9") {
            PartAction::Silent
        } else {
            PartAction::Good
        }
    });
    assert_eq!(busy.read().expect("an answer").status, 200);
    for i in 0..10 {
        assert_eq!(used.ask(&format!("r{i}"), &[1]).status, 200);
        thread::sleep(Duration::from_millis(100));
    }
    // Multigets in flight near the end are given up, not left unanswered.
    stuck.write(&request("q9", &body(&[3])));
    assert!(used.read().is_none(), "an idle connection is closed");
    assert_eq!(stuck.read().expect("an answer").status, 503);
    assert!(world.wait_ended().success());
    assert!(stop_requested.elapsed() < Duration::from_millis(3_700) + LONG / 4);
}

#[rstest]
fn an_incomplete_request_does_not_delay_the_exit() {
    let mut world = World::start(Setup::default());
    let mut slow = world.client();
    slow.write(b"POST /look HTTP/1.1\r\nHost: a\r\nReq-");
    thread::sleep(Duration::from_millis(50));
    world.terminate();
    assert!(world.wait_ended().success());
}

/// A partly written frame must not arrive after its multiget has its final answer: cancelling it closes the
/// connection.
#[rstest]
fn the_connection_to_a_searcher_that_stops_reading_is_closed() {
    let world = World::start(Setup {
        searchers: 1,
        max_streams: 200,
        ..Setup::default()
    });
    let stuck = &world.searchers[0];
    stuck.set_reading(false);
    let ranges: Vec<_> = (0..4)
        .map(|s| json!({ "range": s, "portion": 0.25 }))
        .collect();
    let body = json!({ "ranges": ranges, "predicate": "x".repeat(60_000) }).to_string();
    // More than the socket buffers of both sides hold.
    let mut clients: Vec<Client> = (0..50).map(|_| world.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        let head = head(&format!("q{i}"), "1000m");
        client.write(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
    }
    for client in &mut clients {
        assert_eq!(client.read().expect("an answer").status, 503);
    }
    stuck.set_reading(true);
    stuck.until(|log| log.closed >= 1);
}

/// A hedged request that waits for its connection must not be written once another answer has completed its
/// multiget, nor once the list marks its searcher as draining.
#[rstest]
fn sends_cancelled_before_they_are_written_never_arrive() {
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
                "it was written and answered"
            );
            assert!(searchers.send(&to, call(2)).is_ok());
            assert_eq!(searchers.drain(&to), [(id(2), 0)]);
            assert!(searchers.send(&to, call(3)).is_err());
            let received: Vec<String> = searcher.log().parts.into_iter().map(|p| p.id).collect();
            assert_eq!(received, ["q.1"]);
        },
    );
}
