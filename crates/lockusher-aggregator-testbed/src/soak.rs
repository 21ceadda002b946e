//! `registry`: hosts come, drain, vanish and return under load, while the registry that lists them is cut off, falls
//! silent, lags, compacts and goes away at random points. What was told is compared with what left for searchers, and
//! the mixer's view with the registry's truth once all is quiet.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Result;
use hdrhistogram::Histogram;
use lockusher_multiget::list::List;
use lockusher_multiget::settings::Names;
use lockusher_policy::interface::{Span, Time};
use lockusher_registry_client::core::entry::Revision;
use lockusher_registry_client::core::follow::{Protocol, RegistrySettings};
use lockusher_registry_client::io::follow;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{mpsc, watch};

use crate::check::{State, Truth};
use crate::fleet::{self, Endpoint, Followed, Load, PREFIX};
use crate::registry::store::Write;
use crate::registry::{Registry, locked};
use crate::stand_in::{Searcher, Setup};

/// What is to be played.
pub struct Run {
    pub protocol: Protocol,
    pub seed: u64,
    pub span: Duration,
    pub hosts: usize,
    /// Whether a reader of the whole list runs beside it.
    pub baseline: bool,
    /// Whether the mixer's own lines are left out.
    pub quiet: bool,
    /// Whether the registry is spared all trouble.
    pub calm: bool,
}

/// Rule 3: nothing new to a searcher past this after its mixer was told, and what one instant may be off another.
const GRACE: Span = Span::from_millis(2_000);
const ALLOWED: Span = Span::from_millis(50);
/// How often the baseline reads the whole list.
const BASELINE_EVERY: Duration = Duration::from_secs(1);
/// Members of each observer's own: the mixer's, the follower's that is timed, the baseline's.
const MEMBERS: usize = 3;

/// Changes of hosts, by revision, with the instant at which each was made.
type Changes = Arc<Mutex<BTreeMap<u64, (Instant, usize)>>>;

/// What an observer that is timed has seen.
struct Timed {
    told: Mutex<(u64, Histogram<u64>)>,
    changes: Changes,
}

impl Timed {
    fn new(changes: &Changes) -> Result<Arc<Self>> {
        let histogram = Histogram::new_with_bounds(1, 600_000_000, 3)?;
        Ok(Arc::new(Timed {
            told: Mutex::new((0, histogram)),
            changes: changes.clone(),
        }))
    }

    /// All up to a revision is known here now.
    fn tells(&self, revision: u64) {
        let (now, mut told) = (Instant::now(), locked(&self.told));
        if revision <= told.0 {
            return;
        }
        let before = std::mem::replace(&mut told.0, revision);
        for (at, hosts) in locked(&self.changes)
            .range(before + 1..=revision)
            .map(|(_, change)| *change)
        {
            let took = now.saturating_duration_since(at).as_micros() as u64;
            told.1
                .record_n(took.max(1), hosts as u64)
                .unwrap_or_default();
        }
    }

    fn figures(&self, name: &str) -> String {
        let told = locked(&self.told);
        let ms = |value: u64| value as f64 / 1_000.0;
        format!(
            "{name}_p50_ms={:.1} {name}_p99_ms={:.1} {name}_max_ms={:.1}",
            ms(told.1.value_at_quantile(0.5)),
            ms(told.1.value_at_quantile(0.99)),
            ms(told.1.max())
        )
    }
}

/// The time that the calling thread has had a core, in microseconds.
fn thread_cpu_us() -> u64 {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    stat.split_whitespace()
        .next()
        .and_then(|ns| ns.parse::<u64>().ok())
        .unwrap_or(0)
        / 1_000
}

fn plan(run: &Run, endpoints: &[Endpoint]) -> RegistrySettings {
    RegistrySettings {
        protocol: run.protocol,
        endpoints: endpoints
            .iter()
            .map(|e| e.relay.address.to_string())
            .collect(),
        prefix: PREFIX.to_owned(),
        page: 7,
        silent_after: Span::from_millis(1_000),
        settle: Span::from_millis(10_000),
        wait: Span::from_millis(5_000),
        stale: None,
    }
}

