//! `http2`: hosts that speak HTTP/2 close in the middle of bursts, refuse, stall, lower their limits, drain and restart
//! cold at random; every host tallies what came and what ran. `carriers`: the same work over frames and over HTTP/2.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::Result;
use lockusher_policy::interface::Span;
use lockusher_registry_client::core::follow::Protocol;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::check::{State, Truth};
use crate::fleet::{self, Endpoint, Followed};
use crate::registry::Registry;
use crate::stand_in::http2::{ConnectionAction, Http2Searcher, StreamAction};
use crate::stand_in::{Client, PartAction, Searcher, Setup, body, request_of, until};

/// As many mixers as clients; none of them knows of the others.
const MIXERS: usize = 4;
const GRACE: Span = Span::from_millis(2_050);
/// The rule on cold hosts, as the settings of the stand-ins' mixers say it.
const COLD_FROM: f64 = 0.2;
const RAMP: f64 = 9.0;
const FALL_MULTIPLE: f64 = 4.0;
/// A warm host can do so many times what it gets in the mean.
const WARM: f64 = 2.0;
/// What one part may be sent, in all.
const MOST_SENDS: usize = 4;
const SETTINGS: &str = "http2 { names: \"h*\" fall_back: true silent_after_ms: 300 }\n";

/// One multiget's end, as its client saw it; nothing if no answer came.
struct Ended {
    once: bool,
    status: Option<u16>,
    took: Duration,
    /// All values were made for it.
    right: bool,
}

/// Clients on schedules of their own; each other multiget must not be repeated if there is such an op type.
struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Vec<Ended>>>,
}

impl Load {
    fn start(
        mixers: &[SocketAddr],
        width: usize,
        shards: usize,
        every: Duration,
        once: bool,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..4).map(|number| {
            let (stop, mixer) = (stop.clone(), mixers[number % mixers.len()]);
            std::thread::spawn(move || {
                let (mut client, mut ends, mut due) =
                    (Client::to(mixer), Vec::new(), Instant::now());
                let mut asked = 0;
                while !stop.load(Ordering::Relaxed) {
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let once = once && asked % 2 == 0;
                    let (kind, id) = (
                        if once { "once" } else { "look" },
                        format!("c{number}n{asked}"),
                    );
                    let asks: Vec<usize> = (0..width).map(|i| (asked * 7 + i) % shards).collect();
                    let wrote = client.try_write(&request_of(kind, &id, &body(&asks)));
                    let answer = if wrote { client.read() } else { None };
                    let right = answer.as_ref().is_none_or(|answer| {
                        answer.status != 200
                            || answer
                                .values()
                                .iter()
                                .all(|(shard, value)| *value == format!("v{id}.{shard}"))
                    });
                    if answer.is_none() {
                        client = Client::to(mixer);
                    }
                    let status = answer.map(|answer| answer.status);
                    ends.push(Ended {
                        once,
                        status,
                        took: due.elapsed(),
                        right,
                    });
                    asked += 1;
                    due += every;
                }
                ends
            })
        });
        Load {
            threads: threads.collect(),
            stop,
        }
    }

    fn end(self) -> Vec<Ended> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap_or_default())
            .collect()
    }
}

