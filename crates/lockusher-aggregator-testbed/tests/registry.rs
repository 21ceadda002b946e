//! The mixer with a registry of our own, over loopback: what its members do, and what leaves for searchers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lockusher_aggregator_testbed::fleet::{self, Endpoint, Followed};
use lockusher_aggregator_testbed::registry::Registry;
use lockusher_aggregator_testbed::registry::store::Write;
use lockusher_aggregator_testbed::stand_in::{Searcher, Setup, until};
use lockusher_registry_client::core::follow::Protocol;
use rstest::rstest;
use tokio::runtime::Runtime;

/// A registry with three hosts and a mixer that follows it.
struct Story {
    runtime: Runtime,
    registry: Arc<Registry>,
    protocol: Protocol,
    endpoints: Vec<Endpoint>,
    searchers: Vec<Arc<Searcher>>,
    followed: Followed,
}

const MORE: &str = "  page: 2\n  silent_after_ms: 400\n  settle_ms: 600\n  wait_ms: 400\n";

impl Story {
    fn start(protocol: Protocol, members: usize) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build();
        let runtime = runtime.expect("a runtime");
        let registry = Registry::new(7);
        let endpoints = runtime
            .block_on(fleet::endpoints(&registry, protocol, members))
            .expect("ports");
        let searchers = fleet::searchers(3);
        let writes = searchers
            .iter()
            .enumerate()
            .map(|(i, searcher)| Write::Put {
                key: fleet::key(&searcher.name).into_bytes(),
                value: fleet::entry(searcher.address, i, "active").into_bytes(),
                lease: i as u64 + 1,
            });
        registry.write(writes);
        let text = fleet::settings_text(protocol, &endpoints, MORE);
        let setup = Setup {
            has_known_list: false,
            ..Setup::default()
        };
        let followed = Followed::start(&setup, &text, false).expect("it starts");
        let story = Story {
            runtime,
            registry,
            protocol,
            endpoints,
            searchers,
            followed,
        };
        until(|| story.followed.mixer.get("/up").status == 200);
        story
    }

    fn set(&self, host: usize, status: &str) -> u64 {
        let searcher = &self.searchers[host];
        self.registry.put(
            &fleet::key(&searcher.name),
            fleet::entry(searcher.address, host, status),
        )
    }

    /// Until the mixer's view is so.
    fn holds(&self, wanted: &[(&str, &str)]) {
        let wanted: Vec<(String, String)> = wanted
            .iter()
            .map(|(host, status)| (host.to_string(), status.to_string()))
            .collect();
        until(|| fleet::statuses(&self.followed.view()) == wanted);
    }

    /// Asks some multigets, and tells how many parts went to each host.
    fn asks(&self, what: &str) -> Vec<usize> {
        let before: Vec<usize> = self.searchers.iter().map(|s| s.log().parts.len()).collect();
        let mut client = self.followed.mixer.client();
        for i in 0..6 {
            let answer = client.ask(&format!("{what}{i}"), &[i, i + 1, i + 2]);
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        self.searchers
            .iter()
            .zip(before)
            .map(|(s, before)| s.log().parts.len() - before)
            .collect()
    }

    /// Waits until the router acts on what the follower told, then asks: what drained gets nothing.
    fn gives_nothing_to(&self, host: usize) {
        let mut asked = 0;
        until(|| {
            asked += 1;
            self.asks(&format!("u{host}-{asked}-"))[host] == 0
        });
        assert_eq!(self.asks(&format!("n{host}-"))[host], 0);
    }

    fn count(&self, name: &str) -> u64 {
        self.followed.registry()["counts"][name]
            .as_u64()
            .expect("a count")
    }

    fn cut_off(&self, off: bool) {
        self.endpoints.iter().for_each(|e| e.relay.refuse(off));
        if off {
            self.endpoints.iter().for_each(|e| e.relay.cut());
        }
    }
}

#[rstest]
#[case::etcd(Protocol::Etcd)]
#[case::consul(Protocol::Consul)]
fn a_drain_in_the_registry_reaches_the_router(#[case] protocol: Protocol) {
    let story = Story::start(protocol, 2);
    assert!(
        story.asks("calm").iter().all(|parts| *parts > 0),
        "all serve"
    );
    story.set(0, "leaving");
    story.holds(&[("h0", "leaving"), ("h1", "active"), ("h2", "active")]);
    story.gives_nothing_to(0);
    story.registry.delete(&fleet::key("h1"));
    story.holds(&[("h0", "leaving"), ("h2", "active")]);
    story.gives_nothing_to(1);
    story.set(0, "active");
    until(|| story.asks("back")[0] > 0);
}

