//! Tests the platform's rules on the running program that `run` starts: the command ends by `exec` in one process
//! linked against the C library; its sockets are TCP and UDP over IPv4 only; it starts no other program; when idle,
//! every thread blocks. The platform's acceptance test rejects violations of each.

use std::fs;

use lockusher_aggregator_testbed::stand_in::system::{
    children, interpreter, kinds, sockets, states,
};
use lockusher_aggregator_testbed::stand_in::*;

const DEPLOY: &str = include_str!("../../../deploy/balancer.toml");

/// The quoted value of `key = "..."` in the deploy file.
fn deploy_value(key: &str) -> &'static str {
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
fn the_run_command_execs_the_mixer_without_optional_features() {
    let arguments: Vec<&str> = deploy_value("run").split_whitespace().collect();
    // A shell that stays would be a second process; settings named here would enable the registry or HTTP/2.
    assert_eq!(arguments.first(), Some(&"exec"), "{arguments:?}");
    assert_eq!(
        arguments.get(1),
        Some(&"target/release/lockusher"),
        "{arguments:?}"
    );
    assert!(
        !arguments
            .iter()
            .any(|argument| argument.starts_with("--settings")
                || argument.contains('&')
                || argument.contains(';')),
        "{arguments:?}"
    );
}

/// Guards against tokio's signal handling, which holds a pair of Unix sockets: `socket 71019 is not TCP or UDP over
/// IPv4: unix`.
#[test]
fn the_serving_mixer_is_one_blocking_process_with_ipv4_sockets_only() {
    let executable = fs::read(env!("CARGO_BIN_EXE_lockusher")).expect("the program is built");
    let interpreter_path =
        interpreter(&executable).expect("linked dynamically: a program interpreter is named");
    assert!(interpreter_path.contains("ld-linux"), "{interpreter_path}");

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
    let open_sockets = sockets(pid);
    // The listener, discovery and at least one searcher.
    assert!(open_sockets.len() >= 3, "{open_sockets:?}");
    for inode in &open_sockets {
        let kinds = kinds(pid, inode);
        assert!(
            kinds == ["tcp"] || kinds == ["udp"],
            "socket {inode} is not TCP or UDP over IPv4: {kinds:?}"
        );
        // Mixers exchange datagrams only if the operator enables it.
        assert!(
            kinds != ["udp"],
            "socket {inode} is UDP although no fleet is configured"
        );
    }
    assert_eq!(
        children(pid),
        Vec::<String>::new(),
        "it starts no other program"
    );
    // When idle, all threads must block at the same time; a spinning one would never let this hold.
    world.until(|| states(pid).iter().all(|s| matches!(s, 'S' | 'D')));
    assert!(!states(pid).is_empty());
}
