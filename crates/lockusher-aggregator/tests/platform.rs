//! What the platform allows the mixer that `run` starts, as the system sees the running program: the line ends by
//! `exec` in one process linked against the C library; its sockets are TCP and UDP over IPv4 alone; it starts no
//! other program; when there is nothing to do every thread waits. The standing test refuses each of these otherwise.

use std::fs;

use lockusher_aggregator_testbed::stand_in::system::{
    children, interpreter, kinds, sockets, states,
};
use lockusher_aggregator_testbed::stand_in::*;

const DEPLOY: &str = include_str!("../../../deploy/balancer.toml");

/// The quoted value of `key = "..."` in the deploy file.
fn deployed(key: &str) -> &'static str {
    let line = DEPLOY
        .lines()
        .find(|l| l.split('=').next().is_some_and(|k| k.trim() == key));
    let value = line
        .and_then(|l| l.split_once('='))
        .map(|(_, v)| v.trim())
        .expect("the key is there");
    value
        .strip_prefix('"')
        .and_then(|v| v.strip_suffix('"'))
        .expect("a quoted value")
}

#[test]
fn run_hands_its_process_to_the_mixer_and_switches_nothing_on() {
    let words: Vec<&str> = deployed("run").split_whitespace().collect();
    // A shell left waiting would be a second process; settings named here would switch on the registry or HTTP/2.
    assert_eq!(words.first(), Some(&"exec"), "{words:?}");
    assert_eq!(words.get(1), Some(&"target/release/lockusher"), "{words:?}");
    assert!(
        !words
            .iter()
            .any(|w| w.starts_with("--settings") || w.contains('&') || w.contains(';')),
        "{words:?}"
    );
}

/// Tokio's signal handling once held a pair of Unix sockets here: `socket 71019 is not TCP or UDP over IPv4: unix`.
#[test]
fn the_serving_mixer_is_one_waiting_process_on_ipv4_sockets() {
    let exe = fs::read(env!("CARGO_BIN_EXE_lockusher")).expect("the program is built");
    let interp = interpreter(&exe).expect("linked dynamically: a program interpreter is named");
    assert!(interp.contains("ld-linux"), "{interp}");

    let world = World::start(Setup::default());
    let mut client = world.client();
    for i in 0..18 {
        assert_eq!(
            client.ask(&format!("q{i}"), &[i, i + 3, i + 5]).status,
            200,
            "of 24 shards"
        );
    }
    let pid = world.pid();
    let maps = fs::read_to_string(format!("/proc/{pid}/maps")).expect("it runs");
    assert!(
        maps.lines()
            .any(|l| l.contains("/libc.so") || l.contains("/libc-")),
        "the C library is loaded"
    );
    let held = sockets(pid);
    // Its listener, discovery and at least one searcher.
    assert!(held.len() >= 3, "{held:?}");
    for inode in &held {
        let kinds = kinds(pid, inode);
        assert!(
            kinds == ["tcp"] || kinds == ["udp"],
            "socket {inode} is not TCP or UDP over IPv4: {kinds:?}"
        );
        // Mixers talk to each other by datagrams, and without the operator's word not at all.
        assert!(
            kinds != ["udp"],
            "socket {inode} speaks UDP though no fleet is set"
        );
    }
    assert_eq!(
        children(pid),
        Vec::<String>::new(),
        "it starts no other program"
    );
    // With nothing to do, every thread waits at once: one that spins would never let this hold.
    world.until(|| states(pid).iter().all(|s| matches!(s, 'S' | 'D')));
    assert!(!states(pid).is_empty());
}