/// Hard cases 1 and 2, over sockets: what came while cut off was compacted away, and the registry compacts again
/// between pages and between the read and the watch.
#[rstest]
#[case::etcd(Protocol::Etcd)]
#[case::consul(Protocol::Consul)]
fn a_compaction_during_a_forced_disconnect(#[case] protocol: Protocol) {
    let story = Story::start(protocol, 2);
    story.cut_off(true);
    story.set(0, "leaving");
    story.registry.delete(&fleet::key("h1"));
    story.registry.put(
        "lab/hosts/h9",
        fleet::entry(story.searchers[1].address, 1, "active"),
    );
    story.registry.compact();
    for endpoint in &story.endpoints {
        endpoint
            .member
            .does(|script| (script.compact_between_pages, script.compact_after_read) = (1, 1));
    }
    assert_eq!(story.asks("away").len(), 3, "served from the last view");
    story.cut_off(false);
    story.holds(&[("h0", "leaving"), ("h2", "active"), ("h9", "active")]);
    story.gives_nothing_to(0);
    if protocol == Protocol::Etcd {
        assert!(story.count("compactions") >= 1 && story.count("rebuilds") >= 2);
    }
}

/// Hard case 4: one member of another cluster, and one that lags, are passed over; a replaced cluster is followed.
#[rstest]
fn whom_a_mixer_believes() {
    let story = Story::start(Protocol::Etcd, 3);
    let lags_at = story.registry.store().revision();
    story.set(0, "leaving");
    story.holds(&[("h0", "leaving"), ("h1", "active"), ("h2", "active")]);
    story.endpoints[0]
        .member
        .does(|script| script.cluster = Some(99));
    story.endpoints[1]
        .member
        .does(|script| script.lags_at = Some(lags_at));
    // Whichever it follows first, it ends at the one that is sound.
    let sound = story.endpoints[2].relay.address.to_string();
    for _ in 0..3 {
        story.endpoints.iter().for_each(|e| e.relay.cut());
        until(|| {
            let stands = story.followed.registry();
            stands["stage"] == "following" && stands["endpoint"] == sound.as_str()
        });
    }
    story.holds(&[("h0", "leaving"), ("h1", "active"), ("h2", "active")]);
    assert_eq!(story.count("rebuilds"), 1, "only the one at the start");
    // The cluster is replaced by another, where h0 is up and h1 is not.
    story.endpoints.iter().for_each(|e| {
        e.member
            .does(|script| (script.cluster, script.lags_at) = (None, None));
    });
    story.registry.store().replace(8);
    story.set(0, "active");
    story.set(2, "active");
    story.endpoints.iter().for_each(|e| e.relay.cut());
    story.holds(&[("h0", "active"), ("h2", "active")]);
}

/// Hard case 6: a member that hangs is left for another; nothing that it did not say is missed.
#[rstest]
#[case::etcd(Protocol::Etcd)]
#[case::consul(Protocol::Consul)]
fn a_member_that_hangs_is_left(#[case] protocol: Protocol) {
    let story = Story::start(protocol, 2);
    until(|| story.followed.registry()["stage"] == "following");
    let asked = story.followed.registry()["endpoint"]
        .as_str()
        .expect("one")
        .to_owned();
    let hangs = story
        .endpoints
        .iter()
        .find(|e| e.relay.address.to_string() == asked)
        .expect("one of them");
    hangs.member.does(|script| script.silent = true);
    story.set(0, "leaving");
    story.holds(&[("h0", "leaving"), ("h1", "active"), ("h2", "active")]);
    assert!(story.count("silences") >= 1);
    assert_ne!(story.followed.registry()["endpoint"], asked.as_str());
}

/// Hard case 7: leases end by the hundred; all that is gone gets nothing, and what comes back serves at once.
#[rstest]
fn a_storm_of_leases() {
    let story = Story::start(Protocol::Etcd, 1);
    story.registry.store().expire(&[1, 2, 3]);
    story.registry.touch();
    story.holds(&[]);
    let told = Instant::now();
    let mut client = story.followed.mixer.client();
    until(|| {
        client
            .ask(&format!("s{:?}", told.elapsed().as_micros()), &[1])
            .status
            != 200
    });
    let before: usize = story.searchers.iter().map(|s| s.log().parts.len()).sum();
    assert_eq!(
        client.ask("none", &[1]).status,
        503,
        "pushed back at once: there is nobody to ask"
    );
    assert_eq!(
        story
            .searchers
            .iter()
            .map(|s| s.log().parts.len())
            .sum::<usize>(),
        before
    );
    story.set(1, "active");
    until(|| {
        client
            .ask(&format!("b{:?}", told.elapsed().as_micros()), &[1])
            .status
            == 200
    });
}

