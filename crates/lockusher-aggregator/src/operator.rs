//! The operator's settings file: protobuf text format, checked against `proto/settings.proto`. Error messages name
//! the file, the line and the offending key.

use std::fmt;
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::LazyLock;

use lockusher_membership::core::shared_state::SharingConfig;
use lockusher_membership::core::wire::MAX_NAME_BYTES;
use lockusher_policy::interface::{Budget, Span};
use lockusher_registry_client::core::follow::{Protocol, RegistrySettings};
use miette::Diagnostic;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};

#[allow(missing_docs, clippy::all)]
mod text {
    include!(concat!(env!("OUT_DIR"), "/lockusher.rs"));
}

/// The validated operator settings; by default every optional feature is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// The registry that lists the searchers in place of discovery.
    pub registry: Option<RegistrySettings>,
    /// Hosts that are called over HTTP/2; `None` calls all over frames.
    pub http2: Option<Http2>,
    /// Membership in a fleet of mixers; `None` runs the mixer alone.
    pub fleet: Option<Fleet>,
    /// Whether log lines are written as JSON.
    pub json_logs: bool,
    /// Lowest level that is logged.
    pub level: Level,
}

/// Selects the hosts that are called over HTTP/2 and limits their connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Http2 {
    /// Zones whose hosts are called over HTTP/2.
    pub zones: Vec<String>,
    /// Patterns of searcher ids; `*` matches any sequence of characters.
    pub id_patterns: Vec<String>,
    /// Whether hosts whose registry entry offers HTTP/2 are selected as well.
    pub select_by_registry_entry: bool,
    /// Whether a host that turns out not to speak HTTP/2 is called over frames.
    pub fall_back_to_frames: bool,
    /// Maximum number of connections to one host.
    pub max_connections: usize,
    /// Maximum number of concurrent calls on one connection.
    pub max_streams: usize,
    /// Age at which a connection is replaced.
    pub max_connection_age: Span,
    /// A connection with pending calls that receives nothing for this long is pinged, and closed after as long
    /// again.
    pub silent_after: Span,
    /// Maximum rate of call resets on one connection.
    pub max_resets_per_s: f64,
}

/// How this mixer takes part in the membership protocol of its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Id of the fleet; fleets with different ids never merge.
    pub id: String,
    /// UDP address to listen on.
    pub address: SocketAddrV4,
    /// UDP address at which other mixers reach this one.
    pub advertise: SocketAddrV4,
    /// Addresses of members to contact for joining, and for rejoining after a partition.
    pub seeds: Vec<SocketAddrV4>,
    /// Zone of this mixer, for information only.
    pub zone: String,
    /// Interval between probes; each goes to one member.
    pub probe_interval: Span,
    /// Time within which a suspicion must be refuted before the member is declared dead.
    pub suspicion_timeout: Span,
    /// How long records of dead and departed members are kept.
    pub dead_member_retention: Span,
    /// State that is shared beyond the membership view.
    pub shares: Option<SharingConfig>,
}

/// Log level.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Level {
    Debug,
    #[default]
    Info,
    Warn,
    Error,
}

/// An error in a settings file and its position.
#[derive(Debug, PartialEq)]
pub struct SettingsError {
    /// Line number, starting at 1; 0 if the error concerns the file as a whole.
    pub line: usize,
    /// Description of the error, including the key.
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}", self.message),
            line => write!(f, "line {line}: {}", self.message),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Descriptor of the message `lockusher.Settings`, decoded from the embedded schema.
static SETTINGS_DESCRIPTOR: LazyLock<MessageDescriptor> = LazyLock::new(|| {
    let pool = DescriptorPool::decode(
        include_bytes!(concat!(env!("OUT_DIR"), "/settings.bin")).as_slice(),
    );
    let settings = pool
        .ok()
        .and_then(|pool| pool.get_message_by_name("lockusher.Settings"));
    settings.expect("the embedded schema defines lockusher.Settings")
});

/// Upper bound of a budget per second; larger values are treated as mistakes.
const MAX_BUDGET_PER_S: f64 = 1e6;
/// Upper bound of the number of mixers; larger values are treated as mistakes.
const MAX_MIXERS: u32 = 10_000;
/// With a shorter timeout, an endpoint under load would count as silent.
const MIN_SILENT_AFTER_MS: u32 = 200;
/// Blocking reads held for longer exceed what proxies allow; this is also Consul's own limit.
const MAX_WAIT_MS: u32 = 600_000;

