//! Stand-ins for what a mixer meets, over loopback: searchers, discovery and a client. The mixer itself is the
//! real program. Waits end by what happens; the long time-outs here only keep a failed story from hanging.
#![allow(dead_code)]

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

pub const LONG: Duration = Duration::from_secs(20);

/// What a searcher does about a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    Good,
    Bad,
    Later,
    Silent,
    /// The connection breaks once the frame has come.
    Break,
    /// A frame that can't be read, or one of absurd length.
    Garbage,
    Absurd,
    Unusable,
    /// A frame that never ends, one for nobody, and ends, letters and values that are none.
    Endless,
    OtherId,
    OtherEnd,
    OtherLetter,
    Swallowing,
    /// From here on the connection says nothing.
    Mute,
    /// Good answers with more than belongs to them: another copy, noise, a report that can't be read.
    Twice,
    Noise,
    OddReport,
}

/// A part as it came.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub shard: usize,
    pub list: String,
    pub text: String,
}

type Script = dyn Fn(&Seen) -> Act + Send + Sync;

pub struct Searcher {
    pub name: String,
    pub address: SocketAddr,
    script: Mutex<Arc<Script>>,
    log: Mutex<Log>,
    changed: Condvar,
    stuck: Mutex<bool>,
    resumed: Condvar,
}

#[derive(Default, Clone)]
pub struct Log {
    pub parts: Vec<Seen>,
    pub given_up: Vec<String>,
    pub opened: usize,
    pub closed: usize,
    pub probes: Vec<String>,
}

pub fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut out = ((rest.len() + 1) as u32).to_be_bytes().to_vec();
    out.push(letter);
    out.extend_from_slice(rest);
    out
}

fn read_frame(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut rest = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut rest).ok()?;
    Some((rest[0], rest[1..].to_vec()))
}

/// A listener whose connections take little that is not read.
fn listener(backlog: u32) -> std::io::Result<TcpListener> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build()?;
    let _entered = runtime.enter();
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(64 * 1024)?;
    socket.bind("127.0.0.1:0".parse().expect("an address"))?;
    let listener = socket.listen(backlog)?.into_std()?;
    listener.set_nonblocking(false)?;
    Ok(listener)
}

impl Searcher {
    fn at(name: &str, listener: &TcpListener) -> Arc<Self> {
        Arc::new(Searcher {
            name: name.to_owned(),
            address: listener.local_addr().expect("an address"),
            script: Mutex::new(Arc::new(|_| Act::Good)),
            log: Mutex::default(),
            stuck: Mutex::new(false),
            resumed: Condvar::new(),
            changed: Condvar::new(),
        })
    }