/// Hard case 8: an entry that can't be read harms no other, and its host serves on.
#[rstest]
fn an_entry_that_cannot_be_read() {
    let story = Story::start(Protocol::Etcd, 1);
    story
        .registry
        .put(&fleet::key("h0"), vec![0xff, 0x00, b'{']);
    story.set(1, "leaving");
    story.holds(&[("h0", "active"), ("h1", "leaving"), ("h2", "active")]);
    assert_eq!(story.followed.registry()["unreadable"], 1);
    story.gives_nothing_to(1);
    assert!(story.asks("on")[0] > 0);
}

/// Hard case 11: settings move endpoints and prefix during a rebuild; a faulty file changes nothing; SIGTERM ends it.
#[rstest]
fn settings_that_move_during_a_rebuild() {
    let mut story = Story::start(Protocol::Etcd, 2);
    let other = Registry::new(70);
    let elsewhere = story
        .runtime
        .block_on(fleet::endpoints(&other, story.protocol, 1))
        .expect("a port");
    other.put(
        "lab/hosts/h2",
        fleet::entry(story.searchers[2].address, 2, "active"),
    );
    // A rebuild that does not end: what came was compacted away, and no member answers.
    story.cut_off(true);
    story.set(0, "leaving");
    story.registry.compact();
    story.endpoints.iter().for_each(|e| {
        e.member
            .does(|script| script.slow = Duration::from_secs(3_600));
    });
    story.cut_off(false);
    until(|| story.followed.registry()["stage"] != "following");
    story
        .followed
        .set("registry { protocol: ETCD endpoints: \"nowhere\" prefix: \"x\" }")
        .expect("a file");
    assert_eq!(
        story.asks("faulty").len(),
        3,
        "a faulty file changes nothing"
    );
    let text = fleet::settings_text(story.protocol, &elsewhere, MORE);
    story.followed.set(&text).expect("a file");
    story.holds(&[("h2", "active")]);
    story.gives_nothing_to(0);
    // Away again, in the middle of a try: it stops in order.
    elsewhere
        .iter()
        .for_each(|e| e.member.does(|script| script.silent = true));
    elsewhere.iter().for_each(|e| e.relay.cut());
    until(|| story.followed.registry()["stage"] != "following");
    story.followed.mixer.signal("-TERM");
    assert!(story.followed.mixer.wait_ended().success());
}

/// `check` names the file, the line and the key, and exits with 2; `registry dump` prints discovery's form.
#[rstest]
fn the_command_line() {
    let story = Story::start(Protocol::Etcd, 1);
    let lab = || std::process::Command::new(env!("CARGO_BIN_EXE_lockusher-aggregator-testbed"));
    let dump = lab()
        .args(["mixer", "registry", "dump", "--settings"])
        .arg(&story.followed.settings)
        .output();
    let dump = dump.expect("it runs");
    let list: serde_json::Value = serde_json::from_slice(&dump.stdout).expect("a list");
    assert_eq!(
        (
            dump.status.code(),
            list["endpoints"].as_array().map(Vec::len)
        ),
        (Some(0), Some(3))
    );
    let file = std::env::temp_dir().join(format!("lockusher-faulty-{}.txtpb", std::process::id()));
    std::fs::write(
        &file,
        "log { form: JSON }\nregistry {\n  protocol: ETCD\n  endpoints: \"here\"\n}\n",
    )
    .expect("a file");
    let check = lab()
        .args(["mixer", "check"])
        .arg(&story.followed.settings)
        .arg(&file)
        .output()
        .expect("it runs");
    std::fs::remove_file(&file).expect("it is there");
    let said = String::from_utf8_lossy(&check.stderr).into_owned();
    assert_eq!(check.status.code(), Some(2));
    assert!(
        said.contains(&format!(
            "{}: line 4: registry.endpoints: \"here\" is not",
            file.display()
        )),
        "{said}"
    );
    assert!(String::from_utf8_lossy(&check.stdout).contains(": good"));
}
