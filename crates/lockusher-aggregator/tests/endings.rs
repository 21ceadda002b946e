//! Race conditions at the end of connections, requests and processes. Each test holds one side until the mixer is
//! observed at the point in question, then lets the other event happen. `docs/design/shutdown-and-races.md` lists
//! them.

mod connections;

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use connections::{call, on_connections, up};
use lockusher_aggregator::protocol::frame::CallPart;
use lockusher_aggregator::routing::RouterEvent;
use lockusher_aggregator::routing::searcher_transport::{
    DedupWindow, Permission, SearcherTransport,
};
use lockusher_aggregator::transport::client_stream::{ClientStream, Connections};
use lockusher_aggregator::transport::clients;
use lockusher_aggregator_testbed::stand_in::*;
use lockusher_multiget::list::SearcherEndpoint;
use lockusher_policy::interface::*;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::io::{AsyncRead, ReadBuf};

/// Time within which a change must be applied, counted from when discovery knew it and was reachable, whatever
/// failed before.
const MAX_PROPAGATION: Duration = Duration::from_secs(6);

/// How the open watch ends when a searcher begins to drain.
#[derive(Clone, Copy, Debug)]
enum WatchEnd {
    Silent,
    Reset,
    Answered,
}

/// The watch ends and the next call fails as well. With a hold time of 20 s and a grace period of 2 s, a missed
/// change would be applied only after 22 s.
#[rstest]
fn a_drain_is_applied_in_time_though_the_watch_ends_and_the_next_call_fails(
    #[values(WatchEnd::Silent, WatchEnd::Reset, WatchEnd::Answered)] watch: WatchEnd,
    #[values(
        DiscoveryBehavior::Nothing,
        DiscoveryBehavior::Errors,
        DiscoveryBehavior::Nonsense,
        DiscoveryBehavior::Resets,
        DiscoveryBehavior::Half,
        DiscoveryBehavior::HalfReset,
        DiscoveryBehavior::HalfWithoutLength,
        DiscoveryBehavior::Late(Duration::from_millis(1_500))
    )]
    next: DiscoveryBehavior,
    #[values(false, true)] lists_on_request: bool,
) {
    let world = World::start(Setup {
        lists_on_request,
        ..Setup::default()
    });
    world.discovery.wait_watched(1);
    world.discovery.script_next([next]);
    let started = Instant::now();
    match watch {
        WatchEnd::Silent => world.discovery.stop_answering(),
        WatchEnd::Reset => world.discovery.reset_connections(),
        // Only the call after the watch fails.
        WatchEnd::Answered => world.discovery.wait_script_used(),
    }
    world
        .discovery
        .publish(2, false, vec![line(&world.searchers[0], 0, "leaving")]);
    world.discovery.wait_watched(2);
    assert!(
        started.elapsed() < MAX_PROPAGATION,
        "applied after {:?}",
        started.elapsed()
    );
    let before = world.searchers[0].log().parts.len();
    let mut client = world.client();
    for i in 0..10 {
        assert_eq!(client.ask(&format!("q{i}"), &[i]).status, 200);
    }
    assert_eq!(world.searchers[0].log().parts.len(), before);
}

/// An agent that was down must be called again soon after its return; clients that hold every descriptor they can
/// get must leave the ones for the agent and for new searchers.
#[rstest]
#[case::pushed(false, 0)]
#[case::on_request(true, 0)]
#[case::idle_clients_in_all_slots(false, 600)]
#[case::on_request_idle_clients_in_all_slots(true, 600)]
fn a_drain_is_applied_in_time_after_the_agent_was_down(
    #[case] lists_on_request: bool,
    #[case] idle: usize,
) {
    let mut world = World::start(Setup {
        lists_on_request,
        ask_every_ms: 60_000,
        sockets: 80,
        ..Setup::default()
    });
    world.discovery.wait_watched(1);
    world.discovery.stop_listening();
    let idle_clients: Vec<Client> = (0..idle).map(|_| world.client()).collect();
    assert_eq!(world.client().ask("q0", &[1]).status, 200);
    // By then the delays between calls have grown to their maximum.
    world.discovery.script_next([DiscoveryBehavior::Errors; 6]);
    world.discovery.listen_again();
    world.discovery.wait_script_used();
    world.discovery.set_behavior(DiscoveryBehavior::Nothing);
    let new = Searcher::start("s9");
    let mut lines: Vec<_> = (0..3)
        .map(|i| line(&world.searchers[i], i, "leaving"))
        .collect();
    lines.extend((0..3).map(|group| {
        let mut line = line(&new, group, "active");
        line["name"] = format!("n{group}").into();
        line
    }));
    world.discovery.publish(2, true, lines);
    let started = Instant::now();
    world.discovery.set_behavior(DiscoveryBehavior::Lists);
    world.discovery.wait_watched(2);
    assert!(
        started.elapsed() < MAX_PROPAGATION,
        "applied after {:?}",
        started.elapsed()
    );
    let before = world.sends("").len();
    assert_eq!(world.client().ask("q1", &[1, 2, 3]).status, 200);
    assert_eq!(world.sends("").len(), before);
    drop(idle_clients);
    assert!(world.is_running());
}

