//! A mixer with its stand-ins: the real program between them.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::LONG;
use super::client::{Answer, Client};
use super::discovery::Discovery;
use super::searcher::{PartAction, PartRequest, Searcher};

/// The setup of a mixer and its stand-ins.
pub struct Setup {
    pub searchers: usize,
    /// The effect of op type `look`: `safe`, `keyed` or `unsafe`.
    pub effect: &'static str,
    /// The latency target. Before any latency is measured, a part counts as late after one and a half times this.
    pub latency_target_ms: u64,
    /// How long searchers drop duplicates of a keyed part.
    pub dedup_window_ms: u64,
    /// The deadline of requests.
    pub deadline_ms: u64,
    /// Parts of the second step; 0 for none.
    pub second_step: usize,
    /// The limit on sockets.
    pub sockets: usize,
    /// The limit on memory.
    pub memory_mb: usize,
    /// The limit on requests in flight.
    pub max_in_flight: usize,
    /// The limit on concurrent calls on one connection.
    pub max_streams: usize,
    /// The limit on parts of one call.
    pub max_parts_per_call: usize,
    /// The idle timeout of connections.
    pub idle_ms: u64,
    /// The connect timeout.
    pub connect_ms: u64,
    /// Whether the configuration has a known list, or the mixer depends on discovery.
    pub has_known_list: bool,
    /// Whether lists must be requested from discovery rather than being pushed.
    pub lists_on_request: bool,
    /// The greatest interval of such requests.
    pub ask_every_ms: u64,
    /// Cells of searchers.
    pub cells: usize,
    /// Consecutive cells that hold a shard.
    pub cells_per_shard: usize,
    /// Shards.
    pub shards: usize,
    /// Mixers of the fleet.
    pub mixers: usize,
    /// The index of this mixer among them.
    pub rank: usize,
    /// Whether there is a second op type, `once`, whose parts must not be retried.
    pub once: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            searchers: 3,
            effect: "safe",
            latency_target_ms: 300,
            dedup_window_ms: 2_000,
            deadline_ms: 5_000,
            second_step: 0,
            sockets: 256,
            memory_mb: 64,
            max_in_flight: 500,
            max_streams: 32,
            max_parts_per_call: 1,
            idle_ms: 15_000,
            connect_ms: 250,
            has_known_list: true,
            lists_on_request: false,
            ask_every_ms: 2_000,
            cells: 3,
            cells_per_shard: 3,
            shards: 24,
            mixers: 1,
            rank: 0,
            once: false,
        }
    }
}

/// The settings of a mixer, as JSON.
pub fn settings(setup: &Setup) -> Value {
    let grade = |name: &str, effect: &str| {
        json!({ "name": name, "promise_us": setup.latency_target_ms * 1000, "deadline_us": setup.deadline_ms * 1000, "effect": effect,
            "worth": 1.0, "late_value": 1.0, "dedup_window_us": setup.dedup_window_ms * 1000 })
    };
    let once = setup.once.then(|| grade("once", "unsafe"));
    let grades: Vec<Value> = [grade("look", setup.effect)]
        .into_iter()
        .chain(once)
        .collect();
    let kinds = grades.len();
    json!({
        "balancers": setup.mixers, "rank": setup.rank, "tick_us": 5000, "localities": ["here"], "locality": "here",
        "membership_mode": if setup.lists_on_request { "on_request" } else { "pushed" }, "prices": {},
        "parties": [{ "name": "acme", "quota_per_s": 1000.0 }],
        "grades": grades,
        "extra": {
            "cells": setup.cells, "in_a_row": setup.cells_per_shard, "slices": setup.shards, "least_share": vec![1.0; kinds], "need_by_class": vec![1.0; kinds],
            "fetch_parts": vec![setup.second_step; kinds], "bundle_max": setup.max_parts_per_call,
        },
        "limits": {
            "max_attempts": 4, "parallel_tries": setup.effect == "safe", "may_cancel": true, "probes": true, "retry_after": true,
            "max_retry_after_us": 2_000_000, "max_open": setup.max_in_flight, "max_streams": setup.max_streams,
            "conn_idle_us": setup.idle_ms * 1000, "connect_timeout_us": setup.connect_ms * 1000,
        },
        "rules": { "cold_from": 0.2, "ramp_time_us": 9_000_000, "fall_multiple": 4.0, "tip_after_us": 1_000_000,
            "ask_every_us": setup.ask_every_ms * 1000 },
    })
}