fn line(address: SocketAddr, group: usize, status: &str, since_ms: u64) -> String {
    let line = json!({ "address": address, "zone": "here", "group": group, "status": status, "since_ms": since_ms,
        "carrier": "http2" });
    line.to_string()
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// What ends a trouble, and when.
type Mending = (Instant, Box<dyn FnOnce(&mut World)>);

/// Hosts, the registry that lists them, and what is known of both.
struct World {
    registry: Arc<Registry>,
    hosts: Vec<Arc<Http2Searcher>>,
    truth: Truth,
    since: Vec<u64>,
    /// When each host last came back cold.
    cold: Vec<Vec<Instant>>,
    counts: BTreeMap<&'static str, u64>,
    rng: ChaCha8Rng,
}

impl World {
    fn set(&mut self, host: usize, state: State) {
        let searcher = &self.hosts[host];
        let status = if state == State::Up {
            "active"
        } else {
            "leaving"
        };
        let line = line(searcher.address, host % 3, status, self.since[host]);
        let revision = self.registry.put(&fleet::key(&searcher.name), line);
        self.truth.note(revision, &searcher.name, state);
    }

    fn up(&self, host: usize) -> bool {
        self.truth.now(&self.hosts[host].name) == State::Up
    }

    fn counted(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// Something befalls one host; what mends it, and after how long.
    fn trouble(&mut self) -> Option<Mending> {
        let host = self.rng.random_range(0..self.hosts.len());
        let searcher = self.hosts[host].clone();
        let after = |ms| Instant::now() + Duration::from_millis(ms);
        let well = move |world: &mut World| {
            world.hosts[host].set_script(|_| StreamAction::Slow(Duration::from_millis(2)));
        };
        match self.rng.random_range(0..9) {
            0 => {
                searcher.perform(ConnectionAction::Graceful);
                self.counted("graceful");
            }
            1 => {
                let less = self.rng.random_range(0..4);
                let code = if self.rng.random_bool(0.5) { 0 } else { 2 };
                searcher.perform(ConnectionAction::GoAway { less, code });
                self.counted("notices");
            }
            2 => {
                searcher.perform(ConnectionAction::Close);
                self.counted("closes");
            }
            3 => {
                searcher.perform(ConnectionAction::MaxStreams(self.rng.random_range(0..3)));
                self.counted("lowered");
                let raise = move |world: &mut World| {
                    world.hosts[host].perform(ConnectionAction::MaxStreams(100));
                };
                return Some((after(300), Box::new(raise)));
            }
            4 | 5 => {
                let code = [7, 8, 2, 11][self.rng.random_range(0..4)];
                let mut rng = ChaCha8Rng::seed_from_u64(self.rng.random());
                let salt: u64 = rng.random();
                searcher.set_script(move |id| {
                    let odd = id
                        .bytes()
                        .fold(salt, |sum, byte| sum.wrapping_mul(31) ^ u64::from(byte));
                    if odd % 5 == 0 {
                        StreamAction::Reset(code)
                    } else {
                        StreamAction::Slow(Duration::from_millis(2))
                    }
                });
                self.counted("refusing");
                return Some((after(500), Box::new(well)));
            }
            6 => {
                searcher.set_script(|_| StreamAction::Slow(Duration::from_millis(400)));
                self.counted("stalls");
                return Some((after(300), Box::new(well)));
            }
            7 => {
                searcher.perform(ConnectionAction::Mute);
                self.counted("mutes");
            }
            _ if self.up(host)
                && (0..self.hosts.len()).filter(|h| self.up(*h)).count() > self.hosts.len() / 2 =>
            {
                // Drained, closed in order, and back as a new process that is cold.
                self.set(host, State::Draining);
                self.counted("restarts");
                let back = move |world: &mut World| {
                    world.hosts[host].perform(ConnectionAction::Graceful);
                    world.since[host] = unix_ms();
                    world.cold[host].push(Instant::now());
                    world.set(host, State::Up);
                };
                return Some((after(2_600), Box::new(back)));
            }
            _ => {}
        }
        None
    }
}

/// Plays a run; tells whether all promises were kept. The last line it prints has its figures.
pub fn run(seed: u64, span: Duration, count: usize, width: usize) -> Result<bool> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let registry = Registry::new(seed | 1);
    let endpoints: Vec<Endpoint> =
        runtime.block_on(fleet::endpoints(&registry, Protocol::Etcd, MIXERS))?;
    let mut hosts = Vec::new();
    for i in 0..count {
        hosts.push(runtime.block_on(Http2Searcher::start(&format!("h{i}"), Some(100)))?);
    }
    let mut world = World {
        registry,
        truth: Truth::default(),
        since: vec![0; count],
        cold: vec![Vec::new(); count],
        counts: BTreeMap::new(),
        rng: ChaCha8Rng::seed_from_u64(seed),
        hosts,
    };
    for host in 0..count {
        world.hosts[host].set_script(|_| StreamAction::Slow(Duration::from_millis(2)));
        world.set(host, State::Up);
    }
    let setup = Setup {
        has_known_list: false,
        mixers: MIXERS,
        once: true,
        max_parts_per_call: 3,
        ..Setup::default()
    };
    let mut mixers = Vec::new();
    for endpoint in endpoints.chunks(1) {
        let text = format!(
            "{}{SETTINGS}",
            fleet::settings_text(Protocol::Etcd, endpoint, "")
        );
        mixers.push(Followed::start(&setup, &text, true)?);
    }
    mixers
        .iter()
        .for_each(|m| until(|| m.mixer.get("/up").status == 200));
    let addresses: Vec<SocketAddr> = mixers.iter().map(|m| m.mixer.address).collect();
    let (began, load) = (
        Instant::now(),
        Load::start(&addresses, width, 24, Duration::from_millis(25), true),
    );
    let mut mending: Vec<Mending> = Vec::new();
    let mut next = Instant::now() + Duration::from_millis(1_000);
    while began.elapsed() < span {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = mending.into_iter().partition(|(at, _)| *at <= now);
        mending = later;
        due.into_iter().for_each(|(_, mend)| mend(&mut world));
        if now >= next {
            mending.extend(world.trouble());
            next = now + Duration::from_millis(world.rng.random_range(40..400));
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    mending.into_iter().for_each(|(_, mend)| mend(&mut world));
    let ends = load.end();
    tally(seed, span, &world, &endpoints, &ends, began)
}

fn tally(
    seed: u64,
    span: Duration,
    world: &World,
    endpoints: &[Endpoint],
    ends: &[Ended],
    began: Instant,
) -> Result<bool> {
    let since =
        |at: Instant| Span::from_micros(at.saturating_duration_since(began).as_micros() as u64);
    let logs: Vec<_> = world.hosts.iter().map(|host| host.log()).collect();
    let (mut came, mut ran): (HashMap<&str, usize>, HashMap<&str, usize>) = Default::default();
    for log in &logs {
        log.received
            .iter()
            .for_each(|(id, _)| *came.entry(id).or_default() += 1);
        log.executed
            .iter()
            .for_each(|(id, _)| *ran.entry(id).or_default() += 1);
    }
    // Each other multiget of a client must not be repeated: its number is even.
    let once = |id: &str| {
        let number = id
            .split('n')
            .nth(1)
            .and_then(|rest| rest.split('.').next()?.parse::<u64>().ok());
        number.is_some_and(|number| number % 2 == 0)
    };
    let twice = ran.iter().filter(|(_, times)| **times > 1);
    let once_twice = twice.clone().filter(|(id, _)| once(id)).count();
    let past_cap = came.values().filter(|times| **times > MOST_SENDS).count();
    let sends: usize = came.values().sum();
    let ran_in_all: usize = ran.values().sum();
    // Each mixer has an endpoint of its own; what came from which is not known here, so that a send is late only if
    // it is past the grace for the mixer that was told last.
    let mut late = 0;
    for (host, log) in world.hosts.iter().zip(&logs) {
        let parts: Vec<(String, Span)> = log
            .received
            .iter()
            .map(|(_, at)| (host.name.clone(), since(*at)))
            .collect();
        let of = |endpoint: &Endpoint| {
            let told = endpoint.member.told();
            let told: Vec<(Span, u64)> = told
                .iter()
                .map(|told| (since(told.at), told.revision))
                .collect();
            world.truth.late(&told, &parts, GRACE).len()
        };
        late += endpoints.iter().map(of).min().unwrap_or(0);
    }
    let mean = sends as f64 / world.hosts.len() as f64 / span.as_secs_f64();
    let mut pushed_over = 0;
    for (host, log) in logs.iter().enumerate() {
        for cold in &world.cold[host] {
            let over = (0..9).any(|second| {
                let from = *cold + Duration::from_secs(second);
                let within = |at: &Instant| *at >= from && *at < from + Duration::from_secs(1);
                let count = log.received.iter().filter(|(_, at)| within(at)).count() as f64;
                let share = COLD_FROM + (1.0 - COLD_FROM) * second as f64 / RAMP;
                count > FALL_MULTIPLE * share * WARM * mean
            });
            pushed_over += usize::from(over);
        }
    }
    let lost = ends.iter().filter(|end| end.status.is_none()).count();
    let wrong = ends.iter().filter(|end| !end.right).count();
    let share = |once: bool| {
        let of: Vec<&Ended> = ends.iter().filter(|end| end.once == once).collect();
        of.iter().filter(|end| end.status == Some(200)).count() as f64 / of.len().max(1) as f64
    };
    let connections: usize = logs.iter().map(|log| log.opened).sum();
    let kept = once_twice == 0
        && past_cap == 0
        && late == 0
        && pushed_over == 0
        && lost == 0
        && wrong == 0;
    let kept = kept && share(false) > 0.5;
    let troubles: Vec<String> = world
        .counts
        .iter()
        .map(|(what, count)| format!("{what}={count}"))
        .collect();
    println!(
        "seed={seed} seconds={} {} multigets={} parts={} sends={sends} resends={} known_never_run={} run_twice={} \
         non_retriable_twice={once_twice} past_cap={past_cap} past_grace={late} pushed_over={pushed_over} lost={lost} \
         wrong={wrong} answered={:.4} answered_once={:.4} connections={connections} resets={} kept={kept}",
        span.as_secs(),
        troubles.join(" "),
        ends.len(),
        came.len(),
        sends - came.len(),
        sends - ran_in_all,
        twice.count(),
        share(false),
        share(true),
        logs.iter().map(|log| log.resets).sum::<usize>(),
    );
    Ok(kept)
}

const HOSTS: usize = 12;

/// What one carrier did.
fn measured(
    name: &str,
    mixer: &Followed,
    ends: &[Ended],
    parts: usize,
    connections: usize,
    cpu_us: u64,
) -> String {
    let mut took: Vec<Duration> = ends.iter().map(|end| end.took).collect();
    took.sort();
    let at = |share: f64| {
        took.get((took.len() as f64 * share) as usize)
            .map_or(0.0, |t| t.as_secs_f64() * 1e3)
    };
    let share = |once: bool| {
        let of: Vec<&Ended> = ends.iter().filter(|end| end.once == once).collect();
        of.iter().filter(|end| end.status == Some(200)).count() as f64 / of.len().max(1) as f64
    };
    format!(
        "{name}_answered={:.4} {name}_answered_once={:.4} {name}_p50_ms={:.1} {name}_p99_ms={:.1} \
         {name}_connections={connections} {name}_descriptors={} {name}_cpu_us_a_part={:.1}",
        share(false),
        share(true),
        at(0.5),
        at(0.99),
        mixer.mixer.descriptors(),
        cpu_us as f64 / parts.max(1) as f64,
    )
}

/// The same load over frames, then over HTTP/2; with `restarts`, a host drops what it has not begun, one after the other.
pub fn carriers(
    width: usize,
    span: Duration,
    restarts: bool,
    calls: usize,
    sockets: usize,
) -> Result<bool> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let setup = Setup {
        has_known_list: false,
        once: true,
        shards: 400,
        max_in_flight: 4_000,
        max_parts_per_call: 8,
        max_streams: calls,
        sockets,
        ..Setup::default()
    };
    let every = Duration::from_millis(20 + 2 * width as u64);
    let mut figures = Vec::new();
    for http2 in [false, true] {
        let registry = Registry::new(1);
        let endpoints = runtime.block_on(fleet::endpoints(&registry, Protocol::Etcd, 1))?;
        let frames = if http2 {
            Vec::new()
        } else {
            fleet::searchers(HOSTS)
        };
        let mut wide = Vec::new();
        for i in 0..if http2 { HOSTS } else { 0 } {
            let host = runtime.block_on(Http2Searcher::start(&format!("h{i}"), Some(100)))?;
            host.set_script(|_| StreamAction::Good);
            wide.push(host);
        }
        let named: Vec<(String, SocketAddr)> = frames
            .iter()
            .map(|host| (host.name.clone(), host.address))
            .chain(wide.iter().map(|host| (host.name.clone(), host.address)))
            .collect();
        for (group, (name, address)) in named.iter().enumerate() {
            registry.put(&fleet::key(name), line(*address, group % 3, "active", 0));
        }
        let carrier = if http2 { SETTINGS } else { "" };
        let text = format!(
            "{}{carrier}",
            fleet::settings_text(Protocol::Etcd, &endpoints, "")
        );
        let mixer = Followed::start(&setup, &text, true)?;
        until(|| mixer.mixer.get("/up").status == 200);
        let cpu = mixer.mixer.cpu_us();
        let load = Load::start(&[mixer.mixer.address], width, 400, every, true);
        let (began, mut host) = (Instant::now(), 0);
        while began.elapsed() < span {
            std::thread::sleep(Duration::from_millis(100));
            if restarts {
                restart(&frames, &wide, host % HOSTS);
                host += 1;
            }
        }
        let ends = load.end();
        for (nth, end) in ends
            .iter()
            .enumerate()
            .filter(|(_, end)| end.status != Some(200))
            .take(8)
        {
            eprintln!(
                "http2={http2}: the {nth}th: {:?} after {:.1?}, once={}",
                end.status, end.took, end.once
            );
        }
        let cpu = mixer.mixer.cpu_us() - cpu;
        let parts: usize = frames.iter().map(|h| h.log().parts.len()).sum::<usize>()
            + wide.iter().map(|h| h.log().received.len()).sum::<usize>();
        let connections: usize = frames.iter().map(|h| h.log().opened).sum::<usize>()
            + wide.iter().map(|h| h.log().opened).sum::<usize>();
        let name = if http2 { "http2" } else { "frames" };
        figures.push(measured(name, &mixer, &ends, parts, connections, cpu));
    }
    println!(
        "width={width} restarts={restarts} frames_calls={calls} sockets={sockets} {}",
        figures.join(" ")
    );
    Ok(true)
}

/// A process that ends drops what it has taken and not begun: over frames the connection breaks under it, over HTTP/2
/// the notice says so.
fn restart(frames: &[Arc<Searcher>], wide: &[Arc<Http2Searcher>], host: usize) {
    let lasts = Duration::from_millis(20);
    if let Some(host) = frames.get(host) {
        host.set_script(|_| PartAction::Break);
        std::thread::sleep(lasts);
        host.set_script(|_| PartAction::Good);
    }
    if let Some(host) = wide.get(host) {
        host.set_script(|_| StreamAction::Slow(Duration::from_millis(60)));
        std::thread::sleep(lasts);
        host.perform(ConnectionAction::GoAway {
            less: 1_000,
            code: 0,
        });
        host.set_script(|_| StreamAction::Good);
    }
}
