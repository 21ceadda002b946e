//! Calls over HTTP/2 against a searcher whose every frame is scripted.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use lockusher_aggregator_testbed::fleet::{self, Followed};
use lockusher_aggregator_testbed::registry::Registry;
use lockusher_aggregator_testbed::stand_in::http2::{
    ConnectionAction, Http2Searcher, StreamAction,
};
use lockusher_aggregator_testbed::stand_in::{LONG, Searcher, Setup, until};
use lockusher_http2::connection::{Host, HostContext, OutgoingPart, SendResult};
use lockusher_http2::outcome::{CANCEL, REFUSED_STREAM};
use lockusher_http2::pool::{Limits, MAX_CALLS_PER_CONNECTION};
use lockusher_http2::wire::Part;
use lockusher_policy::interface::{Outcome, PartId, Shard, Span};
use lockusher_registry_client::core::follow::Protocol;
use rstest::rstest;
use tokio::sync::mpsc;

fn limits() -> Limits {
    Limits {
        max_connections: 2,
        max_streams: 64,
        max_calls_per_connection: MAX_CALLS_PER_CONNECTION,
        max_queued_calls: 500,
        idle_timeout: Span::from_millis(10_000),
        max_connection_age: Span::from_millis(60_000),
        silent_after: Span::from_millis(200),
        max_resets_per_s: 10.0,
    }
}

/// A searcher, what carries to it, and what comes.
struct Story {
    searcher: Arc<Http2Searcher>,
    host: Rc<Host<SendResult>>,
    came: mpsc::Receiver<SendResult>,
}

/// A part that is wanted to the end, with so many bytes of text.
fn sent(id: &str, bytes: usize) -> OutgoingPart {
    let text = vec![b'x'; bytes].into();
    let (id, wait) = (PartId::new(id), Span::from_millis(4_000));
    OutgoingPart {
        nth: 0,
        part: Part {
            id,
            shard: Shard(3),
            wait,
            first_step: None,
            text,
        },
        wanted: Rc::new(|| true),
    }
}

impl Story {
    fn call(&self, ids: &[&str]) {
        let sent = |id: &&str| sent(id, 1);
        assert!(self.host.send(ids.iter().map(sent).collect()).is_ok());
    }

    /// What so many parts come to.
    async fn ends(&mut self, count: usize) -> HashMap<String, Outcome> {
        let mut ends = HashMap::new();
        for _ in 0..count {
            let came = tokio::time::timeout(LONG, self.came.recv())
                .await
                .expect("an end")
                .expect("an end");
            let before = ends.insert(came.part.as_str().to_owned(), came.outcome);
            assert!(before.is_none(), "a part ends once");
        }
        ends
    }

    async fn until(&self, holds: impl Fn(&Story) -> bool) {
        let began = Instant::now();
        while !holds(self) {
            assert!(
                began.elapsed() < LONG,
                "waited in vain: {:?}",
                self.searcher.log()
            );
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    async fn came(&self, count: usize) {
        self.until(|story| story.searcher.log().received.len() >= count)
            .await;
    }

    fn ran(&self, id: &str) -> usize {
        self.searcher
            .log()
            .executed
            .iter()
            .filter(|(ran, _)| ran == id)
            .count()
    }
}

fn story(allows: Option<u32>, limits: Limits, story: impl AsyncFnOnce(&mut Story)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let searcher = Http2Searcher::start("h", allows).await.expect("a port");
        let (queue, came) = mpsc::channel(64);
        let shared = Rc::new(HostContext {
            limits,
            connect_timeout: Span::from_millis(500),
            open_sockets: Rc::new(Cell::new(0)),
            max_open_sockets: 16,
            queue,
            to_event: |came| came,
            started: Instant::now(),
        });
        let host = Host::start(shared, searcher.address);
        story(&mut Story {
            searcher,
            host,
            came,
        })
        .await;
    });
}

fn all(ends: &HashMap<String, Outcome>, outcome: Outcome) -> bool {
    ends.values().all(|end| *end == outcome)
}

