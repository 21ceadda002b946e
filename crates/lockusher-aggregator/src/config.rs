//! The one place where the configuration is read, checked and given defaults. A message names the faulty key.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use anyhow::{Context, Result, bail, ensure};
use lockusher_multiget::settings::{Membership, Settings};
use lockusher_policy::interface::Span;
use serde::Deserialize;
use serde_json::Value;

use lockusher_multiget::list::ListText;

/// What the mixer is told, checked.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Where it is; nothing if it is not named, which only a registry in its place makes up for.
    pub discovery: Option<SocketAddr>,
    pub seed: u64,
    pub sockets: Sockets,
    pub known: Option<ListText>,
    pub settings: Settings,
    /// Each key as it was written.
    written: BTreeMap<String, Value>,
}

impl Config {
    /// Discovery's address, where nothing else lists the searchers.
    pub fn needs_discovery(&self) -> Result<SocketAddr> {
        self.discovery
            .context("discovery: missing, and LB_DISCOVERY is not set")
    }

    /// The keys that differ in another and can't change in a running process.
    pub fn needs_restart(&self, other: &Config) -> Vec<&'static str> {
        // `known` is read at a start only: by now the process knows better.
        const FIXED: [&str; 5] = ["name", "listen", "seed", "limits", "settings"];
        FIXED
            .into_iter()
            .filter(|key| self.written.get(*key) != other.written.get(*key))
            .collect()
    }
}

/// What the sockets go by.
#[derive(Clone, Copy, Debug)]
pub struct Sockets {
    /// Client connections at once, and connections to searchers at once.
    pub most_clients: usize,
    /// Client connections that are kept once they were asked on.
    pub most_kept: usize,
    pub most_searchers: usize,
    pub connect_timeout: Span,
    /// Connections unused for so long are closed.
    pub idle: Span,
    /// Calls on one connection, and parts in one call.
    pub most_calls: usize,
    pub most_parts: usize,
    /// Multigets and parts in hand.
    pub most_open: usize,
    /// Bytes that bodies may hold, and as many that values may.
    pub most_bytes: usize,
    pub shards: usize,
    pub may_withdraw: bool,
    pub may_probe: bool,
    /// No client waits longer for an answer.
    pub longest: Span,
    /// How long discovery may hold a watch at the most, and whether it tells only those that ask.
    pub hold: Span,
    pub on_request: bool,
}

#[derive(Deserialize)]
struct Text {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: LimitsText,
    known: Option<ListText>,
    settings: Settings,
}

#[derive(Deserialize, Default)]
struct LimitsText {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// Descriptors for standard streams, the runtime, the listener and discovery.
const OWN_DESCRIPTORS: usize = 32;
const LEAST_SOCKETS: usize = 2 * OWN_DESCRIPTORS;
/// At rest the program takes some 5 MB; a connection's buffers take some 50 KB more.
const LEAST_MEMORY_MB: usize = 16;

/// Reads the file that `LB_CONFIG` names; `LB_NAME`, `LB_LISTEN` and `LB_DISCOVERY` stand in for keys that
/// it lacks. `variable` looks up a variable.
pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Config> {
    let path =
        variable("LB_CONFIG").context("LB_CONFIG is not set: it names the configuration file")?;
    let text =
        std::fs::read_to_string(&path).with_context(|| format!("LB_CONFIG: cannot read {path}"))?;
    parse(&text, variable).with_context(|| path.clone())
}

pub fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config> {
    let reader = &mut serde_json::Deserializer::from_str(text);
    let read: Text = serde_path_to_error::deserialize(reader).map_err(|e| {
        let (path, inner) = (e.path().to_string(), e.into_inner());
        anyhow::anyhow!(
            "{}: {inner}",
            if path == "." { "configuration" } else { &path }
        )
    })?;
    let given = |key: &str, value: Option<String>, name: &str| {
        value
            .or_else(|| variable(name))
            .with_context(|| format!("{key}: missing, and {name} is not set"))
    };
    let address = |key: &str, text: String| {
        text.parse::<SocketAddr>()
            .with_context(|| format!("{key}: \"{text}\" is no address with a port"))
    };
    let seed = read.seed.context("seed: missing")?;
    let seed = u64::from_str_radix(&seed, 16)
        .with_context(|| format!("seed: \"{seed}\" is not 1 to 16 hexadecimal digits"))?;
    let sockets = sockets(&read.settings, &read.limits)?;
    Ok(Config {
        name: given("name", read.name, "LB_NAME")?,
        listen: address("listen", given("listen", read.listen, "LB_LISTEN")?)?,
        discovery: read
            .discovery
            .or_else(|| variable("LB_DISCOVERY"))
            .map(|at| address("discovery", at))
            .transpose()?,
        seed,
        sockets,
        known: read.known,
        settings: read.settings,
        written: serde_json::from_str(text)?,
    })
}

fn sockets(settings: &Settings, limits: &LimitsText) -> Result<Sockets> {
    let descriptors = limits.sockets.unwrap_or(1_024);
    ensure!(
        descriptors >= LEAST_SOCKETS,
        "limits.sockets: {descriptors} is less than {LEAST_SOCKETS}"
    );
    let memory = limits.memory_mb.unwrap_or(192);
    ensure!(
        memory >= LEAST_MEMORY_MB,
        "limits.memory_mb: {memory} is less than {LEAST_MEMORY_MB}"
    );
    let (limits, extra) = (&settings.limits, &settings.extra);
    ensure!(
        settings.layout().cells > 0,
        "settings.extra.cells: must not be 0"
    );
    let given = |key: &str, value: Option<u64>| match value {
        None => bail!("settings.{key}: missing"),
        Some(0) => bail!("settings.{key}: must not be 0"),
        Some(value) => Ok(value),
    };
    let span = |key: &str, value: Option<u64>| given(key, value).map(Span::from_micros);
    let count =
        |key: &str, value: Option<usize>| anyhow::Ok(given(key, value.map(|v| v as u64))? as usize);
    let connect_timeout = span("limits.connect_timeout_us", limits.connect_timeout_us)?;
    let idle = span("limits.conn_idle_us", limits.conn_idle_us)?;
    // What is sent as a searcher closes is lost: no connection is used when that close may be under way.
    let idle = idle.saturating_sub(connect_timeout).max(idle.times(0.5));
    let most_searchers = descriptors / 4;
    let op_types = settings
        .op_types()
        .map_err(|e| anyhow::anyhow!("settings: {e}"))?;
    let longest = op_types
        .iter()
        .map(|op| op.route_timeout)
        .max()
        .unwrap_or(Span::ZERO);
    Ok(Sockets {
        most_clients: descriptors - OWN_DESCRIPTORS - most_searchers,
        // For requests, clients hold a third at most: some of these stay free for others.
        most_kept: descriptors / 4,
        most_searchers,
        connect_timeout,
        idle,
        most_calls: count("limits.max_streams", limits.max_streams)?,
        most_parts: count("extra.bundle_max", extra.bundle_max)?,
        most_open: count("limits.max_open", limits.max_open)?,
        most_bytes: memory * 1024 * 1024 / 8,
        shards: count("extra.slices", extra.slices)?,
        may_withdraw: limits.may_cancel,
        may_probe: limits.probes,
        longest,
        hold: settings.ask_every().unwrap_or(Span::MAX),
        on_request: settings.membership_mode == Membership::OnRequest,
    })
}
