//! Reads a node's settings file (DEPLOY.md, "Settings of a process"): `a.b=value` lines.
//!
//! Unknown keys are ignored, and so are empty lines and those that start with `#`. A key with an empty value
//! counts as absent. Needed are `node`, `zone`, `ipAddress`, `internalPorts` and `cloud.address`; any other key
//! has a default, named below.

use std::net::SocketAddrV4;
use std::str::FromStr;

use crate::fault::Faults;
use crate::settings::{Bounds, NodeLimits, NodeSettings};
use crate::settings_lines::SettingsLines;

/// All faults of a settings file.
pub type SettingsFaults = Faults;

/// Default of every rate, share and count that the file doesn't limit.
const DEFAULT_LIMITS: NodeLimits = NodeLimits {
    cpu_share: 1.0,
    cores: 1,
    memory_mb: 128,
    file_descriptors: 1_024,
    link_mbps: 100.0,
    disk_mb: 64,
};

const DEFAULT_FAULT_TOLERANCE_MACHINES: u32 = 1;

const DEFAULT_HEARTBEAT_MS: u64 = 1_000;

const DEFAULT_CLOUD_RATE_PER_S: f64 = 1.0;

const DEFAULT_CLOUD_LAG_MS: u64 = 1_000;

/// Bounds of a file that names none: on the strict side, so that a promise in force elsewhere is kept as well.
const DEFAULT_BOUNDS: Bounds = Bounds {
    seed_lag_ms: 3_000,
    reuse_after_ms: 1_000,
    contact_ms: 3_000,
    acknowledge_ms: 3_000,
    catch_up_ms: 4_000,
    drain_ms: 2_000,
    grace_ms: 5_000,
    loss_slack_ms: 100,
    configuration_ms: 2_000,
    rollback_slack_ms: 200,
    outer_bound_ms: 5_000,
    retry_budget_ratio: 0.1,
    budget_window_ms: 10_000,
    retry_budget_slack: 10.0,
    recovery_ms: 10_000,
    transit_ms: 100,
    again_ms: 10_000,
    fenced: false,
    lease_ms: 3_000,
    thaw_ms: 300,
};

impl NodeSettings {
    /// Reads the text of a settings file and finds all of its faults.
    pub fn parse(text: &str) -> Result<Self, SettingsFaults> {
        let mut lines = SettingsLines::split(text);
        let settings = settings(&mut lines);
        let faults = lines.into_faults();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults),
        }
    }
}

fn settings(lines: &mut SettingsLines<'_>) -> Option<NodeSettings> {
    let node = lines.required("node", "a name");
    let zone: Option<String> = lines.required("zone", "a name");
    let zones = lines.with_prefix("zones.");
    let region_of_zone = zone.as_ref().and_then(|zone| zones.get(zone)).cloned().unwrap_or_default();
    let region = lines.value_or("region", "a name", region_of_zone);
    let ip_address = lines.required("ipAddress", "an IPv4 address");
    let front = optional_address(lines, "listenAddresses.front");
    let readiness = optional_address(lines, "listenAddresses.readiness");
    let control = optional_address(lines, "listenAddresses.control");
    let internal_ports = lines.port_range("internalPorts");
    let seeds = lines.list("seeds", "IP:PORT");
    let first_start = lines.value_or("firstStart", "true or false", false);
    let counts_for_quorum = lines.value_or("countsForQuorum", "true or false", false);
    let data_directory = lines.optional("dataDirectory", "a path");
    let limits = node_limits(lines);
    let fault_tolerance_machines =
        lines.value_or("faultTolerance.machines", "a whole number", DEFAULT_FAULT_TOLERANCE_MACHINES);
    let heartbeat_ms = lines.positive_ms("heartbeatMs", DEFAULT_HEARTBEAT_MS);
    let bounds = bounds(lines);
    let cloud_address = lines.required("cloud.address", "IP:PORT");
    let cloud_rate_per_s = lines.positive_number("cloud.ratePerS", DEFAULT_CLOUD_RATE_PER_S);
    let cloud_lag_ms = lines.ms("cloud.lagMs", DEFAULT_CLOUD_LAG_MS);
    Some(NodeSettings {
        node: node?,
        zone: zone?,
        region: region?,
        zones,
        ip_address: ip_address?,
        front: front?,
        readiness: readiness?,
        control: control?,
        internal_ports: internal_ports?,
        seeds: seeds?,
        first_start: first_start?,
        counts_for_quorum: counts_for_quorum?,
        data_directory: data_directory?,
        limits: limits?,
        fault_tolerance_machines: fault_tolerance_machines?,
        heartbeat_ms: heartbeat_ms?,
        bounds: bounds?,
        cloud_address: cloud_address?,
        cloud_rate_per_s: cloud_rate_per_s?,
        cloud_lag_ms: cloud_lag_ms?,
    })
}

