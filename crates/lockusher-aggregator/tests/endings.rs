//! Rare moments: what ends while something is still owed. Each story holds one side until the mixer is seen at the
//! point in question, and then lets the other happen. `docs/design/shutdown-and-races.md` lists them.

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
use lockusher_multiget::list::Place;
use lockusher_policy::interface::*;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::io::{AsyncRead, ReadBuf};

/// A change counts as told so long after discovery had it and could be reached, whatever failed before.
const TOLD_AFTER: Duration = Duration::from_secs(6);

/// How the watch ends that is open when a searcher begins to drain.
#[derive(Clone, Copy, Debug)]
enum Watch {
    FallsSilent,
    IsReset,
    Stays,
}

/// The watch ends and the very next call fails as well. A watch once held 20 s and was given up 2 s later: what it
/// missed was learnt after 22 s.
#[rstest]
fn a_drain_is_obeyed_in_time_though_the_watch_ends_and_the_next_call_fails(
    #[values(Watch::FallsSilent, Watch::IsReset, Watch::Stays)] watch: Watch,
    #[values(
        Says::Nothing,
        Says::Errors,
        Says::Nonsense,
        Says::Resets,
        Says::Half,
        Says::HalfReset,
        Says::HalfWithoutLength,
        Says::Late(Duration::from_millis(1_500))
    )]
    next: Says,
    #[values(false, true)] asks: bool,
) {
    let world = World::start(Setup {
        asks,
        ..Setup::default()
    });
    world.discovery.told(1);
    world.discovery.next_say([next]);
    let began = Instant::now();
    match watch {
        Watch::FallsSilent => world.discovery.falls_silent(),
        Watch::IsReset => world.discovery.resets(),
        // The call that follows the wait fails alone.
        Watch::Stays => world.discovery.said(),
    }
    world
        .discovery
        .tell(2, false, vec![line(&world.searchers[0], 0, "leaving")]);
    world.discovery.told(2);
    assert!(
        began.elapsed() < TOLD_AFTER,
        "told after {:?}",
        began.elapsed()
    );
    let before = world.searchers[0].log().parts.len();
    let mut client = world.client();
    for i in 0..10 {
        assert_eq!(client.ask(&format!("q{i}"), &[i]).status, 200);
    }
    assert_eq!(world.searchers[0].log().parts.len(), before);
}

/// An agent that was down is asked soon after its return; and clients that hold every descriptor they can get take
/// neither the one for it nor those for searchers that are new.
#[rstest]
#[case::told(false, 0)]
#[case::on_asking(true, 0)]
#[case::with_idle_clients_in_all_places(false, 600)]
#[case::on_asking_with_idle_clients_in_all_places(true, 600)]
fn a_drain_is_obeyed_in_time_after_the_agent_was_down(#[case] asks: bool, #[case] idle: usize) {
    let mut world = World::start(Setup {
        asks,
        ask_every_ms: 60_000,
        sockets: 80,
        ..Setup::default()
    });
    world.discovery.told(1);
    world.discovery.goes_down();
    let crowd: Vec<Client> = (0..idle).map(|_| world.client()).collect();
    assert_eq!(world.client().ask("q0", &[1]).status, 200);
    // The pauses between calls have grown to their longest by then.
    world.discovery.next_say([Says::Errors; 6]);
    world.discovery.comes_up();
    world.discovery.said();
    world.discovery.says(Says::Nothing);
    let new = Searcher::start("s9");
    let mut lines: Vec<_> = (0..3)
        .map(|i| line(&world.searchers[i], i, "leaving"))
        .collect();
    lines.extend((0..3).map(|group| {
        let mut line = line(&new, group, "active");
        line["name"] = format!("n{group}").into();
        line
    }));
    world.discovery.tell(2, true, lines);
    let began = Instant::now();
    world.discovery.says(Says::Lists);
    world.discovery.told(2);
    assert!(
        began.elapsed() < TOLD_AFTER,
        "told after {:?}",
        began.elapsed()
    );
    let before = world.sends("").len();
    assert_eq!(world.client().ask("q1", &[1, 2, 3]).status, 200);
    assert_eq!(world.sends("").len(), before);
    drop(crowd);
    assert!(world.runs());
}