/// Reads and validates a settings file; without a path, returns the defaults.
pub fn load(path: Option<&Path>) -> anyhow::Result<OperatorSettings> {
    let Some(path) = path else {
        return Ok(OperatorSettings::default());
    };
    let text = std::fs::read_to_string(path)
        .map_err(|e| anyhow::anyhow!("{}: cannot be read: {e}", path.display()))?;
    parse(&text).map_err(|error| anyhow::anyhow!("{}: {error}", path.display()))
}

/// Parses and validates the text of a settings file.
pub fn parse(text: &str) -> Result<OperatorSettings, SettingsError> {
    let message =
        DynamicMessage::parse_text_format(SETTINGS_DESCRIPTOR.clone(), text).map_err(|error| {
            let label = error.labels().and_then(|mut labels| labels.next());
            // An unexpected end of input has no offset; the last line is reported.
            let offset = label.map_or(text.len(), |label| label.offset());
            SettingsError {
                line: line_of_offset(text, offset),
                message: error.to_string(),
            }
        })?;
    let settings: text::Settings = message.transcode_to().map_err(|error| SettingsError {
        line: 0,
        message: error.to_string(),
    })?;
    let log = settings.log.unwrap_or_default();
    let level = match log.level() {
        text::log::Level::Debug => Level::Debug,
        text::log::Level::Info => Level::Info,
        text::log::Level::Warn => Level::Warn,
        text::log::Level::Error => Level::Error,
    };
    let registry = settings
        .registry
        .map(|registry| registry_plan(text, registry))
        .transpose()?;
    let http2 = settings
        .http2
        .map(|read| http2_settings(text, read))
        .transpose()?;
    let fleet = settings
        .fleet
        .map(|read| fleet_settings(text, read))
        .transpose()?;
    Ok(OperatorSettings {
        registry,
        http2,
        fleet,
        json_logs: log.form() == text::log::Form::Json,
        level,
    })
}

/// Validates the section `registry`.
fn registry_plan(text: &str, registry: text::Registry) -> Result<RegistrySettings, SettingsError> {
    let key_error = |key: &str, nth: usize, message: String| {
        let line = line_of_key(text, &["registry", key], nth)
            .or_else(|| line_of_key(text, &["registry"], 0));
        SettingsError {
            line: line.unwrap_or(0),
            message: format!("registry.{key}: {message}"),
        }
    };
    let protocol = match registry.protocol() {
        text::registry::Protocol::Unset => {
            return Err(key_error(
                "protocol",
                0,
                "missing: ETCD or CONSUL".to_owned(),
            ));
        }
        text::registry::Protocol::Etcd => Protocol::Etcd,
        text::registry::Protocol::Consul => Protocol::Consul,
    };
    if registry.endpoints.is_empty() {
        return Err(key_error(
            "endpoints",
            0,
            "missing: HOST:PORT of at least one member".to_owned(),
        ));
    }
    for (nth, endpoint) in registry.endpoints.iter().enumerate() {
        let port = endpoint
            .rsplit_once(':')
            .filter(|(host, _)| !host.is_empty() && !host.contains('/'));
        if port
            .and_then(|(_, port)| port.parse::<u16>().ok())
            .is_none_or(|port| port == 0)
        {
            return Err(key_error(
                "endpoints",
                nth,
                format!("\"{endpoint}\" is not HOST:PORT"),
            ));
        }
        if registry.endpoints[..nth].contains(endpoint) {
            return Err(key_error(
                "endpoints",
                nth,
                format!("\"{endpoint}\" is named twice"),
            ));
        }
    }
    if registry.prefix.is_empty() {
        return Err(key_error(
            "prefix",
            0,
            "missing: without it, every key of the registry would be read as a host".to_owned(),
        ));
    }
    let millis_in_range =
        |key: &str, value: Option<u32>, default: u32, min: u32, max: u32| match value {
            Some(value) if value < min || value > max => Err(key_error(
                key,
                0,
                format!("{value} is not between {min} and {max}"),
            )),
            value => Ok(Span::from_millis(value.unwrap_or(default).into())),
        };
    let silent_after = millis_in_range(
        "silent_after_ms",
        registry.silent_after_ms,
        3_000,
        MIN_SILENT_AFTER_MS,
        60_000,
    )?;
    let settle = millis_in_range("settle_ms", registry.settle_ms, 10_000, 0, 3_600_000)?;
    let wait = millis_in_range("wait_ms", registry.wait_ms, 10_000, 100, MAX_WAIT_MS)?;
    let stale = match registry.stale_ms {
        Some(_) if protocol == Protocol::Etcd => {
            return Err(key_error(
                "stale_ms",
                0,
                "only Consul has stale reads".to_owned(),
            ));
        }
        Some(_) => Some(millis_in_range(
            "stale_ms",
            registry.stale_ms,
            0,
            1,
            3_600_000,
        )?),
        None => None,
    };
    let page = registry.page.unwrap_or(1_000);
    if page == 0 {
        return Err(key_error("page", 0, "must not be 0".to_owned()));
    }
    let (endpoints, prefix) = (registry.endpoints, registry.prefix);
    Ok(RegistrySettings {
        protocol,
        endpoints,
        prefix,
        page,
        silent_after,
        settle,
        wait,
        stale,
    })
}