    pub fn start(name: &str) -> Arc<Self> {
        let listener = listener(64).expect("a port");
        let searcher = Self::at(name, &listener);
        searcher.clone().accept(listener);
        searcher
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = self.clone();
                this.note(|log| log.opened += 1);
                thread::spawn(move || {
                    this.serve(stream);
                    this.note(|log| log.closed += 1);
                });
            }
        });
    }

    /// One to which no further connection comes up, until it is let.
    pub fn clogged(name: &str) -> (Arc<Self>, impl FnOnce()) {
        let listener = listener(1).expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut full = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            full.push(stream);
        }
        let searcher = Self::at(name, &listener);
        (searcher.clone(), move || {
            drop(full);
            searcher.accept(listener);
        })
    }

    pub fn does(&self, script: impl Fn(&Seen) -> Act + Send + Sync + 'static) {
        *self.script.lock().unwrap() = Arc::new(script);
    }

    /// Whether it goes on reading.
    pub fn reads(&self, reads: bool) {
        *self.stuck.lock().unwrap() = !reads;
        self.resumed.notify_all();
    }

    fn note(&self, what: impl FnOnce(&mut Log)) {
        what(&mut self.log.lock().unwrap());
        self.changed.notify_all();
    }

    pub fn log(&self) -> Log {
        self.log.lock().unwrap().clone()
    }

    /// Waits until its log is as wanted.
    pub fn until(&self, wanted: impl Fn(&Log) -> bool) -> Log {
        let log = self.log.lock().unwrap();
        let (log, out) = self.changed.wait_timeout_while(log, LONG, |log| !wanted(log)).unwrap();
        assert!(!out.timed_out(), "{} waited in vain", self.name);
        log.clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        // A probe at once: a searcher may ask as well.
        let _ = stream.write_all(&[frame(b'o', b""), frame(b'p', b"")].concat());
        let mut mute = false;
        loop {
            let stuck = self.stuck.lock().unwrap();
            drop(self.resumed.wait_while(stuck, |stuck| *stuck).unwrap());
            let Some((letter, rest)) = read_frame(&mut stream) else { return };
            match letter {
                b'm' => {
                    for part in parts(&rest) {
                        let act = self.script.lock().unwrap().clone()(&part);
                        let answer = self.answer(&part, act);
                        self.note(|log| log.parts.push(part));
                        if act == Act::Break {
                            let _ = stream.shutdown(Shutdown::Both);
                        }
                        mute |= act == Act::Mute;
                        if !mute {
                            let _ = stream.write_all(&answer);
                        }
                    }
                }
                b'n' => self.note(|log| log.given_up.push(String::from_utf8_lossy(&rest).into_owned())),
                b'o' if rest.is_empty() => {
                    if !mute {
                        let _ = stream.write_all(&frame(b'o', b"good"));
                    }
                }
                _ => self.note(|log| {
                    log.probes.push(format!("{}{}", letter as char, String::from_utf8_lossy(&rest)))
                }),
            }
        }
    }

    fn answer(&self, part: &Seen, act: Act) -> Vec<u8> {
        // The score falls with the shard, so that the second step's shards are known.
        let q = |end: &str, value: &str| {
            frame(b'q', format!("{} {end} {} load=1\n{value}", part.id, 1_000 - part.shard).as_bytes())
        };
        let value = format!("v{}", part.id);
        match act {
            Act::Good => q("good", &value),
            Act::Endless => [&[0, 1, 0, 0][..], b"q", part.id.as_bytes()].concat(),
            Act::OtherId => frame(b'q', b"nobody.3 good 5 load=1\nvalue"),
            Act::OtherEnd => q("fine", &value),
            Act::OtherLetter => frame(b'z', b"what"),
            Act::Swallowing => q("good", &format!("{value}\0\0\0\x20q")),
            Act::Noise => [q("good", &value), vec![0xa5; 40]].concat(),
            Act::OddReport => {
                let line = [part.id.as_bytes(), b" good 7 load=\xff\xfe,,\n", value.as_bytes()].concat();
                frame(b'q', &line)
            }
            Act::Twice => [q("good", &value), q("good", "another")].concat(),
            Act::Bad => q("bad", ""),
            Act::Later => q("later", ""),
            Act::Silent | Act::Break | Act::Mute => Vec::new(),
            Act::Garbage => frame(b'q', b"no line"),
            Act::Absurd => vec![0xff; 64],
            Act::Unusable => frame(b'r', b"what is this"),
        }
    }
}

fn parts(mut rest: &[u8]) -> Vec<Seen> {
    let mut out = Vec::new();
    while !rest.is_empty() {
        let end = rest.iter().position(|&b| b == b'\n').expect("a line");
        let line = String::from_utf8(rest[..end].to_vec()).expect("text");
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, list, length] = words[..] else { panic!("not a part's line: {line}") };
        let length: usize = length.parse().expect("a length");
        let text = String::from_utf8(rest[end + 1..end + 1 + length].to_vec()).expect("text");
        rest = &rest[end + 1 + length..];
        out.push(Seen { id: id.into(), shard: shard.parse().expect("a shard"), list: list.into(), text });
    }
    out
}

/// Discovery's agent: what it holds, and how it behaves.
pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<Told>,
    changed: Condvar,
}

