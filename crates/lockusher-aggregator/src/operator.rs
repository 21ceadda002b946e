//! The operator's own settings file: protobuf text format, checked by `proto/settings.proto`. A message names the
//! file, the line and the faulty key.

use std::fmt;
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::LazyLock;

use lockusher_membership::core::share::Shares;
use lockusher_membership::core::wire::MOST_NAME;
use lockusher_policy::interface::{Budget, Span};
use lockusher_registry_client::core::follow::{Plan, Protocol};
use miette::Diagnostic;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};

#[allow(missing_docs, clippy::all)]
mod text {
    include!(concat!(env!("OUT_DIR"), "/lockusher.rs"));
}

/// What the operator set, checked; by default all is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// The registry that is followed instead of discovery.
    pub registry: Option<Plan>,
    /// Which hosts are spoken to by HTTP/2, and how.
    pub http2: Option<Http2>,
    /// The view of the fleet that is kept with other mixers.
    pub fleet: Option<Fleet>,
    pub json_logs: bool,
    pub level: Level,
}

/// Which hosts are spoken to by HTTP/2, and the limits of that.
#[derive(Clone, Debug, PartialEq)]
pub struct Http2 {
    pub zones: Vec<String>,
    /// Patterns of ids; a star stands for any letters.
    pub names: Vec<String>,
    pub entries: bool,
    pub fall_back: bool,
    pub most_connections: usize,
    pub most_streams: usize,
    pub age: Span,
    pub silent_after: Span,
    pub resets_per_s: f64,
}

/// How this mixer keeps a view of its fleet with others.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    pub id: String,
    pub address: SocketAddrV4,
    pub advertise: SocketAddrV4,
    pub seeds: Vec<SocketAddrV4>,
    pub zone: String,
    pub probe_every: Span,
    pub suspect_for: Span,
    pub remember: Span,
    /// What is shared beyond the view.
    pub shares: Option<Shares>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Level {
    Debug,
    #[default]
    Info,
    Warn,
    Error,
}

/// What is wrong with a settings file, and where.
#[derive(Debug, PartialEq)]
pub struct Faulty {
    /// Counted from 1; 0 if it concerns the file as a whole.
    pub line: usize,
    pub why: String,
}

impl fmt::Display for Faulty {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}", self.why),
            line => write!(f, "line {line}: {}", self.why),
        }
    }
}

impl std::error::Error for Faulty {}

static SETTINGS: LazyLock<MessageDescriptor> = LazyLock::new(|| {
    let pool = DescriptorPool::decode(
        include_bytes!(concat!(env!("OUT_DIR"), "/settings.bin")).as_slice(),
    );
    let settings = pool
        .ok()
        .and_then(|pool| pool.get_message_by_name("lockusher.Settings"));
    settings.expect("the proto compiled in has them")
});

/// Budgets and fleets beyond these are slips of the pen.
const MOST_BUDGET: f64 = 1e6;
const MOST_MIXERS: u32 = 10_000;
/// Shorter, and an endpoint under load would count as silent.
const LEAST_SILENCE: u32 = 200;
/// Reads that may be held longer than this outlive what proxies allow; Consul's own limit.
const LONGEST_WAIT: u32 = 600_000;

/// Reads a settings file; `None` names none, and all is off.
pub fn load(path: Option<&Path>) -> anyhow::Result<Operator> {
    let Some(path) = path else {
        return Ok(Operator::default());
    };
    let text = std::fs::read_to_string(path)
        .map_err(|e| anyhow::anyhow!("{}: cannot be read: {e}", path.display()))?;
    parse(&text).map_err(|faulty| anyhow::anyhow!("{}: {faulty}", path.display()))
}