/// SIGHUP changes the address of discovery and the first call there fails: changes must be applied within 4 s of
/// the signal.
#[rstest]
#[case::silence(DiscoveryBehavior::Nothing)]
#[case::an_error(DiscoveryBehavior::Errors)]
#[case::a_reset(DiscoveryBehavior::Resets)]
#[case::half_a_list(DiscoveryBehavior::HalfWithoutLength)]
fn a_drain_is_applied_in_time_after_an_address_change_whose_first_call_fails(
    #[case] first: DiscoveryBehavior,
) {
    let mut world = World::start(Setup::default());
    world.discovery.wait_watched(1);
    let new = Discovery::start(
        (0..3)
            .map(|i| line(&world.searchers[i], i, "active"))
            .collect(),
    );
    new.publish(2, false, vec![line(&world.searchers[0], 0, "leaving")]);
    new.script_next([first]);
    let started = Instant::now();
    world.reload("discovery", new.address.to_string());
    new.wait_watched(2);
    assert!(
        started.elapsed() < Duration::from_secs(4),
        "applied after {:?}",
        started.elapsed()
    );
    let before = world.searchers[0].log().parts.len();
    let mut client = world.client();
    for i in 0..10 {
        assert_eq!(client.ask(&format!("q{i}"), &[i]).status, 200);
    }
    assert_eq!(world.searchers[0].log().parts.len(), before);
}

/// More than the mixer reads ahead of the current request, so that some bytes stay unread.
const UNREAD_BYTES: usize = 40_000;

/// The head and part of the body of a further request, never completed.
fn bytes_after_request(count: usize) -> Vec<u8> {
    format!(
        "POST /look HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n{}",
        "x".repeat(count)
    )
    .into_bytes()
}

/// A client disconnects between two attempts of its part, the first of which fails only afterwards. The end of its
/// stream may lie behind bytes that the mixer does not read; the client must not count as connected, and no second
/// attempt be sent.
#[rstest]
#[case::no_unread_bytes(0)]
#[case::unread_bytes(UNREAD_BYTES)]
fn no_attempt_starts_for_a_client_that_disconnected_between_attempts(#[case] unread: usize) {
    let world = World::start(Setup::default());
    world.set_all_scripts(|_| PartAction::Held);
    let mut client = world.client();
    client.write(&request("q1", &body(&[3])));
    world.until(|| !world.sends("q1").is_empty());
    if unread > 0 {
        client.write(&bytes_after_request(unread));
    }
    drop(client);
    world.until(|| {
        world
            .searchers
            .iter()
            .any(|s| s.log().cancellations == ["q1.3"])
    });
    world.set_all_scripts(|_| PartAction::Good);
    world
        .searchers
        .iter()
        .for_each(|s| s.answer_held(PartAction::Bad));
    assert_eq!(world.client().ask("q2", &[3]).status, 200);
    assert_eq!(world.sends("q1").len(), 1);
}

