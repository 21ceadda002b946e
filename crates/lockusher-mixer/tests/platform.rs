//! What the platform allows the mixer that `run` starts, as the system sees the running program: the line ends by
//! `exec` in one process linked against the C library; its sockets are TCP and UDP over IPv4 alone; it starts no
//! other program; when there is nothing to do every thread waits. The standing test refuses each of these otherwise.

use std::collections::HashSet;
use std::fs;

use lockusher_lab::stand_in::*;

const DEPLOY: &str = include_str!("../../../deploy/balancer.toml");

/// The quoted value of `key = "..."` in the deploy file.
fn deployed(key: &str) -> &'static str {
    let line = DEPLOY.lines().find(|l| l.split('=').next().is_some_and(|k| k.trim() == key));
    let value = line.and_then(|l| l.split_once('=')).map(|(_, v)| v.trim()).expect("the key is there");
    value.strip_prefix('"').and_then(|v| v.strip_suffix('"')).expect("a quoted value")
}

#[test]
fn run_hands_its_process_to_the_mixer_and_switches_nothing_on() {
    let words: Vec<&str> = deployed("run").split_whitespace().collect();
    // A shell left waiting would be a second process; settings named here would switch on the registry or HTTP/2.
    assert_eq!(words.first(), Some(&"exec"), "{words:?}");
    assert_eq!(words.get(1), Some(&"target/release/lockusher"), "{words:?}");
    assert!(
        !words.iter().any(|w| w.starts_with("--settings") || w.contains('&') || w.contains(';')),
        "{words:?}"
    );
}

/// The program interpreter that an ELF file of 64 bits names, if it names one: present only if dynamically linked.
fn interpreter(elf: &[u8]) -> Option<String> {
    assert_eq!(&elf[..5], b"\x7fELF\x02", "an ELF file of 64 bits");
    let u16_at = |at: usize| u16::from_le_bytes([elf[at], elf[at + 1]]) as usize;
    let u64_at = |at: usize| u64::from_le_bytes(elf[at..at + 8].try_into().expect("eight bytes")) as usize;
    let (table, size, count) = (u64_at(0x20), u16_at(0x36), u16_at(0x38));
    (0..count).map(|i| table + i * size).find(|&h| elf[h..h + 4] == 3u32.to_le_bytes()).map(|h| {
        let (from, length) = (u64_at(h + 8), u64_at(h + 32));
        String::from_utf8_lossy(&elf[from..from + length]).trim_end_matches('\0').to_owned()
    })
}

/// The inodes of sockets listed in one of the system's tables of this network, read from `column`.
fn table(pid: u32, name: &str, column: usize) -> HashSet<String> {
    let text = fs::read_to_string(format!("/proc/{pid}/net/{name}")).unwrap_or_default();
    text.lines().skip(1).filter_map(|l| l.split_whitespace().nth(column).map(str::to_owned)).collect()
}

/// Which of the system's tables lists this socket, for the message of a failure.
fn listed_in(pid: u32, inode: &str) -> String {
    let tables = ["tcp", "udp", "tcp6", "udp6", "raw", "raw6", "unix", "netlink", "packet"];
    let listed = |t: &&&str| [6, 9].iter().any(|&c| table(pid, t, c).contains(inode));
    tables.iter().filter(listed).copied().collect::<Vec<_>>().join(",")
}

/// The state letter of each of its threads.
fn states(pid: u32) -> Vec<char> {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).expect("it runs");
    let stat = |e: fs::DirEntry| fs::read_to_string(e.path().join("stat")).unwrap_or_default();
    let state = |s: String| s.rsplit_once(") ").and_then(|(_, rest)| rest.chars().next());
    tasks.filter_map(Result::ok).map(stat).filter_map(state).collect()
}

/// Processes whose parent is this one.
fn children(pid: u32) -> Vec<String> {
    let all = fs::read_dir("/proc").expect("a proc file system").filter_map(Result::ok);
    let stat = |e: fs::DirEntry| fs::read_to_string(e.path().join("stat")).ok();
    let parent =
        |s: &String| s.rsplit_once(") ").and_then(|(_, rest)| rest.split_whitespace().nth(1)?.parse().ok());
    all.filter_map(stat).filter(|s| parent(s) == Some(pid)).collect()
}

#[test]
fn the_serving_mixer_is_one_waiting_process_on_ipv4_sockets() {
    let exe = fs::read(env!("CARGO_BIN_EXE_lockusher")).expect("the program is built");
    let interp = interpreter(&exe).expect("linked dynamically: a program interpreter is named");
    assert!(interp.contains("ld-linux"), "{interp}");

    let world = World::start(Setup::default());
    let mut client = world.client();
    for i in 0..18 {
        assert_eq!(client.ask(&format!("q{i}"), &[i, i + 3, i + 5]).status, 200, "of 24 shards");
    }
    let pid = world.pid();
    let maps = fs::read_to_string(format!("/proc/{pid}/maps")).expect("it runs");
    assert!(maps.lines().any(|l| l.contains("/libc.so") || l.contains("/libc-")), "the C library is loaded");

    let links = fs::read_dir(format!("/proc/{pid}/fd")).expect("it runs").filter_map(Result::ok);
    let link = |e: fs::DirEntry| fs::read_link(e.path()).ok().map(|t| t.to_string_lossy().into_owned());
    let sockets: Vec<String> = links
        .filter_map(link)
        .filter_map(|t| t.strip_prefix("socket:[").and_then(|t| t.strip_suffix(']')).map(str::to_owned))
        .collect();
    // Its listener, discovery and at least one searcher.
    assert!(sockets.len() >= 3, "{sockets:?}");
    let ipv4: HashSet<String> = table(pid, "tcp", 9).into_iter().chain(table(pid, "udp", 9)).collect();
    let refused: HashSet<String> = ["tcp6", "udp6", "raw", "raw6"]
        .iter()
        .flat_map(|t| table(pid, t, 9))
        .chain(table(pid, "unix", 6))
        .collect();
    for inode in &sockets {
        assert!(
            ipv4.contains(inode) && !refused.contains(inode),
            "socket {inode} is not TCP or UDP over IPv4: {}",
            listed_in(pid, inode)
        );
    }

    assert_eq!(children(pid), Vec::<String>::new(), "it starts no other program");
    // With nothing to do, every thread waits at once: one that spins would never let this hold.
    world.until(|| states(pid).iter().all(|s| matches!(s, 'S' | 'D')));
    assert!(!states(pid).is_empty());
}
