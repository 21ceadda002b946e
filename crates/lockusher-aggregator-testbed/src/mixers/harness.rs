//! Starts real mixers, each in a process of its own, behind a switch, with searchers and clients, and reads their views
//! of the fleet from `/fleet`.

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
use super::switch::{Endpoint, LinkConditions, Switch};
use super::worker::Worker;
use crate::stand_in::{Client, Discovery, Mixer, Setup, settings};

/// What a harness starts.
#[derive(Clone, Debug)]
pub struct HarnessConfig {
    /// Mixers, of which none runs at first.
    pub mixers: usize,
    /// Simulated searchers.
    pub searchers: usize,
    /// The seed of clients, searchers, switch and mixers.
    pub seed: u64,
    /// Multigets a second at each mixer; 0 for a fleet without clients.
    pub rate: f64,
    /// The first so many mixers are the seeds of all.
    pub seeds: usize,
    /// How long dead members are retained, in seconds.
    pub remember_s: u32,
    /// Whether the output of the mixers is suppressed.
    pub quiet: bool,
    /// The `shared` block of the fleet's settings; empty if no state is shared.
    pub shared: String,
    /// The number of zones; a mixer's number modulo this is its zone.
    pub zones: usize,
    /// Cells of searchers; three consecutive ones hold a shard.
    pub cells: usize,
    /// Parts of a multiget.
    pub width: usize,
}