/// The client disconnects before the first attempt, while the part waits for a connection to come up.
#[rstest]
#[case::no_unread_bytes(0)]
#[case::unread_bytes(UNREAD_BYTES)]
fn no_attempt_starts_for_a_client_that_disconnected_while_its_part_waited_for_a_connection(
    #[case] unread: usize,
) {
    let world = World::start(Setup {
        searchers: 1,
        connect_ms: 10_000,
        ..Setup::default()
    });
    let (slow, unclog) = Searcher::with_full_backlog("s9");
    let own = &world.searchers[0];
    let lines = vec![line(own, 0, "leaving"), line(&slow, 0, "active")];
    world.discovery.publish(2, true, lines);
    world.discovery.wait_watched(2);
    let mut client = world.client();
    client.write(&request("q1", &body(&[3])));
    // Another client's part waits for the same connection.
    let mut remaining = world.client();
    remaining.write(&request("q2", &body(&[3])));
    if unread > 0 {
        client.write(&bytes_after_request(unread));
    }
    drop(client);
    unclog();
    // Parts are written in order: the first would have arrived before the second.
    assert_eq!(remaining.read().expect("an answer").status, 200);
    let received: Vec<String> = slow.log().parts.into_iter().map(|part| part.id).collect();
    assert_eq!(received, ["q2.3"]);
}

/// The client disconnects while its part waits for a slot at a cold searcher.
#[rstest]
#[case::no_unread_bytes(0)]
#[case::unread_bytes(UNREAD_BYTES)]
fn no_attempt_starts_for_a_client_that_disconnected_while_its_part_waited_for_a_cold_searcher(
    #[case] unread: usize,
) {
    let world = World::start(Setup {
        searchers: 1,
        mixers: 2,
        ..Setup::default()
    });
    let mut cold = line(&world.searchers[0], 0, "active");
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("a time");
    cold["since_ms"] = (now.as_millis() as u64).into();
    world.discovery.publish(2, true, vec![cold]);
    world.discovery.wait_watched(2);
    let mut clients: Vec<Client> = (0..4).map(|_| world.client()).collect();
    // One part is sent, the others wait.
    for (i, client) in clients.iter_mut().enumerate() {
        client.write(&request(&format!("q{i}"), &body(&[3])));
    }
    world.until(|| !world.sends("q").is_empty());
    let served_first = world.sends("q")[0].1.id.clone();
    let (mut disconnected, mut remaining) = (Vec::new(), None);
    for (i, mut client) in clients
        .into_iter()
        .enumerate()
        .filter(|(i, _)| served_first != format!("q{i}.3"))
    {
        if remaining.is_none() {
            remaining = Some(client);
            continue;
        }
        if unread > 0 {
            client.write(&bytes_after_request(unread));
        }
        disconnected.push(format!("q{i}.3"));
    }
    // A part whose client remains is sent after it, unless admission control rejects it.
    let disconnected_at = Instant::now();
    let answer = remaining.expect("a client").read().expect("an answer");
    assert!(matches!(answer.status, 200 | 503), "{answer:?}");
    let late: Vec<_> = world
        .sends("q")
        .into_iter()
        .filter(|(_, p)| disconnected.contains(&p.id))
        .collect();
    assert!(
        late.iter()
            .all(|(_, p)| p.at < disconnected_at + Duration::from_millis(100)),
        "{late:?}"
    );
}

/// A response closes its connection while bytes of the client are unread: closing the socket would reset the
/// connection, and the response could be lost. Data that arrives after the write side is shut down is read, but not
/// forwarded.
#[rstest]
fn the_last_answer_survives_unread_bytes_and_later_requests_are_not_forwarded() {
    let mut world = World::start(Setup::default());
    let (mut busy, mut idle) = (world.client(), world.client());
    world.set_all_scripts(|part| {
        if part.id.starts_with("q0") {
            PartAction::Good
        } else {
            PartAction::Held
        }
    });
    assert_eq!(idle.ask("q0", &[1]).status, 200);
    busy.write(&request("q1", &body(&[3])));
    world.until(|| !world.sends("q1").is_empty());
    world.terminate();
    assert_eq!(idle.end().expect("a clean end"), 0);
    // From here on every response closes its connection. Part of this head without an end stays unread.
    busy.write(format!("POST /look HTTP/1.1\r\nX: {}", "x".repeat(UNREAD_BYTES)).as_bytes());
    world
        .searchers
        .iter()
        .for_each(|s| s.answer_held(PartAction::Good));
    let answer = busy.read().expect("an answer");
    assert_eq!(
        (answer.status, answer.headers["connection"].as_str()),
        (200, "close")
    );
    assert_eq!(busy.end().expect("a clean end"), 0);
    // The write side is shut down: this is read at most to be discarded. After a reset, writing would fail.
    assert!(
        busy.try_write(&request("late", &body(&[4]))),
        "the connection was reset"
    );
    idle.try_write(&request("late", &body(&[5])));
    assert!(world.wait_ended().success());
    assert!(world.sends("late").is_empty());
}