struct Told {
    index: u64,
    whole: bool,
    endpoints: Vec<Value>,
    says: Says,
    watched: Option<u64>,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Says {
    Lists,
    Nonsense,
    Errors,
    Nothing,
}

impl Discovery {
    pub fn start(endpoints: Vec<Value>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let told = Told { index: 1, whole: true, endpoints, says: Says::Lists, watched: None };
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(told),
            changed: Condvar::new(),
        });
        let this = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
        discovery
    }

    pub fn tell(&self, index: u64, whole: bool, endpoints: Vec<Value>) {
        let mut state = self.state.lock().unwrap();
        (state.index, state.whole, state.endpoints) = (index, whole, endpoints);
        self.changed.notify_all();
    }

    pub fn says(&self, says: Says) {
        self.state.lock().unwrap().says = says;
        self.changed.notify_all();
    }

    /// Waits until the mixer watches from this version: what it asks later comes after the list.
    pub fn told(&self, index: u64) {
        let state = self.state.lock().unwrap();
        let waits = |state: &mut Told| state.watched != Some(index);
        let (_guard, out) = self.changed.wait_timeout_while(state, LONG, waits).unwrap();
        assert!(!out.timed_out(), "discovery waited in vain");
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
        let mut out = stream;
        loop {
            let Some((line, ..)) = read_head(&mut reader) else { return };
            let from =
                line.split("from=").nth(1).and_then(|t| t.split(['&', ' ']).next()?.parse::<u64>().ok());
            let mut state = self.state.lock().unwrap();
            state.watched = from;
            self.changed.notify_all();
            // A watch waits for what is newer; one for a version of another life gets what there is.
            while from.is_some_and(|from| from == state.index) && state.says == Says::Lists {
                state = self.changed.wait(state).unwrap();
            }
            while state.says == Says::Nothing {
                state = self.changed.wait(state).unwrap();
            }
            let whole = state.whole || from.is_none();
            let list =
                json!({"index": state.index, "snapshot": whole, "endpoints": state.endpoints}).to_string();
            let (status, body) = match state.says {
                Says::Lists | Says::Nothing => ("200 OK", list.as_str()),
                Says::Nonsense => ("200 OK", "{\"index\":\"x\"}"),
                Says::Errors => ("500 Sorry", "no"),
            };
            drop(state);
            let _ = write!(out, "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        }
    }
}

type Headers = HashMap<String, String>;

fn read_head(reader: &mut impl BufRead) -> Option<(String, Headers)> {
    let (mut first, mut headers) = (String::new(), HashMap::new());
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { return Some((first, headers)) };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
}

/// How the mixer of a story is set up.
pub struct Setup {
    pub searchers: usize,
    pub effect: &'static str,
    pub second_step: usize,
    pub sockets: usize,
    pub memory_mb: usize,
    pub most_open: usize,
    pub most_calls: usize,
    pub most_parts: usize,
    pub idle_ms: u64,
    pub connect_ms: u64,
    /// Whether it remembers the list, or has only discovery.
    pub knows: bool,
    /// Whether discovery must be asked, and tells nobody else.
    pub asks: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            searchers: 3,
            effect: "safe",
            second_step: 0,
            sockets: 256,
            memory_mb: 64,
            most_open: 500,
            most_calls: 32,
            most_parts: 1,
            idle_ms: 15_000,
            connect_ms: 250,
            knows: true,
            asks: false,
        }
    }
}

pub fn settings(setup: &Setup) -> Value {
    json!({
        "balancers": 1, "tick_us": 5000, "localities": ["here"], "locality": "here",
        "membership_mode": if setup.asks { "on_request" } else { "pushed" }, "prices": {},
        "parties": [{ "name": "acme", "quota_per_s": 1000.0 }],
        "grades": [{
            "name": "look", "promise_us": 300_000, "deadline_us": 5_000_000, "effect": setup.effect,
            "worth": 1.0, "late_value": 1.0, "dedup_window_us": 2_000_000,
        }],
        "extra": {
            "cells": 3, "in_a_row": 3, "slices": 24, "least_share": [1.0], "need_by_class": [1.0],
            "fetch_parts": [setup.second_step], "bundle_max": setup.most_parts,
        },
        "limits": {
            "max_attempts": 4, "parallel_tries": setup.effect == "safe", "may_cancel": true, "probes": true, "retry_after": true,
            "max_retry_after_us": 2_000_000, "max_open": setup.most_open, "max_streams": setup.most_calls,
            "conn_idle_us": setup.idle_ms * 1000, "connect_timeout_us": setup.connect_ms * 1000,
        },
        "rules": { "cold_from": 0.2, "ramp_time_us": 9_000_000, "fall_multiple": 4.0, "tip_after_us": 1_000_000,
            "ask_every_us": 2_000_000 },
    })
}

/// A mixer with its world.
pub struct World {
    pub searchers: Vec<Arc<Searcher>>,
    pub discovery: Arc<Discovery>,
    pub address: SocketAddr,
    mixer: Child,
    config: Value,
    file: std::path::PathBuf,
}

pub fn line(searcher: &Searcher, group: usize, status: &str) -> Value {
    json!({ "name": searcher.name, "address": searcher.address, "zone": "here", "type": "m", "group": group,
        "status": status, "weight": 1.0, "since_ms": 0 })
}

impl World {
    pub fn start(setup: Setup) -> Self {
        let searchers: Vec<_> = (0..setup.searchers).map(|i| Searcher::start(&format!("s{i}"))).collect();
        let lines: Vec<Value> = searchers.iter().enumerate().map(|(i, s)| line(s, i, "active")).collect();
        let discovery = Discovery::start(lines.clone());
        let known = json!({ "index": 1, "snapshot": true, "endpoints": lines });
        let config = json!({
            "name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "5eed",
            "limits": { "sockets": setup.sockets, "memory_mb": setup.memory_mb }, "settings": settings(&setup),
            "known": if setup.knows { known } else { Value::Null },
        });
        static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("lockusher-story-{}-{number}.json", std::process::id()));
        std::fs::write(&file, config.to_string()).expect("a file");
        let mut mixer = Command::new(env!("CARGO_BIN_EXE_lockusher"))
            .env("LB_CONFIG", &file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let mut said = BufReader::new(mixer.stderr.take().expect("a pipe"));
        let mut first = String::new();
        said.read_line(&mut first).expect("a line");
        let address = first.trim_end().rsplit(' ').next().and_then(|a| a.parse().ok());
        let address = address.unwrap_or_else(|| panic!("it says where it serves: {first}"));
        thread::spawn(move || std::io::copy(&mut said, &mut std::io::stderr()));
        let world = World { searchers, discovery, address, mixer, config, file };
        world.until(|| world.get("/up").status == 200);
        world
    }