pub fn parse(text: &str) -> Result<Operator, Faulty> {
    let message = DynamicMessage::parse_text_format(SETTINGS.clone(), text).map_err(|error| {
        let label = error.labels().and_then(|mut labels| labels.next());
        // An end that comes too soon has no place of its own: it is the last line.
        let offset = label.map_or(text.len(), |label| label.offset());
        Faulty {
            line: line_at(text, offset),
            why: error.to_string(),
        }
    })?;
    let settings: text::Settings = message.transcode_to().map_err(|error| Faulty {
        line: 0,
        why: error.to_string(),
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
        .map(|registry| plan(text, registry))
        .transpose()?;
    let http2 = settings.http2.map(|read| http2(text, read)).transpose()?;
    let fleet = settings.fleet.map(|read| fleet(text, read)).transpose()?;
    Ok(Operator {
        registry,
        http2,
        fleet,
        json_logs: log.form() == text::log::Form::Json,
        level,
    })
}

fn plan(text: &str, registry: text::Registry) -> Result<Plan, Faulty> {
    let faulty = |key: &str, nth: usize, why: String| {
        let line = place(text, &["registry", key], nth).or_else(|| place(text, &["registry"], 0));
        Faulty {
            line: line.unwrap_or(0),
            why: format!("registry.{key}: {why}"),
        }
    };
    let protocol = match registry.protocol() {
        text::registry::Protocol::Unset => {
            return Err(faulty("protocol", 0, "missing: ETCD or CONSUL".to_owned()));
        }
        text::registry::Protocol::Etcd => Protocol::Etcd,
        text::registry::Protocol::Consul => Protocol::Consul,
    };
    if registry.endpoints.is_empty() {
        return Err(faulty(
            "endpoints",
            0,
            "missing: HOST:PORT of one member at least".to_owned(),
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
            return Err(faulty(
                "endpoints",
                nth,
                format!("\"{endpoint}\" is not HOST:PORT"),
            ));
        }
        if registry.endpoints[..nth].contains(endpoint) {
            return Err(faulty(
                "endpoints",
                nth,
                format!("\"{endpoint}\" is named twice"),
            ));
        }
    }
    if registry.prefix.is_empty() {
        return Err(faulty(
            "prefix",
            0,
            "missing: all keys of the registry would be hosts".to_owned(),
        ));
    }
    let millis = |key: &str, value: Option<u32>, default: u32, least: u32, most: u32| match value {
        Some(value) if value < least || value > most => Err(faulty(
            key,
            0,
            format!("{value} is not between {least} and {most}"),
        )),
        value => Ok(Span::from_millis(value.unwrap_or(default).into())),
    };
    let silent_after = millis(
        "silent_after_ms",
        registry.silent_after_ms,
        3_000,
        LEAST_SILENCE,
        60_000,
    )?;
    let settle = millis("settle_ms", registry.settle_ms, 10_000, 0, 3_600_000)?;
    let wait = millis("wait_ms", registry.wait_ms, 10_000, 100, LONGEST_WAIT)?;
    let stale = match registry.stale_ms {
        Some(_) if protocol == Protocol::Etcd => {
            return Err(faulty(
                "stale_ms",
                0,
                "only Consul has stale reads".to_owned(),
            ));
        }
        Some(_) => Some(millis("stale_ms", registry.stale_ms, 0, 1, 3_600_000)?),
        None => None,
    };
    let page = registry.page.unwrap_or(1_000);
    if page == 0 {
        return Err(faulty("page", 0, "must not be 0".to_owned()));
    }
    let (endpoints, prefix) = (registry.endpoints, registry.prefix);
    Ok(Plan {
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

fn http2(text: &str, read: text::Http2) -> Result<Http2, Faulty> {
    let within = |key: &str, value: Option<u32>, default: u32, least: u32, most: u32| match value {
        Some(value) if value < least || value > most => {
            let line = place(text, &["http2", key], 0).unwrap_or(0);
            Err(Faulty {
                line,
                why: format!("http2.{key}: {value} is not between {least} and {most}"),
            })
        }
        value => Ok(value.unwrap_or(default)),
    };
    if read.zones.is_empty() && read.names.is_empty() && !read.entries {
        let line = place(text, &["http2"], 0).unwrap_or(0);
        return Err(Faulty {
            line,
            why: "http2: names no host: zones, names or entries is missing".to_owned(),
        });
    }
    Ok(Http2 {
        most_connections: within("most_connections", read.most_connections, 2, 1, 16)? as usize,
        most_streams: within("most_streams", read.most_streams, 128, 1, 10_000)? as usize,
        age: Span::from_millis(u64::from(within("age_s", read.age_s, 3_600, 1, 864_000)?) * 1_000),
        silent_after: Span::from_millis(
            within("silent_after_ms", read.silent_after_ms, 1_000, 50, 60_000)?.into(),
        ),
        resets_per_s: within("resets_per_s", read.resets_per_s, 10, 1, 10_000)?.into(),
        zones: read.zones,
        names: read.names,
        entries: read.entries,
        fall_back: read.fall_back,
    })
}

fn fleet(text: &str, read: text::Fleet) -> Result<Fleet, Faulty> {
    let faulty = |key: &str, nth: usize, why: String| {
        let line = place(text, &["fleet", key], nth).or_else(|| place(text, &["fleet"], 0));
        Faulty {
            line: line.unwrap_or(0),
            why: format!("fleet.{key}: {why}"),
        }
    };
    let within = |key: &str, value: Option<u32>, default: u32, least: u32, most: u32| match value {
        Some(value) if value < least || value > most => Err(faulty(
            key,
            0,
            format!("{value} is not between {least} and {most}"),
        )),
        value => Ok(u64::from(value.unwrap_or(default))),
    };
    let address = |key: &str, nth: usize, value: &str| {
        let address = value.parse().ok().filter(|at: &SocketAddrV4| at.port() > 0);
        let address = address.filter(|at| !at.ip().is_unspecified() && !at.ip().is_multicast());
        address.ok_or_else(|| {
            faulty(
                key,
                nth,
                format!("\"{value}\" is not an IPv4 ADDRESS:PORT that can be reached"),
            )
        })
    };
    for (key, word) in [("id", &read.id), ("zone", &read.zone)] {
        if word.len() > MOST_NAME {
            return Err(faulty(key, 0, format!("longer than {MOST_NAME} bytes")));
        }
    }
    if read.id.is_empty() {
        return Err(faulty(
            "id",
            0,
            "missing: two fleets would merge".to_owned(),
        ));
    }
    if read.address.is_empty() {
        return Err(faulty(
            "address",
            0,
            "missing: ADDRESS:PORT to listen at".to_owned(),
        ));
    }
    let own = address("address", 0, &read.address)?;
    let advertise = match read.advertise.as_str() {
        "" => own,
        other => address("advertise", 0, other)?,
    };
    let mut seeds = Vec::new();
    for (nth, seed) in read.seeds.iter().enumerate() {
        let at = address("seeds", nth, seed)?;
        if seeds.contains(&at) {
            return Err(faulty("seeds", nth, format!("\"{seed}\" is named twice")));
        }
        seeds.push(at);
    }
    let probe_every = within("probe_every_ms", read.probe_every_ms, 200, 50, 10_000)?;
    let suspect_for = within("suspect_for_ms", read.suspect_for_ms, 800, 100, 60_000)?;
    if suspect_for < 2 * probe_every {
        let why = format!(
            "{suspect_for} leaves no time to refute: at least twice probe_every_ms ({probe_every})"
        );
        return Err(faulty("suspect_for_ms", 0, why));
    }
    let shares = read.shared.map(|shared| shares(text, shared)).transpose()?;
    Ok(Fleet {
        shares,
        address: own,
        advertise,
        seeds,
        probe_every: Span::from_millis(probe_every),
        suspect_for: Span::from_millis(suspect_for),
        remember: Span::from_millis(within("remember_s", read.remember_s, 600, 5, 86_400)? * 1_000),
        id: read.id,
        zone: read.zone,
    })
}

fn shares(text: &str, read: text::Shared) -> Result<Shares, Faulty> {
    let budgets = read.budgets.unwrap_or_default();
    let faulty = |key: &str, why: String| {
        let line = place(text, &["fleet", "shared", "budgets", key], 0);
        Faulty {
            line: line.unwrap_or(0),
            why: format!("fleet.shared.budgets.{key}: {why}"),
        }
    };
    let rates = [
        ("further_per_s", Budget::Further, budgets.further_per_s),
        ("cold_per_s", Budget::Cold, budgets.cold_per_s),
        (
            "connections_per_s",
            Budget::Connections,
            budgets.connections_per_s,
        ),
        ("probes_per_s", Budget::Probes, budgets.probes_per_s),
    ];
    let mut given = Vec::new();
    for (key, budget, rate) in rates {
        match rate {
            Some(rate) if !(rate > 0.0 && rate <= MOST_BUDGET) => {
                return Err(faulty(
                    key,
                    format!("{rate} is not above 0 and up to {MOST_BUDGET}"),
                ));
            }
            rate => given.extend(rate.map(|rate| (budget, rate))),
        }
    }
    let mixers = match budgets.mixers {
        Some(mixers) if !(1..=MOST_MIXERS).contains(&mixers) => {
            return Err(faulty(
                "mixers",
                format!("{mixers} is not between 1 and {MOST_MIXERS}"),
            ));
        }
        mixers => mixers.unwrap_or(0) as usize,
    };
    let (judgements, warm_starts, tenants) = (read.judgements, read.warm_starts, budgets.tenants);
    if !judgements && !warm_starts && !tenants && given.is_empty() {
        let line = place(text, &["fleet", "shared"], 0).unwrap_or(0);
        return Err(Faulty {
            line,
            why: "fleet.shared: names nothing that is to be shared".to_owned(),
        });
    }
    Ok(Shares {
        judgements,
        warm_starts,
        budgets: given,
        mixers,
        tenants,
    })
}

fn line_at(text: &str, offset: usize) -> usize {
    let before = &text.as_bytes()[..offset.min(text.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}

/// The line of the `nth` key at a path of a text that has been read without a fault.
fn place(text: &str, path: &[&str], mut nth: usize) -> Option<usize> {
    let (mut open, mut key, mut rest) = (Vec::new(), "", text);
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
                open.push(key);
                1
            }
            b'}' | b'>' => {
                open.pop();
                1
            }
            byte if byte.is_ascii_alphanumeric() || byte == b'_' => {
                let word = |c: char| !(c.is_ascii_alphanumeric() || c == '_');
                let end = rest.find(word).unwrap_or(rest.len());
                key = &rest[..end];
                let behind = rest[end..].trim_start();
                let is_key = behind.starts_with([':', '{', '<']);
                let (last, above) = path.split_last()?;
                if is_key && key == *last && open == above {
                    if nth == 0 {
                        return Some(line_at(text, text.len() - rest.len()));
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