/// Idle connections are closed while the mixer is stalled: requests that arrived meanwhile, on an idle connection
/// and on one that is still in the backlog, count as accepted and are answered.
#[rstest]
fn requests_that_cross_the_close_during_shutdown_are_answered() {
    let mut world = World::start(Setup {
        deadline_ms: 300,
        ..Setup::default()
    });
    let mut idle = world.client();
    assert_eq!(idle.ask("q0", &[1]).status, 200);
    world.terminate();
    world.until(|| world.get("/up").status != 200);
    let mut new = None;
    world.while_paused(|| {
        idle.write(&request("q1", &body(&[1])));
        let mut client = world.client();
        client.write(&request("q2", &body(&[2])));
        new = Some(client);
        // Idle connections are closed half a second after the stop request.
        std::thread::sleep(Duration::from_millis(600));
    });
    let answers = [idle.read(), new.expect("a client").read()];
    assert!(
        answers.iter().all(|a| a
            .as_ref()
            .is_some_and(|a| a.status == 200 || a.status == 503)),
        "{answers:?}"
    );
    assert!(world.wait_ended().success());
}

/// With short deadlines a stopped process is killed soon, but new connections arrive for 0.4 s all the same and
/// must not be refused.
#[rstest]
fn with_short_deadlines_it_keeps_serving_while_new_connections_may_arrive() {
    let mut world = World::start(Setup {
        deadline_ms: 300,
        ..Setup::default()
    });
    world.terminate();
    let stop_requested = Instant::now();
    world.until(|| world.get("/up").status != 200);
    while stop_requested.elapsed() < Duration::from_millis(400) {
        assert_eq!(
            world
                .client()
                .ask(&format!("q{}", stop_requested.elapsed().as_nanos()), &[1])
                .status,
            200
        );
    }
    // Multigets in flight at the end are given up before the process would be killed.
    world.set_all_scripts(|_| PartAction::Silent);
    let mut stuck = world.client();
    stuck.write(&request("s", &body(&[1])));
    assert_eq!(stuck.read().expect("an answer").status, 503);
    assert!(world.wait_ended().success());
    assert!(
        stop_requested.elapsed() < Duration::from_millis(1_000),
        "exited after {:?}",
        stop_requested.elapsed()
    );
}

/// Bytes are in the kernel buffer when a connection is closed between two requests, and no wake-up has reported
/// them yet.
#[rstest]
fn bytes_that_arrived_without_a_wake_up_are_read_before_a_close() {
    actix_rt::System::new().block_on(async {
        let listener = clients::listen("127.0.0.1:0".parse().expect("an address"))
            .await
            .expect("a port");
        let mut client = Client::to(listener.local_addr().expect("an address"));
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut stream = ClientStream::new(stream);
        let connections = Connections::default();
        connections.add(stream.state.clone());
        let mut bytes = [0; 64];
        let mut read = ReadBuf::new(&mut bytes);
        poll_fn(|cx| Poll::Ready(Pin::new(&mut stream).poll_read(cx, &mut read).is_pending()))
            .await;
        connections.close_idle();
        client.write(b"POST");
        let ended =
            poll_fn(|cx| Poll::Ready(Pin::new(&mut stream).poll_read(cx, &mut read).is_ready()))
                .await;
        assert!(!ended, "closed with unread bytes");
        poll_fn(|cx| Pin::new(&mut stream).poll_read(cx, &mut read))
            .await
            .expect("bytes");
        assert_eq!(read.filled(), b"POST");
    });
}