    pub fn client(&self) -> Client {
        Client::to(self.address)
    }

    pub fn get(&self, path: &str) -> Answer {
        let mut client = self.client();
        client.write(format!("GET {path} HTTP/1.1\r\nHost: app\r\nConnection: close\r\n\r\n").as_bytes());
        client.read().expect("an answer")
    }

    pub fn until(&self, holds: impl Fn() -> bool) {
        let began = Instant::now();
        while !holds() {
            assert!(began.elapsed() < LONG, "waited in vain");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// All sends of parts whose ids begin so, with their searchers' names.
    pub fn sends(&self, id: &str) -> Vec<(String, Seen)> {
        let of = |s: &Arc<Searcher>| {
            let name = s.name.clone();
            s.log().parts.into_iter().filter(|p| p.id.starts_with(id)).map(move |p| (name.clone(), p))
        };
        self.searchers.iter().flat_map(of).collect()
    }

    pub fn all_do(&self, script: impl Fn(&Seen) -> Act + Clone + Send + Sync + 'static) {
        self.searchers.iter().for_each(|s| s.does(script.clone()));
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.mixer.id().to_string()]).status();
        assert!(sent.expect("kill").success());
    }

    /// The mixer stands still while this happens.
    pub fn meanwhile(&self, happens: impl FnOnce()) {
        self.signal("-STOP");
        happens();
        self.signal("-CONT");
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Writes this into the configuration and tells the mixer to read it again.
    pub fn reload(&mut self, key: &str, value: impl Into<Value>) {
        self.config[key] = value.into();
        std::fs::write(&self.file, self.config.to_string()).expect("a file");
        self.signal("-HUP");
    }

    /// The most memory that it ever held, in KB.
    pub fn most_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.mixer.id())).expect("a status");
        let line = status.lines().find(|l| l.starts_with("VmHWM:")).expect("its peak");
        line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
    }

    pub fn ended(&mut self) -> ExitStatus {
        self.mixer.wait().expect("it ends")
    }

    pub fn runs(&mut self) -> bool {
        self.mixer.try_wait().expect("a child").is_none()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.mixer.kill();
        let _ = self.mixer.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

pub struct Client {
    stream: BufReader<TcpStream>,
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: String,
}

impl Answer {
    /// The values by shard, if it was answered.
    pub fn values(&self) -> Vec<(u64, String)> {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("an answer: {self:?}"));
        let hits = body["answers"].as_array().expect("answers").iter();
        hits.map(|h| (h["range"].as_u64().expect("a shard"), h["blob"].as_str().expect("text").into()))
            .collect()
    }
}

/// A body that asks for these shards in equal parts.
pub fn body(shards: &[usize]) -> String {
    let portion = 1.0 / shards.len() as f64;
    let ranges: Vec<Value> = shards.iter().map(|s| json!({ "range": s, "portion": portion })).collect();
    json!({ "ranges": ranges, "predicate": "c41e77d0" }).to_string()
}

pub fn head(id: &str, deadline: &str) -> String {
    format!(
        "POST /look HTTP/1.1\r\nHost: app\r\nReq-Id: {id}\r\nReq-Kind: look\r\nReq-Owner: acme\r\n\
         Req-Deadline: {deadline}\r\n"
    )
}

pub fn request(id: &str, body: &str) -> Vec<u8> {
    format!("{}Content-Length: {}\r\n\r\n{body}", head(id, "4000m"), body.len()).into_bytes()
}

impl Client {
    pub fn to(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        Client { stream: BufReader::new(stream) }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).expect("written");
    }

    /// Writes as long as it is taken; tells whether all was.
    pub fn try_write(&mut self, bytes: &[u8]) -> bool {
        self.stream.get_mut().write_all(bytes).is_ok()
    }

    /// The next answer, whole; nothing if the connection ends first.
    pub fn read(&mut self) -> Option<Answer> {
        let (line, headers) = read_head(&mut self.stream)?;
        let status = line.split(' ').nth(1)?.parse().ok()?;
        let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).ok()?;
        Some(Answer { status, headers, body: String::from_utf8(body).ok()? })
    }

    pub fn ask(&mut self, id: &str, shards: &[usize]) -> Answer {
        self.write(&request(id, &body(shards)));
        self.read().expect("an answer")
    }
}