/// A follower in a thread of its own, with one runtime of one thread; ends when the sender of its plan goes.
fn follower(
    plan: RegistrySettings,
    seed: u64,
    timed: Arc<Timed>,
) -> (
    watch::Sender<RegistrySettings>,
    std::thread::JoinHandle<u64>,
) {
    let (plans, planned) = watch::channel(plan);
    let thread = std::thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        else {
            return 0;
        };
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let began = Instant::now();
            let clock = move || Time::from_micros(began.elapsed().as_micros() as u64);
            let (queue, mut lists) = mpsc::channel::<List>(1);
            let (_asks, asked) = mpsc::channel(1);
            let heard = async {
                while let Some(list) = lists.recv().await {
                    timed.tells(list.index);
                }
            };
            tokio::select! {
                () = follow(planned, Names::default(), seed, clock, queue, |list| list, asked) => {}
                () = heard => {}
            }
        });
        thread_cpu_us()
    });
    (plans, thread)
}

/// The baseline: reads the whole list each second.
fn rereader(
    plan: RegistrySettings,
    timed: Arc<Timed>,
) -> (watch::Sender<bool>, std::thread::JoinHandle<u64>) {
    let (goes, stop) = watch::channel(true);
    let thread = std::thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
        else {
            return 0;
        };
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let mut every = tokio::time::interval(BASELINE_EVERY);
            while *stop.borrow() {
                every.tick().await;
                if let Some(Revision(revision)) =
                    lockusher_registry_client::io::read_whole(&plan).await
                {
                    timed.tells(revision);
                }
            }
        });
        thread_cpu_us()
    });
    (goes, thread)
}

/// What befalls the registry; it ends at an instant.
struct Trouble {
    ends: Instant,
    heal: Box<dyn FnOnce()>,
}

#[derive(Debug, Default)]
struct Counts {
    changes: u64,
    drains: u64,
    disconnects: u64,
    silences: u64,
    compactions: u64,
    lags: u64,
    away: u64,
}

struct World {
    registry: Arc<Registry>,
    /// All observers' members: those of one number share their troubles.
    observed: Vec<Vec<Endpoint>>,
    searchers: Vec<Arc<Searcher>>,
    truth: Truth,
    changes: Changes,
    counts: Counts,
    rng: ChaCha8Rng,
}

impl World {
    /// Sets states of hosts in one transaction.
    fn set(&mut self, hosts: &[usize], state: State) {
        let write = |host: &usize| {
            let searcher = &self.searchers[*host];
            let (key, group) = (fleet::key(&searcher.name).into_bytes(), host % 3);
            let put = |status| {
                let value = fleet::entry(searcher.address, group, status).into_bytes();
                Write::Put {
                    key: key.clone(),
                    value,
                    lease: *host as u64 + 1,
                }
            };
            match state {
                State::Up => put("active"),
                State::Draining => put("leaving"),
                State::Absent => Write::Delete { key: key.clone() },
            }
        };
        let writes: Vec<Write> = hosts.iter().map(write).collect();
        // The instant goes in before anybody can be told.
        let mut changes = locked(&self.changes);
        let revision = self.registry.store().apply(writes);
        changes.insert(revision, (Instant::now(), hosts.len()));
        drop(changes);
        self.registry.touch();
        for host in hosts {
            self.truth
                .note(revision, &self.searchers[*host].name, state);
        }
        self.counts.changes += hosts.len() as u64;
        self.counts.drains += if state == State::Up {
            0
        } else {
            hosts.len() as u64
        };
    }