/// A repeat of a deduplicated part waits for its connection until its deduplication window has passed: it must not
/// be written when the connection comes up, and the multiget, which can get no further answer, is answered at once.
#[rstest]
fn a_repeat_is_never_written_after_its_window() {
    let (slow, unclog) = Searcher::with_full_backlog("s9");
    let dedup_window_ms = 800;
    let setup = Setup {
        searchers: 1,
        connect_ms: 10_000,
        effect: "keyed",
        dedup_window_ms,
        ..Setup::default()
    };
    let world = World::start(setup);
    let own = &world.searchers[0];
    world
        .discovery
        .publish(2, true, vec![line(own, 0, "active")]);
    world.discovery.wait_watched(2);
    own.set_script(|_| PartAction::Held);
    let mut client = world.client();
    client.write(&request("q1", &body(&[3])));
    own.until(|log| log.parts.len() == 1);
    let first = own.log().parts[0].at;
    world.discovery.publish(
        3,
        true,
        vec![line(own, 0, "active"), line(&slow, 1, "active")],
    );
    world.discovery.wait_watched(3);
    own.answer_held(PartAction::Bad);
    world.until(|| first.elapsed() > Duration::from_millis(dedup_window_ms));
    unclog();
    assert_eq!(client.read().expect("an answer").status, 500);
    // A part of another multiget uses the same connection.
    world.discovery.publish(
        4,
        true,
        vec![line(own, 0, "leaving"), line(&slow, 1, "active")],
    );
    world.discovery.wait_watched(4);
    assert_eq!(world.client().ask("q2", &[3]).status, 200);
    assert!(
        slow.log().parts.iter().all(|part| part.id == "q2.3"),
        "{:?}",
        slow.log().parts
    );
}

/// The window starts with the first byte of whichever send is written first, and restarts if none can have been
/// executed.
#[rstest]
fn a_window_starts_with_the_first_send_that_is_written() {
    let (window, started) = (DedupWindow::new(Duration::from_millis(200)), Instant::now());
    let after = |ms| started + Duration::from_millis(ms);
    assert_eq!(window.permission(after(500)), Permission::Send);
    assert_eq!(
        window.permission(after(600)),
        Permission::SendBy(after(700))
    );
    assert_eq!(window.permission(after(700)), Permission::WindowExpired);
    window.reset();
    assert_eq!(window.permission(after(900)), Permission::Send);
    assert_eq!(
        window.permission(after(901)),
        Permission::SendBy(after(1_100))
    );
}

/// A repeat that is partly written when its window ends is aborted: it never arrives completely.
#[rstest]
fn a_partly_written_repeat_is_aborted_at_the_end_of_its_window() {
    on_connections(
        Setup::default(),
        async move |searcher, searchers, arrivals| {
            searcher.set_reading(false);
            let (to, id) = (SearcherId::new("s0"), PartId::new("q.1"));
            let deadline = Instant::now() + Duration::from_millis(200);
            // More than the socket buffers of both sides hold.
            let text = vec![b'x'; 16 << 20].into();
            let part = CallPart {
                id,
                shard: Shard(1),
                wait: Span::from_millis(4_000),
                first_step: None,
                text,
            };
            assert!(
                searchers
                    .send(
                        &to,
                        vec![(1, part, Rc::new(move || Permission::SendBy(deadline)))]
                    )
                    .is_ok()
            );
            let event = tokio::time::timeout(LONG, arrivals.recv())
                .await
                .expect("the connection is aborted");
            assert!(
                matches!(event, Some(RouterEvent::SendEnded(ended)) if ended.outcome == Outcome::NoConnection)
            );
            searcher.set_reading(true);
            searcher.until(|log| log.closed == 1);
            assert!(searcher.log().parts.is_empty());
        },
    );
}

