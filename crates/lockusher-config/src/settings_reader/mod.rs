//! Reads a node's settings file: `a.b=value` lines.
//!
//! Called at the start of each program, on SIGHUP, and by the command `check`.
//!
//! Unknown keys, empty lines and lines that start with `#` are ignored. A key with an empty value is treated as absent.
//! The keys `node`, `zone`, `ipAddress`, `internalPorts` and `cloud.address` are required; all others have defaults.
//! Source: the operators' pages (DEPLOY, "Settings of a process").

mod bounds;
mod limits;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use crate::fault::Faults;
use crate::settings::{FaultTolerance, NodeSettings};
use crate::settings_lines::SettingsLines;

use bounds::bounds;
use limits::node_limits;

/// Machines that may fail at the same time, of those that count for the quorum.
const DEFAULT_FAULT_TOLERANCE_MACHINES: u32 = 1;

/// Heartbeat interval of the deployment.
const DEFAULT_HEARTBEAT_MS: u64 = 1_000;

/// Rate limit of the instance list in calls per second, for all nodes together.
const DEFAULT_CLOUD_RATE_PER_S: f64 = 1.0;

/// Age of the instance list when it is served.
const DEFAULT_CLOUD_LAG_MS: u64 = 1_000;

impl NodeSettings {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// All faults of the file.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut lines = SettingsLines::parse(text);
        let settings = settings(&mut lines);
        let faults = lines.into_faults();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults),
        }
    }
}

fn settings(lines: &mut SettingsLines<'_>) -> Option<NodeSettings> {
    let location = location(lines);
    let addresses = addresses(lines);
    let internal_ports = lines.port_range("internalPorts");
    let seeds = lines.list("seeds", "IP:PORT");
    let first_start = lines.value_or("firstStart", "true or false", false);
    let counts_for_quorum = lines.value_or("countsForQuorum", "true or false", false);
    let data_directory = lines.optional("dataDirectory", "a path");
    let limits = node_limits(lines);
    let fault_tolerance = fault_tolerance(lines);
    let heartbeat_ms = lines.positive_ms("heartbeatMs", DEFAULT_HEARTBEAT_MS);
    let bounds = bounds(lines);
    let platform = platform(lines);
    let (location, addresses, platform) = (location?, addresses?, platform?);
    Some(NodeSettings {
        node: location.node,
        zone: location.zone,
        region: location.region,
        zones: location.zones,
        ip_address: addresses.ip_address,
        front: addresses.front,
        readiness: addresses.readiness,
        control: addresses.control,
        internal_ports: internal_ports?,
        seeds: seeds?,
        first_start: first_start?,
        counts_for_quorum: counts_for_quorum?,
        data_directory: data_directory?,
        limits: limits?,
        fault_tolerance: fault_tolerance?,
        heartbeat_ms: heartbeat_ms?,
        bounds: bounds?,
        cloud_address: platform.address,
        cloud_rate_per_s: platform.rate_per_s,
        cloud_lag_ms: platform.lag_ms,
    })
}

fn fault_tolerance(lines: &mut SettingsLines<'_>) -> Option<FaultTolerance> {
    let mut count = |key, default| lines.value_or(key, "a whole number", default);
    let machines = count("faultTolerance.machines", DEFAULT_FAULT_TOLERANCE_MACHINES);
    let zones = count("faultTolerance.zones", 0);
    let regions = count("faultTolerance.regions", 0);
    Some(FaultTolerance {
        machines: machines?,
        zones: zones?,
        regions: regions?,
    })
}

/// Name of the node, and its failure domains.
struct Location {
    node: String,
    zone: String,
    region: String,
    zones: BTreeMap<String, String>,
}

fn location(lines: &mut SettingsLines<'_>) -> Option<Location> {
    let node = lines.required("node", "a name");
    let zone: Option<String> = lines.required("zone", "a name");
    let zones = lines.with_prefix("zones.");
    let region_of_zone = zone
        .as_ref()
        .and_then(|zone| zones.get(zone))
        .cloned()
        .unwrap_or_default();
    let region = lines.value_or("region", "a name", region_of_zone);
    Some(Location {
        node: node?,
        zone: zone?,
        region: region?,
        zones,
    })
}

/// The addresses of the node's machine.
struct Addresses {
    ip_address: Ipv4Addr,
    front: Option<SocketAddrV4>,
    readiness: Option<SocketAddrV4>,
    control: Option<SocketAddrV4>,
}

fn addresses(lines: &mut SettingsLines<'_>) -> Option<Addresses> {
    let ip_address = lines.required("ipAddress", "an IPv4 address");
    let front = lines.optional("listenAddresses.front", "IP:PORT");
    let readiness = lines.optional("listenAddresses.readiness", "IP:PORT");
    let control = lines.optional("listenAddresses.control", "IP:PORT");
    Some(Addresses {
        ip_address: ip_address?,
        front: front?,
        readiness: readiness?,
        control: control?,
    })
}

/// How the platform's instance list is reached.
struct Platform {
    address: SocketAddrV4,
    rate_per_s: f64,
    lag_ms: u64,
}

fn platform(lines: &mut SettingsLines<'_>) -> Option<Platform> {
    let address = lines.required("cloud.address", "IP:PORT");
    let rate_per_s = lines.positive_number("cloud.ratePerS", DEFAULT_CLOUD_RATE_PER_S);
    let lag_ms = lines.ms("cloud.lagMs", DEFAULT_CLOUD_LAG_MS);
    Some(Platform {
        address: address?,
        rate_per_s: rate_per_s?,
        lag_ms: lag_ms?,
    })
}
