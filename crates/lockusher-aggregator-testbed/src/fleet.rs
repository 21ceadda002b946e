//! A fleet that a registry lists: searchers, members with their relays, and a mixer that follows them under load.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use lockusher_registry_client::core::follow::Protocol;
use serde_json::{Value, json};

use crate::registry::relay::Relay;
use crate::registry::{Member, Registry, consul, etcd};
use crate::stand_in::{Client, Mixer, Searcher, Setup, settings};

/// Keys under this are hosts; those under the other are noise of the registry's other users.
pub const PREFIX: &str = "lab/hosts/";
pub const NOISE: &str = "lab/noise";

pub fn key(host: &str) -> String {
    format!("{PREFIX}{host}")
}

/// A host's entry.
pub fn entry(address: SocketAddr, group: usize, status: &str) -> String {
    json!({ "address": address, "zone": "here", "group": group, "status": status }).to_string()
}

/// A member behind its relay.
pub struct Endpoint {
    pub member: Arc<Member>,
    pub relay: Arc<Relay>,
}

/// Starts members of one registry, each behind a relay.
pub async fn endpoints(
    registry: &Arc<Registry>,
    protocol: Protocol,
    count: usize,
) -> std::io::Result<Vec<Endpoint>> {
    let mut out = Vec::new();
    for _ in 0..count {
        let (member, address) = match protocol {
            Protocol::Etcd => etcd::start(registry).await?,
            Protocol::Consul => consul::start(registry).await?,
        };
        out.push(Endpoint {
            member,
            relay: Relay::start(address).await?,
        });
    }
    Ok(out)
}

/// The text of a settings file that follows these.
pub fn settings_text(protocol: Protocol, endpoints: &[Endpoint], more: &str) -> String {
    let protocol = match protocol {
        Protocol::Etcd => "ETCD",
        Protocol::Consul => "CONSUL",
    };
    let addresses: String = endpoints
        .iter()
        .map(|e| format!("  endpoints: \"{}\"\n", e.relay.address))
        .collect();
    format!("registry {{\n  protocol: {protocol}\n{addresses}  prefix: \"{PREFIX}\"\n{more}}}\n")
}

/// A mixer that follows a registry, with its settings file.
pub struct Followed {
    pub mixer: Mixer,
    pub settings: PathBuf,
    config: Value,
}

impl Followed {
    pub fn start(setup: &Setup, text: &str, quiet: bool) -> std::io::Result<Self> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let file = format!(
            "lockusher-aggregator-testbed-{}-{number}.txtpb",
            std::process::id()
        );
        let file = std::env::temp_dir().join(file);
        std::fs::write(&file, text)?;
        let config = json!({
            "name": "n1", "listen": "127.0.0.1:0", "seed": "5eed", "settings": settings(setup),
            "limits": { "sockets": setup.sockets, "memory_mb": setup.memory_mb },
        });
        let mixer = Mixer::start(&config, Some(&file), quiet);
        Ok(Followed {
            mixer,
            settings: file,
            config,
        })
    }

    /// Other settings from here on.
    pub fn set(&self, text: &str) -> std::io::Result<()> {
        std::fs::write(&self.settings, text)?;
        self.mixer.configure(&self.config);
        self.mixer.signal("-HUP");
        Ok(())
    }

    /// How the registry stands for the mixer.
    pub fn registry(&self) -> Value {
        serde_json::from_str(&self.mixer.get("/registry").body).unwrap_or(Value::Null)
    }

    /// The same with the view that the mixer holds.
    pub fn view(&self) -> Value {
        serde_json::from_str(&self.mixer.get("/registry/view").body).unwrap_or(Value::Null)
    }
}

impl Drop for Followed {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// The hosts of a view, with their statuses, in the order of their names.
pub fn statuses(registry: &Value) -> Vec<(String, String)> {
    let lines = registry["view"]["endpoints"]
        .as_array()
        .into_iter()
        .flatten();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let mut all: Vec<_> = lines
        .map(|line| (text(&line["name"]), text(&line["status"])))
        .collect();
    all.sort();
    all
}

pub fn searchers(count: usize) -> Vec<Arc<Searcher>> {
    (0..count)
        .map(|i| Searcher::start(&format!("h{i}")))
        .collect()
}

/// Clients that ask a mixer for three shards each, on a schedule of their own.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<(u16, Duration)>>>,
}

impl Load {
    pub fn start(mixer: SocketAddr, clients: usize, every: Duration, shards: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..clients).map(|number| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let (mut client, mut outcomes, mut due) =
                    (Client::to(mixer), Vec::new(), Instant::now());
                let mut asked = 0_usize;
                while !stop.load(Ordering::Relaxed) {
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let shards = [asked, asked + 7, asked + 13].map(|shard| shard % shards);
                    let answer = client.ask(&format!("c{number}n{asked}"), &shards);
                    // From when it was due: a wait behind the answer before counts too.
                    outcomes.push((answer.status, due.elapsed()));
                    asked += 1;
                    due += every;
                }
                outcomes
            })
        });
        Load {
            threads: threads.collect(),
            stop,
        }
    }

    /// Status and time of each multiget.
    pub fn end(mut self) -> Vec<(u16, Duration)> {
        self.stop.store(true, Ordering::Relaxed);
        let threads = std::mem::take(&mut self.threads);
        threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap_or_default())
            .collect()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