/// The outcome of a part whose connection ends at each stage: known not to have run until its last byte is written,
/// possibly run from then on. Covers connections that are refused, come up late or never, or are reset long after.
#[rstest]
fn parts_that_never_ran_are_distinguished_from_parts_that_may_have_run() {
    on_connections(
        Setup {
            connect_ms: 300,
            ..Setup::default()
        },
        async move |searcher, searchers, arrivals| {
            let (to, slow, unreachable) = (
                SearcherId::new("s0"),
                SearcherId::new("s1"),
                SearcherId::new("s2"),
            );
            let ended =
                async |arrivals: &mut tokio::sync::mpsc::Receiver<RouterEvent>| match arrivals
                    .recv()
                    .await
                {
                    Some(RouterEvent::SendEnded(ended)) => ended.outcome,
                    _ => panic!("expected the end of a send"),
                };
            // No listener; then a connection that does not come up in time.
            let unused_port = std::net::TcpListener::bind("127.0.0.1:0")
                .expect("a port")
                .local_addr()
                .expect("an address");
            searchers.set_address(
                &up("s2"),
                SearcherEndpoint {
                    address: unused_port,
                    http2: false,
                },
            );
            assert!(searchers.send(&unreachable, call(1)).is_ok());
            assert_eq!(ended(arrivals).await, Outcome::NoConnection);
            let (with_full_backlog, unclog) =
                std::thread::spawn(|| Searcher::with_full_backlog("s1"))
                    .join()
                    .expect("a searcher");
            searchers.set_address(
                &up("s1"),
                SearcherEndpoint {
                    address: with_full_backlog.address,
                    http2: false,
                },
            );
            assert!(searchers.send(&slow, call(2)).is_ok());
            assert_eq!(ended(arrivals).await, Outcome::NoConnection);
            // It comes up after all: only what is sent from then on arrives, on it or on a later connection.
            unclog();
            let mut sent = 3;
            while {
                assert!(searchers.send(&slow, call(sent)).is_ok());
                ended(arrivals).await != Outcome::Returned
            } {
                sent += 1;
            }
            let received: Vec<String> = with_full_backlog
                .log()
                .parts
                .into_iter()
                .map(|part| part.id)
                .collect();
            assert_eq!(received, [format!("q.{sent}")]);
            // Reset once the frame is complete, at once and after half an answer.
            for act in [PartAction::Break, PartAction::HalfAnswer] {
                searcher.set_script(move |_| act);
                assert!(searchers.send(&to, call(4)).is_ok());
                assert_eq!(ended(arrivals).await, Outcome::ConnectionLost, "{act:?}");
            }
            // Reset long after, with the answer held back.
            searcher.set_script(|_| PartAction::Held);
            assert!(searchers.send(&to, call(5)).is_ok());
            while searcher.log().parts.len() < 3 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            searcher.answer_held(PartAction::Break);
            assert_eq!(ended(arrivals).await, Outcome::ConnectionLost);
        },
    );
}

/// Twenty and thirty processes learn at the same moment of a searcher that starts cold and is the only one left,
/// each with a request for it: the total of their sends must stay within the budget of each window, plus a
/// statistical tolerance.
#[rstest]
#[case::twenty(20)]
#[case::thirty(30)]
fn a_cold_searcher_is_not_overloaded_by_many_processes(#[case] mixers: usize) {
    // A warm searcher executes one part at a time, in 100 ms.
    const SERVICE_TIME: Duration = Duration::from_millis(100);
    let searchers = [Searcher::start("s0"), Searcher::start("s1")];
    searchers
        .iter()
        .for_each(|s| s.set_script(|_| PartAction::After(SERVICE_TIME)));
    let warm = vec![line(&searchers[0], 0, "active")];
    let discovery = Discovery::start(warm.clone());
    let processes: Vec<Mixer> = (0..mixers)
        .map(|rank| {
            let setup = Setup { mixers, rank, ..Setup::default() };
            let config = json!({
                "name": format!("n{rank}"), "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "5eed",
                "limits": { "sockets": setup.sockets, "memory_mb": setup.memory_mb }, "settings": settings(&setup),
                "known": { "index": 1, "snapshot": true, "endpoints": warm },
            });
            Mixer::start(&config, None, true)
        })
        .collect();
    // All processes but every fourth, which have just restarted, know the service time of a part.
    for mixer in processes
        .iter()
        .enumerate()
        .filter(|(rank, _)| rank % 4 > 0)
        .map(|(_, mixer)| mixer)
    {
        assert_eq!(mixer.client().ask("w", &[3]).status, 200);
    }
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("a time");
    let mut cold = line(&searchers[1], 1, "active");
    cold["since_ms"] = (now.as_millis() as u64).into();
    discovery.publish(2, true, vec![line(&searchers[0], 0, "leaving"), cold]);
    discovery.wait_watched_by(2, mixers);
    let mut clients: Vec<Client> = processes.iter().map(Mixer::client).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.write(&request(&format!("q{i}"), &body(&[3])));
    }
    for client in &mut clients {
        assert!(matches!(
            client.read().expect("an answer").status,
            200 | 503
        ));
    }
    // By the settings, a fifth of the capacity at the start, four times of which is allowed in a second; the
    // capacity grows during the first seconds.
    let sends: Vec<Instant> = searchers[1]
        .log()
        .parts
        .iter()
        .map(|part| part.at)
        .collect();
    assert!(sends.len() >= mixers / 4, "{} sends", sends.len());
    for (i, first) in sends.iter().enumerate() {
        let within = sends[i..]
            .iter()
            .take_while(|at| at.duration_since(*first) < Duration::from_secs(1))
            .count();
        let capacity = 0.2 + 0.8 * first.duration_since(sends[0]).as_secs_f64() / 9.0;
        let budget = 4.0 * capacity / SERVICE_TIME.as_secs_f64();
        assert!(
            within as f64 <= budget + 2.0 * budget.sqrt() + 2.0,
            "{within} sends in a window for {budget}"
        );
    }
}