/// Validates the section `http2`.
fn http2_settings(text: &str, read: text::Http2) -> Result<Http2, SettingsError> {
    let in_range = |key: &str, value: Option<u32>, default: u32, min: u32, max: u32| match value {
        Some(value) if value < min || value > max => {
            let line = line_of_key(text, &["http2", key], 0).unwrap_or(0);
            Err(SettingsError {
                line,
                message: format!("http2.{key}: {value} is not between {min} and {max}"),
            })
        }
        value => Ok(value.unwrap_or(default)),
    };
    if read.zones.is_empty() && read.names.is_empty() && !read.entries {
        let line = line_of_key(text, &["http2"], 0).unwrap_or(0);
        return Err(SettingsError {
            line,
            message: "http2: names no host: zones, names or entries is missing".to_owned(),
        });
    }
    Ok(Http2 {
        max_connections: in_range("most_connections", read.most_connections, 2, 1, 16)? as usize,
        max_streams: in_range("most_streams", read.most_streams, 128, 1, 10_000)? as usize,
        max_connection_age: Span::from_millis(
            u64::from(in_range("age_s", read.age_s, 3_600, 1, 864_000)?) * 1_000,
        ),
        silent_after: Span::from_millis(
            in_range("silent_after_ms", read.silent_after_ms, 1_000, 50, 60_000)?.into(),
        ),
        max_resets_per_s: in_range("resets_per_s", read.resets_per_s, 10, 1, 10_000)?.into(),
        zones: read.zones,
        id_patterns: read.names,
        select_by_registry_entry: read.entries,
        fall_back_to_frames: read.fall_back,
    })
}

/// Validates the section `fleet`.
fn fleet_settings(text: &str, read: text::Fleet) -> Result<Fleet, SettingsError> {
    let key_error = |key: &str, nth: usize, message: String| {
        let line =
            line_of_key(text, &["fleet", key], nth).or_else(|| line_of_key(text, &["fleet"], 0));
        SettingsError {
            line: line.unwrap_or(0),
            message: format!("fleet.{key}: {message}"),
        }
    };
    let in_range = |key: &str, value: Option<u32>, default: u32, min: u32, max: u32| match value {
        Some(value) if value < min || value > max => Err(key_error(
            key,
            0,
            format!("{value} is not between {min} and {max}"),
        )),
        value => Ok(u64::from(value.unwrap_or(default))),
    };
    let address = |key: &str, nth: usize, value: &str| {
        let address = value.parse().ok().filter(|at: &SocketAddrV4| at.port() > 0);
        let address = address.filter(|at| !at.ip().is_unspecified() && !at.ip().is_multicast());
        address.ok_or_else(|| {
            key_error(
                key,
                nth,
                format!("\"{value}\" is not an IPv4 ADDRESS:PORT that can be reached"),
            )
        })
    };
    for (key, word) in [("id", &read.id), ("zone", &read.zone)] {
        if word.len() > MAX_NAME_BYTES {
            return Err(key_error(
                key,
                0,
                format!("longer than {MAX_NAME_BYTES} bytes"),
            ));
        }
    }
    if read.id.is_empty() {
        return Err(key_error(
            "id",
            0,
            "missing: without it, separate fleets would merge".to_owned(),
        ));
    }
    if read.address.is_empty() {
        return Err(key_error(
            "address",
            0,
            "missing: ADDRESS:PORT to listen on".to_owned(),
        ));
    }
    let own_address = address("address", 0, &read.address)?;
    let advertise = match read.advertise.as_str() {
        "" => own_address,
        other => address("advertise", 0, other)?,
    };
    let mut seeds = Vec::new();
    for (nth, seed) in read.seeds.iter().enumerate() {
        let at = address("seeds", nth, seed)?;
        if seeds.contains(&at) {
            return Err(key_error(
                "seeds",
                nth,
                format!("\"{seed}\" is named twice"),
            ));
        }
        seeds.push(at);
    }
    let probe_interval = in_range("probe_every_ms", read.probe_every_ms, 200, 50, 10_000)?;
    let suspicion_timeout = in_range("suspect_for_ms", read.suspect_for_ms, 800, 100, 60_000)?;
    if suspicion_timeout < 2 * probe_interval {
        let message = format!(
            "{suspicion_timeout} leaves no time to refute: at least twice probe_every_ms ({probe_interval})"
        );
        return Err(key_error("suspect_for_ms", 0, message));
    }
    let shares = read
        .shared
        .map(|shared| shared_state(text, shared))
        .transpose()?;
    Ok(Fleet {
        shares,
        address: own_address,
        advertise,
        seeds,
        probe_interval: Span::from_millis(probe_interval),
        suspicion_timeout: Span::from_millis(suspicion_timeout),
        dead_member_retention: Span::from_millis(
            in_range("remember_s", read.remember_s, 600, 5, 86_400)? * 1_000,
        ),
        id: read.id,
        zone: read.zone,
    })
}