/// Discovery moves by SIGHUP, and the first call at its new address fails: what it has to tell counts as told 4 s
/// after the signal.
#[rstest]
#[case::silence(Says::Nothing)]
#[case::an_error(Says::Errors)]
#[case::a_reset(Says::Resets)]
#[case::half_a_list(Says::HalfWithoutLength)]
fn a_drain_is_obeyed_in_time_after_a_move_whose_first_call_fails(#[case] first: Says) {
    let mut world = World::start(Setup::default());
    world.discovery.told(1);
    let new = Discovery::start(
        (0..3)
            .map(|i| line(&world.searchers[i], i, "active"))
            .collect(),
    );
    new.tell(2, false, vec![line(&world.searchers[0], 0, "leaving")]);
    new.next_say([first]);
    let began = Instant::now();
    world.reload("discovery", new.address.to_string());
    new.told(2);
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "told after {:?}",
        began.elapsed()
    );
    let before = world.searchers[0].log().parts.len();
    let mut client = world.client();
    for i in 0..10 {
        assert_eq!(client.ask(&format!("q{i}"), &[i]).status, 200);
    }
    assert_eq!(world.searchers[0].log().parts.len(), before);
}

/// More than the mixer reads ahead of what is in use: some of it stays unread.
const AHEAD: usize = 40_000;

/// Bytes behind a request that no request of use follows from.
fn bytes_behind(how_many: usize) -> Vec<u8> {
    format!(
        "POST /look HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n{}",
        "x".repeat(how_many)
    )
    .into_bytes()
}

/// A client goes away between two attempts of its part, the first of which fails only then. Where its end lay behind
/// bytes that the mixer had no use for, it counted as there, and the second attempt was sent.
#[rstest]
#[case::nothing_behind(0)]
#[case::with_bytes_unread(AHEAD)]
fn nothing_begins_for_a_client_that_went_between_attempts(#[case] behind: usize) {
    let world = World::start(Setup::default());
    world.all_do(|_| Act::Held);
    let mut client = world.client();
    client.write(&request("q1", &body(&[3])));
    world.until(|| !world.sends("q1").is_empty());
    if behind > 0 {
        client.write(&bytes_behind(behind));
    }
    drop(client);
    world.until(|| world.searchers.iter().any(|s| s.log().given_up == ["q1.3"]));
    world.all_do(|_| Act::Good);
    world
        .searchers
        .iter()
        .for_each(|s| s.answers_held(Act::Bad));
    assert_eq!(world.client().ask("q2", &[3]).status, 200);
    assert_eq!(world.sends("q1").len(), 1);
}

/// The same before the first attempt, while the part waits for a connection to come up.
#[rstest]
#[case::nothing_behind(0)]
#[case::with_bytes_unread(AHEAD)]
fn nothing_begins_for_a_client_that_went_while_its_part_waited_for_a_connection(
    #[case] behind: usize,
) {
    let world = World::start(Setup {
        searchers: 1,
        connect_ms: 10_000,
        ..Setup::default()
    });
    let (slow, unclog) = Searcher::clogged("s9");
    let own = &world.searchers[0];
    let lines = vec![line(own, 0, "leaving"), line(&slow, 0, "active")];
    world.discovery.tell(2, true, lines);
    world.discovery.told(2);
    let mut client = world.client();
    client.write(&request("q1", &body(&[3])));
    // Its part waits: another's on the same connection does too.
    let mut stays = world.client();
    stays.write(&request("q2", &body(&[3])));
    if behind > 0 {
        client.write(&bytes_behind(behind));
    }
    drop(client);
    unclog();
    // What leaves leaves in order: the first would have come before the second.
    assert_eq!(stays.read().expect("an answer").status, 200);
    let came: Vec<String> = slow.log().parts.into_iter().map(|part| part.id).collect();
    assert_eq!(came, ["q2.3"]);
}