    /// A host or some change, so that each group keeps half of its own up.
    fn change(&mut self) {
        let count = self.searchers.len();
        let up =
            |world: &World, host: usize| world.truth.now(&world.searchers[host].name) == State::Up;
        let first = self.rng.random_range(0..count);
        if !up(self, first) {
            // Drained ones go before they come back; some entries come back as they were.
            let drained = self.truth.now(&self.searchers[first].name) == State::Draining;
            let state = if drained && self.rng.random_bool(0.5) {
                State::Absent
            } else {
                State::Up
            };
            return self.set(&[first], state);
        }
        let spare = |world: &World, group: usize| {
            let up = (group..count)
                .step_by(3)
                .filter(|host| up(world, *host))
                .count();
            up.saturating_sub(count / 6)
        };
        let state = if self.rng.random_bool(0.7) {
            State::Draining
        } else {
            State::Absent
        };
        let most = if self.rng.random_bool(0.2) { 3 } else { 1 };
        let hosts: Vec<usize> = (first..first + most)
            .map(|host| host % count)
            .filter(|host| up(self, *host) && spare(self, host % 3) > 1)
            .collect();
        if !hosts.is_empty() {
            self.set(&hosts, state);
        }
    }

    fn members(&self, which: usize) -> impl Iterator<Item = &Endpoint> {
        self.observed
            .iter()
            .filter_map(move |members| members.get(which))
    }

    /// What has been said arrives, then the connections end.
    fn cut(&mut self, which: Option<usize>) {
        let all: Vec<&Endpoint> = match which {
            Some(which) => self.members(which).collect(),
            None => self.observed.iter().flatten().collect(),
        };
        let silent: Vec<bool> = all.iter().map(|e| e.member.script().silent).collect();
        all.iter()
            .for_each(|e| e.member.does(|script| script.silent = true));
        std::thread::sleep(Duration::from_millis(20));
        all.iter().for_each(|e| e.relay.cut());
        // Members hear of it before they speak again: what is said into a connection that has ended is not told.
        std::thread::sleep(Duration::from_millis(20));
        all.iter()
            .zip(silent)
            .for_each(|(e, silent)| e.member.does(|script| script.silent = silent));
        self.counts.disconnects += 1;
    }

    fn trouble(&mut self) -> Option<Trouble> {
        let which = self.rng.random_range(0..MEMBERS);
        let lasts = Duration::from_millis(self.rng.random_range(500..4_000));
        let of = |world: &World, which: Option<usize>| -> Vec<_> {
            let all = world
                .observed
                .iter()
                .flat_map(|members| members.iter().enumerate());
            let chosen = all.filter(|(i, _)| which.is_none_or(|which| which == *i));
            chosen
                .map(|(_, e)| (e.member.clone(), e.relay.clone()))
                .collect()
        };
        let heal: Box<dyn FnOnce()> = match self.rng.random_range(0..8) {
            0 => {
                self.cut(Some(which));
                return None;
            }
            1 => {
                self.cut(None);
                return None;
            }
            2 => {
                self.registry.compact();
                self.counts.compactions += 1;
                return None;
            }
            3 => {
                // Cut off while what comes meanwhile is compacted away.
                let all = of(self, None);
                all.iter().for_each(|(_, relay)| relay.refuse(true));
                self.cut(None);
                self.change();
                self.change();
                self.registry.compact();
                self.counts.compactions += 1;
                Box::new(move || all.iter().for_each(|(_, relay)| relay.refuse(false)))
            }
            4 => {
                let one = of(self, Some(which));
                one.iter().for_each(|(member, _)| {
                    member.does(|script| {
                        (script.compact_between_pages, script.compact_after_read) = (1, 1);
                    });
                });
                self.cut(None);
                self.counts.compactions += 1;
                return None;
            }
            5 => {
                let one = self.rng.random_bool(0.7).then_some(which);
                let some = of(self, one);
                some.iter()
                    .for_each(|(member, _)| member.does(|script| script.silent = true));
                self.counts.silences += 1;
                Box::new(move || {
                    some.iter()
                        .for_each(|(m, _)| m.does(|script| script.silent = false));
                })
            }
            6 => {
                let (one, now) = (of(self, Some(which)), self.registry.store().revision());
                one.iter()
                    .for_each(|(member, _)| member.does(|script| script.lags_at = Some(now)));
                self.cut(Some(which));
                self.counts.lags += 1;
                Box::new(move || {
                    one.iter()
                        .for_each(|(m, _)| m.does(|script| script.lags_at = None));
                })
            }
            _ => {
                let all = of(self, None);
                all.iter().for_each(|(_, relay)| relay.refuse(true));
                self.cut(None);
                self.counts.away += 1;
                Box::new(move || all.iter().for_each(|(_, relay)| relay.refuse(false)))
            }
        };
        Some(Trouble {
            ends: Instant::now() + lasts,
            heal,
        })
    }