/// One slow part holds up no other of its call, nor another call.
#[rstest]
fn parts_come_as_they_are_ready() {
    story(Some(100), limits(), async |story| {
        story.searcher.set_script(|id| {
            if id == "a.2" {
                StreamAction::Slow(Duration::from_millis(80))
            } else {
                StreamAction::Good
            }
        });
        story.call(&["a.1", "a.2"]);
        story.call(&["b.1"]);
        let first = story.ends(2).await;
        assert!(
            first.contains_key("a.1")
                && first.contains_key("b.1")
                && all(&first, Outcome::Returned)
        );
        assert_eq!(story.ends(1).await["a.2"], Outcome::Returned);
        assert_eq!(story.searcher.log().opened, 1);
    });
}

/// Hard case 1: a graceful close in two steps: what is named is waited for, what has not left goes by another
/// connection, nothing runs twice.
#[rstest]
fn a_graceful_close_in_the_middle_of_a_burst() {
    story(Some(100), limits(), async |story| {
        story
            .searcher
            .set_script(|_| StreamAction::Slow(Duration::from_millis(60)));
        let ids: Vec<String> = (0..12).map(|i| format!("q{i}.3")).collect();
        ids.iter().for_each(|id| story.call(&[id]));
        story.came(4).await;
        story.searcher.perform(ConnectionAction::Graceful);
        let ends = story.ends(12).await;
        assert!(all(&ends, Outcome::Returned), "{ends:?}");
        assert!(ids.iter().all(|id| story.ran(id) == 1));
        assert_eq!(story.searcher.log().opened, 2);
    });
}

/// Hard cases 1 and 2: streams beyond the last one that is named never ran, and that is known at once; the others are
/// waited for; a second notice may name fewer.
#[rstest]
#[case::no_error(0)]
#[case::internal_error(2)]
fn streams_beyond_the_last_never_ran(#[case] code: u32) {
    story(Some(100), limits(), async |story| {
        story
            .searcher
            .set_script(|_| StreamAction::Slow(Duration::from_millis(150)));
        for id in ["a.1", "b.1", "c.1", "d.1"] {
            story.call(&[id]);
        }
        story.came(4).await;
        story
            .searcher
            .perform(ConnectionAction::GoAway { less: 1, code });
        assert_eq!(
            story.ends(1).await,
            HashMap::from([("d.1".to_owned(), Outcome::Overloaded)])
        );
        story
            .searcher
            .perform(ConnectionAction::GoAway { less: 2, code });
        assert_eq!(
            story.ends(1).await,
            HashMap::from([("c.1".to_owned(), Outcome::Overloaded)])
        );
        assert!(all(&story.ends(2).await, Outcome::Returned));
        assert_eq!((story.ran("c.1"), story.ran("d.1")), (0, 0));
        // What is sent again goes by another connection.
        story.call(&["d.1"]);
        assert_eq!(story.ends(1).await["d.1"], Outcome::Returned);
    });
}

/// Hard case 2: a notice that leaves out a stream which has answered already proves nothing for the rest of it.
#[rstest]
fn a_notice_that_lies() {
    story(Some(100), limits(), async |story| {
        story.searcher.set_script(|id| {
            if id == "a.2" {
                StreamAction::Slow(Duration::from_millis(300))
            } else {
                StreamAction::Good
            }
        });
        story.call(&["a.1", "a.2"]);
        assert_eq!(story.ends(1).await["a.1"], Outcome::Returned);
        story
            .searcher
            .perform(ConnectionAction::GoAway { less: 1, code: 0 });
        assert_eq!(story.ends(1).await["a.2"], Outcome::ConnectionLost);
    });
}

/// Hard case 2: without a notice, what has left may have run.
#[rstest]
fn a_close_without_notice() {
    story(Some(100), limits(), async |story| {
        story.searcher.set_script(|_| StreamAction::Silent);
        for id in ["a.1", "b.1", "c.1"] {
            story.call(&[id]);
        }
        story.came(3).await;
        story.searcher.perform(ConnectionAction::Close);
        assert!(all(&story.ends(3).await, Outcome::ConnectionLost));
    });
}