/// The same while the part waits for a cold searcher's turn.
#[rstest]
#[case::nothing_behind(0)]
#[case::with_bytes_unread(AHEAD)]
fn nothing_begins_for_a_client_that_went_while_its_part_waited_for_a_cold_searcher(
    #[case] behind: usize,
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
    world.discovery.tell(2, true, vec![cold]);
    world.discovery.told(2);
    let mut clients: Vec<Client> = (0..4).map(|_| world.client()).collect();
    // One has the turn, the others wait for theirs.
    for (i, client) in clients.iter_mut().enumerate() {
        client.write(&request(&format!("q{i}"), &body(&[3])));
    }
    world.until(|| !world.sends("q").is_empty());
    let turn = world.sends("q")[0].1.id.clone();
    let (mut went, mut stays) = (Vec::new(), None);
    for (i, mut client) in clients
        .into_iter()
        .enumerate()
        .filter(|(i, _)| turn != format!("q{i}.3"))
    {
        if stays.is_none() {
            stays = Some(client);
            continue;
        }
        if behind > 0 {
            client.write(&bytes_behind(behind));
        }
        went.push(format!("q{i}.3"));
    }
    // One that stays has its turn after them, unless the gate gives it up.
    let gone = Instant::now();
    let answer = stays.expect("a client").read().expect("an answer");
    assert!(matches!(answer.status, 200 | 503), "{answer:?}");
    let late: Vec<_> = world
        .sends("q")
        .into_iter()
        .filter(|(_, p)| went.contains(&p.id))
        .collect();
    assert!(
        late.iter()
            .all(|(_, p)| p.at < gone + Duration::from_millis(100)),
        "{late:?}"
    );
}

/// An answer that closes its connection while the client's bytes lie unread: the close once reset the connection, and
/// the answer could be lost with it. What comes after the write side was shut is read, and not sent on.
#[rstest]
fn the_last_answer_survives_unread_bytes_and_what_follows_is_not_sent_on() {
    let mut world = World::start(Setup::default());
    let (mut busy, mut rests) = (world.client(), world.client());
    world.all_do(|part| {
        if part.id.starts_with("q0") {
            Act::Good
        } else {
            Act::Held
        }
    });
    assert_eq!(rests.ask("q0", &[1]).status, 200);
    busy.write(&request("q1", &body(&[3])));
    world.until(|| !world.sends("q1").is_empty());
    world.terminate();
    assert_eq!(rests.end().expect("a clean end"), 0);
    // From here on it closes with each answer. Some of this, a head without an end, stays unread.
    busy.write(format!("POST /look HTTP/1.1\r\nX: {}", "x".repeat(AHEAD)).as_bytes());
    world
        .searchers
        .iter()
        .for_each(|s| s.answers_held(Act::Good));
    let answer = busy.read().expect("an answer");
    assert_eq!(
        (answer.status, answer.headers["connection"].as_str()),
        (200, "close")
    );
    assert_eq!(busy.end().expect("a clean end"), 0);
    // The write side is shut: this is read, if at all, to be dropped. Had the connection been reset, nothing could be
    // written on it.
    assert!(
        busy.try_write(&request("late", &body(&[4]))),
        "it was reset"
    );
    rests.try_write(&request("late", &body(&[5])));
    assert!(world.ended().success());
    assert!(world.sends("late").is_empty());
}

/// The moment in which unused connections are closed passes while the mixer stands still: what came meanwhile, on a
/// resting connection and on one that only the system has accepted, was taken and gets its answer.
#[rstest]
fn what_crossed_the_close_of_a_process_that_ends_is_answered() {
    let mut world = World::start(Setup {
        deadline_ms: 300,
        ..Setup::default()
    });
    let mut rests = world.client();
    assert_eq!(rests.ask("q0", &[1]).status, 200);
    world.terminate();
    world.until(|| world.get("/up").status != 200);
    let mut new = None;
    world.meanwhile(|| {
        rests.write(&request("q1", &body(&[1])));
        let mut client = world.client();
        client.write(&request("q2", &body(&[2])));
        new = Some(client);
        // It closes half a second after it was told.
        std::thread::sleep(Duration::from_millis(600));
    });
    let answers = [rests.read(), new.expect("a client").read()];
    assert!(
        answers.iter().all(|a| a
            .as_ref()
            .is_some_and(|a| a.status == 200 || a.status == 503)),
        "{answers:?}"
    );
    assert!(world.ended().success());
}