    /// Hosts whose status in the mixer's view is not the registry's.
    fn differing(&self, mixer: &Followed) -> usize {
        let view: BTreeMap<String, String> = fleet::statuses(&mixer.view()).into_iter().collect();
        let wrong = |host: &&Arc<Searcher>| {
            let status = view.get(&host.name).map(String::as_str);
            status
                != match self.truth.now(&host.name) {
                    State::Up => Some("active"),
                    State::Draining => Some("leaving"),
                    State::Absent => None,
                }
        };
        self.searchers.iter().filter(wrong).count()
            + view.len().saturating_sub(self.searchers.len())
    }
}

/// Plays a run; tells whether all promises were kept. The last line it prints has its figures.
pub fn run(run: &Run) -> Result<bool> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let registry = Registry::new(run.seed | 1);
    let observers = if run.baseline { 3 } else { 2 };
    let mut observed = Vec::new();
    for _ in 0..observers {
        observed.push(runtime.block_on(fleet::endpoints(&registry, run.protocol, MEMBERS))?);
    }
    let changes = Changes::default();
    let mut world = World {
        registry,
        observed,
        searchers: fleet::searchers(run.hosts),
        truth: Truth::default(),
        changes: changes.clone(),
        counts: Counts::default(),
        rng: ChaCha8Rng::seed_from_u64(run.seed),
    };
    world.set(&(0..run.hosts).collect::<Vec<_>>(), State::Up);
    world.counts = Counts::default();
    locked(&changes).clear();
    for endpoint in world.observed.iter().flatten() {
        endpoint.member.does(|script| script.split = 1);
    }
    let began = Instant::now();
    let more = "  page: 7\n  silent_after_ms: 1000\n  wait_ms: 5000\n";
    let text = fleet::settings_text(run.protocol, &world.observed[0], more);
    let setup = Setup {
        has_known_list: false,
        ..Setup::default()
    };
    let mixer = Followed::start(&setup, &text, run.quiet)?;
    crate::stand_in::until(|| mixer.mixer.get("/up").status == 200);
    let timed = Timed::new(&changes)?;
    let (plans, following) = follower(plan(run, &world.observed[1]), run.seed, timed.clone());
    let baseline = match run.baseline {
        true => {
            let timed = Timed::new(&changes)?;
            Some((
                rereader(plan(run, &world.observed[2]), timed.clone()),
                timed,
            ))
        }
        false => None,
    };
    let load = Load::start(mixer.mixer.address, 4, Duration::from_millis(40), 24);

    let mut troubles: Vec<Trouble> = Vec::new();
    let (mut next_change, mut next_trouble) =
        (Instant::now(), Instant::now() + Duration::from_millis(500));
    while began.elapsed() < run.span {
        let now = Instant::now();
        let (over, on): (Vec<_>, Vec<_>) = troubles
            .into_iter()
            .partition(|trouble| trouble.ends <= now);
        over.into_iter().for_each(|trouble| (trouble.heal)());
        troubles = on;
        if now >= next_change {
            world.change();
            world.registry.put(fleet::NOISE, "x");
            next_change = now + Duration::from_millis(world.rng.random_range(50..400));
        }
        if now >= next_trouble && !run.calm {
            troubles.extend(world.trouble());
            if !run.quiet {
                eprintln!(
                    "after {} ms: {:?}, {} troubles on",
                    began.elapsed().as_millis(),
                    world.counts,
                    troubles.len()
                );
            }
            next_trouble = now + Duration::from_millis(world.rng.random_range(300..2_000));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    // All is quiet from here on: the view must come to the truth, and sends keep to it.
    troubles.into_iter().for_each(|trouble| (trouble.heal)());
    let quiet = Instant::now();
    let mut differ = world.differing(&mixer);
    while differ > 0 && quiet.elapsed() < Duration::from_secs(30) {
        std::thread::sleep(Duration::from_millis(50));
        differ = world.differing(&mixer);
    }
    let settled = quiet.elapsed();
    std::thread::sleep(Duration::from_millis(3_000));
    let outcomes = load.end();
    let view = mixer.view();
    drop(plans);
    let following = following.join().unwrap_or(0);

    let since =
        |at: Instant| Span::from_micros(at.saturating_duration_since(began).as_micros() as u64);
    let told = world.observed[0].iter().flat_map(|e| e.member.told());
    let told: Vec<(Span, u64)> = told.map(|told| (since(told.at), told.revision)).collect();
    let of = |s: &Arc<Searcher>| {
        let name = s.name.clone();
        s.log()
            .parts
            .into_iter()
            .map(move |part| (name.clone(), since(part.at)))
            .collect::<Vec<_>>()
    };
    let sends: Vec<(String, Span)> = world.searchers.iter().flat_map(of).collect();
    let late = world.truth.late(&told, &sends, GRACE + ALLOWED);
    for late in late.iter().take(5) {
        eprintln!("late: {late:?}");
    }
    // A drain that nobody told to the mixer by the end, though all has been quiet.
    let newest = told
        .iter()
        .map(|(_, revision)| *revision)
        .max()
        .unwrap_or(0);
    let missed = |host: &&str| {
        world.truth.now(host) != State::Up && world.truth.at(newest, host) != world.truth.now(host)
    };
    let up = fleet::statuses(&view)
        .into_iter()
        .filter(|(_, status)| status == "active");
    let kept = up
        .filter(|(host, _)| world.truth.now(host) != State::Up)
        .count();
    let missed = world.truth.hosts().filter(missed).count() + kept;
    let ok = outcomes.iter().filter(|(status, _)| *status == 200).count();
    let counts = &world.counts;
    let rebuilds = view["counts"]["rebuilds"].as_u64().unwrap_or(0);
    let requests: u64 = world.observed[0].iter().map(|e| e.member.requests()).sum();
    if let Some(((goes, reading), reread)) = baseline {
        goes.send_replace(false);
        let cpu = reading.join().unwrap_or(0);
        let bytes =
            |members: &[Endpoint]| members.iter().map(|e| e.relay.bytes()).sum::<u64>() / 1_024;
        println!(
            "baseline {} kb={} cpu_ms={}; watch {} kb={} cpu_ms={}",
            reread.figures("told"),
            bytes(&world.observed[2]),
            cpu / 1_000,
            timed.figures("told"),
            bytes(&world.observed[1]),
            following / 1_000,
        );
    }
    let kept = late.is_empty() && missed == 0 && differ == 0 && ok > 0;
    println!(
        "protocol={:?} seed={} seconds={} changes={} drains={} disconnects={} silences={} lags={} away={} \
         compactions={} rebuilds={rebuilds} requests={requests} sends={} answered={ok} of={} missed_drains={missed} \
         late_sends={} views_that_differ={differ} settled_ms={} {} kept={kept}",
        run.protocol,
        run.seed,
        run.span.as_secs(),
        counts.changes,
        counts.drains,
        counts.disconnects,
        counts.silences,
        counts.lags,
        counts.away,
        counts.compactions,
        sends.len(),
        outcomes.len(),
        late.len(),
        settled.as_millis(),
        timed.figures("told"),
    );
    Ok(kept)
}