/// Validates the section `fleet.shared`.
fn shared_state(text: &str, read: text::Shared) -> Result<SharingConfig, SettingsError> {
    let budgets = read.budgets.unwrap_or_default();
    let key_error = |key: &str, message: String| {
        let line = line_of_key(text, &["fleet", "shared", "budgets", key], 0);
        SettingsError {
            line: line.unwrap_or(0),
            message: format!("fleet.shared.budgets.{key}: {message}"),
        }
    };
    let budget_keys = [
        ("further_per_s", Budget::Retries, budgets.further_per_s),
        ("cold_per_s", Budget::Cold, budgets.cold_per_s),
        (
            "connections_per_s",
            Budget::Connections,
            budgets.connections_per_s,
        ),
        ("probes_per_s", Budget::Probes, budgets.probes_per_s),
    ];
    let mut rates_set = Vec::new();
    for (key, budget, rate) in budget_keys {
        match rate {
            Some(rate) if !(rate > 0.0 && rate <= MAX_BUDGET_PER_S) => {
                return Err(key_error(
                    key,
                    format!("{rate} is not above 0 and up to {MAX_BUDGET_PER_S}"),
                ));
            }
            rate => rates_set.extend(rate.map(|rate| (budget, rate))),
        }
    }
    let mixers = match budgets.mixers {
        Some(mixers) if !(1..=MAX_MIXERS).contains(&mixers) => {
            return Err(key_error(
                "mixers",
                format!("{mixers} is not between 1 and {MAX_MIXERS}"),
            ));
        }
        mixers => mixers.unwrap_or(0) as usize,
    };
    let (judgements, warm_starts, tenants) = (read.judgements, read.warm_starts, budgets.tenants);
    if !judgements && !warm_starts && !tenants && rates_set.is_empty() {
        let line = line_of_key(text, &["fleet", "shared"], 0).unwrap_or(0);
        return Err(SettingsError {
            line,
            message: "fleet.shared: names nothing that is to be shared".to_owned(),
        });
    }
    Ok(SharingConfig {
        judgements,
        warm_starts,
        budgets: rates_set,
        mixers,
        tenants,
    })
}

/// Returns the line number, starting at 1, of a byte offset.
fn line_of_offset(text: &str, offset: usize) -> usize {
    let preceding = &text.as_bytes()[..offset.min(text.len())];
    preceding.iter().filter(|byte| **byte == b'\n').count() + 1
}

/// Returns the line of the `nth` occurrence of the key at `path`, in a text that has already been parsed
/// successfully.
fn line_of_key(text: &str, path: &[&str], mut nth: usize) -> Option<usize> {
    let (mut open_blocks, mut key, mut rest) = (Vec::new(), "", text);
    loop {
        let at = rest.find(|c: char| !c.is_whitespace())?;
        rest = &rest[at..];
        let length = match rest.as_bytes()[0] {
            b'#' => rest.find('\n').unwrap_or(rest.len()),
            quote @ (b'"' | b'\'') => {
                let mut escaped = false;
                let end = rest.bytes().skip(1).position(|byte| {
                    let closes = byte == quote && !escaped;
                    escaped = byte == b'\\' && !escaped;
                    closes
                });
                end.map_or(rest.len(), |end| end + 2)
            }
            b'{' | b'<' => {
                open_blocks.push(key);
                1
            }
            b'}' | b'>' => {
                open_blocks.pop();
                1
            }
            byte if byte.is_ascii_alphanumeric() || byte == b'_' => {
                let word = |c: char| !(c.is_ascii_alphanumeric() || c == '_');
                let end = rest.find(word).unwrap_or(rest.len());
                key = &rest[..end];
                let following = rest[end..].trim_start();
                let is_key = following.starts_with([':', '{', '<']);
                let (last, parents) = path.split_last()?;
                if is_key && key == *last && open_blocks == parents {
                    if nth == 0 {
                        return Some(line_of_offset(text, text.len() - rest.len()));
                    }
                    nth -= 1;
                }
                end
            }
            _ => 1,
        };
        rest = rest.get(length..)?;
    }
}