impl Default for HarnessConfig {
    fn default() -> Self {
        HarnessConfig {
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

/// One mixer's view of the fleet, from `/fleet`.
#[derive(Clone, Debug)]
pub struct View {
    /// The membership status of the mixer.
    pub status: String,
    /// The digest of the view.
    pub digest: String,
    /// Members that are alive or suspect.
    pub live_count: usize,
    /// Members that count for budget shares.
    pub counted: usize,
    /// Each member's state, its `since_ms`, and its generation.
    pub members: BTreeMap<String, (String, u64, u64)>,
    pub counts: Value,
    /// The status of the shared state; null if no state is shared.
    pub shared: Value,
}

/// A mixer, running or not.
struct Slot {
    listen_address: SocketAddrV4,
    name: String,
    mixer: Option<Mixer>,
    paused: bool,
    discovery: Arc<Discovery>,
    /// The address of its relay to each searcher.
    relays: Vec<SocketAddr>,
    settings: PathBuf,
}

/// A fleet of mixer processes with their searchers, clients and network.
pub struct Harness {
    pub switch: Arc<Switch>,
    pub workers: Vec<Arc<Worker>>,
    pub clients: Arc<Clients>,
    slots: Vec<Slot>,
    setup: Setup,
    list_index: u64,
    config: HarnessConfig,
    /// When each mixer was last affected by a fault; it may misbehave right after.
    pub last_disturbed: Vec<Instant>,
    runtime: Runtime,
}

/// The name of a mixer.
pub fn name(mixer: usize) -> String {
    format!("mixer-{mixer}")
}

/// The address at which a mixer listens for datagrams: a loopback address that only this process uses, since a port of
/// 127.0.0.1 that is free now may be taken before the mixer has started.
fn listen_address_of(harness: u64, mixer: usize) -> SocketAddrV4 {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let port = 7_000 + (harness * 100 + mixer as u64) % 50_000;
    SocketAddrV4::new(Ipv4Addr::new(127, 64 + high % 64, low, 1), port as u16)
}

/// Cores of each searcher.
const SEARCHER_CORES: usize = 8;
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(4);
const SHARDS: usize = 24;

impl Harness {
    /// Starts everything but the mixers, which `start` starts.
    pub fn new(config: HarnessConfig) -> Result<Self> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let harness = NEXT.fetch_add(1, Ordering::Relaxed);
        let listen: Vec<SocketAddrV4> = (0..config.mixers)
            .map(|mixer| listen_address_of(harness, mixer))
            .collect();
        let cells = config.cells;
        let setup = Setup {
            mixers: config.mixers,
            once: true,
            shards: SHARDS,
            cells,
            ..Setup::default()
        };
        let load = Load {
            rate: config.rate,
            width: config.width,
            shards: SHARDS,
            non_retriable_share: 0.1,
            honors_retry_after_share: 0.5,
            immediate_retry_share: 0.2,
        };
        let (switch, switch_addresses, workers, clients, relays) = runtime.block_on(async {
            let (switch, switch_addresses) = Switch::start(listen.clone(), config.seed).await?;
            let mut workers = Vec::new();
            for index in 0..config.searchers {
                workers.push(
                    Worker::start(
                        &format!("s{index}"),
                        SEARCHER_CORES,
                        MEAN_SERVICE_TIME,
                        config.seed ^ index as u64,
                    )
                    .await?,
                );
            }
            let mut relays = Vec::new();
            for mixer in 0..config.mixers {
                let mut mixer_relays = Vec::new();
                for (index, worker) in workers.iter().enumerate() {
                    mixer_relays.push(switch.relay(mixer, index, worker.address).await?);
                }
                relays.push(mixer_relays);
            }
            anyhow::Ok((
                switch,
                switch_addresses,
                workers,
                Clients::start(config.mixers, load, config.seed),
                relays,
            ))
        })?;
        let seeds: String = switch_addresses
            .iter()
            .take(config.seeds)
            .map(|address| format!("  seeds: \"{address}\"\n"))
            .collect();
        let mut slots = Vec::new();
        for (mixer, relays) in relays.into_iter().enumerate() {
            let settings_text = format!(
                "fleet {{\n  id: \"lab\"\n  address: \"{}\"\n  advertise: \"{}\"\n{seeds}  remember_s: {}\n  \
                 zone: \"z{}\"\n{}}}\n",
                listen[mixer],
                switch_addresses[mixer],
                config.remember_s,
                mixer % config.zones,
                config.shared,
            );
            let file = format!(
                "lockusher-ground-{}-{harness}-{mixer}.txtpb",
                std::process::id()
            );
            let settings = std::env::temp_dir().join(file);
            std::fs::write(&settings, settings_text)?;
            let discovery = Discovery::start(discovery_lines(&workers, &relays, cells));
            let name = name(mixer);
            slots.push(Slot {
                listen_address: listen[mixer],
                name,
                mixer: None,
                paused: false,
                discovery,
                relays,
                settings,
            });
        }
        let last_disturbed = vec![Instant::now(); config.mixers];
        Ok(Harness {
            switch,
            workers,
            clients,
            slots,
            setup,
            list_index: 1,
            config,
            last_disturbed,
            runtime,
        })
    }

    /// The number of mixers, running or not.
    pub fn mixers(&self) -> usize {
        self.slots.len()
    }

    /// Starts a mixer; if it ran before, as a new generation.
    pub fn start(&mut self, mixer: usize) {
        self.start_all(&[mixer]);
    }

    /// Gives a mixer the name of another one from its next start on.
    pub fn rename(&mut self, mixer: usize, as_other: usize) {
        self.slots[mixer].name = name(as_other);
    }

    /// Starts several mixers at once.
    pub fn start_all(&mut self, mixers: &[usize]) {
        let config = |mixer: usize| {
            let slot = &self.slots[mixer];
            let mut settings = settings(&self.setup);
            settings["rank"] = mixer.into();
            let known = json!({ "index": self.list_index, "snapshot": true,
                "endpoints": discovery_lines(&self.workers, &slot.relays, self.setup.cells) });
            json!({
                "name": slot.name, "listen": "127.0.0.1:0", "discovery": slot.discovery.address,
                "seed": format!("{:x}", self.config.seed ^ (mixer as u64 + 1)), "settings": settings,
                "limits": { "sockets": 512, "memory_mb": 64 }, "known": known,
            })
        };
        let starts: Vec<(usize, Value, PathBuf)> = mixers
            .iter()
            .map(|mixer| (*mixer, config(*mixer), self.slots[*mixer].settings.clone()))
            .collect();
        let quiet = self.config.quiet;
        let started: Vec<(usize, Mixer)> = std::thread::scope(|scope| {
            let threads: Vec<_> = starts
                .iter()
                .map(|(mixer, config, file)| {
                    scope.spawn(move || (*mixer, Mixer::start(config, Some(file), quiet)))
                })
                .collect();
            threads
                .into_iter()
                .map(|thread| thread.join().expect("a mixer starts"))
                .collect()
        });
        for (mixer, started) in started {
            self.clients.endpoints[mixer].set_address(Some(started.address));
            self.last_disturbed[mixer] = Instant::now();
            (self.slots[mixer].mixer, self.slots[mixer].paused) = (Some(started), false);
        }
    }

    /// Kills a mixer with SIGKILL.
    pub fn kill(&mut self, mixer: usize) {
        self.clients.endpoints[mixer].set_address(None);
        self.last_disturbed[mixer] = Instant::now();
        self.slots[mixer].mixer = None;
    }

    /// Stops mixers with SIGTERM and waits for their ends.
    pub fn terminate(&mut self, mixers: &[usize]) {
        for mixer in mixers {
            self.last_disturbed[*mixer] = Instant::now();
            if let Some(running) = &self.slots[*mixer].mixer {
                running.signal("-TERM");
            }
        }
        for mixer in mixers {
            if let Some(mut running) = self.slots[*mixer].mixer.take() {
                running.wait_ended();
            }
            self.clients.endpoints[*mixer].set_address(None);
            self.last_disturbed[*mixer] = Instant::now();
        }
    }

    /// Pauses a mixer with SIGSTOP, until `resume`.
    pub fn pause(&mut self, mixer: usize) {
        self.last_disturbed[mixer] = Instant::now();
        if let Some(running) = &self.slots[mixer].mixer {
            running.signal("-STOP");
            self.slots[mixer].paused = true;
        }
    }

    /// Continues a paused mixer with SIGCONT.
    pub fn resume(&mut self, mixer: usize) {
        self.last_disturbed[mixer] = Instant::now();
        if let Some(running) = &self.slots[mixer].mixer {
            running.signal("-CONT");
            self.slots[mixer].paused = false;
        }
    }

    /// Marks all mixers as affected by a fault now.
    pub fn mark_all_disturbed(&mut self) {
        self.last_disturbed = vec![Instant::now(); self.slots.len()];
    }

    /// Publishes the current list of searchers to all mixers.
    pub fn publish_searchers(&mut self) {
        self.list_index += 1;
        for slot in &self.slots {
            slot.discovery.publish(
                self.list_index,
                true,
                discovery_lines(&self.workers, &slot.relays, self.setup.cells),
            );
        }
    }

    /// Sets the conditions of the links between a mixer and these searchers.
    pub fn set_searcher_links(
        &self,
        mixer: usize,
        searchers: impl IntoIterator<Item = usize>,
        link: LinkConditions,
    ) {
        for searcher in searchers {
            self.switch.set_both_directions(
                Endpoint::Mixer(mixer),
                Endpoint::Searcher(searcher),
                link,
            );
        }
    }

    /// The mixers that run and are not paused.
    pub fn running(&self) -> Vec<usize> {
        let is_running = |slot: &Slot| slot.mixer.is_some() && !slot.paused;
        (0..self.slots.len())
            .filter(|mixer| is_running(&self.slots[*mixer]))
            .collect()
    }

    /// Gets the views of all mixers at once; `None` for those that do not answer.
    pub fn views(&self) -> Vec<Option<View>> {
        let responses =
            self.clients
                .endpoints
                .iter()
                .enumerate()
                .map(|(mixer, endpoint)| async move {
                    let is_running = self.slots[mixer].mixer.is_some() && !self.slots[mixer].paused;
                    if is_running {
                        endpoint
                            .get_json("/fleet")
                            .await
                            .as_ref()
                            .and_then(parse_view)
                    } else {
                        None
                    }
                });
        self.runtime.block_on(join_all(responses))
    }

    /// Whether all running mixers hold the same view, in which exactly the running mixers are alive.
    pub fn has_converged(&self, views: &[Option<View>]) -> bool {
        let running = self.running();
        let first = running
            .first()
            .and_then(|mixer| views[*mixer].as_ref())
            .map(|view| &view.digest);
        running.iter().all(|mixer| {
            views[*mixer].as_ref().is_some_and(|view| {
                view.status == "member"
                    && view.live_count == running.len()
                    && Some(&view.digest) == first
            })
        })
    }

    /// Polls the views until the condition holds; returns how long that took, or `None` if it exceeded the limit.
    pub fn wait_until(
        &self,
        within: Duration,
        mut condition: impl FnMut(&Self, &[Option<View>]) -> bool,
    ) -> Option<Duration> {
        let start = Instant::now();
        loop {
            let views = self.views();
            if condition(self, &views) {
                return Some(start.elapsed());
            }
            if start.elapsed() >= within {
                return None;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until the views have converged, as `wait_until`.
    pub fn wait_converged(&self, within: Duration) -> Option<Duration> {
        self.wait_until(within, Harness::has_converged)
    }

    /// The CPU time used by each running mixer, in microseconds.
    pub fn cpu_us(&self) -> BTreeMap<usize, u64> {
        let running = self.slots.iter().enumerate();
        running
            .filter_map(|(index, slot)| Some((index, slot.mixer.as_ref()?.cpu_us())))
            .collect()
    }

    /// The address at which a mixer listens for datagrams, behind the switch.
    pub fn listen_address(&self, mixer: usize) -> SocketAddrV4 {
        self.slots[mixer].listen_address
    }

    /// A client with its own connection to a mixer.
    pub fn client(&self, mixer: usize) -> Client {
        self.slots[mixer]
            .mixer
            .as_ref()
            .expect("the mixer is running")
            .client()
    }

    /// The current view of one mixer.
    pub fn view_of(&self, mixer: usize) -> Result<View> {
        self.views()
            .swap_remove(mixer)
            .with_context(|| format!("{} does not answer GET /fleet", name(mixer)))
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        for slot in &mut self.slots {
            slot.mixer = None;
            let _ = std::fs::remove_file(&slot.settings);
        }
    }
}

/// The list of searchers for one mixer, with the addresses of its relays.
fn discovery_lines(workers: &[Arc<Worker>], relays: &[SocketAddr], cells: usize) -> Vec<Value> {
    let line = |(index, (worker, relay)): (usize, (&Arc<Worker>, &SocketAddr))| {
        let behavior = worker.behavior();
        let since = behavior.cold_since.map_or(0, |since| {
            let unix = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default();
            unix.saturating_sub(since.elapsed()).as_millis() as u64
        });
        let status = if behavior.draining {
            "leaving"
        } else {
            "active"
        };
        (!behavior.is_down).then(|| {
            json!({ "name": worker.name, "address": relay, "zone": "here", "type": "m", "group": index % cells,
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

/// Parses a response to `GET /fleet`.
fn parse_view(page: &Value) -> Option<View> {
    let members = page["members"].as_array()?.iter().map(|member| {
        let state = (
            member["state"].as_str()?.to_owned(),
            member["since_ms"].as_u64()?,
            member["generation"].as_u64()?,
        );
        Some((member["name"].as_str()?.to_owned(), state))
    });
    Some(View {
        status: page["standing"].as_str()?.to_owned(),
        digest: page["digest"].as_str()?.to_owned(),
        live_count: page["living"].as_u64()? as usize,
        counted: page["counted"].as_u64()? as usize,
        members: members.collect::<Option<_>>()?,
        counts: page["counts"].clone(),
        shared: page["shared"].clone(),
    })
}