/// Collects all strings and numbers with their paths.
fn collect_leaves(path: &str, value: &Value, leaves_found: &mut Vec<(String, Value)>) {
    match value {
        Value::Object(all) => all
            .iter()
            .for_each(|(key, value)| collect_leaves(&format!("{path}/{key}"), value, leaves_found)),
        Value::Array(all) => {
            all.iter()
                .enumerate()
                .for_each(|(i, value)| collect_leaves(&format!("{path}/{i}"), value, leaves_found));
        }
        Value::Number(_) | Value::String(_) => leaves_found.push((path.to_owned(), value.clone())),
        _ => {}
    }
}

/// Settings of another customer: every name and number differs from the example, and so does what they allow. The
/// mixer must serve without relying on any value of the example.
#[rstest]
fn it_serves_with_settings_that_have_nothing_in_common_with_the_example() {
    let example: Value =
        serde_json::from_str(include_str!("../../../examples/config.json")).expect("the example");
    let searchers: Vec<_> = (0..2).map(|i| Searcher::start(&format!("z{i}"))).collect();
    let lines = || -> Vec<Value> {
        let line = |(group, s): (usize, &std::sync::Arc<Searcher>)| {
            let mut line = line(s, group, "active");
            line["zone"] = ["p", "q"][group].into();
            line
        };
        searchers.iter().enumerate().map(line).collect()
    };
    let discovery = Discovery::start(lines());
    let config = json!({
        "name": "other-7", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "1d",
        "limits": { "sockets": 300, "memory_mb": 48 },
        "settings": {
            "balancers": 9, "rank": 4, "tick_us": 2_000, "localities": ["p", "q"], "locality": "q",
            "membership_mode": "on_request",
            "grades": [
                { "name": "tally", "promise_us": 900_000, "deadline_us": 1_700_000, "effect": "unsafe", "worth": 3.5,
                    "late_value": 0.25 },
                { "name": "scan", "promise_us": 700_000, "deadline_us": 1_100_000, "effect": "keyed", "worth": 0.5,
                    "dedup_window_us": 150_000 },
            ],
            "parties": [{ "name": "zed", "quota_per_s": 7.0 }, { "name": "yod", "quota_per_s": 3.0 }],
            "prices": { "cross_zone": 0.3 },
            "extra": { "cells": 2, "in_a_row": 1, "slices": 6, "bundle_max": 4, "need_by_class": [0.9, 0.8],
                "least_share": [0.7, 0.6], "class_partial": [0.2, 0.1], "fetch_parts": [1, 2] },
            "limits": { "max_attempts": 2, "parallel_tries": false, "may_cancel": false, "retry_after": false,
                "max_retry_after_us": 100_000, "max_open": 70, "max_streams": 3, "conn_idle_us": 900_000,
                "connect_timeout_us": 80_000 },
            "rules": { "cold_from": 0.6, "ramp_time_us": 400_000, "fall_multiple": 1.5, "tip_after_us": 300_000,
                "ask_every_us": 900_000, "look_back_us": 5_000_000, "spare_attempts": 1.0, "extra_ratio": 0.1 },
        },
    });
    let (mut example_leaves, mut config_leaves) = (Vec::new(), Vec::new());
    collect_leaves("", &example, &mut example_leaves);
    collect_leaves("", &config, &mut config_leaves);
    let common: Vec<_> = example_leaves
        .iter()
        .filter(|leaf| config_leaves.contains(leaf))
        .collect();
    assert!(common.is_empty(), "as in the example: {common:?}");
    let mixer = Mixer::start(&config, None, false);
    until(|| mixer.get("/up").status == 200);
    let ask = |op_type: &str, tenant: &str, id: &str, shards: &[usize]| {
        let request = String::from_utf8(request_of(op_type, id, &body(shards))).expect("text");
        let mut client = mixer.client();
        client.write(
            request
                .replace("Req-Owner: acme", &format!("Req-Owner: {tenant}"))
                .as_bytes(),
        );
        client.read().expect("an answer")
    };
    // Second steps of one and of two parts, at the searchers that hold them.
    assert_eq!(ask("tally", "zed", "a", &[0, 1, 2]).values().len(), 1);
    assert_eq!(ask("scan", "yod", "b", &[3, 4, 5]).values().len(), 2);
    for searcher in &searchers {
        let group = usize::from(searcher.name == "z1");
        assert!(
            searcher
                .log()
                .parts
                .iter()
                .all(|part| part.shard % 2 == group),
            "{:?}",
            searcher.log().parts
        );
    }
    // Names of the example are unknown here, and so is a shard out of range.
    assert_eq!(ask("lookup", "zed", "c", &[0]).status, 404);
    assert_eq!(ask("tally", "acme", "d", &[0]).status, 400);
    assert_eq!(ask("tally", "zed", "e", &[6]).status, 400);
    discovery.publish(2, true, lines());
    discovery.wait_watched(2);
}