fn optional_address(lines: &mut SettingsLines<'_>, key: &str) -> Option<Option<SocketAddrV4>> {
    lines.optional(key, "IP:PORT")
}

fn integer_or<T: FromStr>(lines: &mut SettingsLines<'_>, key: &str, default: T) -> Option<T> {
    lines.value_or(key, "a whole number", default)
}

fn node_limits(lines: &mut SettingsLines<'_>) -> Option<NodeLimits> {
    let default = DEFAULT_LIMITS;
    let cpu_share = lines.positive_number("limits.cpuShare", default.cpu_share);
    let cores = integer_or(lines, "limits.cores", default.cores);
    let memory_mb = integer_or(lines, "limits.memoryMb", default.memory_mb);
    let file_descriptors = integer_or(lines, "limits.fileDescriptors", default.file_descriptors);
    let link_mbps = lines.positive_number("limits.linkMbps", default.link_mbps);
    let disk_mb = integer_or(lines, "limits.diskMb", default.disk_mb);
    Some(NodeLimits {
        cpu_share: cpu_share?,
        cores: cores?,
        memory_mb: memory_mb?,
        file_descriptors: file_descriptors?,
        link_mbps: link_mbps?,
        disk_mb: disk_mb?,
    })
}

fn bounds(lines: &mut SettingsLines<'_>) -> Option<Bounds> {
    let default = DEFAULT_BOUNDS;
    let seed_lag_ms = lines.seconds_as_ms("bounds.seedLagS", default.seed_lag_ms);
    let reuse_after_ms = lines.seconds_as_ms("bounds.reuseAfterS", default.reuse_after_ms);
    let contact_ms = lines.ms("bounds.contactMs", default.contact_ms);
    let acknowledge_ms = lines.ms("bounds.acknowledgeMs", default.acknowledge_ms);
    let catch_up_ms = lines.seconds_as_ms("bounds.catchUpS", default.catch_up_ms);
    let drain_ms = lines.ms("bounds.drainMs", default.drain_ms);
    let grace_ms = lines.seconds_as_ms("bounds.graceS", default.grace_ms);
    let loss_slack_ms = lines.ms("bounds.lossSlackMs", default.loss_slack_ms);
    let configuration_ms = lines.ms("bounds.configurationMs", default.configuration_ms);
    let rollback_slack_ms = lines.ms("bounds.rollbackSlackMs", default.rollback_slack_ms);
    let outer_bound_ms = lines.ms("bounds.outerBoundMs", default.outer_bound_ms);
    let retry_budget_ratio = lines.number("bounds.retryBudgetRatio", default.retry_budget_ratio);
    let budget_window_ms = lines.seconds_as_ms("bounds.budgetWindowS", default.budget_window_ms);
    let retry_budget_slack = lines.number("bounds.retryBudgetSlack", default.retry_budget_slack);
    let recovery_ms = lines.seconds_as_ms("bounds.recoveryS", default.recovery_ms);
    let transit_ms = lines.ms("bounds.transitMs", default.transit_ms);
    let again_ms = lines.seconds_as_ms("bounds.again_s", default.again_ms);
    let fenced = lines.value_or("bounds.fenced", "true or false", default.fenced);
    let lease_ms = lines.ms("bounds.leaseMs", default.lease_ms);
    let thaw_ms = lines.ms("bounds.thawMs", default.thaw_ms);
    Some(Bounds {
        seed_lag_ms: seed_lag_ms?,
        reuse_after_ms: reuse_after_ms?,
        contact_ms: contact_ms?,
        acknowledge_ms: acknowledge_ms?,
        catch_up_ms: catch_up_ms?,
        drain_ms: drain_ms?,
        grace_ms: grace_ms?,
        loss_slack_ms: loss_slack_ms?,
        configuration_ms: configuration_ms?,
        rollback_slack_ms: rollback_slack_ms?,
        outer_bound_ms: outer_bound_ms?,
        retry_budget_ratio: retry_budget_ratio?,
        budget_window_ms: budget_window_ms?,
        retry_budget_slack: retry_budget_slack?,
        recovery_ms: recovery_ms?,
        transit_ms: transit_ms?,
        again_ms: again_ms?,
        fenced: fenced?,
        lease_ms: lease_ms?,
        thaw_ms: thaw_ms?,
    })
}
