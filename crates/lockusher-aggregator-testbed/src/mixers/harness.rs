//! The proving ground: real mixers, each a process of its own, behind a switch, with searchers and clients; and what
//! their own pages say of the fleet, read from outside.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use futures_util::future::join_all;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

use super::clients::{Clients, Load};
use super::switch::{End, Switch, Way};
use super::worker::Worker;
use crate::stand_in::{Client, Discovery, Mixer, Setup, settings};

/// What is started.
#[derive(Clone, Debug)]
pub struct Plan {
    pub mixers: usize,
    pub searchers: usize,
    pub seed: u64,
    /// Multigets a second at each mixer; none for a fleet without clients.
    pub rate: f64,
    /// How many of the first mixers are seeds for all.
    pub seeds: usize,
    pub remember_s: u32,
    pub quiet: bool,
    /// What the fleet's settings say is shared, if anything is; and zones, which mixers fall into by their numbers.
    pub shared: String,
    pub zones: usize,
    /// Cells of searchers, of which three in a row hold a shard.
    pub cells: usize,
    /// Parts of a multiget.
    pub width: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            mixers: 3,
            searchers: 6,
            seed: 1,
            rate: 0.0,
            seeds: 2,
            remember_s: 12,
            quiet: true,
            shared: String::new(),
            zones: 1,
            cells: 3,
            width: 4,
        }
    }
}

/// What one mixer says of its fleet.
#[derive(Clone, Debug)]
pub struct View {
    pub standing: String,
    pub digest: String,
    pub living: usize,
    pub counted: usize,
    /// Each member's state, since when in ms, and its generation.
    pub members: BTreeMap<String, (String, u64, u64)>,
    pub counts: Value,
    /// Null where nothing is shared.
    pub shared: Value,
}

struct Slot {
    listens: SocketAddrV4,
    name: String,
    mixer: Option<Mixer>,
    stopped: bool,
    discovery: Arc<Discovery>,
    /// Where it finds each searcher.
    relays: Vec<SocketAddr>,
    settings: PathBuf,
}

pub struct Ground {
    pub switch: Arc<Switch>,
    pub workers: Vec<Arc<Worker>>,
    pub clients: Arc<Clients>,
    slots: Vec<Slot>,
    setup: Setup,
    index: u64,
    plan: Plan,
    /// When anything was last done to a mixer; nothing is promised of it right after.
    pub troubled: Vec<Instant>,
    runtime: Runtime,
}

pub fn name(mixer: usize) -> String {
    format!("mixer-{mixer}")
}

/// Where a mixer listens for datagrams: loopback addresses that are this process's own, since a port of 127.0.0.1 that is
/// free now may be another's before the mixer has started.
fn listens_at(ground: u64, mixer: usize) -> SocketAddrV4 {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let port = 7_000 + (ground * 100 + mixer as u64) % 50_000;
    SocketAddrV4::new(Ipv4Addr::new(127, 64 + high % 64, low, 1), port as u16)
}

const CORES: usize = 8;
const MEAN: Duration = Duration::from_millis(4);
const SHARDS: usize = 24;