/// A restarted mixer is ready at once by the list it had, whatever discovery does, and with many searchers.
#[rstest]
#[case::discovery_is_up(Some(DiscoveryBehavior::Lists), 3)]
#[case::with_200_searchers(Some(DiscoveryBehavior::Lists), 200)]
#[case::discovery_is_silent(Some(DiscoveryBehavior::Nothing), 3)]
#[case::discovery_fails(Some(DiscoveryBehavior::Errors), 200)]
#[case::discovery_is_slow(Some(DiscoveryBehavior::Late(Duration::from_millis(1_500))), 200)]
#[case::discovery_is_down(None, 200)]
fn a_restarted_mixer_is_ready_in_time(
    #[case] says: Option<DiscoveryBehavior>,
    #[case] searchers: usize,
) {
    let one = Searcher::start("s");
    let lines: Vec<Value> = (0..searchers)
        .map(|i| {
            let mut line = line(&one, i % 3, "active");
            line["name"] = format!("s{i}").into();
            line
        })
        .collect();
    let discovery = Discovery::start(lines.clone());
    match says {
        Some(says) => discovery.set_behavior(says),
        None => discovery.stop_listening(),
    }
    let setup = Setup::default();
    let config = json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "5eed",
        "limits": { "sockets": setup.sockets, "memory_mb": setup.memory_mb }, "settings": settings(&setup),
        "known": { "index": 1, "snapshot": true, "endpoints": lines },
    });
    let started = Instant::now();
    let mixer = Mixer::start(&config, None, false);
    until(|| mixer.get("/up").status == 200);
    assert!(
        started.elapsed() < Duration::from_secs(10),
        "ready after {:?}",
        started.elapsed()
    );
    let mut client = mixer.client();
    for i in 0..20 {
        assert_eq!(client.ask(&format!("q{i}"), &[1, 2, 3]).status, 200);
    }
}

/// Clients send on every connection that stays open until the process has exited, while one of three searchers
/// hangs: a forwarded request gets exactly one final answer, and an unanswered one was never forwarded.
#[rstest]
#[case::usual_deadlines(5_000)]
#[case::short_deadlines(400)]
fn requests_that_arrive_during_shutdown_are_answered_or_never_forwarded(#[case] deadline_ms: u64) {
    let mut world = World::start(Setup {
        deadline_ms,
        ..Setup::default()
    });
    world.searchers[0].set_script(|_| PartAction::Silent);
    let clients: Vec<Client> = (0..8).map(|_| world.client()).collect();
    let senders: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(nth, mut client)| {
            std::thread::spawn(move || {
                for i in 0.. {
                    let id = format!("c{nth}n{i}");
                    if !client.try_write(&request(&id, &body(&[1, 2]))) {
                        return Some(id);
                    }
                    match client.read() {
                        None => return Some(id),
                        Some(answer)
                            if answer
                                .headers
                                .get("connection")
                                .is_some_and(|c| c == "close") =>
                        {
                            return None;
                        }
                        Some(_) => {}
                    }
                }
                None
            })
        })
        .collect();
    world.until(|| world.sends("c").len() > 20);
    world.terminate();
    let unanswered: Vec<String> = senders
        .into_iter()
        .filter_map(|s| s.join().expect("a client"))
        .collect();
    assert!(world.wait_ended().success());
    for id in unanswered {
        assert!(
            world.sends(&format!("{id}.")).is_empty(),
            "{id} was forwarded and got no answer"
        );
    }
}