/// Hard case 3, over a socket: how a stream ends concerns its own call alone.
#[rstest]
#[case::refused(StreamAction::Reset(REFUSED_STREAM), Outcome::Overloaded, 0)]
#[case::cancelled(StreamAction::Reset(CANCEL), Outcome::Error, 1)]
#[case::internal_error(StreamAction::Reset(2), Outcome::Error, 1)]
#[case::half_a_message(StreamAction::Half, Outcome::Error, 1)]
#[case::noise(StreamAction::Noise, Outcome::Error, 1)]
#[case::no_place(StreamAction::Status(503), Outcome::Overloaded, 0)]
#[case::another_status(StreamAction::Status(500), Outcome::Error, 1)]
#[case::turned_away(StreamAction::Later, Outcome::Overloaded, 0)]
#[case::an_error(StreamAction::Bad, Outcome::Error, 1)]
fn how_a_stream_ends(#[case] does: StreamAction, #[case] means: Outcome, #[case] ran: usize) {
    story(Some(100), limits(), async |story| {
        story.searcher.set_script(move |id| {
            if id == "a.1" {
                does
            } else {
                StreamAction::Slow(Duration::from_millis(40))
            }
        });
        story.call(&["a.1"]);
        story.call(&["b.1"]);
        let ends = story.ends(2).await;
        assert_eq!((ends["a.1"], ends["b.1"]), (means, Outcome::Returned));
        assert_eq!((story.ran("a.1"), story.searcher.log().opened), (ran, 1));
    });
}

/// Hard case 3: a searcher that asks for calm gets it.
#[rstest]
fn no_storm_at_a_searcher_that_asks_for_calm() {
    story(Some(100), limits(), async |story| {
        story.searcher.set_script(|_| StreamAction::Reset(11));
        let began = Instant::now();
        let mut sent = 0;
        while began.elapsed() < Duration::from_millis(700) {
            story.call(&[&format!("q{sent}.1")]);
            sent += 1;
            story.ends(1).await;
        }
        assert!(
            story.searcher.log().opened <= 5,
            "{}",
            story.searcher.log().opened
        );
        story.searcher.set_script(|_| StreamAction::Good);
        story.call(&["z.1"]);
        assert_eq!(story.ends(1).await["z.1"], Outcome::Returned);
    });
}

/// Hard case 4: a limit that is lowered to nothing and raised again; the initial one is waited for.
#[rstest]
fn a_limit_that_moves() {
    story(
        Some(2),
        Limits {
            max_connections: 1,
            ..limits()
        },
        async |story| {
            story
                .searcher
                .set_script(|_| StreamAction::Slow(Duration::from_millis(30)));
            (0..6).for_each(|i| story.call(&[&format!("q{i}.1")]));
            story.ends(6).await;
            assert_eq!(
                story.searcher.log().most_streams,
                2,
                "never more than it allows"
            );
            story.searcher.perform(ConnectionAction::MaxStreams(0));
            // It is heard once a frame that follows it is.
            tokio::time::sleep(Duration::from_millis(30)).await;
            story.call(&["w.1"]);
            tokio::time::sleep(Duration::from_millis(60)).await;
            assert_eq!(story.ran("w.1"), 0);
            story.searcher.perform(ConnectionAction::MaxStreams(50));
            assert_eq!(story.ends(1).await["w.1"], Outcome::Returned);
        },
    );
}

/// Hard case 5: forty calls that waited for a connection come four at first.
#[rstest]
fn a_connection_that_comes_up_is_not_burst_into() {
    story(Some(100), limits(), async |story| {
        story
            .searcher
            .set_script(|_| StreamAction::Slow(Duration::from_millis(20)));
        (0..40).for_each(|i| story.call(&[&format!("q{i}.1")]));
        story.came(4).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert!(
            story.searcher.log().received.len() <= 8,
            "{}",
            story.searcher.log().received.len()
        );
        assert!(all(&story.ends(40).await, Outcome::Returned));
        assert_eq!(story.searcher.log().opened, 1);
    });
}