impl Ground {
    /// All but the mixers, which `start` starts.
    pub fn new(plan: Plan) -> Result<Self> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let ground = NEXT.fetch_add(1, Ordering::Relaxed);
        let listen: Vec<SocketAddrV4> = (0..plan.mixers)
            .map(|mixer| listens_at(ground, mixer))
            .collect();
        let cells = plan.cells;
        let setup = Setup {
            mixers: plan.mixers,
            once: true,
            shards: SHARDS,
            cells,
            ..Setup::default()
        };
        let load = Load {
            rate: plan.rate,
            width: plan.width,
            shards: SHARDS,
            once: 0.1,
            back: 0.5,
            rude: 0.2,
        };
        let (switch, shown, workers, clients, relays) = runtime.block_on(async {
            let (switch, shown) = Switch::start(listen.clone(), plan.seed).await?;
            let mut workers = Vec::new();
            for nth in 0..plan.searchers {
                workers.push(
                    Worker::start(&format!("s{nth}"), CORES, MEAN, plan.seed ^ nth as u64).await?,
                );
            }
            let mut relays = Vec::new();
            for mixer in 0..plan.mixers {
                let mut own = Vec::new();
                for (nth, worker) in workers.iter().enumerate() {
                    own.push(switch.relay(mixer, nth, worker.address).await?);
                }
                relays.push(own);
            }
            anyhow::Ok((
                switch,
                shown,
                workers,
                Clients::start(plan.mixers, load, plan.seed),
                relays,
            ))
        })?;
        let seeds: String = shown
            .iter()
            .take(plan.seeds)
            .map(|at| format!("  seeds: \"{at}\"\n"))
            .collect();
        let mut slots = Vec::new();
        for (mixer, relays) in relays.into_iter().enumerate() {
            let text = format!(
                "fleet {{\n  id: \"lab\"\n  address: \"{}\"\n  advertise: \"{}\"\n{seeds}  remember_s: {}\n  \
                 zone: \"z{}\"\n{}}}\n",
                listen[mixer],
                shown[mixer],
                plan.remember_s,
                mixer % plan.zones,
                plan.shared,
            );
            let file = format!(
                "lockusher-ground-{}-{ground}-{mixer}.txtpb",
                std::process::id()
            );
            let settings = std::env::temp_dir().join(file);
            std::fs::write(&settings, text)?;
            let discovery = Discovery::start(lines(&workers, &relays, cells));
            let name = name(mixer);
            slots.push(Slot {
                listens: listen[mixer],
                name,
                mixer: None,
                stopped: false,
                discovery,
                relays,
                settings,
            });
        }
        let troubled = vec![Instant::now(); plan.mixers];
        Ok(Ground {
            switch,
            workers,
            clients,
            slots,
            setup,
            index: 1,
            plan,
            troubled,
            runtime,
        })
    }

    pub fn mixers(&self) -> usize {
        self.slots.len()
    }

    /// Starts one under its name, another life if it ran before.
    pub fn start(&mut self, mixer: usize) {
        self.start_all(&[mixer]);
    }

    /// From its next start on it has another's name.
    pub fn rename(&mut self, mixer: usize, as_other: usize) {
        self.slots[mixer].name = name(as_other);
    }

    /// Starts several at once.
    pub fn start_all(&mut self, mixers: &[usize]) {
        let config = |mixer: usize| {
            let slot = &self.slots[mixer];
            let mut settings = settings(&self.setup);
            settings["rank"] = mixer.into();
            let known = json!({ "index": self.index, "snapshot": true,
                "endpoints": lines(&self.workers, &slot.relays, self.setup.cells) });
            json!({
                "name": slot.name, "listen": "127.0.0.1:0", "discovery": slot.discovery.address,
                "seed": format!("{:x}", self.plan.seed ^ (mixer as u64 + 1)), "settings": settings,
                "limits": { "sockets": 512, "memory_mb": 64 }, "known": known,
            })
        };
        let starts: Vec<(usize, Value, PathBuf)> = mixers
            .iter()
            .map(|mixer| (*mixer, config(*mixer), self.slots[*mixer].settings.clone()))
            .collect();
        let quiet = self.plan.quiet;
        let started: Vec<(usize, Mixer)> = std::thread::scope(|scope| {
            let threads: Vec<_> = starts
                .iter()
                .map(|(mixer, config, file)| {
                    scope.spawn(move || (*mixer, Mixer::start(config, Some(file), quiet)))
                })
                .collect();
            threads
                .into_iter()
                .map(|thread| thread.join().expect("it starts"))
                .collect()
        });
        for (mixer, started) in started {
            self.clients.doors[mixer].moves(Some(started.address));
            self.troubled[mixer] = Instant::now();
            (self.slots[mixer].mixer, self.slots[mixer].stopped) = (Some(started), false);
        }
    }

    /// SIGKILL.
    pub fn kill(&mut self, mixer: usize) {
        self.clients.doors[mixer].moves(None);
        self.troubled[mixer] = Instant::now();
        self.slots[mixer].mixer = None;
    }

    /// SIGTERM; it is waited for until it has ended.
    pub fn terminate(&mut self, mixers: &[usize]) {
        for mixer in mixers {
            self.troubled[*mixer] = Instant::now();
            if let Some(running) = &self.slots[*mixer].mixer {
                running.signal("-TERM");
            }
        }
        for mixer in mixers {
            if let Some(mut running) = self.slots[*mixer].mixer.take() {
                running.ended();
            }
            self.clients.doors[*mixer].moves(None);
            self.troubled[*mixer] = Instant::now();
        }
    }

    /// SIGSTOP, until `resume`.
    pub fn halt(&mut self, mixer: usize) {
        self.troubled[mixer] = Instant::now();
        if let Some(running) = &self.slots[mixer].mixer {
            running.signal("-STOP");
            self.slots[mixer].stopped = true;
        }
    }

    pub fn resume(&mut self, mixer: usize) {
        self.troubled[mixer] = Instant::now();
        if let Some(running) = &self.slots[mixer].mixer {
            running.signal("-CONT");
            self.slots[mixer].stopped = false;
        }
    }

    pub fn trouble_all(&mut self) {
        self.troubled = vec![Instant::now(); self.slots.len()];
    }

    /// Tells all mixers how the searchers are listed now.
    pub fn tell(&mut self) {
        self.index += 1;
        for slot in &self.slots {
            slot.discovery.tell(
                self.index,
                true,
                lines(&self.workers, &slot.relays, self.setup.cells),
            );
        }
    }

    /// All ways between a mixer and these searchers, from now on.
    pub fn path(&self, mixer: usize, searchers: impl IntoIterator<Item = usize>, way: Way) {
        for searcher in searchers {
            self.switch
                .both_ways(End::Mixer(mixer), End::Searcher(searcher), way);
        }
    }

    pub fn up(&self) -> Vec<usize> {
        let runs = |slot: &Slot| slot.mixer.is_some() && !slot.stopped;
        (0..self.slots.len())
            .filter(|mixer| runs(&self.slots[*mixer]))
            .collect()
    }

    /// All mixers' pages, asked at once; nothing of those that do not answer.
    pub fn views(&self) -> Vec<Option<View>> {
        let asked = self
            .clients
            .doors
            .iter()
            .enumerate()
            .map(|(mixer, door)| async move {
                let runs = self.slots[mixer].mixer.is_some() && !self.slots[mixer].stopped;
                if runs {
                    door.page("/fleet").await.as_ref().and_then(view)
                } else {
                    None
                }
            });
        self.runtime.block_on(join_all(asked))
    }

    /// Whether all that run hold one view, of just those that run.
    pub fn agrees(&self, views: &[Option<View>]) -> bool {
        let up = self.up();
        let first = up
            .first()
            .and_then(|mixer| views[*mixer].as_ref())
            .map(|view| &view.digest);
        up.iter().all(|mixer| {
            views[*mixer].as_ref().is_some_and(|view| {
                view.standing == "member" && view.living == up.len() && Some(&view.digest) == first
            })
        })
    }

    /// Until the views are as wanted; tells how long that took, if it did in time.
    pub fn until(
        &self,
        within: Duration,
        mut wanted: impl FnMut(&Self, &[Option<View>]) -> bool,
    ) -> Option<Duration> {
        let began = Instant::now();
        loop {
            let views = self.views();
            if wanted(self, &views) {
                return Some(began.elapsed());
            }
            if began.elapsed() >= within {
                return None;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn settles(&self, within: Duration) -> Option<Duration> {
        self.until(within, Ground::agrees)
    }

    /// The processor time that each running mixer has had, in microseconds.
    pub fn cpu_us(&self) -> BTreeMap<usize, u64> {
        let running = self.slots.iter().enumerate();
        running
            .filter_map(|(nth, slot)| Some((nth, slot.mixer.as_ref()?.cpu_us())))
            .collect()
    }

    /// Where a mixer listens for datagrams in truth, past the switch.
    pub fn listens(&self, mixer: usize) -> SocketAddrV4 {
        self.slots[mixer].listens
    }

    /// A connection of a client's own.
    pub fn client(&self, mixer: usize) -> Client {
        self.slots[mixer].mixer.as_ref().expect("it runs").client()
    }

    /// What one says now.
    pub fn says(&self, mixer: usize) -> Result<View> {
        self.views()
            .swap_remove(mixer)
            .with_context(|| format!("{} does not answer", name(mixer)))
    }
}

impl Drop for Ground {
    fn drop(&mut self) {
        for slot in &mut self.slots {
            slot.mixer = None;
            let _ = std::fs::remove_file(&slot.settings);
        }
    }
}

/// Discovery's lines as one mixer gets them.
fn lines(workers: &[Arc<Worker>], relays: &[SocketAddr], cells: usize) -> Vec<Value> {
    let line = |(nth, (worker, relay)): (usize, (&Arc<Worker>, &SocketAddr))| {
        let temper = worker.temper();
        let since = temper.cold_since.map_or(0, |since| {
            let unix = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default();
            unix.saturating_sub(since.elapsed()).as_millis() as u64
        });
        let status = if temper.drains { "leaving" } else { "active" };
        (!temper.down).then(|| {
            json!({ "name": worker.name, "address": relay, "zone": "here", "type": "m", "group": nth % cells,
                "status": status, "weight": 1.0, "since_ms": since })
        })
    };
    workers
        .iter()
        .zip(relays)
        .enumerate()
        .filter_map(line)
        .collect()
}

fn view(page: &Value) -> Option<View> {
    let members = page["members"].as_array()?.iter().map(|member| {
        let state = (
            member["state"].as_str()?.to_owned(),
            member["since_ms"].as_u64()?,
            member["generation"].as_u64()?,
        );
        Some((member["name"].as_str()?.to_owned(), state))
    });
    Some(View {
        standing: page["standing"].as_str()?.to_owned(),
        digest: page["digest"].as_str()?.to_owned(),
        living: page["living"].as_u64()? as usize,
        counted: page["counted"].as_u64()? as usize,
        members: members.collect::<Option<_>>()?,
        counts: page["counts"].clone(),
        shared: page["shared"].clone(),
    })
}