/// The program that tests run: the mixer that cargo built beside the test, or the test bed, which has a mixer command.
fn program() -> Command {
    let executable = std::env::current_exe().expect("a path");
    let is_testbed = executable
        .file_stem()
        .is_some_and(|stem| stem == "lockusher-aggregator-testbed");
    let built_for_testbed = std::env::var("CARGO_PKG_NAME")
        .is_ok_and(|package| package == "lockusher-aggregator-testbed");
    let sibling = |name| {
        executable
            .parent()
            .and_then(Path::parent)
            .expect("a test binary is two directories deep")
            .join(name)
    };
    let mut command = match (is_testbed, built_for_testbed) {
        (true, _) => Command::new(&executable),
        (false, true) => Command::new(sibling("lockusher-aggregator-testbed")),
        (false, false) => return Command::new(sibling("lockusher")),
    };
    command.arg("mixer");
    command
}

/// A mixer process, which is killed when this is dropped.
pub struct Mixer {
    pub address: SocketAddr,
    child: Child,
    file: PathBuf,
}

impl Mixer {
    /// Starts a mixer with this configuration and waits until it listens. Its log is forwarded to standard error, or
    /// discarded if `quiet`.
    pub fn start(config: &Value, settings: Option<&Path>, quiet: bool) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!(
            "lockusher-story-{}-{number}.json",
            std::process::id()
        ));
        std::fs::write(&file, config.to_string()).expect("a file");
        let mut command = program();
        if let Some(settings) = settings {
            command.arg("--settings").arg(settings);
        }
        let child = command
            .env("LB_CONFIG", &file)
            .stderr(Stdio::piped())
            .spawn();
        let mut child = child.expect("the program starts");
        let mut stderr = BufReader::new(child.stderr.take().expect("a pipe"));
        let address = loop {
            let mut line = String::new();
            assert!(
                stderr.read_line(&mut line).expect("a line") > 0,
                "the mixer ended before it listened"
            );
            if let Some((_, address)) = line.split_once(" serves on ") {
                break address.trim().parse().expect("an address");
            }
            eprint!("{line}");
        };
        thread::spawn(move || match quiet {
            true => std::io::copy(&mut stderr, &mut std::io::sink()),
            false => std::io::copy(&mut stderr, &mut std::io::stderr()),
        });
        Mixer {
            address,
            child,
            file,
        }
    }

    /// A new client.
    pub fn client(&self) -> Client {
        Client::to(self.address)
    }

    /// Sends a GET request on a connection of its own.
    pub fn get(&self, path: &str) -> Answer {
        let mut client = self.client();
        client.write(
            format!("GET {path} HTTP/1.1\r\nHost: app\r\nConnection: close\r\n\r\n").as_bytes(),
        );
        client.read().expect("an answer")
    }

    /// Sends a signal, given as an option of `kill`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(sent.expect("kill").success());
    }

    /// Rewrites the configuration file, which the mixer reads again on SIGHUP.
    pub fn configure(&self, config: &Value) {
        std::fs::write(&self.file, config.to_string()).expect("a file");
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    fn proc(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id()))
            .expect("the mixer is running")
    }

    /// The peak memory of the process, in KB.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = self.proc("status");
        let line = status
            .lines()
            .find(|l| l.starts_with("VmHWM:"))
            .expect("its peak");
        line.split_whitespace()
            .nth(1)
            .and_then(|kb| kb.parse().ok())
            .expect("a number")
    }

    /// The CPU time of its main thread, in microseconds.
    pub fn cpu_us(&self) -> u64 {
        let stat = self.proc("schedstat");
        stat.split_whitespace()
            .next()
            .and_then(|ns| ns.parse::<u64>().ok())
            .expect("a number")
            / 1_000
    }

    /// Waits for the end of the process.
    pub fn wait_ended(&mut self) -> ExitStatus {
        self.child.wait().expect("the mixer ends")
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }
}