/// Hard case 6: what a searcher does not read has not left, and is taken back.
#[rstest]
fn a_searcher_that_stops_reading() {
    story(Some(100), limits(), async |story| {
        story.call(&["a.1"]);
        story.ends(1).await;
        story.searcher.perform(ConnectionAction::StopReading);
        tokio::time::sleep(Duration::from_millis(20)).await;
        // More than all windows and socket buffers hold.
        for i in 0..4 {
            assert!(
                story
                    .host
                    .send(vec![sent(&format!("l{i}.1"), 60_000)])
                    .is_ok()
            );
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert!(
            story.host.cancel_unsent(&PartId::new("l3.1"), 0),
            "it has not left whole"
        );
        let ends = story.ends(3).await;
        assert!(
            ends.values()
                .all(|end| matches!(end, Outcome::ConnectionStalled | Outcome::NoConnection)),
            "{ends:?}"
        );
        assert!(
            ends.values().any(|end| *end == Outcome::NoConnection),
            "{ends:?}"
        );
    });
}

/// Hard case 6: one that grants no more windows: what fits leaves, the rest is taken back; another host is served on.
#[rstest]
fn a_searcher_that_grants_nothing() {
    story(Some(100), limits(), async |story| {
        story.call(&["a.1"]);
        story.ends(1).await;
        story.searcher.set_script(|_| StreamAction::Silent);
        story.searcher.perform(ConnectionAction::WithholdWindows);
        tokio::time::sleep(Duration::from_millis(20)).await;
        for id in ["b.1", "c.1", "d.1"] {
            assert!(story.host.send(vec![sent(id, 30_000)]).is_ok());
        }
        story.came(3).await;
        let taken_back = |id: &str| story.host.cancel_unsent(&PartId::new(id), 0);
        assert_eq!((taken_back("b.1"), taken_back("d.1")), (false, true));
    });
}

/// Hard case 6: values larger than a frame and near the largest that is read, several at once.
#[rstest]
fn large_values() {
    story(Some(100), limits(), async |story| {
        story.searcher.set_script(|_| StreamAction::Large(120_000));
        for round in 0..6 {
            for i in 0..4 {
                story.call(&[&format!("r{round}x{i}.1")]);
            }
            assert!(all(&story.ends(4).await, Outcome::Returned));
        }
        story.searcher.set_script(|id| {
            if id == "b.1" {
                StreamAction::Large(200_000)
            } else {
                StreamAction::Good
            }
        });
        story.call(&["b.1"]);
        assert_eq!(
            story.ends(1).await["b.1"],
            Outcome::Error,
            "more than any value may take"
        );
        story.call(&["c.1"]);
        assert_eq!(story.ends(1).await["c.1"], Outcome::Returned);
    });
}

/// Hard case 8: what no searcher may say ends its connection; what has left may have run; another serves on.
#[rstest]
#[case::a_push(ConnectionAction::PushPromise)]
#[case::headers_that_never_end(ConnectionAction::Endless)]
fn what_no_searcher_may_say(#[case] says: ConnectionAction) {
    story(Some(100), limits(), async |story| {
        story.call(&["a.1"]);
        story.ends(1).await;
        story.searcher.set_script(|id| {
            if id == "b.1" {
                StreamAction::Silent
            } else {
                StreamAction::Good
            }
        });
        story.call(&["b.1"]);
        story.came(2).await;
        story.searcher.perform(says);
        let end = story.ends(1).await["b.1"];
        assert!(
            matches!(
                end,
                Outcome::ConnectionLost | Outcome::Error | Outcome::ConnectionStalled
            ),
            "{end:?}"
        );
        story.call(&["c.1"]);
        assert_eq!(story.ends(1).await["c.1"], Outcome::Returned);
    });
}

/// Hard case 8: settings that are never acknowledged harm nobody.
#[rstest]
fn settings_that_are_never_acknowledged() {
    story(Some(100), limits(), async |story| {
        story.searcher.stop_acking_settings();
        for i in 0..20 {
            story.call(&[&format!("q{i}.1")]);
            assert!(all(&story.ends(1).await, Outcome::Returned));
        }
        assert_eq!(story.searcher.log().opened, 1);
    });
}

/// Hard case 7: give-ups are resets, bounded in rate; the connection and what else is out there live on.
#[rstest]
fn many_give_ups() {
    story(
        Some(1_000),
        Limits {
            silent_after: Span::from_millis(5_000),
            ..limits()
        },
        async |story| {
            // Wide first.
            for round in 0..6 {
                (0..64).for_each(|i| story.call(&[&format!("w{round}x{i}.1")]));
                story.ends(64).await;
            }
            story.searcher.set_script(|id| {
                if id.starts_with('s') {
                    StreamAction::Silent
                } else {
                    StreamAction::Good
                }
            });
            let ids: Vec<String> = (0..50).map(|i| format!("s{i}.1")).collect();
            ids.iter().for_each(|id| story.call(&[id]));
            story.came(6 * 64 + 50).await;
            ids.iter()
                .for_each(|id| story.host.cancel(&PartId::new(id), 0));
            story.until(|story| story.searcher.log().resets >= 20).await;
            story.call(&["z.1"]);
            assert_eq!(story.ends(1).await["z.1"], Outcome::Returned);
            let log = story.searcher.log();
            assert!(
                log.resets <= 22 && log.opened == 1,
                "{} resets, {} connections",
                log.resets,
                log.opened
            );
        },
    );
}

/// Hard case 8: a connection that fell silent with parts out is found by a ping, and they are lost with it.
#[rstest]
fn a_connection_that_fell_silent() {
    story(Some(100), limits(), async |story| {
        story.call(&["a.1"]);
        story.ends(1).await;
        story.searcher.perform(ConnectionAction::Mute);
        tokio::time::sleep(Duration::from_millis(20)).await;
        story.call(&["b.1"]);
        story.came(2).await;
        story.host.check_liveness(&PartId::new("b.1"), 0, false);
        assert_eq!(story.ends(1).await["b.1"], Outcome::ConnectionStalled);
        story.call(&["c.1"]);
        assert_eq!(story.ends(1).await["c.1"], Outcome::Returned);
    });
}

/// Hard case 10: a drain while calls wait for a stream: they are handed back, nothing new goes there.
#[rstest]
fn a_drain_while_calls_wait() {
    story(Some(2), limits(), async |story| {
        story
            .searcher
            .set_script(|_| StreamAction::Slow(Duration::from_millis(50)));
        (0..9).for_each(|i| story.call(&[&format!("q{i}.1")]));
        story.came(2).await;
        let unsent = story.host.drain();
        let out = 9 - unsent.len();
        assert!(out <= 4 && all(&story.ends(out).await, Outcome::Returned));
        story.until(|story| story.host.is_closed()).await;
        assert_eq!(story.searcher.log().received.len(), out);
    });
}

/// Nothing new goes to a searcher that is not there; what waited for it never ran.
#[rstest]
fn a_searcher_that_is_not_there() {
    story(Some(1), limits(), async |story| {
        let nobody = std::net::TcpListener::bind("127.0.0.1:0")
            .expect("a port")
            .local_addr()
            .expect("one");
        let (queue, came) = mpsc::channel(64);
        let shared = Rc::new(HostContext {
            limits: limits(),
            connect_timeout: Span::from_millis(500),
            open_sockets: Rc::new(Cell::new(0)),
            max_open_sockets: 16,
            queue,
            to_event: |came| came,
            started: Instant::now(),
        });
        (story.host, story.came) = (Host::start(shared, nobody), came);
        story.call(&["a.1", "a.2"]);
        story.call(&["b.1"]);
        assert!(all(&story.ends(3).await, Outcome::NoConnection));
    });
}

const HTTP2: &str = "http2 { names: \"h*\" fall_back: true }\n";

/// A mixer that speaks HTTP/2 to hosts, by its settings.
fn mixer(
    hosts: &[(String, std::net::SocketAddr)],
    effect: &'static str,
) -> (tokio::runtime::Runtime, Followed) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    let registry = Registry::new(7);
    let endpoints = runtime
        .block_on(fleet::endpoints(&registry, Protocol::Etcd, 1))
        .expect("a port");
    for (group, (name, address)) in hosts.iter().enumerate() {
        registry.put(
            &fleet::key(name),
            fleet::entry(*address, group % 3, "active"),
        );
    }
    let text = format!(
        "{}{HTTP2}",
        fleet::settings_text(Protocol::Etcd, &endpoints, "")
    );
    let setup = Setup {
        has_known_list: false,
        effect,
        ..Setup::default()
    };
    let followed = Followed::start(&setup, &text, false).expect("it starts");
    until(|| followed.mixer.get("/up").status == 200);
    (runtime, followed)
}

