//! Reads the platform's configuration, checks it and fills in defaults. Error messages name the offending key.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use anyhow::{Context, Result, bail, ensure};
use lockusher_multiget::settings::{Membership, Settings};
use lockusher_policy::interface::Span;
use serde::Deserialize;
use serde_json::Value;

use lockusher_multiget::list::ListDocument;

/// The validated configuration.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Address of discovery; `None` if it is not set, which is valid only if a registry is followed instead.
    pub discovery: Option<SocketAddr>,
    /// Seed of all random decisions.
    pub seed: u64,
    pub sockets: SocketLimits,
    /// The searcher list to start with, from before the last restart.
    pub known: Option<ListDocument>,
    pub settings: Settings,
    /// Each top-level key with its unparsed value.
    raw_values: BTreeMap<String, Value>,
}

impl Config {
    /// Returns the address of discovery; fails if it is not set. Needed unless a registry lists the searchers.
    pub fn require_discovery(&self) -> Result<SocketAddr> {
        self.discovery
            .context("discovery: missing, and LB_DISCOVERY is not set")
    }

    /// Returns the keys whose values differ in `other` and can only be changed by a restart.
    pub fn keys_needing_restart(&self, other: &Config) -> Vec<&'static str> {
        // `known` is left out: it is only read at startup, after which the process holds a newer list.
        const RESTART_ONLY_KEYS: [&str; 5] = ["name", "listen", "seed", "limits", "settings"];
        RESTART_ONLY_KEYS
            .into_iter()
            .filter(|key| self.raw_values.get(*key) != other.raw_values.get(*key))
            .collect()
    }
}

/// Limits and timeouts of connections and buffers.
#[derive(Clone, Copy, Debug)]
pub struct SocketLimits {
    /// Maximum number of concurrent client connections.
    pub max_client_connections: usize,
    /// Maximum number of client connections that stay open after they have carried a multiget.
    pub max_used_client_connections: usize,
    /// Maximum number of concurrent connections to searchers.
    pub max_searcher_connections: usize,
    pub connect_timeout: Span,
    /// Connections idle for this long are closed.
    pub idle_timeout: Span,
    /// Maximum number of concurrent calls on one connection to a searcher.
    pub max_calls_per_connection: usize,
    /// Maximum number of parts in one call.
    pub max_parts_per_call: usize,
    /// Maximum number of multigets and parts in flight.
    pub max_in_flight: usize,
    /// Maximum size of buffered request bodies in bytes; buffered values of answers have a limit of the same size.
    pub max_buffered_bytes: usize,
    /// Number of shards.
    pub shard_count: usize,
    /// Whether sends may be cancelled at searchers when a client disconnects.
    pub cancellation_allowed: bool,
    /// Whether searchers may be probed to test a connection that has gone silent.
    pub probing_allowed: bool,
    /// The longest route timeout of all op types; caps the time limits that clients set.
    pub max_route_timeout: Span,
    /// How long discovery may hold a watch request open.
    pub max_watch_hold: Span,
    /// Whether discovery sends lists only on request instead of pushing changes.
    pub lists_on_request: bool,
}

/// The configuration file as it is written.
#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: LimitsSection,
    known: Option<ListDocument>,
    settings: Settings,
}