/// With short deadlines a process that is told to end is killed soon; new connections come for 0.4 s all the same, and
/// those were once refused at once.
#[rstest]
fn with_short_deadlines_it_serves_on_as_long_as_new_connections_come() {
    let mut world = World::start(Setup {
        deadline_ms: 300,
        ..Setup::default()
    });
    world.terminate();
    let told = Instant::now();
    world.until(|| world.get("/up").status != 200);
    while told.elapsed() < Duration::from_millis(400) {
        assert_eq!(
            world
                .client()
                .ask(&format!("q{}", told.elapsed().as_nanos()), &[1])
                .status,
            200
        );
    }
    // What is in hand at the end is given up before it would be killed.
    world.all_do(|_| Act::Silent);
    let mut stuck = world.client();
    stuck.write(&request("s", &body(&[1])));
    assert_eq!(stuck.read().expect("an answer").status, 503);
    assert!(world.ended().success());
    assert!(
        told.elapsed() < Duration::from_millis(1_000),
        "it ends after {:?}",
        told.elapsed()
    );
}

/// Bytes lie in the system's buffer when a connection between two requests is closed, and nobody was told of them yet.
#[rstest]
fn bytes_that_nobody_was_told_of_yet_are_read_before_a_close() {
    actix_rt::System::new().block_on(async {
        let listener = clients::listen("127.0.0.1:0".parse().expect("an address"))
            .await
            .expect("a port");
        let mut client = Client::to(listener.local_addr().expect("an address"));
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut stream = ClientStream::new(stream);
        let connections = Connections::default();
        connections.add(stream.usage.clone());
        let mut bytes = [0; 64];
        let mut read = ReadBuf::new(&mut bytes);
        poll_fn(|cx| Poll::Ready(Pin::new(&mut stream).poll_read(cx, &mut read).is_pending()))
            .await;
        connections.close_idle();
        client.write(b"POST");
        let ended =
            poll_fn(|cx| Poll::Ready(Pin::new(&mut stream).poll_read(cx, &mut read).is_ready()))
                .await;
        assert!(!ended, "it was closed over unread bytes");
        poll_fn(|cx| Pin::new(&mut stream).poll_read(cx, &mut read))
            .await
            .expect("bytes");
        assert_eq!(read.filled(), b"POST");
    });
}

/// A repeat of a deduped part waits for its connection until the window in which it would be dropped has passed: it
/// must not leave any more, and what nothing more can come of is answered at once. It left once the connection came up.
#[rstest]
fn a_repeat_never_leaves_after_its_window() {
    let (slow, unclog) = Searcher::clogged("s9");
    let window_ms = 800;
    let setup = Setup {
        searchers: 1,
        connect_ms: 10_000,
        effect: "keyed",
        window_ms,
        ..Setup::default()
    };
    let world = World::start(setup);
    let own = &world.searchers[0];
    world.discovery.tell(2, true, vec![line(own, 0, "active")]);
    world.discovery.told(2);
    own.does(|_| Act::Held);
    let mut client = world.client();
    client.write(&request("q1", &body(&[3])));
    own.until(|log| log.parts.len() == 1);
    let first = own.log().parts[0].at;
    world.discovery.tell(
        3,
        true,
        vec![line(own, 0, "active"), line(&slow, 1, "active")],
    );
    world.discovery.told(3);
    own.answers_held(Act::Bad);
    world.until(|| first.elapsed() > Duration::from_millis(window_ms));
    unclog();
    assert_eq!(client.read().expect("an answer").status, 500);
    // Another's part takes the same way.
    world.discovery.tell(
        4,
        true,
        vec![line(own, 0, "leaving"), line(&slow, 1, "active")],
    );
    world.discovery.told(4);
    assert_eq!(world.client().ask("q2", &[3]).status, 200);
    assert!(
        slow.log().parts.iter().all(|part| part.id == "q2.3"),
        "{:?}",
        slow.log().parts
    );
}