fn http2_hosts(runtime: &tokio::runtime::Runtime, count: usize) -> Vec<Arc<Http2Searcher>> {
    let start = |i| {
        runtime
            .block_on(Http2Searcher::start(&format!("h{i}"), Some(100)))
            .expect("a port")
    };
    (0..count).map(start).collect()
}

/// What certainty is worth: a non-retriable part is sent again where its stream is known never to have run, and not
/// where its connection ended without a word.
#[rstest]
#[case::named_as_never_run(StreamAction::Reset(REFUSED_STREAM), 200)]
#[case::may_have_run(StreamAction::Reset(CANCEL), 500)]
fn a_non_retriable_part_over_http2(#[case] first: StreamAction, #[case] status: u16) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("one");
    let hosts = http2_hosts(&runtime, 3);
    let named: Vec<_> = hosts.iter().map(|h| (h.name.clone(), h.address)).collect();
    let (_served, followed) = mixer(&named, "unsafe");
    let mut client = followed.mixer.client();
    assert_eq!(client.ask("calm", &[1, 2, 3]).values().len(), 3);
    let seen = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    for host in &hosts {
        let seen = seen.clone();
        host.set_script(
            move |_| match seen.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
                0 => first,
                _ => StreamAction::Good,
            },
        );
    }
    assert_eq!(client.ask("q", &[1]).status, status);
    let ran: usize = hosts
        .iter()
        .map(|h| {
            h.log()
                .executed
                .iter()
                .filter(|(id, _)| id == "q.1")
                .count()
        })
        .sum();
    assert_eq!(ran, 1, "it ran once, whatever came of it");
}