impl Drop for Mixer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Waits until a condition holds.
pub fn until(mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < LONG, "the condition did not hold in time");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A mixer with its searchers and discovery.
pub struct World {
    pub searchers: Vec<Arc<Searcher>>,
    pub discovery: Arc<Discovery>,
    pub address: SocketAddr,
    mixer: Mixer,
    config: Value,
}

/// The entry of a searcher in the list of discovery.
pub fn line(searcher: &Searcher, group: usize, status: &str) -> Value {
    json!({ "name": searcher.name, "address": searcher.address, "zone": "here", "type": "m", "group": group,
        "status": status, "weight": 1.0, "since_ms": 0 })
}

impl World {
    /// Starts everything and waits until the mixer is ready.
    pub fn start(setup: Setup) -> Self {
        let searchers: Vec<_> = (0..setup.searchers)
            .map(|i| Searcher::start(&format!("s{i}")))
            .collect();
        let lines: Vec<Value> = searchers
            .iter()
            .enumerate()
            .map(|(i, s)| line(s, i, "active"))
            .collect();
        let discovery = Discovery::start(lines.clone());
        let known = json!({ "index": 1, "snapshot": true, "endpoints": lines });
        let config = json!({
            "name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "5eed",
            "limits": { "sockets": setup.sockets, "memory_mb": setup.memory_mb }, "settings": settings(&setup),
            "known": if setup.has_known_list { known } else { Value::Null },
        });
        let mixer = Mixer::start(&config, None, false);
        let world = World {
            searchers,
            discovery,
            address: mixer.address,
            mixer,
            config,
        };
        world.until(|| world.get("/up").status == 200);
        world
    }

    /// A new client.
    pub fn client(&self) -> Client {
        self.mixer.client()
    }

    /// Sends a GET request to the mixer.
    pub fn get(&self, path: &str) -> Answer {
        self.mixer.get(path)
    }

    /// Waits until a condition holds.
    pub fn until(&self, condition: impl FnMut() -> bool) {
        until(condition);
    }

    /// All received parts whose ids have this prefix, with the names of their searchers.
    pub fn sends(&self, id: &str) -> Vec<(String, PartRequest)> {
        let parts_of = |s: &Arc<Searcher>| {
            let name = s.name.clone();
            s.log()
                .parts
                .into_iter()
                .filter(|p| p.id.starts_with(id))
                .map(move |p| (name.clone(), p))
        };
        self.searchers.iter().flat_map(parts_of).collect()
    }

    /// Sets the script of all searchers.
    pub fn set_all_scripts(
        &self,
        script: impl Fn(&PartRequest) -> PartAction + Clone + Send + Sync + 'static,
    ) {
        self.searchers
            .iter()
            .for_each(|s| s.set_script(script.clone()));
    }

    /// Pauses the mixer while the action runs.
    pub fn while_paused(&self, action: impl FnOnce()) {
        self.mixer.signal("-STOP");
        action();
        self.mixer.signal("-CONT");
    }

    /// Sends SIGTERM to the mixer.
    pub fn terminate(&self) {
        self.mixer.signal("-TERM");
    }

    /// Changes a key of the configuration and makes the mixer read it again.
    pub fn reload(&mut self, key: &str, value: impl Into<Value>) {
        self.config[key] = value.into();
        self.mixer.configure(&self.config);
        self.mixer.signal("-HUP");
    }

    /// The peak memory of the process, in KB.
    pub fn peak_memory_kb(&self) -> u64 {
        self.mixer.peak_memory_kb()
    }

    /// The mixer's process id.
    pub fn pid(&self) -> u32 {
        self.mixer.pid()
    }

    /// Waits for the end of the mixer.
    pub fn wait_ended(&mut self) -> ExitStatus {
        self.mixer.wait_ended()
    }

    /// Whether the mixer is running.
    pub fn is_running(&mut self) -> bool {
        self.mixer.is_running()
    }
}