/// The window runs from the first byte of whichever of its sends leaves first, and begins anew where none can have run.
#[rstest]
fn a_window_runs_from_the_first_send_that_leaves() {
    let (window, began) = (DedupWindow::new(Duration::from_millis(200)), Instant::now());
    let after = |ms| began + Duration::from_millis(ms);
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

/// A repeat whose frame is stuck half written as its window ends is broken off: it never arrives whole.
#[rstest]
fn a_repeat_that_is_stuck_half_written_is_broken_off_with_its_window() {
    on_connections(
        Setup::default(),
        async move |searcher, searchers, arrivals| {
            searcher.reads(false);
            let (to, id) = (SearcherId::new("s0"), PartId::new("q.1"));
            let by = Instant::now() + Duration::from_millis(200);
            // More than the system holds between two ends.
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
                        vec![(1, part, Rc::new(move || Permission::SendBy(by)))]
                    )
                    .is_ok()
            );
            let arrival = tokio::time::timeout(LONG, arrivals.recv())
                .await
                .expect("it is broken off");
            assert!(
                matches!(arrival, Some(RouterEvent::SendEnded(ended)) if ended.outcome == Outcome::NoConnection)
            );
            searcher.reads(true);
            searcher.until(|log| log.closed == 1);
            assert!(searcher.log().parts.is_empty());
        },
    );
}

/// What becomes of a part whose connection ends at each point of its way: known never to have run until its last byte
/// was written, maybe run from then on. A connection that comes up late or never, is refused, or is reset long after.
#[rstest]
fn known_never_ran_and_may_have_run_are_told_apart() {
    on_connections(
        Setup {
            connect_ms: 300,
            ..Setup::default()
        },
        async move |searcher, searchers, arrivals| {
            let (to, slow, nobody) = (
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
                    _ => panic!("an end"),
                };
            // Nobody listens; the connection does not come up in time.
            let port = std::net::TcpListener::bind("127.0.0.1:0")
                .expect("a port")
                .local_addr()
                .expect("one");
            searchers.set_address(
                &up("s2"),
                Place {
                    address: port,
                    http2: false,
                },
            );
            assert!(searchers.send(&nobody, call(1)).is_ok());
            assert_eq!(ended(arrivals).await, Outcome::NoConnection);
            let (clogged, unclog) = std::thread::spawn(|| Searcher::clogged("s1"))
                .join()
                .expect("a searcher");
            searchers.set_address(
                &up("s1"),
                Place {
                    address: clogged.address,
                    http2: false,
                },
            );
            assert!(searchers.send(&slow, call(2)).is_ok());
            assert_eq!(ended(arrivals).await, Outcome::NoConnection);
            // It comes up after all: nothing arrives on it, nor on one that follows, but what is sent then.
            unclog();
            let mut sent = 3;
            while {
                assert!(searchers.send(&slow, call(sent)).is_ok());
                ended(arrivals).await != Outcome::Returned
            } {
                sent += 1;
            }
            let came: Vec<String> = clogged
                .log()
                .parts
                .into_iter()
                .map(|part| part.id)
                .collect();
            assert_eq!(came, [format!("q.{sent}")]);
            // Reset once the frame is whole, at once and with half an answer.
            for act in [Act::Break, Act::HalfAnswer] {
                searcher.does(move |_| act);
                assert!(searchers.send(&to, call(4)).is_ok());
                assert_eq!(ended(arrivals).await, Outcome::Broken, "{act:?}");
            }
            // Reset long after, with the answer held.
            searcher.does(|_| Act::Held);
            assert!(searchers.send(&to, call(5)).is_ok());
            while searcher.log().parts.len() < 3 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            searcher.answers_held(Act::Break);
            assert_eq!(ended(arrivals).await, Outcome::Broken);
        },
    );
}

/// Twenty and thirty processes told at one instant of a searcher that starts cold and that alone is left, each with a
/// request for it: all that they send stays within the budget of each window and what is put down to chance.
#[rstest]
#[case::twenty(20)]
#[case::thirty(30)]
fn a_cold_searcher_is_not_pushed_over_by_many_processes(#[case] mixers: usize) {
    // A warm searcher does one part at a time, in 100 ms.
    const TAKES: Duration = Duration::from_millis(100);
    let searchers = [Searcher::start("s0"), Searcher::start("s1")];
    searchers.iter().for_each(|s| s.does(|_| Act::After(TAKES)));
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
    // What a part takes is known to all but every fourth, which have just restarted.
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
    discovery.tell(2, true, vec![line(&searchers[0], 0, "leaving"), cold]);
    discovery.told_all(2, mixers);
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
    // The settings: a fifth of the capacity at the start, four times of which is allowed in a second; by the end of
    // the first seconds it has grown.
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
        let budget = 4.0 * capacity / TAKES.as_secs_f64();
        assert!(
            within as f64 <= budget + 2.0 * budget.sqrt() + 2.0,
            "{within} sends in a window for {budget}"
        );
    }
}