/// The section `limits` of the configuration file.
#[derive(Deserialize, Default)]
struct LimitsSection {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// File descriptors reserved for the standard streams, the runtime, the listener and discovery.
const RESERVED_DESCRIPTORS: usize = 32;
/// Smallest accepted value of `limits.sockets`.
const MIN_SOCKETS: usize = 2 * RESERVED_DESCRIPTORS;
/// Smallest accepted value of `limits.memory_mb`: an idle process takes about 5 MB, the buffers of a connection
/// about 50 KB more.
const MIN_MEMORY_MB: usize = 16;

/// Reads the file that `LB_CONFIG` names. `LB_NAME`, `LB_LISTEN` and `LB_DISCOVERY` supply keys that the file
/// lacks. `env_var` looks up an environment variable.
pub fn load(env_var: impl Fn(&str) -> Option<String>) -> Result<Config> {
    let path = env_var("LB_CONFIG")
        .context("LB_CONFIG is not set: it must name the configuration file")?;
    let text =
        std::fs::read_to_string(&path).with_context(|| format!("LB_CONFIG: cannot read {path}"))?;
    parse(&text, env_var).with_context(|| path.clone())
}

/// Parses and validates the text of a configuration file; `env_var` looks up an environment variable.
pub fn parse(text: &str, env_var: impl Fn(&str) -> Option<String>) -> Result<Config> {
    let deserializer = &mut serde_json::Deserializer::from_str(text);
    let file: ConfigFile = serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let (path, inner) = (error.path().to_string(), error.into_inner());
        anyhow::anyhow!(
            "{}: {inner}",
            if path == "." { "configuration" } else { &path }
        )
    })?;
    let required = |key: &str, value: Option<String>, name: &str| {
        value
            .or_else(|| env_var(name))
            .with_context(|| format!("{key}: missing, and {name} is not set"))
    };
    let address = |key: &str, text: String| {
        text.parse::<SocketAddr>()
            .with_context(|| format!("{key}: \"{text}\" is not an address with a port"))
    };
    let seed = file.seed.context("seed: missing")?;
    let seed = u64::from_str_radix(&seed, 16)
        .with_context(|| format!("seed: \"{seed}\" is not 1 to 16 hexadecimal digits"))?;
    let sockets = socket_limits(&file.settings, &file.limits)?;
    Ok(Config {
        name: required("name", file.name, "LB_NAME")?,
        listen: address("listen", required("listen", file.listen, "LB_LISTEN")?)?,
        discovery: file
            .discovery
            .or_else(|| env_var("LB_DISCOVERY"))
            .map(|address_text| address("discovery", address_text))
            .transpose()?,
        seed,
        sockets,
        known: file.known,
        settings: file.settings,
        raw_values: serde_json::from_str(text)?,
    })
}

/// Derives the connection and buffer limits from the settings and the `limits` section.
fn socket_limits(settings: &Settings, limits: &LimitsSection) -> Result<SocketLimits> {
    let descriptors = limits.sockets.unwrap_or(1_024);
    ensure!(
        descriptors >= MIN_SOCKETS,
        "limits.sockets: {descriptors} is less than {MIN_SOCKETS}"
    );
    let memory_mb = limits.memory_mb.unwrap_or(192);
    ensure!(
        memory_mb >= MIN_MEMORY_MB,
        "limits.memory_mb: {memory_mb} is less than {MIN_MEMORY_MB}"
    );
    let (limits, extra) = (&settings.limits, &settings.extra);
    ensure!(
        settings.layout().cells > 0,
        "settings.extra.cells: must not be 0"
    );
    let check = |key: &str, value: Option<u64>| match value {
        None => bail!("settings.{key}: missing"),
        Some(0) => bail!("settings.{key}: must not be 0"),
        Some(value) => Ok(value),
    };
    let span = |key: &str, value: Option<u64>| check(key, value).map(Span::from_micros);
    let count =
        |key: &str, value: Option<usize>| anyhow::Ok(check(key, value.map(|v| v as u64))? as usize);
    let connect_timeout = span("limits.connect_timeout_us", limits.connect_timeout_us)?;
    let idle_timeout = span("limits.conn_idle_us", limits.conn_idle_us)?;
    // Data that reaches a searcher while it closes the connection is lost, so this side stops using a connection
    // before the searcher's idle timeout can close it.
    let idle_timeout = idle_timeout
        .saturating_sub(connect_timeout)
        .max(idle_timeout.times(0.5));
    let max_searcher_connections = descriptors / 4;
    let op_types = settings
        .op_types()
        .map_err(|error| anyhow::anyhow!("settings: {error}"))?;
    let max_route_timeout = op_types
        .iter()
        .map(|op| op.route_timeout)
        .max()
        .unwrap_or(Span::ZERO);
    Ok(SocketLimits {
        max_client_connections: descriptors - RESERVED_DESCRIPTORS - max_searcher_connections,
        // Below the third of the descriptors that clients may hold for requests, so that some stay free for other
        // clients.
        max_used_client_connections: descriptors / 4,
        max_searcher_connections,
        connect_timeout,
        idle_timeout,
        max_calls_per_connection: count("limits.max_streams", limits.max_streams)?,
        max_parts_per_call: count("extra.bundle_max", extra.bundle_max)?,
        max_in_flight: count("limits.max_open", limits.max_open)?,
        max_buffered_bytes: memory_mb * 1024 * 1024 / 8,
        shard_count: count("extra.slices", extra.slices)?,
        cancellation_allowed: limits.may_cancel,
        probing_allowed: limits.probes,
        max_route_timeout,
        max_watch_hold: settings.poll_interval().unwrap_or(Span::MAX),
        lists_on_request: settings.membership_mode == Membership::OnRequest,
    })
}