/// Hard case 9: a host that speaks frames after all is found out, and served by frames.
#[rstest]
fn a_host_that_speaks_no_http2() {
    let frames = Searcher::start("h0");
    let (_served, followed) = mixer(&[("h0".to_owned(), frames.address)], "safe");
    let mut client = followed.mixer.client();
    let mut asked = 0;
    until(|| {
        asked += 1;
        client.ask(&format!("q{asked}"), &[1, 2]).status == 200
    });
    assert_eq!(client.ask("on", &[4]).status, 200);
    assert!(!frames.log().parts.is_empty());
}

/// Which carrier a host gets is what its entry says; one that moves to the other keeps serving.
#[rstest]
fn carriers_by_entry() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("one");
    let registry = Registry::new(7);
    let endpoints = runtime
        .block_on(fleet::endpoints(&registry, Protocol::Etcd, 1))
        .expect("a port");
    let wide = http2_hosts(&runtime, 1).remove(0);
    let frames = Searcher::start("f0");
    let put = |name: &str, address: std::net::SocketAddr, carrier: &str| {
        let line = format!(
            r#"{{"address":"{address}","group":0,"status":"active","carrier":"{carrier}"}}"#
        );
        registry.put(&fleet::key(name), line)
    };
    put("h0", wide.address, "http2");
    put("f0", frames.address, "frames");
    let text = format!(
        "{}http2 {{ entries: true }}\n",
        fleet::settings_text(Protocol::Etcd, &endpoints, "")
    );
    let followed = Followed::start(
        &Setup {
            has_known_list: false,
            ..Setup::default()
        },
        &text,
        false,
    )
    .expect("it starts");
    until(|| followed.mixer.get("/up").status == 200);
    let (mut client, mut asked) = (followed.mixer.client(), 0);
    let mut ask = || {
        asked += 1;
        client.ask(&format!("q{asked}"), &[asked, asked + 1]).status
    };
    until(|| {
        assert_eq!(ask(), 200);
        !wide.log().executed.is_empty() && !frames.log().parts.is_empty()
    });
    // The host that spoke HTTP/2 comes back elsewhere, speaking frames.
    let again = Searcher::start("h0");
    put("h0", again.address, "frames");
    until(|| {
        assert_eq!(ask(), 200);
        !again.log().parts.is_empty()
    });
    until(|| wide.log().closed == wide.log().opened);
}