/// All names and numbers, each with its place.
fn leaves(at: &str, value: &Value, into: &mut Vec<(String, Value)>) {
    match value {
        Value::Object(all) => all
            .iter()
            .for_each(|(key, value)| leaves(&format!("{at}/{key}"), value, into)),
        Value::Array(all) => {
            all.iter()
                .enumerate()
                .for_each(|(i, value)| leaves(&format!("{at}/{i}"), value, into));
        }
        Value::Number(_) | Value::String(_) => into.push((at.to_owned(), value.clone())),
        _ => {}
    }
}

/// Another customer's settings: every name and figure of the example differs, and so does what they allow. Nothing of
/// the example holds here, and the mixer serves.
#[rstest]
fn it_serves_on_settings_that_have_nothing_in_common_with_the_example() {
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
    let (mut theirs, mut ours) = (Vec::new(), Vec::new());
    leaves("", &example, &mut theirs);
    leaves("", &config, &mut ours);
    let same: Vec<_> = theirs.iter().filter(|leaf| ours.contains(leaf)).collect();
    assert!(same.is_empty(), "as in the example: {same:?}");
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
    // Second steps of one and of two parts, at their own holders.
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
    // What the example names is not known here, nor is a shard beyond these.
    assert_eq!(ask("lookup", "zed", "c", &[0]).status, 404);
    assert_eq!(ask("tally", "acme", "d", &[0]).status, 400);
    assert_eq!(ask("tally", "zed", "e", &[6]).status, 400);
    discovery.tell(2, true, lines());
    discovery.told(2);
}

/// A mixer that starts again is ready at once by the list it held, whatever discovery does, and with many searchers.
#[rstest]
#[case::discovery_is_up(Some(Says::Lists), 3)]
#[case::with_200_searchers(Some(Says::Lists), 200)]
#[case::discovery_says_nothing(Some(Says::Nothing), 3)]
#[case::discovery_errs(Some(Says::Errors), 200)]
#[case::discovery_is_slow(Some(Says::Late(Duration::from_millis(1_500))), 200)]
#[case::discovery_is_down(None, 200)]
fn a_mixer_that_starts_again_is_ready_in_time(
    #[case] says: Option<Says>,
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
        Some(says) => discovery.says(says),
        None => discovery.goes_down(),
    }
    let setup = Setup::default();
    let config = json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "5eed",
        "limits": { "sockets": setup.sockets, "memory_mb": setup.memory_mb }, "settings": settings(&setup),
        "known": { "index": 1, "snapshot": true, "endpoints": lines },
    });
    let began = Instant::now();
    let mixer = Mixer::start(&config, None, false);
    until(|| mixer.get("/up").status == 200);
    assert!(
        began.elapsed() < Duration::from_secs(10),
        "ready after {:?}",
        began.elapsed()
    );
    let mut client = mixer.client();
    for i in 0..20 {
        assert_eq!(client.ask(&format!("q{i}"), &[1, 2, 3]).status, 200);
    }
}

/// Clients send on every connection that stays open until the process is gone, while one of three searchers hangs: what
/// was sent on for gets its one final answer, and what got none was never sent on.
#[rstest]
#[case::usual_deadlines(5_000)]
#[case::short_deadlines(400)]
fn requests_that_arrive_until_the_end_are_answered_or_never_sent_on(#[case] deadline_ms: u64) {
    let mut world = World::start(Setup {
        deadline_ms,
        ..Setup::default()
    });
    world.searchers[0].does(|_| Act::Silent);
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
    assert!(world.ended().success());
    for id in unanswered {
        assert!(
            world.sends(&format!("{id}.")).is_empty(),
            "{id} was sent on and got no answer"
        );
    }
}
